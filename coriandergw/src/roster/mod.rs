//! Service discovery: the live processes, the registered endpoints and the active configuration.
//!
//! Every process long-polls every core instance that it knows. A poll describes the polling
//! process, and the response carries the changes since its last poll. A core instance keeps a
//! [`state::RosterState`]; each process merges the responses of all core instances into a
//! [`view::RosterView`].
//!
//! Entry instances outnumber all others. Their presences go only to the processes that answer
//! address look-ups, so that the cost of an entry instance does not grow with their number.
//! Repeated announcements of an endpoint change nothing and are not sent.
//!
//! A directory instance has no disk and no vote. It is polled only by processes that have it as a
//! seed, and its responses name the core instances that it reaches.

use std::net::SocketAddr;
use std::sync::Arc;

use derive_more::Display;
use derive_more::Error;

use crate::ids::DataCentre;
use crate::ids::EndpointName;
use crate::ids::InstanceName;

pub mod config_lag;
pub mod departure;
#[allow(missing_docs, clippy::all)]
pub(crate) mod generated;
pub mod poller;
pub mod pulses;
pub mod server;
pub mod state;
pub mod view;
mod wire;

/// The role of a process in the system.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum Role {
    /// Accepts requests from callers and forwards them to endpoints.
    Entry,
    /// Holds the configuration and receives the announcements of endpoints.
    Core,
    /// Stores the budgets of programs.
    Journal,
    /// Answers address look-ups and names the core instances to others, without a disk.
    Directory,
}

/// The state of the log group that a process is a member of, as that process sees it.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct GroupStatus {
    /// The current term of the group.
    pub term: u64,
    /// Whether the process is the leader; only a leader's report of the members is used.
    pub leads: bool,
    /// The voting members.
    pub voters: Vec<InstanceName>,
    /// The members that replicate the log without voting.
    pub learners: Vec<InstanceName>,
}

/// One process of the system, as it describes itself.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Presence {
    /// The instance name, which starts with the address of the process.
    pub name: InstanceName,
    /// The role that the process was started in.
    pub role: Role,
    /// The data centre that the process runs in.
    pub data_centre: DataCentre,
    /// The name that the operator gave to the machine.
    pub node: Arc<str>,
    /// The address that callers connect to; `None` if the process serves no callers.
    pub caller_address: Option<SocketAddr>,
    /// Whether the process accepts work.
    pub ready: bool,
    /// Whether the process is shutting down.
    pub leaving: bool,
    /// The start time of the process, in milliseconds since the Unix epoch.
    pub started_ms: u64,
    /// The state of the log group that the process is a member of.
    pub group: GroupStatus,
    /// Whether the process had an empty disk when the whole system was first started.
    pub is_founder: bool,
    /// The core instances that receive its heartbeats, and so detect its failure quickly.
    pub watchers: Vec<InstanceName>,
    /// The address at which the process relays connections to endpoints for other instances; `None`
    /// if it does not.
    pub relay_address: Option<SocketAddr>,
    /// Whether the process has lost its links to the endpoints, so that it can relay nothing.
    pub lost_endpoints: bool,
    /// Whether the disk of the process is needed: it holds kept turns, and, if it is to be emptied, not
    /// all of them are known to be on enough other instances.
    pub holds_turns: bool,
}

/// An instance that relays connections to endpoints for others.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Relay {
    /// The instance name.
    pub name: InstanceName,
    /// The address at which it relays.
    pub address: SocketAddr,
    /// The data centre that it runs in.
    pub data_centre: DataCentre,
}

/// The availability of an endpoint.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum EndpointState {
    /// Accepts requests.
    Ready,
    /// Finishes its current requests and accepts no new ones.
    Draining,
    /// Has sent no announcement within the silence limit.
    Silent,
    /// Has announced its departure.
    Gone,
}

/// Identifies what is known of an endpoint. Records of one name that state different services are kept
/// apart, since at most one of them is meant by the configuration.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct EndpointKey {
    /// The endpoint name.
    pub id: EndpointName,
    /// The service that the record states.
    pub service: Arc<str>,
}

/// The longest text of an announcement that is accepted, in bytes.
pub const RECORD_TEXT_MAX_BYTES: usize = 256;

/// The last known announcement of an endpoint.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct EndpointRecord {
    /// The endpoint name, which a later incarnation may reuse.
    pub id: EndpointName,
    /// The service that the endpoint belongs to.
    pub service: Arc<str>,
    /// The address that the endpoint listens on.
    pub address: SocketAddr,
    /// The data centre that the endpoint runs in.
    pub data_centre: Arc<str>,
    /// The number of requests that the endpoint can process concurrently.
    pub slots: u32,
    /// Whether requests may be sent to the endpoint.
    pub state: EndpointState,
    /// The start time, in milliseconds since the Unix epoch; identifies the incarnation.
    pub started_ms: u64,
    /// The sequence number of the announcement within this incarnation.
    pub sequence: u64,
    /// The remaining warm-up time after the start, in milliseconds.
    pub cold_ms: u64,
    /// The version of the endpoint's software, which is equal to another one or not; empty if the
    /// endpoint does not state it. What two versions write into a stream does not fit together.
    pub version: Arc<str>,
}

impl EndpointRecord {
    /// Returns the key under which the record is kept.
    pub fn key(&self) -> EndpointKey {
        EndpointKey { id: self.id.clone(), service: self.service.clone() }
    }

    /// Returns whether the record may be published: its texts are short enough for the messages between
    /// instances, and its address can be connected to.
    pub fn is_sound(&self) -> bool {
        let texts = [&self.service, &self.data_centre, &self.version];
        texts.iter().all(|text| text.len() <= RECORD_TEXT_MAX_BYTES) && self.address.port() != 0
    }

    /// Returns whether this record replaces `old`.
    ///
    /// A later incarnation replaces an earlier one. Within an incarnation, a departure replaces any
    /// other record and is final; otherwise the higher sequence number wins, then the later state.
    pub fn supersedes(&self, old: &EndpointRecord) -> bool {
        if self.started_ms != old.started_ms {
            return self.started_ms > old.started_ms;
        }
        if old.state == EndpointState::Gone {
            return false;
        }
        self.state == EndpointState::Gone || (self.sequence, self.state) > (old.sequence, old.state)
    }

    /// Returns whether two records of an endpoint differ at most in the sequence number and in the
    /// remaining warm-up time; `false` if the warm-up began or ended.
    pub fn is_equivalent(&self, other: &EndpointRecord) -> bool {
        let cold_changed = (self.cold_ms == 0) != (other.cold_ms == 0);
        let (sequence, cold_ms) = (self.sequence, self.cold_ms);
        let comparable = EndpointRecord { sequence, cold_ms, ..other.clone() };
        comparable == *self && !cold_changed
    }
}

/// A field of a received roster message is invalid.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Display, Error)]
#[display("invalid {field} in a roster message")]
pub struct RosterError {
    /// The description of the invalid field.
    #[error(not(source))]
    pub field: &'static str,
}

#[cfg(test)]
mod simulation;
#[cfg(test)]
mod simulation_tests;
#[cfg(test)]
mod tests;
