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
    /// An endpoint announced itself.
    EndpointAnnounced = 400, Info;
    /// An endpoint is leaving.
    EndpointLeaving = 401, Info;
    /// An endpoint stopped renewing its announcement.
    EndpointSilent = 402, Warning;
    /// An attempt of a call failed at its endpoint.
    AttemptFailed = 403, Warning;
    /// An engine confirmed an order.
    OrderConfirmed = 404, Debug;
    /// An order to an engine was not confirmed; it is repeated while it is due.
    OrderFailed = 405, Warning;
}
