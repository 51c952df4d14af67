//! The border between programs and the decisions where their calls run.

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

/// Says what kind of endpoint a call is for.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
#[derive(serde::Serialize, serde::Deserialize)]
#[derive(derive_more::Display)]
#[serde(rename_all = "lowercase")]
pub enum CallKind {
    /// A call of a model on an engine.
    #[display("model")]
    Model,
    /// A call of a tool service.
    #[display("tool")]
    Tool,
    /// A call of a plain service.
    #[display("service")]
    Service,
}

/// One message of a model call's prompt.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(serde::Serialize, serde::Deserialize)]
pub struct Message {
    /// `user`, `assistant` or `tool`.
    pub role: Arc<str>,
    /// The text.
    pub content: Arc<str>,
}

/// A call that is ready to run: its predecessors are done and its budget is reserved.
#[derive(Debug, Clone)]
pub struct ReadyCall {
    /// The program that the call belongs to.
    pub program: ProgramId,
    /// The root of the program's tree; equal to `program` unless it is a sub-agent.
    pub root: ProgramId,
    /// The catalogue entry.
    pub entry: Arc<Entry>,
    /// The call's identifier.
    pub call: CallId,
    /// What kind of endpoint it needs.
    pub kind: CallKind,
    /// Whether it may run more than once.
    pub idempotent: bool,
    /// The model, tool or service.
    pub target: TargetName,
    /// The program's history, oldest first; empty for tools and services.
    pub history: Vec<Message>,
    /// The estimated length of the history in tokens.
    pub history_tokens: u64,
    /// The call's own input as JSON.
    pub input: serde_json::Value,
    /// The most tokens that the engine may generate.
    pub max_tokens: u64,
    /// When the caller wants the whole program done, if it said so.
    pub deadline: Option<Timestamp>,
    /// The tokens that the whole tree of programs was served so far.
    pub attained_tokens: u64,
    /// Whether the program has had an earlier call served.
    pub under_way: bool,
}

/// What a call used.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
#[derive(serde::Serialize, serde::Deserialize)]
pub struct Usage {
    /// Tokens of the prompt.
    pub prompt_tokens: u64,
    /// Tokens of the prompt that the engine found in its cache.
    pub cached_tokens: u64,
    /// Tokens that were generated.
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
        /// The answer: text for a model, JSON or text for a tool or service.
        output: serde_json::Value,
        /// What the call used.
        usage: Usage,
        /// The endpoint that answered.
        endpoint: EndpointName,
    },
    /// No byte of the call can have reached an endpoint.
    NotRun(Refusal),
    /// The endpoint answered with an error, or an idempotent call failed for good.
    Failed(Refusal),
    /// A call that must not be repeated was sent and its answer is lost.
    Unknown(Refusal),
}

/// Is told of the steps of a call that must be durable or shown before they take effect.
#[async_trait]
pub trait DispatchObserver: Send + Sync {
    /// Records the intent to send a non-idempotent call. Nothing is sent unless this succeeds.
    ///
    /// After an error, the caller of this method must not send anything and must report
    /// [`DispatchOutcome::NotRun`] with the refusal.
    async fn before_send(&self, endpoint: &EndpointName) -> Result<(), Refusal>;

    /// Is told that no byte of the attempt last announced by `before_send` was sent.
    ///
    /// Frees what was reserved for that attempt, so that another one is not charged twice.
    async fn not_sent(&self, _endpoint: &EndpointName) {}
}

/// What an endpoint says of a call that it was asked about.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum OutcomeLookup {
    /// It ran the call.
    Ran {
        /// The output of the call.
        output: serde_json::Value,
    },
    /// It has not run the call so far.
    NotRan,
}

/// Passes generated text on as it arrives; bounded, so that a slow caller slows the engine.
pub type TokenSink = mpsc::Sender<Bytes>;

/// What an engine reports of the memory that it holds.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct HeldMemory {
    /// The highest fencing number that it has seen.
    pub fencing: FencingNumber,
    /// The programs whose memory it holds.
    pub programs: Vec<ProgramId>,
}

/// Reads and releases the memory that engines hold for programs.
#[async_trait]
pub trait EngineMemory: Send + Sync {
    /// Returns what an engine holds, or `None` if it does not answer.
    async fn held(&self, engine: &Announcement) -> Option<HeldMemory>;

    /// Orders the release of a program's memory once. Returns whether the engine confirmed it.
    ///
    /// `fencing` is the highest number that the engine is known to have seen.
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
    /// Runs a ready call to its end. Dropping the future cancels the call.
    async fn run(
        &self,
        call: ReadyCall,
        observer: &dyn DispatchObserver,
        sink: Option<TokenSink>,
    ) -> DispatchOutcome;

    /// Asks an endpoint for the outcome of a call, where it can be asked.
    async fn look_up(&self, _endpoint: &EndpointName, _call: &ReadyCall) -> Option<OutcomeLookup> {
        None
    }

    /// Notes that other instances may have sent calls of the program to any engine of a model.
    fn sent_elsewhere(&self, _program: &ProgramId, _model: &TargetName) {}

    /// Releases the engine memory of a program that has ended; repeated until confirmed.
    fn program_ended(&self, program: &ProgramId);
}
