//! The records of the journal and their encoding.

use std::sync::Arc;

use derive_more::Display;
use derive_more::Error;
use prost::Message;

use crate::clock::WallTime;
use crate::dispatch::Usage;
use crate::ids::CallId;
use crate::ids::EndpointName;
use crate::ids::EntryName;
use crate::ids::NameError;
use crate::ids::OwnerName;
use crate::ids::ProgramId;
use crate::programs::budget::Amount;
use crate::programs::generated as wire;
use crate::programs::generated::record::What as WireWhat;
use crate::programs::request::CallRequest;
use crate::result_code::ResultCode;

/// One change to the state of a program.
#[derive(Debug, Clone, PartialEq)]
pub struct Record {
    /// The wall time of the home when it wrote the record.
    pub at: WallTime,
    /// The program that changed.
    pub program: ProgramId,
    /// The change.
    pub body: RecordBody,
}

/// The change that a record describes.
#[derive(Debug, Clone, PartialEq)]
pub enum RecordBody {
    /// The program was created.
    Created(Creation),
    /// A call was accepted, with the tokens reserved for it if it could start at once.
    Accepted {
        /// The request.
        request: Arc<CallRequest>,
        /// The reserved tokens; `None` if the call has to wait.
        reserved: Option<u64>,
    },
    /// Tokens were reserved for an attempt at a call: the first one of a call that had to wait, or
    /// a further one.
    Reserved {
        /// The call.
        call: CallId,
        /// The tokens.
        tokens: u64,
    },
    /// The latest attempt at a call sent no byte.
    NotSent {
        /// The call.
        call: CallId,
    },
    /// A call that must not be repeated is about to be sent.
    Intent {
        /// The call.
        call: CallId,
        /// The endpoint.
        endpoint: EndpointName,
    },
    /// A call ended with a complete answer.
    Done {
        /// The call.
        call: CallId,
        /// The answer.
        completion: Completion,
    },
    /// A call failed for good, or its outcome is unknown.
    Failed {
        /// The call.
        call: CallId,
        /// How it failed.
        failure: Failure,
    },
    /// A call was withdrawn; a resend starts it as a new call.
    Withdrawn {
        /// The call.
        call: CallId,
        /// Whether a byte of it may have reached an endpoint.
        sent: bool,
    },
    /// The program and its sub-agents ended.
    Ended {
        /// Why.
        reason: EndReason,
    },
}

/// The parameters that a program is created with.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Creation {
    /// The catalogue entry.
    pub entry: EntryName,
    /// The owner of the entry.
    pub owner: OwnerName,
    /// The SHA-256 digest of the secret that callers of the program present.
    pub secret_digest: [u8; 32],
    /// The budget.
    pub budget: Amount,
    /// The parent; only a sub-agent has one.
    pub parent: Option<ProgramId>,
    /// Whether a sub-agent starts from its parent's history.
    pub inherit_history: bool,
    /// The time by which the caller wants the program done.
    pub deadline: Option<WallTime>,
}

/// The complete answer of an endpoint.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Completion {
    /// The output as JSON text.
    pub output: Arc<str>,
    /// The tokens that the call used.
    pub usage: Usage,
    /// The endpoint that ran the call.
    pub endpoint: Option<EndpointName>,
    /// The number of turns of the history in the prompt.
    pub prompt_turns: u32,
}

/// Why a call has no output.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Failure {
    /// The result code that the caller gets.
    pub code: ResultCode,
    /// A description for people.
    pub message: String,
}

/// Why a program ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
#[derive(Display)]
pub enum EndReason {
    /// The caller ended it.
    #[display("ended by the caller")]
    Caller,
    /// It was idle for longer than its entry allows.
    #[display("idle for longer than its entry allows")]
    Idle,
    /// It reached the wall-time limit of its entry.
    #[display("reached the wall-time limit of its entry")]
    WallTime,
    /// Its parent ended.
    #[display("its parent ended")]
    ParentEnded,
}

impl EndReason {
    const ALL: [EndReason; 4] =
        [EndReason::Caller, EndReason::Idle, EndReason::WallTime, EndReason::ParentEnded];

