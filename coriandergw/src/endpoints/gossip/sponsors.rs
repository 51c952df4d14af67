//! The sponsors known to this instance, and the version of their endpoints that is stored here.

use std::collections::BTreeMap;
use std::time::Duration;

use crate::clock::Timestamp;
use crate::endpoints::directory::NEAR_SPONSOR_LEASE;
use crate::ids::DataCentre;
use crate::ids::InstanceName;

/// How long a sponsor that a summary does not list is kept after its last heartbeat, as the summary
/// may be older than the heartbeat.
const UNLISTED_SPONSOR_GRACE: Duration = Duration::from_millis(700);

/// The state that a sponsor reports in heartbeats and deltas.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct SponsorState {
    /// The sponsor.
    pub sponsor: InstanceName,
    /// Its data centre.
    pub data_centre: DataCentre,
    /// The wall-clock time in milliseconds at the start of its run, so that a later run has a
    /// higher number.
    pub incarnation: u64,
    /// The number of changes to its endpoints within the run.
    pub version: u64,
}

impl SponsorState {
    fn order(&self) -> (u64, u64) {
        (self.incarnation, self.version)
    }
}

#[derive(Debug, Clone)]
struct SponsorRecord {
    state: SponsorState,
    heard_at: Timestamp,
}

/// The known sponsors, with one record for each.
#[derive(Debug, Default)]
pub struct Sponsors {
    records: BTreeMap<InstanceName, SponsorRecord>,
}

impl Sponsors {
    /// Records a heartbeat. Returns whether the endpoints stored for the sponsor are out of date.
    ///
    /// Endpoints expire once the sponsor's `lease` has run out, so after a longer silence the
    /// stored version starts again from 0.
    pub fn record_heartbeat(
        &mut self,
        state: &SponsorState,
        lease: Duration,
        now: Timestamp,
    ) -> bool {
        let empty =
            || SponsorRecord { state: SponsorState { version: 0, ..state.clone() }, heard_at: now };
        let record = self.records.entry(state.sponsor.clone()).or_insert_with(empty);
        if now.since(record.heard_at) > lease {
            *record = empty();
        }
        record.heard_at = now;
        state.order() > record.state.order()
    }

    /// Records the version of a delta if it directly succeeds the stored one. Returns whether it
    /// does.
    pub fn advance(&mut self, state: &SponsorState) -> bool {
        let Some(record) = self.records.get_mut(&state.sponsor) else {
            return false;
        };
        let held = &mut record.state;
        let is_next = state.incarnation == held.incarnation && state.version == held.version + 1;
        if is_next {
            *held = state.clone();
        }
        is_next
    }

    /// Records the version of a snapshot unless it is older than the stored one. Returns whether it
    /// was recorded.
    pub fn install(&mut self, state: &SponsorState) -> bool {
        let Some(record) = self.records.get_mut(&state.sponsor) else {
            return false;
        };
        let is_current = state.order() >= record.state.order();
        if is_current {
            record.state = state.clone();
        }
        is_current
    }

    /// Returns the sponsors of a data centre whose last heartbeat is at most
    /// [`NEAR_SPONSOR_LEASE`] old at `now`.
    pub fn live(&self, data_centre: &DataCentre, now: Timestamp) -> Vec<SponsorState> {
        let local = self.records.values().filter(|record| {
            record.state.data_centre == *data_centre
                && now.since(record.heard_at) <= NEAR_SPONSOR_LEASE
        });
        local.map(|record| record.state.clone()).collect()
    }

    /// Returns the known sponsors of a data centre, alive or not.
    pub fn held(&self, data_centre: &DataCentre) -> Vec<SponsorState> {
        let held = self.records.values().filter(|record| record.state.data_centre == *data_centre);
        held.map(|record| record.state.clone()).collect()
    }

    /// Drops the sponsors of a data centre that are not in `listed` and returns them. Those heard
    /// within `UNLISTED_SPONSOR_GRACE` before `now` are kept.
    pub fn retain_listed(
        &mut self,
        data_centre: &DataCentre,
        listed: &[SponsorState],
        now: Timestamp,
    ) -> Vec<InstanceName> {
        let dropped: Vec<InstanceName> = self
            .records
            .values()
            .filter(|record| record.state.data_centre == *data_centre)
            .filter(|record| now.since(record.heard_at) > UNLISTED_SPONSOR_GRACE)
            .map(|record| record.state.sponsor.clone())
            .filter(|sponsor| listed.iter().all(|state| state.sponsor != *sponsor))
            .collect();
        self.records.retain(|sponsor, _| !dropped.contains(sponsor));
        dropped
    }
}

/// Returns a checksum of the states of sponsors, which must be sorted by name.
pub fn digest(states: &[SponsorState]) -> u32 {
    let mut hasher = crc32fast::Hasher::new();
    for state in states {
        hasher.update(state.sponsor.as_str().as_bytes());
        hasher.update(&state.incarnation.to_le_bytes());
        hasher.update(&state.version.to_le_bytes());
    }
    hasher.finalize()
}
