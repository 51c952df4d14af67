//! What endpoints announce about themselves.

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

/// What an endpoint tells of itself with `POST /v1/endpoints`, at first and on each renewal.
#[derive(Debug, Clone, PartialEq)]
#[derive(Serialize, Deserialize)]
pub struct Announcement {
    /// The endpoint's name, unique among all endpoints.
    pub name: EndpointName,
    /// What kind of calls it takes.
    pub kind: CallKind,
    /// Where it listens.
    pub address: SocketAddr,
    /// The models, tools or services that it serves.
    pub targets: Vec<TargetName>,
    /// Its data centre.
    pub data_centre: DataCentre,
    /// The calls that it can work on at once.
    #[serde(default = "default_capacity")]
    pub capacity: u32,
    /// Whether it takes no new work.
    #[serde(default)]
    pub leaving: bool,
    /// Its load, as far as it reports one.
    #[serde(default)]
    pub load: LoadReport,
    /// Whether it refuses orders with an old fencing number.
    #[serde(default)]
    pub checks_fencing: bool,
    /// Whether the outcome of a call can be asked for by call id.
    #[serde(default)]
    pub outcome_lookup: bool,
}

fn default_capacity() -> u32 {
    8
}

/// The load that an endpoint reports, already old when it arrives.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
#[derive(Serialize, Deserialize)]
#[serde(default)]
pub struct LoadReport {
    /// Calls being worked on.
    pub running: u32,
    /// Calls waiting at the endpoint.
    pub waiting: u32,
    /// The age of the report in milliseconds.
    pub age_ms: u64,
    /// Tokens of prefixes in the cache.
    pub cached_tokens: u64,
}
