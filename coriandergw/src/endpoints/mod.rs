//! Announcements of endpoints, their replication between instances, and calls to endpoints.

use std::net::SocketAddr;

use serde::Deserialize;
use serde::Serialize;

use crate::dispatch::CallKind;
use crate::ids::DataCentre;
use crate::ids::EndpointName;
use crate::ids::TargetName;

pub mod client;
pub mod directory;
#[allow(missing_docs, clippy::all)]
mod generated;
pub mod gossip;
pub mod outcomes;
pub mod wire;

/// The body of `POST /v1/endpoints`, which an endpoint sends at its start and on each renewal.
#[derive(Debug, Clone, PartialEq)]
#[derive(Serialize, Deserialize)]
pub struct Announcement {
    /// The endpoint's name, unique among all endpoints.
    pub name: EndpointName,
    /// The kind of calls that it serves.
    pub kind: CallKind,
    /// The address at which it listens for calls.
    pub address: SocketAddr,
    /// The models, tools or services that it serves.
    pub targets: Vec<TargetName>,
    /// Its data centre.
    pub data_centre: DataCentre,
    /// The number of calls that it can run at once; 8 by default.
    #[serde(default = "default_capacity")]
    pub capacity: u32,
    /// Whether it is draining and takes no new calls.
    #[serde(default)]
    pub leaving: bool,
    /// Its load; all 0 if it reports none.
    #[serde(default)]
    pub load: LoadReport,
    /// Whether it rejects requests with an outdated fencing number.
    #[serde(default)]
    pub checks_fencing: bool,
    /// Whether it can be queried for the outcome of a call by call id.
    #[serde(default)]
    pub outcome_lookup: bool,
}

fn default_capacity() -> u32 {
    8
}

/// The load that an endpoint reports, measured `age_ms` before the report was sent.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
#[derive(Serialize, Deserialize)]
#[serde(default)]
pub struct LoadReport {
    /// Calls that are running.
    pub running: u32,
    /// Calls queued at the endpoint.
    pub waiting: u32,
    /// The age of the report in milliseconds.
    pub age_ms: u64,
    /// Tokens in the prefix cache.
    pub cached_tokens: u64,
}
