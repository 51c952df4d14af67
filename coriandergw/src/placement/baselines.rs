//! Simple placement policies that serve as baselines in benchmarks.

use std::sync::atomic::AtomicUsize;
use std::sync::atomic::Ordering;

use rand::Rng;

use crate::placement::CallDemand;
use crate::placement::Candidate;
use crate::placement::PlacementDecision;
use crate::placement::PlacementPolicy;

/// Chooses the candidates in turn, regardless of their load.
#[derive(Debug, Default)]
pub struct RoundRobin {
    next: AtomicUsize,
}

impl PlacementPolicy for RoundRobin {
    fn place(&self, _demand: CallDemand, candidates: &[Candidate]) -> PlacementDecision {
        if candidates.is_empty() {
            return PlacementDecision::NoRoom;
        }
        PlacementDecision::Send(self.next.fetch_add(1, Ordering::Relaxed) % candidates.len())
    }

    fn needs_all_candidates(&self) -> bool {
        true
    }
}

/// Chooses the candidate with the lowest known load.
#[derive(Debug, Default)]
pub struct LeastLoaded;

impl PlacementPolicy for LeastLoaded {
    fn place(&self, _demand: CallDemand, candidates: &[Candidate]) -> PlacementDecision {
        // Ties are broken at random, as otherwise all instances would choose the same endpoint.
        let key = |candidate: &Candidate| (candidate.load, rand::random::<u32>());
        send_to(candidates.iter().enumerate().min_by_key(|(_, candidate)| key(candidate)))
    }

    fn needs_all_candidates(&self) -> bool {
        true
    }
}

/// Chooses the less loaded of two random candidates (power of two choices).
#[derive(Debug, Default)]
pub struct TwoChoices;

impl PlacementPolicy for TwoChoices {
    fn place(&self, _demand: CallDemand, candidates: &[Candidate]) -> PlacementDecision {
        if candidates.is_empty() {
            return PlacementDecision::NoRoom;
        }
        let mut rng = rand::rng();
        let (a, b) = (rng.random_range(0..candidates.len()), rng.random_range(0..candidates.len()));
        PlacementDecision::Send(if candidates[a].load <= candidates[b].load { a } else { b })
    }

    fn needs_all_candidates(&self) -> bool {
        true
    }
}

/// Chooses the candidate with the most cached prompt tokens, regardless of its load.
#[derive(Debug, Default)]
pub struct PrefixOnly;

impl PlacementPolicy for PrefixOnly {
    fn place(&self, _demand: CallDemand, candidates: &[Candidate]) -> PlacementDecision {
        let key = |candidate: &Candidate| (candidate.cached_tokens, rand::random::<u32>());
        send_to(candidates.iter().enumerate().max_by_key(|(_, candidate)| key(candidate)))
    }

    fn needs_all_candidates(&self) -> bool {
        true
    }
}

fn send_to(chosen: Option<(usize, &Candidate)>) -> PlacementDecision {
    chosen.map_or(PlacementDecision::NoRoom, |(index, _)| PlacementDecision::Send(index))
}
