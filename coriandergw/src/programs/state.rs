//! The state of one program.

use std::collections::BTreeMap;
use std::sync::Arc;

use serde::Deserialize;
use serde::Serialize;
use serde_json::Value;

use crate::catalogue::Entry;
use crate::clock::Timestamp;
use crate::dispatch::CallKind;
use crate::dispatch::Message;
use crate::dispatch::Usage;
use crate::endpoints::client::input_messages;
use crate::ids::CallId;
use crate::ids::ProgramId;
use crate::ids::TargetName;
use crate::programs::home::CallAnswer;
use crate::programs::request::CallRequest;

/// One finished call in a program's history.
#[derive(Debug, Clone, PartialEq)]
#[derive(Serialize, Deserialize)]
pub struct Turn {
    /// The call.
    pub call_id: CallId,
    /// What kind of endpoint ran it.
    pub kind: CallKind,
    /// The model, tool or service.
    pub target: TargetName,
    /// What was asked.
    pub input: Value,
    /// What was answered.
    pub output: Value,
    /// What it used.
    pub usage: Usage,
}

/// What is left of a budget, with reservations taken out.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Remaining {
    /// Tokens.
    pub tokens: u64,
    /// Calls.
    pub calls: u64,
}

/// A call and how far it got.
#[derive(Debug)]
pub struct CallState {
    /// The request as first received.
    pub request: CallRequest,
    /// The answer, once there is one.
    pub answer: Option<CallAnswer>,
}

/// A program at its home instance.
#[derive(Debug)]
pub struct ProgramState {
    /// The identifier.
    pub id: ProgramId,
    /// The entry it was created under.
    pub entry: Arc<Entry>,
    /// The digest of the secret that opens it.
    pub secret_digest: [u8; 32],
    /// The parent, for a sub-agent.
    pub parent: Option<ProgramId>,
    /// When it was created.
    pub created_at: Timestamp,
    /// When the caller wants it done.
    pub deadline: Option<Timestamp>,
    /// What is left of its budget.
    pub remaining: Remaining,
    /// Its history, oldest first.
    pub history: Vec<Turn>,
    /// Its calls.
    pub calls: BTreeMap<CallId, CallState>,
    /// The tokens that it was served.
    pub attained_tokens: u64,
    /// Whether it has ended.
    pub ended: bool,
}

impl ProgramState {
    /// Returns the history as the messages of a prompt.
    pub fn messages(&self) -> Vec<Message> {
        self.history.iter().flat_map(turn_messages).collect()
    }
}

fn turn_messages(turn: &Turn) -> Vec<Message> {
    let output = match &turn.output {
        Value::String(text) => text.clone(),
        other => other.to_string(),
    };
    if turn.kind != CallKind::Model {
        return vec![Message { role: "tool".into(), content: output.into() }];
    }
    let mut messages = input_messages(&turn.input);
    messages.push(Message { role: "assistant".into(), content: output.into() });
    messages
}
