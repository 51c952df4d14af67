//! Finds engine memory that is held for programs that are gone.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::time::Duration;

use crate::clock::Timestamp;
use crate::ids::EndpointName;
use crate::ids::ProgramId;

/// How long memory must have been held without a live program before it is released.
///
/// A program that has just begun may not be known yet to whoever tells which programs live.
const ORPHANED_FOR: Duration = Duration::from_secs(10);

/// Remembers since when memory is held for programs that do not live.
#[derive(Debug, Default)]
pub struct Sweep {
    orphaned_since: BTreeMap<(EndpointName, ProgramId), Timestamp>,
}

impl Sweep {
    /// Compares what an engine holds with the programs that live and returns what to release.
    pub fn observe(
        &mut self,
        engine: &EndpointName,
        held: &[ProgramId],
        live: &BTreeSet<ProgramId>,
        now: Timestamp,
    ) -> Vec<ProgramId> {
        let orphaned: BTreeSet<&ProgramId> = held.iter().filter(|id| !live.contains(*id)).collect();
        self.orphaned_since.retain(|(of, id), _| of != engine || orphaned.contains(id));
        let mut due = Vec::new();
        for program in orphaned {
            let key = (engine.clone(), program.clone());
            let since = *self.orphaned_since.entry(key).or_insert(now);
            if now.since(since) >= ORPHANED_FOR {
                due.push(program.clone());
            }
        }
        due
    }
}
