//! An index of the prompt prefixes that engines are expected to have cached.
//!
//! A prefix is recorded as soon as a call is sent; the engine's cache events correct the index
//! later. Events arrive with a delay, so an eviction that may be older than the last use of a
//! prefix is ignored.

use std::collections::HashMap;
use std::time::Duration;

use crate::clock::Timestamp;
use crate::ids::EndpointName;
use crate::ids::OwnerName;
use crate::ids::ProgramId;

/// The maximum number of engines recorded for one prefix.
const HOLDERS_MAX: usize = 4;

/// The maximum number of prefixes in the index.
const PREFIXES_MAX: usize = 200_000;

/// When the index is full, prefixes that no engine used within this period are removed.
const PREFIX_AGE_MAX: Duration = Duration::from_secs(1_800);

/// The factor on an engine's expected tokens after a gap in its events, which may have contained
/// evictions.
const GAP_DISCOUNT: f64 = 0.5;

/// The key of a prefix; calls share a cached prefix only if they have the same key.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub enum PrefixKey {
    /// The conversation history of a program.
    Program(ProgramId),
    /// The hash of the first message of an owner's programs, if the entry shares prefixes.
    Owner(OwnerName, u64),
}

/// The kind of a [`CacheEvent`].
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum CacheChange {
    /// The engine stored tokens.
    Stored,
    /// The engine evicted tokens.
    Evicted,
}

/// A change of an engine's prefix cache, as published by the engine.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct CacheEvent {
    /// The sequence number of the event; a skipped number means that events were lost.
    pub sequence: u64,
    /// Whether tokens were stored or evicted.
    pub change: CacheChange,
    /// The program whose prefix changed.
    pub program: ProgramId,
    /// The number of tokens stored or evicted.
    pub tokens: u64,
}

/// The part of a prefix that one engine is expected to have cached.
#[derive(Debug, Clone)]
struct Holder {
    endpoint: EndpointName,
    tokens: u64,
    used_at: Timestamp,
}

#[derive(Debug, Default)]
struct Prefix {
    computed_tokens: u64,
    holders: Vec<Holder>,
}

/// The position in the cache events of one engine.
#[derive(Debug, Clone, Copy)]
struct EventFeed {
    cursor: u64,
    last_sequence: Option<u64>,
    polled_at: Timestamp,
}

/// The engines that are expected to hold each prefix.
#[derive(Debug, Default)]
pub struct PrefixIndex {
    prefixes: HashMap<PrefixKey, Prefix>,
    feeds: HashMap<EndpointName, EventFeed>,
}

impl PrefixIndex {
    /// Records that an engine has computed or reused a prefix of `tokens` tokens.
    pub fn record(&mut self, key: PrefixKey, endpoint: &EndpointName, tokens: u64, now: Timestamp) {
        if self.prefixes.len() >= PREFIXES_MAX {
            self.remove_old_prefixes(now);
        }
        let prefix = self.prefixes.entry(key).or_default();
        prefix.computed_tokens = prefix.computed_tokens.max(tokens);
        prefix.holders.retain(|holder| holder.endpoint != *endpoint);
        if prefix.holders.len() == HOLDERS_MAX {
            prefix.holders.remove(0);
        }
        prefix.holders.push(Holder { endpoint: endpoint.clone(), tokens, used_at: now });
    }

    /// Returns the engines that are expected to hold a part of the prefix, with its length in
    /// tokens.
    pub fn holders(&self, key: &PrefixKey) -> impl Iterator<Item = (&EndpointName, u64)> {
        let holders = self.prefixes.get(key).map(|prefix| prefix.holders.as_slice());
        let held = holders.unwrap_or_default().iter().filter(|holder| holder.tokens > 0);
        held.map(|holder| (&holder.endpoint, holder.tokens))
    }

    /// Returns the number of tokens of the prefix that an engine is expected to hold.
    pub fn cached_tokens(&self, key: &PrefixKey, endpoint: &EndpointName) -> u64 {
        let mut holders = self.holders(key);
        holders.find(|(holder, _)| *holder == endpoint).map_or(0, |(_, tokens)| tokens)
    }

    /// Returns the longest length of the prefix, in tokens, that any engine has computed.
    pub fn computed_tokens(&self, key: &PrefixKey) -> u64 {
        self.prefixes.get(key).map_or(0, |prefix| prefix.computed_tokens)
    }

    /// Removes a prefix and returns the engines that may hold a part of it.
    pub fn remove(&mut self, key: &PrefixKey) -> Vec<EndpointName> {
        let prefix = self.prefixes.remove(key).unwrap_or_default();
        prefix.holders.into_iter().map(|holder| holder.endpoint).collect()
    }

    /// Returns the cursor from which to request an engine's next events.
    pub fn cursor(&self, endpoint: &EndpointName) -> u64 {
        self.feeds.get(endpoint).map_or(0, |feed| feed.cursor)
    }

    /// Applies the events that an engine returned at `now`; the next ones are requested from
    /// `cursor`.
    ///
    /// Returns the number of gaps in the sequence numbers.
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
            self.discount(endpoint, polled_before);
        }
        let feed = EventFeed { cursor, last_sequence, polled_at: now };
        self.feeds.insert(endpoint.clone(), feed);
        gaps
    }

    fn evict(&mut self, endpoint: &EndpointName, event: &CacheEvent, before: Timestamp) {
        let key = PrefixKey::Program(event.program.clone());
        let holders = self.prefixes.get_mut(&key).map(|prefix| &mut prefix.holders);
        let is_older =
            |holder: &&mut Holder| holder.endpoint == *endpoint && holder.used_at <= before;
        if let Some(holder) = holders.into_iter().flatten().find(is_older) {
            holder.tokens = holder.tokens.saturating_sub(event.tokens);
        }
    }

    /// Lowers the expected tokens of an engine's prefixes that were last used at or before
    /// `before`.
    fn discount(&mut self, endpoint: &EndpointName, before: Timestamp) {
        for holder in self.prefixes.values_mut().flat_map(|prefix| &mut prefix.holders) {
            if holder.endpoint == *endpoint && holder.used_at <= before {
                holder.tokens = (holder.tokens as f64 * GAP_DISCOUNT) as u64;
            }
        }
    }

    /// Removes the prefixes that were not used recently; clears the index if that frees no room.
    fn remove_old_prefixes(&mut self, now: Timestamp) {
        let recent = |holder: &Holder| now.since(holder.used_at) <= PREFIX_AGE_MAX;
        self.prefixes.retain(|_, prefix| prefix.holders.iter().any(recent));
        if self.prefixes.len() >= PREFIXES_MAX {
            self.prefixes.clear();
        }
    }
}
