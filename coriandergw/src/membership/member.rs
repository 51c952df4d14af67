//! The record that an instance keeps of another one.

use std::collections::BTreeSet;

use derive_more::Display;

use crate::clock::Timestamp;
use crate::ids::DataCentre;
use crate::ids::InstanceName;

/// The state of an instance as another one sees it.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
#[derive(Display)]
pub enum MemberState {
    /// It answers probes, or has not been probed yet.
    #[display("alive")]
    Alive,
    /// It has not answered a probe of some instance and has not refuted the suspicion yet.
    #[display("suspect")]
    Suspect,
    /// It is shutting down: it answers probes but takes no new work.
    #[display("leaving")]
    Leaving,
    /// It has not refuted the suspicion of enough instances within the time limit.
    #[display("dead")]
    Dead,
}

/// The record that an instance keeps of another one.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Member {
    /// The data centre that the instance runs in.
    pub data_centre: DataCentre,
    /// The state as last learnt.
    pub state: MemberState,
    /// The highest incarnation number seen; only the instance itself raises it.
    pub incarnation: u64,
    /// When the member entered this state, or when the time limit of its suspicion was restarted.
    pub since: Timestamp,
    /// The instances that suspect the member under this incarnation number.
    pub(super) accusers: BTreeSet<InstanceName>,
}

impl Member {
    /// Returns whether the instance may get new work.
    pub fn accepts_work(&self) -> bool {
        self.state == MemberState::Alive
    }
}
