//! Forwards callers' requests to endpoints, unchanged, and their answers back.
//!
//! What a request carries besides method, path and body is read through a [`HeaderCodec`], so that this
//! module knows no header names. A request is sent again only where it certainly has not run or may
//! run more than once.

use std::sync::Arc;
use std::time::Duration;

use hyper::HeaderMap;
use hyper::StatusCode;

use crate::ids::EndpointName;

mod attempt;
pub mod choice;
mod events;
pub mod forwarder;
mod headers;
pub mod loads;
mod pool;
mod refusal;
mod relay;
mod report;
mod reserving;
mod sending;
pub mod server;
mod turn_guard;
pub mod warm_up;

/// The program that a request belongs to.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ProgramHeaders {
    /// The program, as its caller names it.
    pub program: Arc<str>,
    /// The tokens that all its turns together may generate.
    pub budget: Option<u64>,
    /// The time left until the program should be finished.
    pub time_left: Option<Duration>,
}

/// The tokens of one model call.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct TokenDemand {
    /// The tokens of the prompt.
    pub prompt: u64,
    /// The tokens that may be generated at most.
    pub output_max: u64,
}

/// What a request carries besides method, path and body.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct RequestHeaders {
    /// The caller's identifier of this attempt; each attempt has its own.
    pub attempt: Arc<str>,
    /// How long the caller will wait.
    pub deadline: Option<Duration>,
    /// The program that it belongs to.
    pub program: Option<ProgramHeaders>,
    /// The tokens of a model call.
    pub tokens: Option<TokenDemand>,
    /// The object that it concerns; requests on one object do well at one endpoint.
    pub affinity: Option<Arc<str>>,
    /// The last event that the caller has of a stream that it resumes.
    pub last_event: Option<u64>,
}

/// What the system adds to a request that it sends.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ForwardingHeaders {
    /// The endpoint that is to run it; any other one refuses.
    pub endpoint: EndpointName,
    /// How long the endpoint may work on it.
    pub time_left: Duration,
    /// The event after which a stream is to go on, where the system resumes it.
    pub last_event: Option<u64>,
    /// Its urgency towards an engine; 0 is first.
    pub urgency: Option<u8>,
}

/// How many requests an endpoint works on, as its answer tells.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct ReportedLoad {
    /// The requests being worked on.
    pub running: u32,
    /// The requests that wait.
    pub waiting: u32,
    /// The requests that it can work on at once.
    pub slots: u32,
}

/// What the head of an endpoint's answer says.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct ResponseHeaders {
    /// The attempt that the answer belongs to, as far as it says.
    pub attempt: Option<Arc<str>>,
    /// Whether the endpoint vouches that it made the answer.
    pub is_signed: bool,
    /// Whether the request has certainly not run.
    pub not_run: bool,
    /// Its load.
    pub load: Option<ReportedLoad>,
}

/// Says why the head of a request cannot be used.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(derive_more::Display, derive_more::Error)]
#[display("{field} is missing or malformed")]
pub struct HeaderError {
    /// The field at fault, in the words of callers.
    #[error(not(source))]
    pub field: &'static str,
}

/// Reads and writes what requests and answers carry in their heads.
pub trait HeaderCodec: Send + Sync {
    /// Reads the head of a caller's request.
    ///
    /// # Errors
    /// Fails on a value that cannot be used.
    fn read_request(&self, headers: &HeaderMap) -> Result<RequestHeaders, HeaderError>;

    /// Replaces what the caller set of the system's own headers by what the system sets.
    fn write_forwarded(&self, headers: &mut HeaderMap, head: &ForwardingHeaders);

    /// Reads the head of an endpoint's answer.
    fn read_response(&self, status: StatusCode, headers: &HeaderMap) -> ResponseHeaders;
}

#[cfg(test)]
mod tests;
