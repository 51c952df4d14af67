//! Limits that endpoints name: the requests a second that an endpoint takes from all instances
//! together.
//!
//! An endpoint names its limit in its answers. Before an entry instance sends a request to a limited
//! endpoint, it asks one core instance for a permit. All instances choose the same core instance for
//! a service, which grants permits at the rate of each limit, see [`limiter`], and publishes the
//! limits with the roster. Without an answer of that core instance, an entry instance uses its equal
//! share of the limit, see [`own_share`].
//!
//! A limit belongs to one incarnation of an endpoint and holds until an answer does not name it.

use derive_more::Display;
use derive_more::Error;

use crate::clock::Timestamp;
use crate::ids::EndpointName;

pub mod client;
#[allow(missing_docs, clippy::all)]
pub(crate) mod generated;
pub mod known_limits;
pub mod limiter;
pub mod own_share;
pub mod server;
mod wire;

/// The lowest rate at which permits are granted, in requests a second. An endpoint that gets no
/// request has no answer in which it could name a higher limit.
const PERMITS_PER_SECOND_MIN: f64 = 0.25;

/// The requests a second that an endpoint takes from all instances together; not negative and
/// finite.
#[derive(Debug, Clone, Copy, PartialEq, PartialOrd)]
#[derive(Display)]
#[display("{_0}/s")]
pub struct RateLimit(f64);

/// A rate limit that is negative or not finite.
#[derive(Debug, Clone, Copy, PartialEq)]
#[derive(Display, Error)]
#[display("a limit of {value} requests a second is negative or not finite")]
pub struct RateLimitError {
    /// The invalid value, in requests a second.
    #[error(not(source))]
    pub value: f64,
}

impl RateLimit {
    /// Returns the limit in requests a second.
    pub fn per_second(self) -> f64 {
        self.0
    }

    /// Returns the rate at which requests may be sent, in requests a second.
    pub fn permits_per_second(self) -> f64 {
        self.0.max(PERMITS_PER_SECOND_MIN)
    }
}

impl TryFrom<f64> for RateLimit {
    type Error = RateLimitError;

    fn try_from(value: f64) -> Result<Self, RateLimitError> {
        match value.is_finite() && value >= 0.0 {
            true => Ok(Self(value)),
            false => Err(RateLimitError { value }),
        }
    }
}

/// The limit that one incarnation of an endpoint named.
#[derive(Debug, Clone, PartialEq)]
pub struct StatedLimit {
    /// The endpoint that named it.
    pub endpoint: EndpointName,
    /// The start time of the incarnation, in milliseconds since the Unix epoch.
    pub started_ms: u64,
    /// The limit.
    pub limit: RateLimit,
    /// When an answer that names it last arrived.
    pub stated_at: Timestamp,
}

impl StatedLimit {
    /// Returns whether this statement replaces `old` of the same endpoint: a later incarnation, or a
    /// later answer.
    pub fn supersedes(&self, old: &StatedLimit) -> bool {
        (self.started_ms, self.stated_at) > (old.started_ms, old.stated_at)
    }
}

/// A field of a received message on limits is invalid.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Display, Error)]
#[display("invalid {field} in a message on limits of endpoints")]
pub struct LimitMessageError {
    /// The description of the invalid field.
    #[error(not(source))]
    pub field: &'static str,
}

#[cfg(test)]
mod tests;
