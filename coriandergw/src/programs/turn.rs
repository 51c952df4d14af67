//! The turns of a program's history: its calls that ended with a complete answer.

use std::sync::Arc;
use std::sync::OnceLock;

use serde::Serialize;
use serde::Serializer;
use serde::ser::SerializeStruct;
use serde_json::Value;

use crate::dispatch::CallKind;
use crate::dispatch::Message;
use crate::endpoints::client::input_messages;
use crate::programs::record::Completion;
use crate::programs::request::CallRequest;

/// The most tokens that a prompt needs per message in addition to the text.
pub const MESSAGE_OVERHEAD_TOKENS: u64 = 16;

/// A call's request and its complete answer.
#[derive(Debug)]
pub struct Turn {
    /// The request of the call.
    pub request: Arc<CallRequest>,
    /// The answer of the endpoint.
    pub completion: Arc<Completion>,
    messages: OnceLock<Vec<Message>>,
}

impl Turn {
    /// Creates a turn; its messages are built on first use.
    pub fn new(request: Arc<CallRequest>, completion: Arc<Completion>) -> Self {
        Self { request, completion, messages: OnceLock::new() }
    }

    /// Returns the messages that represent the turn in a prompt.
    pub fn messages(&self) -> &[Message] {
        self.messages.get_or_init(|| self.build_messages())
    }

    fn build_messages(&self) -> Vec<Message> {
        let output = match serde_json::from_str(&self.completion.output) {
            Ok(Value::String(text)) => text.into(),
            _ => self.completion.output.clone(),
        };
        if self.request.kind != CallKind::Model {
            return vec![Message { role: "tool".into(), content: output }];
        }
        let mut messages = input_messages(&self.request.input);
        messages.push(Message { role: "assistant".into(), content: output });
        messages
    }

    /// Returns an upper bound of the tokens that the turn takes in a prompt.
    pub fn token_bound(&self) -> u64 {
        messages_bound(self.messages())
    }

    /// Returns the size of the input and the output in bytes.
    pub fn text_bytes(&self) -> usize {
        let input = match self.request.input.as_str() {
            Some(text) => text.len(),
            None => self.request.input.to_string().len(),
        };
        input + self.completion.output.len()
    }
}

/// Returns an upper bound of the tokens that messages take in a prompt.
///
/// A token has at least one byte, so the length of the text in bytes bounds its tokens.
pub fn messages_bound(messages: &[Message]) -> u64 {
    messages.iter().map(|message| message.content.len() as u64 + MESSAGE_OVERHEAD_TOKENS).sum()
}

impl Serialize for Turn {
    fn serialize<S>(&self, serializer: S) -> Result<S::Ok, S::Error>
    where
        S: Serializer,
    {
        let output: Value = serde_json::from_str(&self.completion.output).unwrap_or_default();
        let mut turn = serializer.serialize_struct("Turn", 6)?;
        turn.serialize_field("call_id", &self.request.call_id)?;
        turn.serialize_field("kind", &self.request.kind)?;
        turn.serialize_field("target", &self.request.target)?;
        turn.serialize_field("input", &self.request.input)?;
        turn.serialize_field("output", &output)?;
        turn.serialize_field("usage", &self.completion.usage)?;
        turn.end()
    }
}
