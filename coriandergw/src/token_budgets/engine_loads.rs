//! Places turns on engines with all turns of all entry instances in sight.
//!
//! An entry instance sees a small part of the turns, so that several choose the same engine at once, and a
//! program's turns arrive at different ones. The journal sees every turn begin and end. Its choice is part of
//! the replicated state: it depends on the commands alone.

use std::collections::BTreeMap;
use std::collections::VecDeque;

use crate::token_budgets::TurnKey;

/// A program stays at its engine until that has this many turns more than another candidate: reading the
/// program's prompt again elsewhere delays the turns there as much as several more turns.
const HOME_ADVANTAGE: u64 = 6;

/// A turn that was not settled by then does not count any more, in milliseconds: its entry instance was lost,
/// or it takes longer than any route allows.
const COUNTED_FOR_MS: u64 = 6_000;

/// One turn that counts as running.
#[derive(Debug, Clone, PartialEq, Eq)]
struct Running {
    engine: String,
    since_ms: u64,
}

/// The turns that run on each engine.
#[derive(Debug, Default)]
pub struct EngineLoads {
    turns: BTreeMap<String, u64>,
    running: BTreeMap<TurnKey, Running>,
    /// The begun turns in order, to find those that count no more.
    begun: VecDeque<(u64, TurnKey)>,
}

impl EngineLoads {
    /// Returns the turns that run on an engine.
    pub fn turns(&self, engine: &str) -> u64 {
        self.turns.get(engine).copied().unwrap_or_default()
    }

    /// Returns the best engine for a turn of a program whose last turn ran at `home`, if any.
    ///
    /// The home is chosen from among the candidates or although it is none of them; whoever sends the
    /// turn knows whether it still takes work.
    pub fn choose(&self, home: Option<&str>, candidates: &[String]) -> Option<String> {
        let best = candidates.iter().min_by_key(|candidate| self.turns(candidate));
        let Some(home) = home else {
            return best.cloned();
        };
        let moves = best.filter(|best| self.turns(best) + HOME_ADVANTAGE < self.turns(home));
        Some(moves.map_or_else(|| home.to_owned(), String::clone))
    }

    /// Counts a turn that begins.
    pub fn begin(&mut self, key: TurnKey, engine: &str, since_ms: u64) {
        *self.turns.entry(engine.to_owned()).or_default() += 1;
        self.begun.push_back((since_ms, key.clone()));
        self.running.insert(key, Running { engine: engine.to_owned(), since_ms });
    }

    /// Counts a turn that ended.
    pub fn end(&mut self, key: &TurnKey) {
        if let Some(running) = self.running.remove(key) {
            self.count_down(&running.engine);
        }
    }

    /// Returns the engine and the begin of a turn that counts as running.
    pub fn running(&self, key: &TurnKey) -> Option<(&str, u64)> {
        self.running.get(key).map(|running| (running.engine.as_str(), running.since_ms))
    }

    /// Drops the turns that count no more.
    pub fn expire(&mut self, now_ms: u64) {
        let is_over =
            |(since_ms, _): &mut (u64, TurnKey)| now_ms.saturating_sub(*since_ms) > COUNTED_FOR_MS;
        while let Some((since_ms, key)) = self.begun.pop_front_if(is_over) {
            // One that ended and began again counts from its later begin.
            if self.running.get(&key).is_some_and(|running| running.since_ms == since_ms) {
                self.end(&key);
            }
        }
    }

    fn count_down(&mut self, engine: &str) {
        if let Some(turns) = self.turns.get_mut(engine) {
            *turns -= 1;
            if *turns == 0 {
                self.turns.remove(engine);
            }
        }
    }
}

#[cfg(test)]
mod tests;
