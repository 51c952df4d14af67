//! The prefix cache of an engine: limited, least recently used out first, with pins.

use std::collections::BTreeMap;
use std::collections::HashMap;
use std::collections::HashSet;
use std::collections::hash_map::DefaultHasher;
use std::hash::Hash;
use std::hash::Hasher;

use coriandergw::clock::Timestamp;
use coriandergw::dispatch::Message;

/// The bytes of text that count as one token.
const BYTES_PER_TOKEN: usize = 4;

/// A change of what the cache holds.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct CacheChange {
    /// True for tokens that were stored, false for tokens that were evicted.
    pub stored: bool,
    /// The program.
    pub program: String,
    /// How many tokens.
    pub tokens: u64,
}

/// What a prompt found in the cache.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Lookup {
    /// The tokens of the whole prompt.
    pub prompt_tokens: u64,
    /// The tokens of the longest cached prefix.
    pub cached_tokens: u64,
    /// The tokens that had been cached before and are computed again.
    pub recomputed_tokens: u64,
}

#[derive(Debug, Clone)]
struct Block {
    program: String,
    tokens: u64,
    depth: usize,
    used: u64,
}

/// Blocks of one message each, keyed by the program and all messages up to it.
#[derive(Debug, Default)]
pub struct PrefixCache {
    capacity_tokens: u64,
    held_tokens: u64,
    blocks: HashMap<u64, Block>,
    pins: HashMap<String, Timestamp>,
    seen: HashSet<u64>,
    uses: u64,
}

/// Returns the tokens of a text.
pub fn tokens_of(text: &str) -> u64 {
    text.len().div_ceil(BYTES_PER_TOKEN).max(1) as u64
}

fn keys(program: &str, messages: &[Message]) -> Vec<u64> {
    let mut hasher = DefaultHasher::new();
    program.hash(&mut hasher);
    let mut keys = Vec::with_capacity(messages.len());
    for message in messages {
        message.role.hash(&mut hasher);
        message.content.hash(&mut hasher);
        keys.push(hasher.finish());
    }
    keys
}

impl PrefixCache {
    /// Creates an empty cache.
    pub fn new(capacity_tokens: u64) -> Self {
        Self { capacity_tokens, ..Self::default() }
    }

    /// Returns the tokens that are held.
    pub fn held_tokens(&self) -> u64 {
        self.held_tokens
    }

    /// Returns the tokens held for each program.
    pub fn held(&self) -> BTreeMap<String, u64> {
        let mut held = BTreeMap::new();
        for block in self.blocks.values() {
            *held.entry(block.program.clone()).or_default() += block.tokens;
        }
        held
    }

    /// Finds the longest cached prefix of a prompt and marks it as used.
    pub fn find(&mut self, program: &str, messages: &[Message]) -> Lookup {
        self.uses += 1;
        let mut lookup = Lookup::default();
        let mut cached = true;
        for (key, message) in keys(program, messages).into_iter().zip(messages) {
            let tokens = tokens_of(&message.content);
            lookup.prompt_tokens += tokens;
            match self.blocks.get_mut(&key) {
                Some(block) if cached => {
                    block.used = self.uses;
                    lookup.cached_tokens += tokens;
                }
                _ => cached = false,
            }
            if !cached && self.seen.contains(&key) {
                lookup.recomputed_tokens += tokens;
            }
        }
        lookup
    }

    /// Stores a prompt as far as there is room and returns the changes.
    pub fn store(
        &mut self,
        program: &str,
        messages: &[Message],
        now: Timestamp,
    ) -> Vec<CacheChange> {
        self.uses += 1;
        let mut changes = Vec::new();
        for (depth, key) in keys(program, messages).into_iter().enumerate() {
            if let Some(block) = self.blocks.get_mut(&key) {
                block.used = self.uses;
                continue;
            }
            let tokens = tokens_of(&messages[depth].content);
            if !self.make_room(tokens, now, &mut changes) {
                break;
            }
            self.seen.insert(key);
            self.held_tokens += tokens;
            let block = Block { program: program.to_owned(), tokens, depth, used: self.uses };
            self.blocks.insert(key, block);
            changes.push(CacheChange { stored: true, program: program.to_owned(), tokens });
        }
        changes
    }

    /// Keeps what is held for `program` until `until`.
    pub fn pin(&mut self, program: &str, until: Timestamp) {
        self.pins.insert(program.to_owned(), until);
    }

    /// Drops all that is held for `program`.
    pub fn release(&mut self, program: &str) -> Option<CacheChange> {
        self.pins.remove(program);
        let of_program = |block: &Block| block.program == program;
        let tokens = self.blocks.values().filter(|block| of_program(block)).map(|b| b.tokens).sum();
        self.blocks.retain(|_, block| !of_program(block));
        self.held_tokens -= tokens;
        (tokens > 0).then(|| CacheChange { stored: false, program: program.to_owned(), tokens })
    }

    fn make_room(&mut self, tokens: u64, now: Timestamp, changes: &mut Vec<CacheChange>) -> bool {
        while self.held_tokens + tokens > self.capacity_tokens {
            let Some(key) = self.victim(now) else {
                return false;
            };
            let block = self.blocks.remove(&key).expect("the victim is held");
            self.held_tokens -= block.tokens;
            let (program, tokens) = (block.program, block.tokens);
            changes.push(CacheChange { stored: false, program, tokens });
        }
        true
    }

    /// Returns the least recently used block without a pin; the deepest first among equals.
    fn victim(&self, now: Timestamp) -> Option<u64> {
        let pinned = |block: &Block| self.pins.get(&block.program).is_some_and(|t| *t > now);
        let free = |(_, block): &(&u64, &Block)| !pinned(block) && block.used < self.uses;
        let oldest = |(_, block): &(&u64, &Block)| (block.used, usize::MAX - block.depth);
        self.blocks.iter().filter(free).min_by_key(oldest).map(|(key, _)| *key)
    }
}