    fn number(self) -> u32 {
        match self {
            EndReason::Caller => 1,
            EndReason::Idle => 2,
            EndReason::WallTime => 3,
            EndReason::ParentEnded => 4,
        }
    }
}

/// The error for bytes that are not a valid record, or for a record that cannot be applied.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Display, Error)]
#[display("a journal record is not valid: {reason}")]
pub struct RecordError {
    /// The cause.
    pub reason: String,
}

impl RecordError {
    pub(super) fn new<R>(reason: R) -> Self
    where
        R: Into<String>,
    {
        Self { reason: reason.into() }
    }
}

impl From<NameError> for RecordError {
    fn from(cause: NameError) -> Self {
        Self::new(cause.to_string())
    }
}

impl Record {
    /// Encodes the record for the log.
    pub fn encode(&self) -> Vec<u8> {
        let what = Some(encode_body(&self.body));
        let program = self.program.to_string();
        wire::Record { wall_ms: self.at.0, program, what }.encode_to_vec()
    }

    /// Decodes a record from the log.
    ///
    /// # Errors
    /// Fails on bytes that are not a valid record.
    pub fn decode(bytes: &[u8]) -> Result<Self, RecordError> {
        let raw =
            wire::Record::decode(bytes).map_err(|cause| RecordError::new(cause.to_string()))?;
        Self::try_from(raw)
    }
}

impl TryFrom<wire::Record> for Record {
    type Error = RecordError;

    fn try_from(raw: wire::Record) -> Result<Self, RecordError> {
        let what = raw.what.ok_or_else(|| RecordError::new("the record has no body"))?;
        Ok(Self {
            at: WallTime(raw.wall_ms),
            program: ProgramId::try_from(raw.program)?,
            body: decode_body(what)?,
        })
    }
}

fn encode_body(body: &RecordBody) -> WireWhat {
    match body {
        RecordBody::Created(creation) => WireWhat::Created(encode_creation(creation)),
        RecordBody::Accepted { request, reserved } => WireWhat::Accepted(wire::Accepted {
            request: serde_json::to_string(request.as_ref()).unwrap_or_default(),
            reserved: *reserved,
        }),
        RecordBody::Reserved { call, tokens } => {
            WireWhat::Reserved(wire::Reserved { call: call.to_string(), tokens: *tokens })
        }
        RecordBody::NotSent { call } => WireWhat::NotSent(wire::CallRef { call: call.to_string() }),
        RecordBody::Intent { call, endpoint } => WireWhat::Intent(wire::Intent {
            call: call.to_string(),
            endpoint: endpoint.to_string(),
        }),
        RecordBody::Done { call, completion } => {
            WireWhat::Done(encode_completion(call, completion))
        }
        RecordBody::Failed { call, failure } => WireWhat::Failed(wire::Failed {
            call: call.to_string(),
            code: u32::from(failure.code.number()),
            message: failure.message.clone(),
        }),
        RecordBody::Withdrawn { call, sent } => {
            WireWhat::Withdrawn(wire::Withdrawn { call: call.to_string(), sent: *sent })
        }
        RecordBody::Ended { reason } => WireWhat::Ended(wire::Ended { reason: reason.number() }),
    }
}

fn encode_creation(creation: &Creation) -> wire::Created {
    wire::Created {
        entry: creation.entry.to_string(),
        owner: creation.owner.to_string(),
        secret_digest: creation.secret_digest.to_vec().into(),
        tokens: creation.budget.tokens,
        calls: creation.budget.calls,
        parent: creation.parent.as_ref().map(ToString::to_string).unwrap_or_default(),
        inherit_history: creation.inherit_history,
        deadline_wall_ms: creation.deadline.map(|deadline| deadline.0),
    }
}

