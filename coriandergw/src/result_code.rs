//! Numbered result codes and the error that carries them to callers and operators.

use std::time::Duration;

use derive_more::Display;
use derive_more::Error;

macro_rules! result_codes {
    ($($(#[$doc:meta])* $name:ident = $number:literal, $status:literal;)*) => {
        /// A numbered result; `docs/RESULT-CODES.md` lists each with its remedy.
        #[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
        pub enum ResultCode {
            $($(#[$doc])* $name,)*
        }

        impl ResultCode {
            /// All codes, in the order of their numbers.
            pub const ALL: &[ResultCode] = &[$(ResultCode::$name,)*];

            /// Returns the number of the code.
            pub fn number(self) -> u16 {
                match self { $(ResultCode::$name => $number,)* }
            }

            /// Returns the HTTP status that goes with the code.
            pub fn http_status(self) -> u16 {
                match self { $(ResultCode::$name => $status,)* }
            }

            /// Returns the name of the code as written in the source.
            pub fn name(self) -> &'static str {
                match self { $(ResultCode::$name => stringify!($name),)* }
            }
        }
    };
}

result_codes! {
    /// The request could not be parsed or a value is out of range.
    MalformedRequest = 1001, 400;
    /// The body is larger than allowed.
    BodyTooLarge = 1002, 413;
    /// No program has this identifier.
    UnknownProgram = 1003, 404;
    /// The secret does not open this program.
    WrongSecret = 1004, 403;
    /// The catalogue has no entry of this name.
    UnknownEntry = 1005, 404;
    /// The call id was used before with another body.
    CallIdReused = 1006, 409;
    /// A call depends on a call that the program does not know.
    UnknownPredecessor = 1007, 409;
    /// A call depends on itself, directly or through others.
    DependencyCycle = 1008, 409;
    /// A budget must allow at least one call and one token.
    ZeroBudget = 1009, 400;
    /// The program's budget does not cover this call.
    BudgetExhausted = 1010, 409;
    /// The program has ended.
    ProgramEnded = 1011, 410;
    /// The caller's account does not own this entry or program.
    WrongOwner = 1012, 403;
    /// The bearer key is missing or unknown.
    Unauthorised = 1013, 401;
    /// The program reached the turn limit of its entry.
    TurnLimit = 1014, 409;
    /// The program repeats the same call without progress.
    RepetitionLimit = 1015, 409;
    /// A predecessor of the call did not succeed.
    PredecessorFailed = 1016, 409;
    /// The path or method does not exist.
    NotFound = 1017, 404;
    /// The program reached its wall-time limit.
    WallTimeLimit = 1018, 409;
    /// No route takes the host and path of the request.
    NoRoute = 1019, 404;
    /// The token budget of the program does not hold one more turn.
    BudgetSpent = 1020, 402;
    /// The body of the request did not arrive in time.
    BodyTimeout = 1021, 408;
    /// The turn that the request continues from does not exist, or is another account's.
    UnknownTurn = 1022, 404;
    /// The instance has more work than it can finish in time.
    Overloaded = 2001, 503;
    /// The call waited in the queue for longer than its class allows.
    QueueTimeout = 2002, 503;
    /// The program has no reachable home instance at the moment.
    NoHome = 2003, 503;
    /// The instance cannot confirm that its configuration is current.
    StaleConfiguration = 2004, 503;
    /// The instance is shutting down.
    Draining = 2005, 503;
    /// No endpoint serves this target at the moment.
    NoEndpoint = 2006, 503;
    /// A rate or concurrency limit of the entry or owner is reached.
    LimitReached = 2007, 429;
    /// The replicated log has no reachable quorum.
    NoQuorum = 2008, 503;
    /// The connection failed before the whole body of the request arrived.
    BodyIncomplete = 2009, 408;
    /// Each endpoint of the service gets as many requests as the limit that it named.
    EndpointsLimited = 2010, 503;
    /// The request crashed the endpoints that ran it.
    CrashesEndpoints = 2011, 503;
    /// No record says which software version began the stream, and several serve.
    StreamUnknown = 2012, 503;
    /// No endpoint is left of the software version that began the stream.
    VersionGone = 2013, 503;
    /// The instance reaches no endpoint, directly or through another instance.
    NoPath = 2014, 503;
    /// The instance that counts the requests of the account does not answer.
    LimitUnknown = 2015, 503;
    /// The turn that the request continues from cannot be read, or this one could not be kept.
    TurnUnavailable = 2016, 503;
    /// The outcome of a call that must not be repeated is unknown.
    OutcomeUnknown = 3001, 502;
    /// The endpoint answered with an error.
    EndpointFailed = 3002, 502;
    /// The call was cancelled because its program ended.
    Cancelled = 3004, 410;
    /// The instance failed internally.
    Internal = 3005, 500;
    /// No endpoint's answer was whole in time; the request may have run.
    AnswerLate = 3006, 504;
    /// The change was made against another revision than the current one.
    RevisionConflict = 4001, 412;
    /// The entry is not valid.
    InvalidEntry = 4002, 400;
    /// The change needs an If-Match revision.
    RevisionRequired = 4003, 428;
    /// The change id was used before with another change.
    ChangeIdReused = 4004, 409;
    /// A command to the control state cannot be read.
    MalformedCommand = 4100, 400;
    /// The command comes from a former control leader.
    StaleFencing = 4101, 409;
    /// The partition table changed after the plan was made.
    StaleTable = 4102, 409;
    /// No instance of this name or index is registered.
    UnknownInstance = 4103, 404;
    /// The message comes from an earlier incarnation of the instance.
    StaleIncarnation = 4104, 409;
    /// The instance still lives or holds partitions.
    InstanceInUse = 4105, 409;
    /// A control message between instances cannot be read.
    MalformedControlMessage = 4106, 400;
    /// The instance that was asked is not the control leader.
    NotControlLeader = 4107, 503;
    /// A record in the middle of the log is corrupt.
    CorruptRecord = 5001, 500;
    /// The data folder belongs to another cluster or instance.
    ForeignDataFolder = 5002, 500;
    /// The disk is full or a sync failed.
    StorageFailed = 5003, 500;
    /// A certificate was not issued by this cluster's authority.
    ForeignCertificate = 5005, 500;
    /// The settings file is not valid.
    InvalidSettings = 5006, 500;
    /// An address could not be bound.
    BindFailed = 5007, 500;
}

impl std::fmt::Display for ResultCode {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        write!(f, "CG-{:04}", self.number())
    }
}

/// An answer that is not a success, as callers and operators get it.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Display, Error)]
#[display("{code} {message}")]
pub struct Refusal {
    /// The numbered result.
    pub code: ResultCode,
    /// True only where no byte of the request can have reached an endpoint.
    pub not_run: bool,
    /// What went wrong, for people.
    pub message: String,
    /// When a new attempt makes sense, if at all.
    pub retry_after: Option<Duration>,
}

impl Refusal {
    /// Builds a refusal of a request that has not run.
    pub fn not_run<M>(code: ResultCode, message: M) -> Self
    where
        M: Into<String>,
    {
        Self { code, not_run: true, message: message.into(), retry_after: None }
    }

    /// Builds the failure of a request that may have run.
    pub fn may_have_run<M>(code: ResultCode, message: M) -> Self
    where
        M: Into<String>,
    {
        Self { code, not_run: false, message: message.into(), retry_after: None }
    }

    /// Turns the refusal of a call into one that leaves open whether the call ran.
    ///
    /// The same call may have been sent before, and only its program's home could tell.
    pub fn may_be_resent(mut self) -> Self {
        self.not_run = false;
        self.message.push_str("; resend the call under the same call id");
        self
    }

    /// Adds the time after which a new attempt makes sense.
    pub fn retry_after(mut self, delay: Duration) -> Self {
        self.retry_after = Some(delay);
        self
    }
}
