//! Finds engine memory that is held for programs that are gone.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::time::Duration;

use crate::clock::Timestamp;
use crate::ids::Epoch;
use crate::ids::ProgramId;
use crate::orders::ProgramLiveness;
use crate::orders::ProgramLivenessSource;

/// The time after which the home of a live program is asked again.
const LIVE_TTL: Duration = Duration::from_secs(60);

/// The shortest pause between two rounds.
const PAUSE_MIN: Duration = Duration::from_secs(2);

/// The longest pause between two rounds.
const PAUSE_MAX: Duration = Duration::from_secs(60);

/// The time that each program with held memory adds to the pause between two rounds.
const PAUSE_PER_PROGRAM: Duration = Duration::from_millis(50);

/// The last answer of a home about a program, with the epoch of the home.
#[derive(Debug, Clone, Copy)]
struct CachedLiveness {
    liveness: ProgramLiveness,
    epoch: Option<Epoch>,
    answered_at: Timestamp,
}

/// Caches the liveness of the programs that engines hold memory for.
#[derive(Debug, Default)]
pub struct MemorySweep {
    known: BTreeMap<ProgramId, CachedLiveness>,
}

impl MemorySweep {
    /// Returns the held programs whose homes must be asked, and drops programs no longer held.
    ///
    /// The home of a live program is asked again when the epoch changes, since a release may be
    /// lost with the old home, or when the answer is older than `LIVE_TTL`. A program that is gone
    /// is not asked about again while it is held.
    pub fn programs_to_ask(
        &mut self,
        held: &BTreeSet<ProgramId>,
        live: &dyn ProgramLivenessSource,
        now: Timestamp,
    ) -> Vec<ProgramId> {
        self.known.retain(|program, _| held.contains(program));
        let is_due = |program: &&ProgramId| match self.known.get(*program) {
            None => true,
            Some(CachedLiveness { liveness: ProgramLiveness::Gone, .. }) => false,
            Some(known) => {
                known.epoch != live.epoch(program) || now.since(known.answered_at) >= LIVE_TTL
            }
        };
        held.iter().filter(is_due).cloned().collect()
    }

    /// Records the answer of a home, asked while its epoch was `epoch`.
    pub fn learn(
        &mut self,
        program: &ProgramId,
        liveness: ProgramLiveness,
        epoch: Option<Epoch>,
        now: Timestamp,
    ) {
        self.known.insert(program.clone(), CachedLiveness { liveness, epoch, answered_at: now });
    }

    /// Returns whether the memory of a program can be released.
    ///
    /// Returns `false` for a program that no home has answered for.
    pub fn is_gone(&self, program: &ProgramId) -> bool {
        self.known.get(program).is_some_and(|known| known.liveness == ProgramLiveness::Gone)
    }
}

/// Returns the pause after a round that found memory held for `held` programs.
pub fn pause_after(held: usize) -> Duration {
    let count = u32::try_from(held).unwrap_or(u32::MAX);
    PAUSE_PER_PROGRAM.saturating_mul(count).clamp(PAUSE_MIN, PAUSE_MAX)
}