fn encode_completion(call: &CallId, completion: &Completion) -> wire::Done {
    wire::Done {
        call: call.to_string(),
        output: completion.output.to_string(),
        prompt_tokens: completion.usage.prompt_tokens,
        cached_tokens: completion.usage.cached_tokens,
        completion_tokens: completion.usage.completion_tokens,
        endpoint: completion.endpoint.as_ref().map(ToString::to_string).unwrap_or_default(),
        prompt_turns: completion.prompt_turns,
    }
}

fn decode_body(what: WireWhat) -> Result<RecordBody, RecordError> {
    Ok(match what {
        WireWhat::Created(raw) => RecordBody::Created(Creation::try_from(raw)?),
        WireWhat::Accepted(raw) => {
            let request = serde_json::from_str(&raw.request)
                .map_err(|cause| RecordError::new(cause.to_string()))?;
            RecordBody::Accepted { request: Arc::new(request), reserved: raw.reserved }
        }
        WireWhat::Reserved(raw) => {
            RecordBody::Reserved { call: CallId::try_from(raw.call)?, tokens: raw.tokens }
        }
        WireWhat::NotSent(raw) => RecordBody::NotSent { call: CallId::try_from(raw.call)? },
        WireWhat::Intent(raw) => RecordBody::Intent {
            call: CallId::try_from(raw.call)?,
            endpoint: EndpointName::try_from(raw.endpoint)?,
        },
        WireWhat::Done(raw) => RecordBody::Done {
            call: CallId::try_from(raw.call.as_str())?,
            completion: Completion::try_from(raw)?,
        },
        WireWhat::Failed(raw) => RecordBody::Failed {
            call: CallId::try_from(raw.call.as_str())?,
            failure: Failure::try_from(raw)?,
        },
        WireWhat::Withdrawn(raw) => {
            RecordBody::Withdrawn { call: CallId::try_from(raw.call)?, sent: raw.sent }
        }
        WireWhat::Ended(raw) => RecordBody::Ended { reason: EndReason::try_from(raw.reason)? },
    })
}

impl TryFrom<wire::Created> for Creation {
    type Error = RecordError;

    fn try_from(raw: wire::Created) -> Result<Self, RecordError> {
        let secret_digest = raw.secret_digest.as_ref().try_into();
        let parent = Some(raw.parent).filter(|parent| !parent.is_empty());
        Ok(Self {
            entry: EntryName::try_from(raw.entry)?,
            owner: OwnerName::try_from(raw.owner)?,
            secret_digest: secret_digest
                .map_err(|_| RecordError::new("the secret digest does not have 32 bytes"))?,
            budget: Amount { tokens: raw.tokens, calls: raw.calls },
            parent: parent.map(ProgramId::try_from).transpose()?,
            inherit_history: raw.inherit_history,
            deadline: raw.deadline_wall_ms.map(WallTime),
        })
    }
}

impl TryFrom<wire::Done> for Completion {
    type Error = RecordError;

    fn try_from(raw: wire::Done) -> Result<Self, RecordError> {
        let endpoint = Some(raw.endpoint).filter(|endpoint| !endpoint.is_empty());
        Ok(Self {
            output: raw.output.into(),
            usage: Usage {
                prompt_tokens: raw.prompt_tokens,
                cached_tokens: raw.cached_tokens,
                completion_tokens: raw.completion_tokens,
            },
            endpoint: endpoint.map(EndpointName::try_from).transpose()?,
            prompt_turns: raw.prompt_turns,
        })
    }
}

impl TryFrom<wire::Failed> for Failure {
    type Error = RecordError;

    fn try_from(raw: wire::Failed) -> Result<Self, RecordError> {
        let code = ResultCode::ALL.iter().find(|code| u32::from(code.number()) == raw.code);
        let code =
            *code.ok_or_else(|| RecordError::new(format!("unknown result code {}", raw.code)))?;
        Ok(Self { code, message: raw.message })
    }
}

impl TryFrom<u32> for EndReason {
    type Error = RecordError;

    fn try_from(raw: u32) -> Result<Self, RecordError> {
        let reason = Self::ALL.into_iter().find(|reason| reason.number() == raw);
        reason.ok_or_else(|| RecordError::new(format!("unknown end reason {raw}")))
    }
}
