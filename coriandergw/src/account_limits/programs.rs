//! The programs in progress, as far as the limit keeper has granted requests of them.

use std::collections::HashSet;
use std::time::Duration;

use crate::clock::Timestamp;
use crate::rendezvous::hash_of;

/// A program without a request for this long may be forgotten; after twice this time it is. A turn
/// may generate tokens for this long before the program's next request.
const GENERATION: Duration = Duration::from_secs(30);

/// The maximum number of programs in one generation: the programs that the largest planned
/// deployment has in progress.
const PROGRAMS_MAX: usize = 170_000;

/// The programs with a granted request in the present or the previous generation, by a hash of
/// account and program. Two programs with the same hash are taken for one, which does no harm.
#[derive(Debug, Default)]
pub(super) struct ProgramsInProgress {
    present: HashSet<u64>,
    previous: HashSet<u64>,
    began_at: Timestamp,
}

impl ProgramsInProgress {
    /// Returns whether a request of the program has been granted lately.
    pub(super) fn contains(&mut self, account: &str, program: &str, now: Timestamp) -> bool {
        self.expire(now);
        let key = hash_of(account, program);
        self.present.contains(&key) || self.previous.contains(&key)
    }

    /// Records a granted request of the program.
    pub(super) fn note(&mut self, account: &str, program: &str, now: Timestamp) {
        self.expire(now);
        if self.present.len() >= PROGRAMS_MAX {
            self.start_generation(now);
        }
        self.present.insert(hash_of(account, program));
    }

    /// Returns the number of entries held.
    #[cfg(test)]
    pub(super) fn len(&self) -> usize {
        self.present.len() + self.previous.len()
    }

    fn expire(&mut self, now: Timestamp) {
        let age = now.since(self.began_at);
        if age >= GENERATION {
            self.start_generation(now);
        }
        if age >= GENERATION * 2 {
            self.previous.clear();
        }
    }

    fn start_generation(&mut self, now: Timestamp) {
        self.previous = std::mem::take(&mut self.present);
        self.began_at = now;
    }
}
