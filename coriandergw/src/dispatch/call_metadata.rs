//! What the scheduler needs to know of a call.

use std::hash::DefaultHasher;
use std::hash::Hash;
use std::hash::Hasher;
use std::sync::Arc;

use crate::catalogue::Entry;
use crate::clock::Timestamp;
use crate::dispatch::CallKind;
use crate::dispatch::ReadyCall;
use crate::ids::EndpointName;
use crate::ids::ProgramId;
use crate::ids::TargetName;
use crate::placement::PrefixKey;

/// The bytes of text that count as one token in an estimate.
const BYTES_PER_TOKEN: u64 = 4;

/// Names the queue that a call waits in.
pub type QueueKey = (CallKind, TargetName);

/// What the scheduler needs to know of a call.
#[derive(Debug, Clone)]
pub struct CallMetadata {
    /// The queue that the call waits in.
    pub queue: QueueKey,
    /// Its program.
    pub program: ProgramId,
    /// Its catalogue entry.
    pub entry: Arc<Entry>,
    /// The estimated tokens of its prompt.
    pub prompt_tokens: u64,
    /// The part of the prompt that is the program's history.
    pub history_tokens: u64,
    /// The most tokens that it may generate.
    pub max_tokens: u64,
    /// The prefixes that its prompt may start with, the longest first, and their bounds in tokens.
    pub prefixes: Vec<(PrefixKey, u64)>,
    /// Whether its program has had an earlier call served.
    pub under_way: bool,
    /// The tokens that the whole tree of programs was served so far.
    pub attained_tokens: u64,
    /// When the caller wants the whole program done.
    pub deadline: Option<Timestamp>,
    /// The endpoints that failed it before.
    pub excluded: Vec<EndpointName>,
}

impl From<&ReadyCall> for CallMetadata {
    fn from(call: &ReadyCall) -> Self {
        let input_tokens = text_bytes(&call.input) / BYTES_PER_TOKEN;
        Self {
            queue: (call.kind, call.target.clone()),
            program: call.program.clone(),
            entry: call.entry.clone(),
            prompt_tokens: call.history_tokens + input_tokens,
            history_tokens: call.history_tokens,
            max_tokens: call.max_tokens,
            prefixes: prefixes(call),
            under_way: call.under_way,
            attained_tokens: call.attained_tokens,
            deadline: call.deadline,
            excluded: Vec::new(),
        }
    }
}

impl CallMetadata {
    /// Returns the key under which the engine that serves this call will hold its history.
    pub fn own_prefix(&self) -> PrefixKey {
        PrefixKey::Program(self.program.clone())
    }
}

fn prefixes(call: &ReadyCall) -> Vec<(PrefixKey, u64)> {
    if call.kind != CallKind::Model {
        return Vec::new();
    }
    let mut keys = vec![(PrefixKey::Program(call.program.clone()), call.history_tokens)];
    if call.root != call.program {
        keys.push((PrefixKey::Program(call.root.clone()), call.history_tokens));
    }
    let first = call.history.first().filter(|_| call.entry.limits.share_prefixes);
    if let Some(first) = first {
        let mut hasher = DefaultHasher::new();
        first.content.hash(&mut hasher);
        let key = PrefixKey::Owner(call.entry.owner.clone(), hasher.finish());
        keys.push((key, first.content.len() as u64 / BYTES_PER_TOKEN));
    }
    keys
}

/// Returns the bytes of text in a JSON value without writing it out.
fn text_bytes(value: &serde_json::Value) -> u64 {
    match value {
        serde_json::Value::String(text) => text.len() as u64,
        serde_json::Value::Array(values) => values.iter().map(text_bytes).sum(),
        serde_json::Value::Object(members) => members.values().map(text_bytes).sum(),
        _ => 1,
    }
}
