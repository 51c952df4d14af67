//! What one instance knows of another.

use std::collections::BTreeSet;

use derive_more::Display;

use crate::clock::Timestamp;
use crate::ids::DataCentre;
use crate::ids::InstanceName;

/// The state of an instance as another one sees it.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
#[derive(Display)]
pub enum MemberState {
    /// It answers.
    #[display("alive")]
    Alive,
    /// It has not answered and has not refuted that yet.
    #[display("suspect")]
    Suspect,
    /// It answers and takes no new work.
    #[display("leaving")]
    Leaving,
    /// It has not refuted a suspicion in time.
    #[display("dead")]
    Dead,
}

/// What one instance knows of another.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Member {
    /// The data centre.
    pub data_centre: DataCentre,
    /// The state.
    pub state: MemberState,
    /// The highest incarnation number seen; only the instance itself raises it.
    pub incarnation: u64,
    /// When the state began.
    pub since: Timestamp,
    /// The instances that have found it silent under this incarnation number.
    pub(super) accusers: BTreeSet<InstanceName>,
}

impl Member {
    /// Returns whether the instance may get new work.
    pub fn accepts_work(&self) -> bool {
        self.state == MemberState::Alive
    }
}
