//! The request bodies of the programs API.

use serde::Deserialize;
use serde::Serialize;

use crate::dispatch::CallKind;
use crate::ids::CallId;
use crate::ids::EntryName;
use crate::ids::TargetName;

/// The budget of a program. Omitted fields default to the limits of the entry, or to the parent's
/// remaining budget for a sub-agent.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Budget {
    /// The tokens of prompts and answers together.
    pub tokens: Option<u64>,
    /// The number of calls.
    pub calls: Option<u64>,
}

/// The request that creates a program.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ProgramRequest {
    /// The name of the catalogue entry to create it under.
    pub entry: EntryName,
    /// The requested budget, capped by the limits of the entry.
    #[serde(default)]
    pub budget: Budget,
    /// The time within which the caller wants the program done, in milliseconds from now.
    #[serde(default)]
    pub deadline_ms: Option<u64>,
}

/// The request that creates a sub-agent of a program.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct ChildRequest {
    /// The part of the parent's budget to delegate to the sub-agent.
    pub budget: Budget,
    /// Whether the sub-agent starts with the parent's history.
    pub inherit_history: bool,
}

/// The request that runs a call of a program.
#[derive(Debug, Clone, PartialEq)]
#[derive(Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct CallRequest {
    /// The caller's identifier of the call, unique in the program.
    pub call_id: CallId,
    /// The calls that must succeed before this one starts.
    #[serde(default)]
    pub after: Vec<CallId>,
    /// The kind of endpoint that runs it.
    pub kind: CallKind,
    /// Whether it may run more than once; model calls always may.
    #[serde(default)]
    pub idempotent: bool,
    /// The name of the model, tool or service.
    pub target: TargetName,
    /// The input for the endpoint.
    #[serde(default)]
    pub input: serde_json::Value,
}
