//! The rate limits of client accounts, over all instances.
//!
//! The leader of the control group is the limit keeper. An entry instance asks it for a permit for
//! each request of an account with a limit, see [`client`]; the keeper grants permits from a token
//! bucket for each account, see [`limiter`]. An instance without an answer of the keeper uses its
//! own share of what the limit tolerates, see [`own_share`].

use std::sync::Arc;
use std::time::Duration;

use derive_more::Display;
use derive_more::Error;

use crate::accounts::AccountLimit;
use crate::clock::Timestamp;

pub mod client;
#[allow(missing_docs, clippy::all)]
pub(crate) mod generated;
pub mod limiter;
mod metrics;
pub mod own_share;
mod programs;
pub mod server;
mod wire;

/// By how much the requests of an account may exceed its limit in a time window.
///
/// In a window, at most (rate x window + burst) x (1 + `over`) + `slack` requests are sent to
/// endpoints. Half of the excess is the keeper's, half is left for the own shares of instances.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct LimitTolerance {
    /// The length of the window; positive.
    pub window: Duration,
    /// The tolerated excess as a fraction of the limit; not negative and finite.
    pub over: f64,
    /// The further tolerated excess, in requests; not negative and finite.
    pub slack: f64,
}

impl Default for LimitTolerance {
    fn default() -> Self {
        Self { window: Duration::from_secs(5), over: 0.1, slack: 20.0 }
    }
}

impl LimitTolerance {
    /// Returns half of the tolerated excess of a limit in a window, in requests.
    fn half_excess(&self, limit: AccountLimit) -> f64 {
        let per_window = limit.per_second * self.window.as_secs_f64() + limit.burst;
        (self.over * per_window + self.slack) / 2.0
    }
}

/// Asks for a permit for one request.
#[derive(Debug, Clone, PartialEq)]
pub struct Ask {
    /// The name of the account.
    pub account: Arc<str>,
    /// The configuration version that the limit is from.
    pub version: u64,
    /// The limit of the account in that version.
    pub limit: AccountLimit,
    /// The program that the request belongs to.
    pub program: Option<Arc<str>>,
    /// Whether the request names an earlier one of its program.
    pub continues: bool,
}

/// The decision on a request for a permit.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Verdict {
    /// The request may be sent to an endpoint.
    Granted,
    /// The account has reached its limit. The caller should come back after this time.
    Denied(Duration),
}

/// Whether an instance is the limit keeper.
pub trait Keepership: Send + Sync {
    /// Returns the term in which this instance is the only leader of the control group at `now`;
    /// `None` if another instance may have become the leader.
    fn term(&self, now: Timestamp) -> Option<u64>;
}

/// A field of a received message on permits of accounts is invalid.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Display, Error)]
#[display("invalid {field} in a message on permits of accounts")]
pub struct AccountMessageError {
    /// The description of the invalid field.
    #[error(not(source))]
    pub field: &'static str,
}

#[cfg(test)]
mod simulation;
#[cfg(test)]
mod tests;
