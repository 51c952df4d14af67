//! The interface through which programs hand over their calls: queueing, placement, sending and
//! retries.

use std::sync::Arc;

use async_trait::async_trait;
use bytes::Bytes;
use tokio::sync::mpsc;

use crate::catalogue::Entry;
use crate::clock::Timestamp;
use crate::endpoints::Announcement;
use crate::ids::CallId;
use crate::ids::EndpointName;
use crate::ids::FencingNumber;
use crate::ids::ProgramId;
use crate::ids::TargetName;
use crate::result_code::Refusal;

mod cache_feeds;
pub mod call_metadata;
mod endpoint_state;
pub mod engine_memory;
mod releases;
pub mod scheduled;
pub mod scheduler;
mod send_failure;

/// The kind of endpoint that a call needs.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
#[derive(serde::Serialize, serde::Deserialize)]
#[derive(derive_more::Display)]
#[serde(rename_all = "lowercase")]
pub enum CallKind {
    /// A call to a model on an engine.
    #[display("model")]
    Model,
    /// A call to a tool service.
    #[display("tool")]
    Tool,
    /// A call to a service that is neither a model nor a tool.
    #[display("service")]
    Service,
}

/// One message of a model call's prompt.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(serde::Serialize, serde::Deserialize)]
pub struct Message {
    /// `user`, `assistant` or `tool`.
    pub role: Arc<str>,
    /// The text of the message.
    pub content: Arc<str>,
}

/// A call that is ready to run: its predecessors have finished and its budget is reserved.
#[derive(Debug, Clone)]
pub struct ReadyCall {
    /// The program that the call belongs to.
    pub program: ProgramId,
    /// The root of the program's tree; equal to `program` unless the program is a sub-agent.
    pub root: ProgramId,
    /// The catalogue entry whose limits apply to the call.
    pub entry: Arc<Entry>,
    /// The identifier of the call within its program.
    pub call: CallId,
    /// The kind of endpoint that the call needs.
    pub kind: CallKind,
    /// Whether the call may safely run more than once.
    pub idempotent: bool,
    /// The model, tool or service to call.
    pub target: TargetName,
    /// The program's conversation history, oldest message first; empty for tools and services.
    pub history: Vec<Message>,
    /// The estimated length of the history in tokens.
    pub history_tokens: u64,
    /// The input of this call as JSON, without the history.
    pub input: serde_json::Value,
    /// The maximum number of tokens that the engine may generate.
    pub max_tokens: u64,
    /// The time by which the caller wants the whole program to finish, if it gave one.
    pub deadline: Option<Timestamp>,
    /// The tokens that the whole tree of programs has used so far.
    pub attained_tokens: u64,
    /// Whether an earlier call of the program has been served.
    pub under_way: bool,
}

/// The tokens that a call used.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
#[derive(serde::Serialize, serde::Deserialize)]
pub struct Usage {
    /// Tokens in the prompt.
    pub prompt_tokens: u64,
    /// Prompt tokens that the engine found in its cache.
    pub cached_tokens: u64,
    /// Tokens that the engine generated.
    pub completion_tokens: u64,
}

impl Usage {
    /// Returns the tokens that count against a budget.
    pub fn total(&self) -> u64 {
        self.prompt_tokens + self.completion_tokens
    }
}

/// How a call ended.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum DispatchOutcome {
    /// The endpoint answered in full.
    Done {
        /// The answer: text from a model, JSON or text from a tool or service.
        output: serde_json::Value,
        /// The tokens that the call used.
        usage: Usage,
        /// The endpoint that answered.
        endpoint: EndpointName,
    },
    /// The call did not run: no byte of it can have reached an endpoint.
    NotRun(Refusal),
    /// The endpoint answered with an error, or an idempotent call failed and is not retried again.
    Failed(Refusal),
    /// A call that must not be repeated was sent, but its answer was lost or did not arrive in
    /// time.
    Unknown(Refusal),
}

/// Receives notifications of the steps of a call, so that they can be made durable before they
/// take effect.
#[async_trait]
pub trait DispatchObserver: Send + Sync {
    /// Called before each attempt to send a call. Records the intent to send a call that is not
    /// idempotent. Nothing is sent unless this succeeds.
    ///
    /// After an error, the caller of this method must not send anything. It must report
    /// [`DispatchOutcome::NotRun`] with the refusal, or the failure of an earlier attempt if there
    /// was one.
    async fn before_send(&self, endpoint: &EndpointName) -> Result<(), Refusal>;

    /// Called when no byte of the attempt last passed to `before_send` was sent.
    ///
    /// Releases what was reserved for that attempt, so that the next attempt is not charged twice.
    async fn not_sent(&self, _endpoint: &EndpointName) {}
}

/// An endpoint's answer to a query for the outcome of a call.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum OutcomeLookup {
    /// The endpoint ran the call.
    Ran {
        /// The output that the call returned.
        output: serde_json::Value,
    },
    /// The endpoint has not run the call so far.
    NotRan,
}

/// Forwards generated text as it arrives. The channel is bounded, so that a slow caller applies
/// backpressure to the engine.
pub type TokenSink = mpsc::Sender<Bytes>;

/// An engine's report of the memory that it holds for programs.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct HeldMemory {
    /// The highest fencing number that the engine has seen.
    pub fencing: FencingNumber,
    /// The programs for which the engine holds memory.
    pub programs: Vec<ProgramId>,
}

/// Reads and releases the memory that engines hold for programs.
#[async_trait]
pub trait EngineMemory: Send + Sync {
    /// Returns the memory that an engine holds, or `None` if the engine gives no valid answer.
    async fn held(&self, engine: &Announcement) -> Option<HeldMemory>;

    /// Sends one release order for a program's memory. Returns whether the engine confirmed it.
    ///
    /// `fencing` is the highest fencing number that the engine is known to have seen.
    async fn release(
        &self,
        engine: &Announcement,
        program: &ProgramId,
        fencing: FencingNumber,
    ) -> bool;
}

/// Queues, places, sends and retries calls.
#[async_trait]
pub trait Dispatcher: Send + Sync {
    /// Runs a ready call to completion, with retries. Dropping the future cancels the call.
    async fn run(
        &self,
        call: ReadyCall,
        observer: &dyn DispatchObserver,
        sink: Option<TokenSink>,
    ) -> DispatchOutcome;

    /// Queries an endpoint for the outcome of a call. Returns `None` if the endpoint does not
    /// support the query or does not answer.
    async fn look_up(&self, _endpoint: &EndpointName, _call: &ReadyCall) -> Option<OutcomeLookup> {
        None
    }

    /// Records that other instances may have sent calls of the program to any engine of a model.
    fn sent_elsewhere(&self, _program: &ProgramId, _model: &TargetName) {}

    /// Releases the engine memory of a program that has ended. Retries in the background, for a
    /// limited time, until the engines confirm it.
    fn program_ended(&self, program: &ProgramId);
}
