//! The whole configuration under one version that the operator names.
//!
//! All of it changes together or not at all. The highest version wins; what comes later under the
//! same or a lower version changes nothing. The group also fixes the first voters of the journal
//! group and which journal instances are to be emptied.

use std::sync::Arc;

use bytes::Bytes;
use derive_more::Display;
use derive_more::Error;
use prost::Message as _;

use crate::ids::CONTROL_GROUP;
use crate::ids::InstanceName;
use crate::log_groups::ProposeError;
use crate::log_groups::ReplicatedLog;
use crate::roster::state::ConfigState;
use crate::versions::generated as raw;

#[allow(missing_docs, clippy::all)]
mod generated;
pub mod machine;

/// Says why a command of the control group has no answer.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Display, Error)]
pub enum VersionsError {
    /// The log did not answer.
    #[display("{cause}")]
    Log {
        /// Why not.
        cause: ProposeError,
    },
    /// The answer cannot be read.
    #[display("the control group's answer cannot be read")]
    Unreadable,
}

/// Changes and reads the configuration through the control group.
#[derive(Clone)]
pub struct Versions {
    log: Arc<dyn ReplicatedLog>,
}

impl Versions {
    /// Creates a client of the control group.
    pub fn new(log: Arc<dyn ReplicatedLog>) -> Self {
        Self { log }
    }

    /// Commits a configuration and returns the state in force after it.
    ///
    /// # Errors
    /// Fails if the group did not answer; the configuration may be in force then.
    pub async fn put(&self, version: u64, document: Bytes) -> Result<ConfigState, VersionsError> {
        self.propose(raw::command::Kind::Put(raw::Put { version, document })).await
    }

    /// Reads the state in force; the read is an entry of the log, so no older state is returned.
    ///
    /// # Errors
    /// Fails if the group did not answer.
    pub async fn read(&self) -> Result<ConfigState, VersionsError> {
        self.propose(raw::command::Kind::Read(raw::Read {})).await
    }

    /// Fixes the first voters of the journal group unless they are fixed.
    ///
    /// # Errors
    /// Fails if the group did not answer.
    pub async fn store_first_voters(
        &self,
        voters: &[InstanceName],
    ) -> Result<ConfigState, VersionsError> {
        let voters = voters.iter().map(ToString::to_string).collect();
        self.propose(raw::command::Kind::Found(raw::Found { voters })).await
    }

    /// Marks a journal instance as one to be emptied.
    ///
    /// # Errors
    /// Fails if the group did not answer.
    pub async fn retire(&self, node: &str) -> Result<ConfigState, VersionsError> {
        self.propose(raw::command::Kind::Retire(raw::Retire { node: node.to_owned() })).await
    }

    async fn propose(&self, kind: raw::command::Kind) -> Result<ConfigState, VersionsError> {
        let command = raw::Command { kind: Some(kind) }.encode_to_vec();
        let proposed = self.log.propose(CONTROL_GROUP, command.into()).await;
        let answer = proposed.map_err(|cause| VersionsError::Log { cause })?;
        machine::decode_state(answer).ok_or(VersionsError::Unreadable)
    }
}

#[cfg(test)]
mod tests;
