//! The replicated state machine of the control group of core instances.

use bytes::Bytes;
use prost::Message as _;
use tokio::sync::mpsc;
use tokio::sync::watch;

use crate::ids::InstanceName;
use crate::log_groups::RestoreError;
use crate::log_groups::StateMachine;
use crate::roster::departure::Departure;
use crate::roster::departure::Departures;
use crate::roster::generated as roster;
use crate::roster::state::ConfigState;
use crate::versions::generated as raw;

/// Stores the configuration with the highest version, the first journal voters, the retiring nodes
/// and the departures of endpoints.
pub struct VersionsMachine {
    state: ConfigState,
    departures: Departures,
    published: watch::Sender<ConfigState>,
    published_departures: mpsc::UnboundedSender<Departure>,
}

impl VersionsMachine {
    /// Creates a state machine with an empty state. Each changed state is sent to `published`, and
    /// each new departure to `published_departures`.
    pub fn new(
        published: watch::Sender<ConfigState>,
        published_departures: mpsc::UnboundedSender<Departure>,
    ) -> Self {
        let (state, departures) = (ConfigState::default(), Departures::default());
        Self { state, departures, published, published_departures }
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

    fn note_departure(&mut self, departure: Departure) {
        if self.departures.note(departure.clone()) {
            // Without a receiver the process is stopping.
            let _ = self.published_departures.send(departure);
        }
    }

    fn apply_command(&mut self, command: raw::Command) {
        // A malformed departure changes nothing. This is the same on every voter.
        if let Some(departure) = decode_departure(command.departure) {
            self.note_departure(departure);
        }
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

/// Encodes a departure for a command or a snapshot.
pub fn encode_departure(departure: &Departure) -> Bytes {
    roster::Departure::from(departure).encode_to_vec().into()
}

fn decode_departure(bytes: Bytes) -> Option<Departure> {
    Departure::try_from(roster::Departure::decode(bytes).ok()?).ok()
}

/// Encodes the state for answers.
pub fn encode_state(state: &ConfigState) -> Bytes {
    raw_state(state).encode_to_vec().into()
}

fn raw_state(state: &ConfigState) -> raw::State {
    raw::State {
        version: state.config_version,
        document: state.config.clone(),
        first_journal_voters: state.first_journal_voters.iter().map(ToString::to_string).collect(),
        retiring: state.retiring.iter().map(ToString::to_string).collect(),
        departures: Vec::new(),
    }
}

/// Decodes the state from an answer; `None` if it is malformed.
pub fn decode_state(bytes: Bytes) -> Option<ConfigState> {
    Some(config_state(raw::State::decode(bytes).ok()?))
}

fn config_state(raw: raw::State) -> ConfigState {
    ConfigState {
        config_version: raw.version,
        config: raw.document,
        first_journal_voters: parse_names(raw.first_journal_voters),
        retiring: raw.retiring.into_iter().map(Into::into).collect(),
    }
}

impl StateMachine for VersionsMachine {
    fn apply(&mut self, _index: u64, command: &[u8]) -> Bytes {
        // A malformed command changes nothing. This is the same on every voter.
        let Ok(command) = raw::Command::decode(command) else {
            return encode_state(&self.state);
        };
        let is_departure = !command.departure.is_empty();
        self.apply_command(command);
        self.publish();
        match is_departure {
            // The configuration may be large, and nobody asked for it.
            true => Bytes::new(),
            false => encode_state(&self.state),
        }
    }

    fn snapshot(&self) -> Bytes {
        let departures = self.departures.iter().map(encode_departure).collect();
        raw::State { departures, ..raw_state(&self.state) }.encode_to_vec().into()
    }

    fn restore(&mut self, snapshot: &[u8]) -> Result<(), RestoreError> {
        let mut raw = raw::State::decode(snapshot).map_err(|cause| RestoreError {
            reason: format!("the snapshot of the configuration could not be decoded: {cause}"),
        })?;
        let departures = std::mem::take(&mut raw.departures);
        self.state = config_state(raw);
        self.publish();
        self.departures = Departures::default();
        for departure in departures.into_iter().filter_map(decode_departure) {
            self.note_departure(departure);
        }
        Ok(())
    }
}
