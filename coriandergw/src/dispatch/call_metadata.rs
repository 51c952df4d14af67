//! The properties of a call that the scheduler uses.

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

/// The assumed bytes of text per token in estimates.
const BYTES_PER_TOKEN: u64 = 4;

/// Identifies the queue that a call waits in.
pub type QueueKey = (CallKind, TargetName);

/// The properties of a call that the scheduler uses.
#[derive(Debug, Clone)]
pub struct CallMetadata {
    /// The queue that the call waits in.
    pub queue: QueueKey,
    /// The program that the call belongs to.
    pub program: ProgramId,
    /// The catalogue entry whose limits apply to the call.
    pub entry: Arc<Entry>,
    /// The estimated tokens in the prompt, history included.
    pub prompt_tokens: u64,
    /// The estimated prompt tokens that belong to the program's history.
    pub history_tokens: u64,
    /// The maximum number of tokens that the engine may generate.
    pub max_tokens: u64,
    /// The prefixes that the prompt may start with, longest first, each with its maximum length in
    /// tokens.
    pub prefixes: Vec<(PrefixKey, u64)>,
    /// Whether an earlier call of the program has been served.
    pub under_way: bool,
    /// The tokens that the whole tree of programs has used so far.
    pub attained_tokens: u64,
    /// The time by which the caller wants the whole program to finish, if it gave one.
    pub deadline: Option<Timestamp>,
    /// The endpoints at which earlier attempts of the call failed.
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
    /// Returns the key of the prefix that the engine will have cached after it serves this call.
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
    let first_message = call.history.first().filter(|_| call.entry.limits.share_prefixes);
    if let Some(message) = first_message {
        let mut hasher = DefaultHasher::new();
        message.content.hash(&mut hasher);
        let key = PrefixKey::Owner(call.entry.owner.clone(), hasher.finish());
        keys.push((key, message.content.len() as u64 / BYTES_PER_TOKEN));
    }
    keys
}

/// Returns the bytes of text in a JSON value without serialising it. Member names do not count;
/// numbers, booleans and null count as 1 byte each.
fn text_bytes(value: &serde_json::Value) -> u64 {
    match value {
        serde_json::Value::String(text) => text.len() as u64,
        serde_json::Value::Array(values) => values.iter().map(text_bytes).sum(),
        serde_json::Value::Object(members) => members.values().map(text_bytes).sum(),
        _ => 1,
    }
}
