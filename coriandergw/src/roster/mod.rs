//! The roster: which processes live, which endpoints there are, and the configuration in force.
//!
//! Every process polls every core instance that it knows. A poll says what the process is, and its
//! answer brings what changed. A core instance keeps a [`state::RosterState`]; each process merges what
//! the core instances say into a [`view::RosterView`].

use std::net::SocketAddr;
use std::sync::Arc;

use derive_more::Display;
use derive_more::Error;

use crate::ids::DataCentre;
use crate::ids::EndpointName;
use crate::ids::InstanceName;

#[allow(missing_docs, clippy::all)]
mod generated;
pub mod poller;
pub mod pulses;
pub mod server;
pub mod state;
pub mod view;
mod wire;

/// What a process does.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum Role {
    /// Takes callers' requests and forwards them.
    Entry,
    /// Holds the configuration and hears the endpoints.
    Core,
    /// Holds the budgets of programs.
    Journal,
}

/// What a process knows of the log group that it takes part in.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct GroupStatus {
    /// The term of the group.
    pub term: u64,
    /// Whether it leads; only a leader's report of the members counts.
    pub leads: bool,
    /// The voters.
    pub voters: Vec<InstanceName>,
    /// The learners.
    pub learners: Vec<InstanceName>,
}

/// One process of the system, as it describes itself.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Presence {
    /// Its name, which starts with its address.
    pub name: InstanceName,
    /// What it does.
    pub role: Role,
    /// Its data centre.
    pub data_centre: DataCentre,
    /// The operator's name of the machine.
    pub node: Arc<str>,
    /// Where callers connect, if it takes any.
    pub caller_address: Option<SocketAddr>,
    /// Whether it takes work.
    pub ready: bool,
    /// Whether it is shutting down.
    pub leaving: bool,
    /// When it started, in milliseconds since the Unix epoch.
    pub started_ms: u64,
    /// Its group.
    pub group: GroupStatus,
    /// Whether it had an empty disk when the whole system started for the first time.
    pub is_founder: bool,
    /// The core instances that it sends signs of life to; they notice soon when it falls silent.
    pub watchers: Vec<InstanceName>,
}

/// Whether an endpoint may get work.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum EndpointState {
    /// It takes work.
    Ready,
    /// It finishes what it has.
    Draining,
    /// It was not heard for long.
    Silent,
    /// It said that it is gone.
    Gone,
}

/// What an endpoint last said of itself.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct EndpointRecord {
    /// Its name; a new incarnation may use it again.
    pub id: EndpointName,
    /// The service that it belongs to.
    pub service: Arc<str>,
    /// Where it listens.
    pub address: SocketAddr,
    /// Its data centre.
    pub data_centre: Arc<str>,
    /// The requests that it works on at once.
    pub slots: u32,
    /// Whether it may get work.
    pub state: EndpointState,
    /// Its start, in milliseconds since the Unix epoch; tells its incarnations apart.
    pub started_ms: u64,
    /// Counts what this incarnation said.
    pub sequence: u64,
    /// How much longer it is slow after its start, in milliseconds.
    pub cold_ms: u64,
}

impl EndpointRecord {
    /// Returns whether this record is to replace `old`.
    ///
    /// A later incarnation replaces an earlier one. Within one, a departure is final, and a later
    /// record replaces an earlier one.
    pub fn supersedes(&self, old: &EndpointRecord) -> bool {
        if self.started_ms != old.started_ms {
            return self.started_ms > old.started_ms;
        }
        if old.state == EndpointState::Gone {
            return false;
        }
        self.state == EndpointState::Gone || (self.sequence, self.state) > (old.sequence, old.state)
    }
}

/// Says why a message of the roster cannot be used.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Display, Error)]
#[display("a message of the roster has an invalid {field}")]
pub struct RosterError {
    /// The field at fault.
    #[error(not(source))]
    pub field: &'static str,
}

#[cfg(test)]
mod tests;
