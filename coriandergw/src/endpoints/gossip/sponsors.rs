//! The sponsors that this instance has heard, and which version of their endpoints it holds.

use std::collections::BTreeMap;
use std::time::Duration;

use crate::clock::Timestamp;
use crate::endpoints::directory::NEAR_SPONSOR_LEASE;
use crate::ids::DataCentre;
use crate::ids::InstanceName;

/// How long a sponsor that a summary leaves out is kept after it was heard.
const SUMMARY_OVERTAKEN: Duration = Duration::from_millis(700);

/// A sponsor's state as it tells it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Beat {
    /// The sponsor.
    pub sponsor: InstanceName,
    /// Its data centre.
    pub data_centre: DataCentre,
    /// Tells its runs apart; a later run has a higher number.
    pub incarnation: u64,
    /// Counts the changes of its endpoints within the run.
    pub version: u64,
}

impl Beat {
    fn order(&self) -> (u64, u64) {
        (self.incarnation, self.version)
    }
}

#[derive(Debug, Clone)]
struct Heard {
    beat: Beat,
    at: Timestamp,
}

/// Keeps one record a sponsor.
#[derive(Debug, Default)]
pub struct Sponsors {
    heard: BTreeMap<InstanceName, Heard>,
}

impl Sponsors {
    /// Records a sign of life. Returns whether the endpoints held for the sponsor are out of date.
    ///
    /// They have expired here if the sponsor was silent for longer than its `lease`, so that
    /// nothing is held after that.
    pub fn hear(&mut self, beat: &Beat, lease: Duration, now: Timestamp) -> bool {
        let nothing = || Heard { beat: Beat { version: 0, ..beat.clone() }, at: now };
        let heard = self.heard.entry(beat.sponsor.clone()).or_insert_with(nothing);
        if now.since(heard.at) > lease {
            *heard = nothing();
        }
        heard.at = now;
        beat.order() > heard.beat.order()
    }

    /// Returns whether a delta to `beat` follows directly on what is held, and records it if so.
    pub fn advance(&mut self, beat: &Beat) -> bool {
        let Some(heard) = self.heard.get_mut(&beat.sponsor) else {
            return false;
        };
        let held = &mut heard.beat;
        let follows = beat.incarnation == held.incarnation && beat.version == held.version + 1;
        if follows {
            *held = beat.clone();
        }
        follows
    }

    /// Records that everything up to `beat` is held. Returns whether it is not older than before.
    pub fn install(&mut self, beat: &Beat) -> bool {
        let Some(heard) = self.heard.get_mut(&beat.sponsor) else {
            return false;
        };
        let newer = beat.order() >= heard.beat.order();
        if newer {
            heard.beat = beat.clone();
        }
        newer
    }

    /// Returns the sponsors of a data centre that are alive at `now`, as heard here.
    pub fn live(&self, data_centre: &DataCentre, now: Timestamp) -> Vec<Beat> {
        let near = self.heard.values().filter(|heard| {
            heard.beat.data_centre == *data_centre && now.since(heard.at) <= NEAR_SPONSOR_LEASE
        });
        near.map(|heard| heard.beat.clone()).collect()
    }

    /// Returns the sponsors that are held for a data centre, alive or not.
    pub fn held(&self, data_centre: &DataCentre) -> Vec<Beat> {
        let held = self.heard.values().filter(|heard| heard.beat.data_centre == *data_centre);
        held.map(|heard| heard.beat.clone()).collect()
    }

    /// Drops the sponsors of a data centre that are not in `listed` and returns them.
    pub fn keep_only(
        &mut self,
        data_centre: &DataCentre,
        listed: &[Beat],
        now: Timestamp,
    ) -> Vec<InstanceName> {
        let dropped: Vec<InstanceName> = self
            .heard
            .values()
            .filter(|heard| heard.beat.data_centre == *data_centre)
            .filter(|heard| now.since(heard.at) > SUMMARY_OVERTAKEN)
            .map(|heard| heard.beat.sponsor.clone())
            .filter(|sponsor| listed.iter().all(|beat| beat.sponsor != *sponsor))
            .collect();
        self.heard.retain(|sponsor, _| !dropped.contains(sponsor));
        dropped
    }
}

/// Condenses the state of sponsors, which must be in the order of their names.
pub fn digest(beats: &[Beat]) -> u32 {
    let mut hasher = crc32fast::Hasher::new();
    for beat in beats {
        hasher.update(beat.sponsor.as_str().as_bytes());
        hasher.update(&beat.incarnation.to_le_bytes());
        hasher.update(&beat.version.to_le_bytes());
    }
    hasher.finalize()
}
