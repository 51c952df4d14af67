//! Forwards callers' requests to endpoints unchanged and passes the responses back.
//!
//! Headers are read and written through a [`HeaderCodec`], so this module does not depend on header
//! names. A request is retried only if it certainly has not run or if its route allows it to run
//! more than once.

use std::sync::Arc;
use std::time::Duration;

use hyper::HeaderMap;

use crate::accounts::Credential;
use crate::endpoint_limits::RateLimit;
use crate::ids::EndpointName;

mod account_permit;
pub mod admission;
mod attempt;
mod body;
mod bounded_reader;
pub mod choice;
mod connecting;
mod crash_check;
mod drain;
mod event_data;
mod events;
mod evidence;
pub mod forwarder;
mod headers;
mod held_events;
mod kept;
mod leaving;
pub mod loads;
pub mod paths;
mod pool;
mod refusal;
mod relay;
mod report;
mod reserving;
mod sending;
pub mod server;
mod shedding;
mod turn_guard;
mod versions;
pub mod warm_up;
mod watching;

/// The headers that describe the program that a request belongs to.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ProgramHeaders {
    /// The program identifier chosen by the caller.
    pub program: Arc<str>,
    /// The maximum number of tokens that all turns of the program may generate together.
    pub budget: Option<u64>,
    /// The time remaining until the program's deadline.
    pub time_left: Option<Duration>,
}

/// The number of tokens that one model call needs.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct TokenDemand {
    /// The number of prompt tokens.
    pub prompt: u64,
    /// The maximum number of tokens to generate.
    pub output_max: u64,
}

/// The headers of a caller's request, decoded by a [`HeaderCodec`].
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct RequestHeaders {
    /// The caller's identifier of this attempt; each attempt by the caller has its own.
    pub attempt: Arc<str>,
    /// How long the caller waits for the response.
    pub deadline: Option<Duration>,
    /// The program that the request belongs to.
    pub program: Option<ProgramHeaders>,
    /// The token counts, if this is a model call.
    pub tokens: Option<TokenDemand>,
    /// The object that the request concerns; requests for the same object are best served by the
    /// same endpoint.
    pub affinity: Option<Arc<str>>,
    /// The identifier of the last event that the caller received, if it resumes a stream.
    pub last_event: Option<u64>,
    /// The attempt that brought the first event of the stream that the caller resumes.
    pub resumes: Option<Arc<str>>,
    /// The key of the client account.
    pub credential: Credential,
    /// The turn that this one continues from, on routes that keep turns.
    pub previous_turn: Option<Arc<str>>,
}

impl RequestHeaders {
    /// Returns whether the program of the request has a token budget.
    pub fn has_budget(&self) -> bool {
        self.program.as_ref().is_some_and(|program| program.budget.is_some())
    }
}

/// What an endpoint is told of the client account of a request.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub enum AccountHeader {
    /// The configuration lists no accounts: what the caller sent.
    #[default]
    AsSent,
    /// The request has no account.
    Anonymous,
    /// The name of the account.
    Named(Arc<str>),
}

/// The headers that the gateway adds to a forwarded request.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ForwardingHeaders {
    /// The endpoint that the request is meant for; any other endpoint refuses it.
    pub endpoint: EndpointName,
    /// How long the endpoint may work on the request.
    pub time_left: Duration,
    /// The last event already received, if the gateway resumes a stream.
    pub last_event: Option<u64>,
    /// The scheduling priority for an engine; 0 is the most urgent.
    pub urgency: Option<u8>,
    /// The client account; its key is never forwarded.
    pub account: AccountHeader,
}

/// The load that an endpoint reports in a response.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct ReportedLoad {
    /// The number of requests being processed.
    pub running: u32,
    /// The number of requests waiting at the endpoint.
    pub waiting: u32,
    /// The number of requests that the endpoint can process at once.
    pub slots: u32,
    /// How long work takes there now, in percent of the usual time; never 0. `None` if the endpoint
    /// does not state it.
    pub pace: Option<u32>,
}

/// The headers of an endpoint's response, decoded by a [`HeaderCodec`].
#[derive(Debug, Clone, Default, PartialEq)]
pub struct ResponseHeaders {
    /// The attempt that the response belongs to, if the endpoint states it.
    pub attempt: Option<Arc<str>>,
    /// Whether the endpoint signed the response; a successful response that is not signed is
    /// treated as lost.
    pub is_signed: bool,
    /// Whether the endpoint states that the request has not run.
    pub not_run: bool,
    /// The name of the endpoint that answered, if it states it.
    pub answered_by: Option<Arc<str>>,
    /// The endpoint's current load, if reported.
    pub load: Option<ReportedLoad>,
    /// Whether the endpoint states that it is shutting down.
    pub is_leaving: bool,
    /// The requests a second that the endpoint takes from all instances together, if it names them.
    pub limit: Option<RateLimit>,
}

/// A request header that is missing or cannot be parsed.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(derive_more::Display, derive_more::Error)]
#[display("{field} is missing or malformed")]
pub struct HeaderError {
    /// The name of the invalid field, as callers know it.
    #[error(not(source))]
    pub field: &'static str,
}

/// Decodes and encodes the headers of requests and responses.
pub trait HeaderCodec: Send + Sync {
    /// Decodes the headers of a caller's request.
    ///
    /// # Errors
    /// Fails if a header is missing or malformed.
    fn read_request(&self, headers: &HeaderMap) -> Result<RequestHeaders, HeaderError>;

    /// Sets the gateway's own headers, replacing any values that the caller sent for them.
    fn write_forwarded(&self, headers: &mut HeaderMap, head: &ForwardingHeaders);

    /// Decodes the headers of an endpoint's response.
    fn read_response(&self, headers: &HeaderMap) -> ResponseHeaders;
}

#[cfg(test)]
mod tests;
