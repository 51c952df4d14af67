//! Which prefixes the caches of engines are expected to hold.
//!
//! Own sends are recorded at once, cache events correct them later. Events come late, so an
//! eviction that is older than the last use of a prefix changes nothing.

use std::collections::HashMap;
use std::time::Duration;

use crate::clock::Timestamp;
use crate::ids::EndpointName;
use crate::ids::OwnerName;
use crate::ids::ProgramId;

/// The engines that are remembered for one prefix.
const HOLDERS_MAX: usize = 4;

/// The prefixes that are remembered.
const PREFIXES_MAX: usize = 200_000;

/// How old a claim may be when prefixes are removed to make room.
const CLAIM_AGE_MAX: Duration = Duration::from_secs(1_800);

/// The share of its tokens that a claim keeps after a gap in the events.
const KEPT_AFTER_GAP: f64 = 0.5;

/// Names a prefix; two callers share one only if they have the same key.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub enum PrefixKey {
    /// The history of a program.
    Program(ProgramId),
    /// The first message of programs of one owner, by its hash, where the entry shares prefixes.
    Owner(OwnerName, u64),
}

/// What happened to a cached prefix.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum CacheChange {
    /// The engine stored tokens.
    Stored,
    /// The engine evicted tokens.
    Evicted,
}

/// An event that an engine published about its cache.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct CacheEvent {
    /// Counts the engine's events; a jump is a gap.
    pub sequence: u64,
    /// What happened.
    pub change: CacheChange,
    /// The program whose prefix it was.
    pub program: ProgramId,
    /// How many tokens.
    pub tokens: u64,
}

#[derive(Debug, Clone)]
struct Claim {
    endpoint: EndpointName,
    tokens: u64,
    used_at: Timestamp,
}

#[derive(Debug, Default)]
struct Prefix {
    computed_tokens: u64,
    claims: Vec<Claim>,
}

#[derive(Debug, Clone, Copy)]
struct Feed {
    cursor: u64,
    last_sequence: Option<u64>,
    polled_at: Timestamp,
}

/// Keeps the claims of prefixes by engine.
#[derive(Debug, Default)]
pub struct PrefixIndex {
    prefixes: HashMap<PrefixKey, Prefix>,
    feeds: HashMap<EndpointName, Feed>,
}

impl PrefixIndex {
    /// Records that an engine has computed or reused a prefix of this many tokens.
    pub fn record(&mut self, key: PrefixKey, endpoint: &EndpointName, tokens: u64, now: Timestamp) {
        if self.prefixes.len() >= PREFIXES_MAX {
            self.shrink(now);
        }
        let prefix = self.prefixes.entry(key).or_default();
        prefix.computed_tokens = prefix.computed_tokens.max(tokens);
        prefix.claims.retain(|claim| claim.endpoint != *endpoint);
        if prefix.claims.len() == HOLDERS_MAX {
            prefix.claims.remove(0);
        }
        prefix.claims.push(Claim { endpoint: endpoint.clone(), tokens, used_at: now });
    }

    /// Returns the engines that are expected to hold a part of the prefix.
    pub fn holders(&self, key: &PrefixKey) -> impl Iterator<Item = (&EndpointName, u64)> {
        let claims = self.prefixes.get(key).map(|prefix| prefix.claims.as_slice());
        let held = claims.unwrap_or_default().iter().filter(|claim| claim.tokens > 0);
        held.map(|claim| (&claim.endpoint, claim.tokens))
    }

    /// Returns the tokens of the prefix that an engine is expected to hold.
    pub fn cached_tokens(&self, key: &PrefixKey, endpoint: &EndpointName) -> u64 {
        let mut holders = self.holders(key);
        holders.find(|(holder, _)| *holder == endpoint).map_or(0, |(_, tokens)| tokens)
    }

    /// Returns the tokens of the prefix that were computed anywhere before.
    pub fn computed_tokens(&self, key: &PrefixKey) -> u64 {
        self.prefixes.get(key).map_or(0, |prefix| prefix.computed_tokens)
    }

    /// Forgets a prefix and returns the engines that may hold a part of it.
    pub fn remove(&mut self, key: &PrefixKey) -> Vec<EndpointName> {
        let prefix = self.prefixes.remove(key).unwrap_or_default();
        prefix.claims.into_iter().map(|claim| claim.endpoint).collect()
    }

    /// Returns what to ask an engine's events from.
    pub fn cursor(&self, endpoint: &EndpointName) -> u64 {
        self.feeds.get(endpoint).map_or(0, |feed| feed.cursor)
    }

    /// Applies the events that an engine answered with at `now`; the next ones are asked for from
    /// `cursor`. Returns the number of gaps.
    pub fn apply(
        &mut self,
        endpoint: &EndpointName,
        events: &[CacheEvent],
        cursor: u64,
        now: Timestamp,
    ) -> usize {
        let feed = self.feeds.get(endpoint).copied();
        let polled_before = feed.map_or(now, |feed| feed.polled_at);
        let mut last_sequence = feed.and_then(|feed| feed.last_sequence);
        let mut gaps = 0;
        for event in events {
            gaps += usize::from(last_sequence.is_some_and(|last| event.sequence > last + 1));
            last_sequence = Some(event.sequence);
            if event.change == CacheChange::Evicted {
                self.evict(endpoint, event, polled_before);
            }
        }
        if gaps > 0 {
            self.doubt(endpoint, polled_before);
        }
        let feed = Feed { cursor, last_sequence, polled_at: now };
        self.feeds.insert(endpoint.clone(), feed);
        gaps
    }

    fn evict(&mut self, endpoint: &EndpointName, event: &CacheEvent, before: Timestamp) {
        let key = PrefixKey::Program(event.program.clone());
        let claims = self.prefixes.get_mut(&key).map(|prefix| &mut prefix.claims);
        let stale = |claim: &&mut Claim| claim.endpoint == *endpoint && claim.used_at <= before;
        if let Some(claim) = claims.into_iter().flatten().find(stale) {
            claim.tokens = claim.tokens.saturating_sub(event.tokens);
        }
    }

    /// Lowers the claims on an engine that were last used at or before `before`.
    fn doubt(&mut self, endpoint: &EndpointName, before: Timestamp) {
        for claim in self.prefixes.values_mut().flat_map(|prefix| &mut prefix.claims) {
            if claim.endpoint == *endpoint && claim.used_at <= before {
                claim.tokens = (claim.tokens as f64 * KEPT_AFTER_GAP) as u64;
            }
        }
    }

    fn shrink(&mut self, now: Timestamp) {
        let recent = |claim: &Claim| now.since(claim.used_at) <= CLAIM_AGE_MAX;
        self.prefixes.retain(|_, prefix| prefix.claims.iter().any(recent));
        if self.prefixes.len() >= PREFIXES_MAX {
            self.prefixes.clear();
        }
    }
}
