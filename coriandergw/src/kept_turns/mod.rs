//! Kept turns: what a program and its engine said, so that a later turn need not carry it.
//!
//! A turn is written once, to the disks of several journal instances, when its answer ends. Turns
//! that continue from one another form a chain, whose replicas are on the same instances; see
//! [`placement`]. `docs/design/kept-turns.md` gives the design.

use std::sync::Arc;
use std::time::Duration;

use async_trait::async_trait;
use bytes::Bytes;
use derive_more::Display;
use derive_more::Error;
use tokio::time::Instant;

pub mod certainty;
pub mod client;
#[allow(missing_docs, clippy::all)]
pub(crate) mod generated;
pub mod holders;
pub mod placement;
pub mod store;
pub mod wire;

/// Identifies a turn. The same identifier in another account is another turn.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct TurnKey {
    /// The name of the client account; empty where the configuration lists no accounts.
    pub account: Arc<str>,
    /// The identifier of the attempt that brought the turn's answer.
    pub turn: Arc<str>,
}

/// A turn as it is kept.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct TurnRecord {
    /// The identity of the turn.
    pub key: TurnKey,
    /// The turn that it continues from, of the same account; `None` for the first one of a chain.
    pub previous: Option<Arc<str>>,
    /// The first turn of the chain; the turn itself if it is the first one.
    pub root: Arc<str>,
    /// The new input, as the caller sent it.
    pub input: Bytes,
    /// The data of each event of the answer, each followed by a line feed. In a partial record the
    /// events as they were passed on, with their identifiers.
    pub output: Bytes,
    /// When the turn may be forgotten, in milliseconds since the Unix epoch.
    pub expires_ms: u64,
    /// Whether the stream broke off, so that only a resumption may use the output.
    pub is_partial: bool,
}

/// The turns of a chain, from the first one on.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Chain {
    /// The records, the oldest first; never empty in an answer.
    pub records: Vec<TurnRecord>,
}

/// Why a chain was not found.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Display, Error)]
pub enum FindError {
    /// The account has no such turn.
    #[display("there is no such turn")]
    Unknown,
    /// Too few of the instances that may hold the turn answered.
    #[display("the turn cannot be looked up: {reason}")]
    Uncertain {
        /// Which answers are missing.
        reason: String,
    },
}

/// A turn that is not on as many disks as it has to be.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Display, Error)]
#[display("the turn was written to {written} of {wanted} disks: {reason}")]
pub struct KeepError {
    /// The disks that have the turn.
    pub written: usize,
    /// The disks that have to have it.
    pub wanted: usize,
    /// Why the others have not.
    pub reason: String,
}

/// Reads and writes kept turns.
#[async_trait]
pub trait KeptTurns: Send + Sync {
    /// Returns the chain that ends with a turn. `retention` is how long turns of the route are kept.
    /// The last record is partial only if no whole one was found.
    ///
    /// # Errors
    /// [`FindError::Unknown`] only if it is certain that no such turn is kept.
    async fn find(
        &self,
        key: &TurnKey,
        retention: Duration,
        deadline: Instant,
    ) -> Result<Chain, FindError>;

    /// Writes a turn; returns once it is on as many disks as may be lost at once, and one more.
    /// `chain` are the turns before it.
    ///
    /// # Errors
    /// Fails if too few instances have written it by the deadline.
    async fn keep(
        &self,
        record: TurnRecord,
        chain: &Chain,
        deadline: Instant,
    ) -> Result<(), KeepError>;

    /// Checks whether a turn that begins now can be expected to be written when it ends.
    ///
    /// # Errors
    /// Fails if too few instances take turns at the moment.
    fn check_writable(&self) -> Result<(), KeepError> {
        Ok(())
    }
}

#[cfg(test)]
mod tests;
