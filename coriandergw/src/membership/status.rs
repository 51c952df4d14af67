//! The status of the members, as reported to operators.

use serde::Serialize;

use crate::clock::Timestamp;
use crate::ids::DataCentre;
use crate::ids::InstanceName;
use crate::membership::Member;

/// Another instance as seen by the instance that reports it.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize)]
pub struct MemberStatus {
    /// The name of the reported instance.
    pub name: InstanceName,
    /// The data centre that it runs in.
    pub data_centre: DataCentre,
    /// Whether it is alive, suspect, leaving or dead.
    pub state: String,
    /// How long it has been in this state, in milliseconds.
    pub since_ms_ago: u64,
    /// The incarnation number in the membership protocol, unrelated to that of its registration.
    pub incarnation: u64,
    /// Whether it is left out of answers to address look-ups where other instances remain, and not
    /// chosen as the relay of lease renewals.
    pub avoided: bool,
}

impl MemberStatus {
    pub(super) fn new(name: &InstanceName, member: &Member, avoided: bool, now: Timestamp) -> Self {
        Self {
            name: name.clone(),
            data_centre: member.data_centre.clone(),
            state: member.state.to_string(),
            since_ms_ago: now.since(member.since).as_millis() as u64,
            incarnation: member.incarnation,
            avoided,
        }
    }
}
