//! What callers ask of programs, as it stands in a request body.

use serde::Deserialize;
use serde::Serialize;

use crate::dispatch::CallKind;
use crate::ids::CallId;
use crate::ids::EntryName;
use crate::ids::TargetName;

/// What a program may use. Parts left out take the limits of the entry.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Budget {
    /// Tokens of prompts and answers together.
    pub tokens: Option<u64>,
    /// Calls that are dispatched.
    pub calls: Option<u64>,
}

/// Creates a program.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ProgramRequest {
    /// The catalogue entry.
    pub entry: EntryName,
    /// The budget.
    #[serde(default)]
    pub budget: Budget,
    /// The time in which the caller wants the whole program done, in milliseconds from now.
    #[serde(default)]
    pub deadline_ms: Option<u64>,
}

/// Creates a sub-agent of a program.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct ChildRequest {
    /// The most that the child may draw from its parent's budget.
    pub budget: Budget,
    /// Whether the child starts from the parent's history.
    pub inherit_history: bool,
}

/// Adds a call to a program.
#[derive(Debug, Clone, PartialEq)]
#[derive(Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct CallRequest {
    /// The caller's identifier of the call, unique in the program.
    pub call_id: CallId,
    /// The calls that must be done first.
    #[serde(default)]
    pub after: Vec<CallId>,
    /// What kind of endpoint it needs.
    pub kind: CallKind,
    /// Whether it may run more than once; model calls always may.
    #[serde(default)]
    pub idempotent: bool,
    /// The model, tool or service.
    pub target: TargetName,
    /// The input for the endpoint.
    #[serde(default)]
    pub input: serde_json::Value,
}
