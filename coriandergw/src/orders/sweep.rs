//! Finds engine memory that is held for programs that are gone.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::time::Duration;

use crate::clock::Timestamp;
use crate::ids::Epoch;
use crate::ids::ProgramId;
use crate::orders::ProgramLiveness;
use crate::orders::ProgramLivenessSource;

/// How long a program counts as live without asking its home again.
const LIVE_FOR: Duration = Duration::from_secs(60);

/// The shortest time between two rounds.
const PAUSE_MIN: Duration = Duration::from_secs(2);

/// The longest time between two rounds.
const PAUSE_MAX: Duration = Duration::from_secs(60);

/// The part of the time between two rounds that each program held adds.
const PAUSE_PER_HELD: Duration = Duration::from_millis(50);

/// What a home said of a program.
#[derive(Debug, Clone, Copy)]
struct Known {
    life: ProgramLiveness,
    epoch: Option<Epoch>,
    told_at: Timestamp,
}

/// Remembers what homes said of the programs that engines hold memory for.
#[derive(Debug, Default)]
pub struct MemorySweep {
    known: BTreeMap<ProgramId, Known>,
}

impl MemorySweep {
    /// Returns the held programs whose homes are to be asked, and forgets those not held any more.
    ///
    /// A program counts as live until its home changes, since a release may be lost with a home.
    pub fn to_ask(
        &mut self,
        held: &BTreeSet<ProgramId>,
        live: &dyn ProgramLivenessSource,
        now: Timestamp,
    ) -> Vec<ProgramId> {
        self.known.retain(|program, _| held.contains(program));
        let is_due = |program: &&ProgramId| match self.known.get(*program) {
            None => true,
            Some(Known { life: ProgramLiveness::Gone, .. }) => false,
            Some(known) => {
                known.epoch != live.epoch(program) || now.since(known.told_at) >= LIVE_FOR
            }
        };
        held.iter().filter(is_due).cloned().collect()
    }

    /// Records what a home said when its epoch was `epoch`.
    pub fn learn(
        &mut self,
        program: &ProgramId,
        life: ProgramLiveness,
        epoch: Option<Epoch>,
        now: Timestamp,
    ) {
        self.known.insert(program.clone(), Known { life, epoch, told_at: now });
    }

    /// Returns whether the memory of a program is to be released.
    ///
    /// A program of which no home has said anything is never gone.
    pub fn is_gone(&self, program: &ProgramId) -> bool {
        self.known.get(program).is_some_and(|known| known.life == ProgramLiveness::Gone)
    }
}

/// Returns the time until the next round after one in which so many programs were held.
pub fn pause_after(held: usize) -> Duration {
    let count = u32::try_from(held).unwrap_or(u32::MAX);
    PAUSE_PER_HELD.saturating_mul(count).clamp(PAUSE_MIN, PAUSE_MAX)
}
