//! The numbers of the events.

/// How much an event matters to an operator.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum Severity {
    /// Of use when a fault is traced.
    Debug,
    /// Part of normal work.
    Info,
    /// Worth a look.
    Warning,
    /// Needs an operator.
    Error,
}

macro_rules! event_numbers {
    ($($(#[$doc:meta])* $name:ident = $number:literal, $severity:ident;)*) => {
        /// A numbered event; `docs/EVENTS.md` lists each.
        #[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
        pub enum EventNumber {
            $($(#[$doc])* $name,)*
        }

        impl EventNumber {
            /// All events, in the order of their numbers.
            pub const ALL: &[EventNumber] = &[$(EventNumber::$name,)*];

            /// Returns the number.
            pub fn number(self) -> u16 {
                match self { $(EventNumber::$name => $number,)* }
            }

            /// Returns how much the event matters.
            pub fn severity(self) -> Severity {
                match self { $(EventNumber::$name => Severity::$severity,)* }
            }

            /// Returns the name as written in the source.
            pub fn name(self) -> &'static str {
                match self { $(EventNumber::$name => stringify!($name),)* }
            }
        }
    };
}

event_numbers! {
    /// The instance started.
    InstanceStarted = 100, Info;
    /// The instance serves callers.
    InstanceReady = 101, Info;
    /// The instance began to shut down.
    DrainStarted = 102, Info;
    /// The instance finished its last request.
    DrainFinished = 103, Info;
    /// The drain limit passed with requests still running.
    DrainLimitReached = 104, Warning;
    /// The settings were read again.
    SettingsReloaded = 107, Info;
    /// The settings do not allow the whole role; the process does the part that remains.
    RoleReduced = 110, Warning;
    /// Changed settings are not valid; the ones before stay in force.
    SettingsRefused = 108, Error;
    /// The process did not run for a while: frozen, starved or held up by its disk.
    ProcessStalled = 109, Warning;
    /// A background task ended before the process was asked to stop; the process ends.
    TaskEnded = 111, Error;
    /// Bodies or connections of clients were evicted or refused, since there is no room for them.
    MemoryShort = 112, Warning;
    /// Other keys are in use between instances.
    KeysReloaded = 105, Info;
    /// New keys could not be used; the old ones stay in use.
    KeysRefused = 106, Error;
    /// The instance became the control leader and took a fencing number.
    ControlTaken = 230, Info;
    /// The instance is no longer the control leader.
    ControlLost = 231, Warning;
    /// The control leader declared an instance dead.
    InstanceDead = 232, Warning;
    /// An instance is leaving.
    InstanceLeaving = 233, Info;
    /// Partitions were given to new homes.
    PartitionsMoved = 234, Info;
    /// The instance registered with the control group.
    InstanceRegistered = 235, Info;
    /// The instance replaced its configuration by a full copy.
    FullStateFetched = 236, Info;
    /// The instance cannot confirm its configuration.
    ConfirmationLost = 238, Warning;
    /// The instance confirmed its configuration again.
    ConfirmationRegained = 239, Info;
    /// The file of the applied revision could not be written.
    RevisionFileFailed = 240, Error;
    /// A dead instance without partitions was removed.
    InstanceForgotten = 241, Info;
    /// Another instance is silent or leaving; it is left out of address answers.
    MemberAvoided = 220, Warning;
    /// An instance that was left out is used again or forgotten.
    MemberUsedAgain = 221, Info;
    /// A message about members could not be read.
    MembershipMessageRefused = 222, Warning;
    /// A core instance does not answer polls.
    CoreLost = 223, Warning;
    /// A core instance answers polls again.
    CoreRegained = 224, Info;
    /// The journal group did not answer a command.
    JournalLost = 225, Warning;
    /// A core instance does not hear another instance any more.
    InstanceSilent = 226, Warning;
    /// An entry instance has not received the configuration a second after it was published.
    InstanceBehind = 227, Warning;
    /// An entry instance that was behind has the published configuration.
    InstanceCaughtUp = 228, Info;
    /// The instance became the leader of a log group.
    LogLeaderElected = 200, Info;
    /// The instance stopped leading a log group.
    LogLeaderLost = 201, Warning;
    /// The disk refused a write; the instance takes no part in the log until it takes writes again.
    LogStorageFailed = 202, Error;
    /// A damaged log was set aside; the instance learns it anew and does not vote until readmitted.
    LogSetAside = 203, Error;
    /// An unfinished write at the end of the log was cut off.
    LogTailCut = 204, Warning;
    /// A snapshot of a log group was taken.
    LogSnapshotTaken = 205, Debug;
    /// A snapshot of a log group came from its leader.
    LogSnapshotInstalled = 206, Info;
    /// The voters of a log group changed.
    LogVotersChanged = 207, Info;
    /// The leader of a log group started a change of its voters.
    VoterChangeStarted = 209, Info;
    /// A message of the log could not be used.
    LogMessageRefused = 208, Warning;
    /// A member of a log group has known no leader for a while.
    LogLeaderMissing = 210, Warning;
    /// A member of a log group knows a leader again.
    LogLeaderFound = 211, Info;
    /// A member of the log ended other than by a stop.
    LogStopped = 212, Error;
    /// The disk takes writes again; the instance takes part in the log again.
    LogStorageRegained = 213, Info;
    /// A program was created.
    ProgramCreated = 300, Debug;
    /// A call was accepted.
    CallAccepted = 301, Debug;
    /// A call was sent to an endpoint.
    CallSent = 302, Debug;
    /// A call ended.
    CallEnded = 303, Debug;
    /// A program ended.
    ProgramEnded = 304, Debug;
    /// An endpoint reported more use than was reserved for the call.
    ReservationExceeded = 305, Warning;
    /// The outcome of a call that must not be repeated was lost.
    OutcomeLost = 306, Warning;
    /// An answer came too late to be recorded and was dropped.
    AnswerDropped = 307, Warning;
    /// A partition with programs was taken over.
    PartitionTaken = 308, Info;
    /// A partition was dropped.
    PartitionDropped = 309, Info;
    /// An ended program was forgotten after its retention.
    ProgramForgotten = 310, Debug;
    /// Trees of programs were left to the journal alone, as memory is bounded.
    TreesParked = 311, Debug;
    /// An endpoint announced itself.
    EndpointAnnounced = 400, Info;
    /// An endpoint is leaving.
    EndpointLeaving = 401, Info;
    /// An endpoint stopped renewing its announcement.
    EndpointSilent = 402, Warning;
    /// An endpoint's announcement cannot be used.
    EndpointRefused = 406, Warning;
    /// An entry instance sends no more requests to an endpoint.
    EndpointUnused = 407, Info;
    /// An endpoint named another limit of requests a second, or none any more.
    EndpointLimited = 408, Info;
    /// A core instance did not answer a request for a permit.
    PermitsLost = 409, Warning;
    /// An endpoint does not answer this instance, and answers another one.
    PathLost = 410, Warning;
    /// An endpoint answers this instance again.
    PathRegained = 411, Info;
    /// No endpoint answers this instance.
    LinksLost = 412, Warning;
    /// Endpoints answer this instance again.
    LinksRegained = 413, Info;
    /// A connection that another instance asked for was not relayed.
    RelayDeclined = 414, Info;
    /// A record that states a service without a configuration claims the name or the address of an
    /// endpoint; it is ignored.
    ForeignClaim = 415, Warning;
    /// The instance grants permits of client accounts from now on.
    LimitKeeperStarted = 420, Info;
    /// A client account has reached its limit.
    AccountLimited = 421, Info;
    /// No instance decides on permits of client accounts.
    LimitKeeperLost = 422, Warning;
    /// An attempt of a call failed at its endpoint.
    AttemptFailed = 403, Warning;
    /// An engine confirmed an order.
    OrderConfirmed = 404, Debug;
    /// An order to an engine was not confirmed; it is repeated while it is due.
    OrderFailed = 405, Warning;
    /// A forwarded request got its answer.
    RequestEnded = 500, Info;
    /// A request was refused by this instance.
    RequestRefused = 501, Warning;
    /// A request was sent to an endpoint without getting an answer that can be passed on.
    SendFailed = 502, Warning;
    /// A stream was broken off towards its caller.
    StreamBrokenOff = 503, Warning;
    /// No route takes a request.
    RequestUnrouted = 504, Info;
    /// An endpoint refuses connections after it lost the response to a request.
    EndpointCrashed = 505, Warning;
    /// A request has crashed so many endpoints that it is not sent any more.
    RequestBlocked = 506, Warning;
    /// No core instance received reports of crashes; they are sent again.
    CrashReportLost = 507, Warning;
    /// The caller of a request left before its answer began.
    RequestAbandoned = 508, Info;
    /// A configuration was taken into use.
    ConfigApplied = 510, Info;
    /// A configuration cannot be used; the one before stays in force.
    ConfigRefused = 511, Error;
    /// An operator's change was decided.
    ChangeDecided = 512, Info;
    /// An operator's read was answered.
    ReadDecided = 513, Info;
    /// The configuration last in force could not be read from or written to the disk.
    LastConfigFailed = 514, Error;
    /// A configuration arrived from a core instance.
    ConfigReceived = 515, Info;
    /// Too few of the instances that may hold a kept turn answered.
    TurnLookUpFailed = 520, Warning;
    /// A turn is on fewer disks than it has to be; its answer was broken off.
    TurnWriteFailed = 521, Warning;
    /// The disk refused a write of kept turns, or failed while they were read.
    TurnStoreFailed = 530, Error;
    /// The disk takes writes of kept turns again.
    TurnStoreRegained = 531, Info;
    /// Records of kept turns were not as they were written.
    TurnsDamaged = 532, Error;
    /// Kept turns were copied to other instances.
    TurnsCopied = 533, Info;
}
