//! Assigns turns to engines by the number of turns that run on each, across all entry instances.
//!
//! A single entry instance sees only a small part of the turns: several would choose the same
//! engine at once, and the turns of one program arrive at different instances. The journal sees
//! every turn start and end. Its choice is part of the replicated state, so it must depend on the
//! applied commands alone.

use std::collections::BTreeMap;
use std::collections::VecDeque;

use crate::token_budgets::TurnKey;

/// A program moves to another engine only if the number of turns on its last engine exceeds that on
/// the other engine by more than this. Processing the prompt again on an engine that has not cached
/// it delays the turns there as much as several additional turns.
const AFFINITY_TURNS: u64 = 6;

/// A turn that has not been settled after this time, in milliseconds, no longer counts as running:
/// its entry instance was lost, or it takes longer than any route allows.
const RUNNING_TIMEOUT_MS: u64 = 6_000;

/// A turn that counts as running.
#[derive(Debug, Clone, PartialEq, Eq)]
struct RunningTurn {
    engine: String,
    since_ms: u64,
}

/// Counts the turns that run on each engine.
#[derive(Debug, Default)]
pub struct EngineLoads {
    turn_counts: BTreeMap<String, u64>,
    running: BTreeMap<TurnKey, RunningTurn>,
    /// Start times of turns in the order in which they started, to find expired turns. Includes
    /// turns that have ended since.
    start_times: VecDeque<(u64, TurnKey)>,
}

impl EngineLoads {
    /// Returns the number of turns that run on an engine.
    pub fn turns(&self, engine: &str) -> u64 {
        self.turn_counts.get(engine).copied().unwrap_or_default()
    }

    /// Returns the engine for a turn of a program whose last turn, if any, ran on `last_engine`.
    ///
    /// The last engine may be chosen even if it is not a candidate: the sender of the turn checks
    /// whether that engine still accepts calls.
    pub fn choose(&self, last_engine: Option<&str>, candidates: &[String]) -> Option<String> {
        let best = candidates.iter().min_by_key(|candidate| self.turns(candidate));
        let Some(last_engine) = last_engine else {
            return best.cloned();
        };
        let less_loaded =
            best.filter(|best| self.turns(best) + AFFINITY_TURNS < self.turns(last_engine));
        Some(less_loaded.map_or_else(|| last_engine.to_owned(), String::clone))
    }

    /// Adds a turn that starts on `engine`.
    pub fn begin(&mut self, key: TurnKey, engine: &str, since_ms: u64) {
        *self.turn_counts.entry(engine.to_owned()).or_default() += 1;
        self.start_times.push_back((since_ms, key.clone()));
        self.running.insert(key, RunningTurn { engine: engine.to_owned(), since_ms });
    }

    /// Removes a turn that has ended; has no effect if the turn does not count as running.
    pub fn end(&mut self, key: &TurnKey) {
        if let Some(running) = self.running.remove(key) {
            self.decrement(&running.engine);
        }
    }

    /// Returns the engine and the start time in milliseconds of a turn that counts as running.
    pub fn running(&self, key: &TurnKey) -> Option<(&str, u64)> {
        self.running.get(key).map(|running| (running.engine.as_str(), running.since_ms))
    }

    /// Removes the turns that have not been settled within `RUNNING_TIMEOUT_MS`.
    pub fn expire(&mut self, now_ms: u64) {
        let is_expired = |(since_ms, _): &mut (u64, TurnKey)| {
            now_ms.saturating_sub(*since_ms) > RUNNING_TIMEOUT_MS
        };
        while let Some((since_ms, key)) = self.start_times.pop_front_if(is_expired) {
            // A turn that ended and started again counts from its later start.
            if self.running.get(&key).is_some_and(|running| running.since_ms == since_ms) {
                self.end(&key);
            }
        }
    }

    fn decrement(&mut self, engine: &str) {
        if let Some(turns) = self.turn_counts.get_mut(engine) {
            *turns -= 1;
            if *turns == 0 {
                self.turn_counts.remove(engine);
            }
        }
    }
}

#[cfg(test)]
mod tests;
