//! Placement by expected finish: estimates how long a call takes at each candidate and chooses the
//! earliest finish.

use std::time::Duration;

use crate::ids::EndpointName;
use crate::placement::Rates;

/// The factor on the prefill time of uncached prompt tokens, because prefill also delays other
/// calls at the endpoint.
const RECOMPUTE_WEIGHT: f64 = 4.0;

/// The slowdown of a call at a full endpoint compared with an idle one; 1.0 doubles its duration.
const LOAD_SLOWDOWN: f64 = 1.0;

/// The lower bound of the health weight that an estimate is divided by.
const WEIGHT_MIN: f64 = 0.05;

/// The number of tokens that a call needs from an endpoint.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct CallDemand {
    /// The number of prompt tokens.
    pub prompt_tokens: u64,
    /// The expected number of generated tokens.
    pub answer_tokens: u64,
}

/// An endpoint that a call may be sent to.
#[derive(Debug, Clone, PartialEq)]
pub struct Candidate {
    /// The name of the endpoint.
    pub endpoint: EndpointName,
    /// Whether the endpoint can accept another call now.
    pub has_room: bool,
    /// The known number of calls at the endpoint.
    pub load: u32,
    /// The number of calls that the endpoint processes at once.
    pub capacity: u32,
    /// The expected time until the endpoint can accept another call.
    pub wait: Duration,
    /// The number of prompt tokens that the endpoint is expected to have cached.
    pub cached_tokens: u64,
    /// The learned rates of the endpoint.
    pub rates: Rates,
    /// The network round-trip time to the endpoint.
    pub transfer: Duration,
    /// The health of the endpoint, from 0 (gets no calls) to 1 (healthy).
    pub weight: f64,
}

/// The result of placing a call.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum PlacementDecision {
    /// Send it to the candidate with this index.
    Send(usize),
    /// Leave it in the queue: it is expected to finish earlier if it waits for the candidate with
    /// this index.
    WaitFor(usize),
    /// Leave it in the queue: no candidate has room.
    NoRoom,
}

/// A policy that chooses the endpoint of a call.
pub trait PlacementPolicy: Send + Sync {
    /// Chooses one of `candidates` for a call, or leaves the call in the queue.
    fn place(&self, demand: CallDemand, candidates: &[Candidate]) -> PlacementDecision;

    /// Returns whether the policy must be given all endpoints as candidates instead of a sample.
    fn needs_all_candidates(&self) -> bool {
        false
    }
}

/// Chooses the candidate with the earliest expected finish.
#[derive(Debug)]
pub struct ExpectedFinish {
    /// The factor on the prefill time of uncached prompt tokens.
    pub recompute_weight: f64,
    /// The slowdown of a call at a full endpoint; 1.0 doubles its duration.
    pub load_slowdown: f64,
}

impl Default for ExpectedFinish {
    fn default() -> Self {
        Self { recompute_weight: RECOMPUTE_WEIGHT, load_slowdown: LOAD_SLOWDOWN }
    }
}

impl ExpectedFinish {
    /// Returns the expected time from now until a call at a candidate finishes.
    ///
    /// The estimate is divided by the candidate's weight, so that unhealthy endpoints seem slower.
    pub fn estimate(&self, demand: CallDemand, candidate: &Candidate) -> Duration {
        let rates = &candidate.rates;
        let uncached = demand.prompt_tokens.saturating_sub(candidate.cached_tokens) as f64;
        let prefill = uncached * rates.prefill_seconds_per_token * self.recompute_weight;
        let decode = demand.answer_tokens as f64 * rates.decode_seconds_per_token;
        let load = f64::from(candidate.load) / f64::from(candidate.capacity.max(1));
        let slowdown = 1.0 + self.load_slowdown * load.min(1.0);
        let service = (prefill + decode + rates.overhead_seconds) * slowdown;
        let total = candidate.wait.as_secs_f64() + candidate.transfer.as_secs_f64() + service;
        let weight = candidate.weight.max(WEIGHT_MIN);
        Duration::try_from_secs_f64(total / weight).unwrap_or(Duration::MAX)
    }
}

impl PlacementPolicy for ExpectedFinish {
    fn place(&self, demand: CallDemand, candidates: &[Candidate]) -> PlacementDecision {
        let finish = |candidate: &Candidate| self.estimate(demand, candidate);
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
