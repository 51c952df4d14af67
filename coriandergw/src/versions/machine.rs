//! The replicated state machine of the control group of core instances.

use bytes::Bytes;
use prost::Message as _;
use tokio::sync::watch;

use crate::ids::InstanceName;
use crate::log_groups::RestoreError;
use crate::log_groups::StateMachine;
use crate::roster::state::ConfigState;
use crate::versions::generated as raw;

/// Stores the configuration with the highest version, the first journal voters and the retiring
/// nodes.
pub struct VersionsMachine {
    state: ConfigState,
    published: watch::Sender<ConfigState>,
}

impl VersionsMachine {
    /// Creates a state machine with an empty state. Each changed state is sent to `published`.
    pub fn new(published: watch::Sender<ConfigState>) -> Self {
        Self { state: ConfigState::default(), published }
    }

    fn publish(&self) {
        self.published.send_if_modified(|known| {
            let changed = *known != self.state;
            if changed {
                known.clone_from(&self.state);
            }
            changed
        });
    }

    fn apply_command(&mut self, command: raw::Command) {
        match command.kind {
            Some(raw::command::Kind::Put(raw::Put { version, document })) => {
                if version > self.state.config_version {
                    self.state.config_version = version;
                    self.state.config = document;
                }
            }
            Some(raw::command::Kind::Found(raw::Found { voters })) => {
                if self.state.first_journal_voters.is_empty() {
                    self.state.first_journal_voters = parse_names(voters);
                }
            }
            Some(raw::command::Kind::Retire(raw::Retire { node })) => {
                if !self.state.retiring.iter().any(|known| **known == *node) {
                    self.state.retiring.push(node.into());
                }
            }
            Some(raw::command::Kind::Read(_)) | None => {}
        }
    }
}

/// Parses instance names. Names in the log were validated before they were proposed, so none is
/// skipped.
fn parse_names(raw: Vec<String>) -> Vec<InstanceName> {
    raw.into_iter().filter_map(|name| InstanceName::try_from(name).ok()).collect()
}

/// Encodes the state for snapshots and answers.
pub fn encode_state(state: &ConfigState) -> Bytes {
    let raw = raw::State {
        version: state.config_version,
        document: state.config.clone(),
        first_journal_voters: state.first_journal_voters.iter().map(ToString::to_string).collect(),
        retiring: state.retiring.iter().map(ToString::to_string).collect(),
    };
    raw.encode_to_vec().into()
}

/// Decodes the state from a snapshot or an answer; `None` if it is malformed.
pub fn decode_state(bytes: Bytes) -> Option<ConfigState> {
    let raw = raw::State::decode(bytes).ok()?;
    Some(ConfigState {
        config_version: raw.version,
        config: raw.document,
        first_journal_voters: parse_names(raw.first_journal_voters),
        retiring: raw.retiring.into_iter().map(Into::into).collect(),
    })
}

impl StateMachine for VersionsMachine {
    fn apply(&mut self, _index: u64, command: &[u8]) -> Bytes {
        // A malformed command changes nothing. This is the same on every voter.
        if let Ok(command) = raw::Command::decode(command) {
            self.apply_command(command);
            self.publish();
        }
        encode_state(&self.state)
    }

    fn snapshot(&self) -> Bytes {
        encode_state(&self.state)
    }

    fn restore(&mut self, snapshot: &[u8]) -> Result<(), RestoreError> {
        let state = decode_state(Bytes::copy_from_slice(snapshot));
        self.state = state.ok_or_else(|| RestoreError {
            reason: "the snapshot of the configuration could not be decoded".to_owned(),
        })?;
        self.publish();
        Ok(())
    }
}
