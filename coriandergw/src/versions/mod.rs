//! The versioned configuration that the control group stores.
//!
//! The operator chooses the version, and the configuration is always replaced as a whole. The
//! highest version wins: a later configuration with the same or a lower version changes nothing.
//! The group also stores the first voters of the journal group, which are set once, the nodes whose
//! journal instances are being retired, and the departures of endpoints.
//!
//! This is the control group of core instances. The control group of cluster instances, which
//! applies other commands, is in [`crate::control`].

use std::sync::Arc;

use bytes::Bytes;
use derive_more::Display;
use derive_more::Error;
use prost::Message as _;

use crate::ids::CONTROL_GROUP;
use crate::ids::InstanceName;
use crate::log_groups::ProposeError;
use crate::log_groups::ReplicatedLog;
use crate::roster::departure::Departure;
use crate::roster::state::ConfigState;
use crate::versions::generated as raw;

#[allow(missing_docs, clippy::all)]
pub(crate) mod generated;
pub mod machine;

/// An error of a command to the control group.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Display, Error)]
pub enum VersionsError {
    /// The command failed or its result is unknown.
    #[display("{cause}")]
    Log {
        /// The error of the log.
        cause: ProposeError,
    },
    /// The answer could not be decoded.
    #[display("the control group's answer could not be decoded")]
    Unreadable,
}

/// A client that changes and reads the configuration through the control group.
#[derive(Clone)]
pub struct Versions {
    log: Arc<dyn ReplicatedLog>,
}

impl Versions {
    /// Creates a client that proposes its commands to `log`.
    pub fn new(log: Arc<dyn ReplicatedLog>) -> Self {
        Self { log }
    }

    /// Commits a configuration and returns the resulting state, which is unchanged if the stored
    /// version was the same or higher.
    ///
    /// # Errors
    /// Fails if the group did not answer or the answer is malformed. The configuration may have
    /// been committed nevertheless.
    pub async fn put(&self, version: u64, document: Bytes) -> Result<ConfigState, VersionsError> {
        self.propose(raw::command::Kind::Put(raw::Put { version, document })).await
    }

    /// Reads the current state. The read is a log entry itself, so the result is never stale.
    ///
    /// # Errors
    /// Fails if the group did not answer or the answer is malformed.
    pub async fn read(&self) -> Result<ConfigState, VersionsError> {
        self.propose(raw::command::Kind::Read(raw::Read {})).await
    }

    /// Sets the first voters of the journal group, unless they are already set. Returns the state
    /// with the voters that are set.
    ///
    /// # Errors
    /// Fails if the group did not answer or the answer is malformed.
    pub async fn store_first_voters(
        &self,
        voters: &[InstanceName],
    ) -> Result<ConfigState, VersionsError> {
        let voters = voters.iter().map(ToString::to_string).collect();
        self.propose(raw::command::Kind::Found(raw::Found { voters })).await
    }

    /// Marks a node as retiring, so that its journal instance is replaced as a voter.
    ///
    /// # Errors
    /// Fails if the group did not answer or the answer is malformed.
    pub async fn retire(&self, node: &str) -> Result<ConfigState, VersionsError> {
        self.propose(raw::command::Kind::Retire(raw::Retire { node: node.to_owned() })).await
    }

    /// Commits the departure of an endpoint.
    ///
    /// # Errors
    /// Fails if the group did not answer. The departure may have been committed nevertheless.
    pub async fn depart(&self, departure: &Departure) -> Result<(), VersionsError> {
        let departure = machine::encode_departure(departure);
        self.propose_command(raw::Command { kind: None, departure }).await.map(|_| ())
    }

    async fn propose(&self, kind: raw::command::Kind) -> Result<ConfigState, VersionsError> {
        let command = raw::Command { kind: Some(kind), ..raw::Command::default() };
        machine::decode_state(self.propose_command(command).await?).ok_or(VersionsError::Unreadable)
    }

    async fn propose_command(&self, command: raw::Command) -> Result<Bytes, VersionsError> {
        let proposed = self.log.propose(CONTROL_GROUP, command.encode_to_vec().into()).await;
        proposed.map_err(|cause| VersionsError::Log { cause })
    }
}

#[cfg(test)]
mod tests;
