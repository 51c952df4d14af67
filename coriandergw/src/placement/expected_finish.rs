//! The expected finish of a call at a candidate, and the choice by it.

use std::time::Duration;

use crate::ids::EndpointName;
use crate::placement::Rates;

/// How often a computed prompt token counts, because computing it delays other calls too.
const RECOMPUTE_WEIGHT: f64 = 4.0;

/// How much longer a call takes at a full endpoint than at an idle one, as a part of its time.
const LOAD_SLOWDOWN: f64 = 1.0;

/// The least weight by which an expected finish is divided.
const WEIGHT_MIN: f64 = 0.05;

/// What a call needs of an endpoint.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct CallDemand {
    /// The tokens of its prompt.
    pub prompt_tokens: u64,
    /// The tokens that it is expected to generate.
    pub answer_tokens: u64,
}

/// An endpoint that a call may be sent to.
#[derive(Debug, Clone, PartialEq)]
pub struct Candidate {
    /// The endpoint.
    pub endpoint: EndpointName,
    /// Whether it has room for a call now.
    pub has_room: bool,
    /// The calls that are known to be there.
    pub load: u32,
    /// The calls that it works on at once.
    pub capacity: u32,
    /// The time until it is expected to have room.
    pub wait: Duration,
    /// The tokens of the prompt that its cache is expected to hold.
    pub cached_tokens: u64,
    /// Its learned rates.
    pub rates: Rates,
    /// The time for the way there and back.
    pub transfer: Duration,
    /// Its health, from 0 to 1.
    pub weight: f64,
}

/// What to do with a call now.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum PlacementDecision {
    /// Send it to the candidate with this index.
    Send(usize),
    /// Leave it in the queue: waiting for the candidate with this index finishes sooner.
    WaitFor(usize),
    /// Leave it in the queue: no candidate has room.
    NoRoom,
}

/// Chooses among candidates.
pub trait PlacementPolicy: Send + Sync {
    /// Chooses a candidate for a call.
    fn place(&self, need: CallDemand, candidates: &[Candidate]) -> PlacementDecision;

    /// Returns whether all endpoints are to be offered instead of a few.
    fn wants_all(&self) -> bool {
        false
    }
}

/// Chooses the candidate with the earliest expected finish.
#[derive(Debug)]
pub struct ExpectedFinish {
    /// How often a computed prompt token counts.
    pub recompute_weight: f64,
    /// How much longer a call takes at a full endpoint, as a part of its time.
    pub load_slowdown: f64,
}

impl Default for ExpectedFinish {
    fn default() -> Self {
        Self { recompute_weight: RECOMPUTE_WEIGHT, load_slowdown: LOAD_SLOWDOWN }
    }
}

impl ExpectedFinish {
    /// Returns how long a call is expected to take at a candidate from now on.
    pub fn estimate(&self, need: CallDemand, candidate: &Candidate) -> Duration {
        let rates = &candidate.rates;
        let uncached = need.prompt_tokens.saturating_sub(candidate.cached_tokens) as f64;
        let prefill = uncached * rates.prefill_seconds_per_token * self.recompute_weight;
        let decode = need.answer_tokens as f64 * rates.decode_seconds_per_token;
        let load = f64::from(candidate.load) / f64::from(candidate.capacity.max(1));
        let slowdown = 1.0 + self.load_slowdown * load.min(1.0);
        let service = (prefill + decode + rates.overhead_seconds) * slowdown;
        let total = candidate.wait.as_secs_f64() + candidate.transfer.as_secs_f64() + service;
        let weight = candidate.weight.max(WEIGHT_MIN);
        Duration::try_from_secs_f64(total / weight).unwrap_or(Duration::MAX)
    }
}

impl PlacementPolicy for ExpectedFinish {
    fn place(&self, need: CallDemand, candidates: &[Candidate]) -> PlacementDecision {
        let finish = |candidate: &Candidate| self.estimate(need, candidate);
        let best = candidates
            .iter()
            .enumerate()
            .filter(|(_, candidate)| candidate.weight > 0.0)
            .min_by_key(|(_, candidate)| (finish(candidate), candidate.load));
        match best {
            Some((index, candidate)) if candidate.has_room => PlacementDecision::Send(index),
            Some((index, _)) if candidates.iter().any(|one| one.has_room) => {
                PlacementDecision::WaitFor(index)
            }
            _ => PlacementDecision::NoRoom,
        }
    }
}
