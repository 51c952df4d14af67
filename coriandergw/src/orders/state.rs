//! Orders, and the state of an engine as wanted and as reported.

use std::collections::BTreeSet;

use derive_more::Display;
use derive_more::Error;
use serde::Deserialize;
use serde::Serialize;

use crate::ids::FencingNumber;
use crate::ids::NameError;
use crate::ids::TargetName;

/// What an engine works on.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
#[derive(Display, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum Role {
    /// Prompts only.
    #[display("prefill")]
    Prefill,
    /// Answers only.
    #[display("decode")]
    Decode,
    /// Prompts and answers.
    #[default]
    #[display("both")]
    Both,
}

/// One version of a model or adapter.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct ModelVersion {
    /// The model.
    pub model: TargetName,
    /// The version.
    pub version: String,
}

/// A wanted end state of a part of an engine.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord)]
#[derive(Serialize)]
#[serde(tag = "order", rename_all = "snake_case")]
pub enum Order {
    /// The engine serves this version.
    LoadModel {
        /// The model.
        model: TargetName,
        /// The version.
        version: String,
    },
    /// The engine does not hold this version.
    UnloadModel {
        /// The model.
        model: TargetName,
        /// The version.
        version: String,
    },
    /// The engine has this role.
    SetRole {
        /// The role.
        role: Role,
    },
}

impl Order {
    /// Returns the name of the kind of order.
    pub fn kind(&self) -> &'static str {
        match self {
            Order::LoadModel { .. } => "load_model",
            Order::UnloadModel { .. } => "unload_model",
            Order::SetRole { .. } => "set_role",
        }
    }
}

/// An order with the fencing number of the leader that gives it, as it is sent.
#[derive(Debug, Serialize)]
pub(super) struct NumberedOrder<'a> {
    pub(super) fencing: FencingNumber,
    #[serde(flatten)]
    pub(super) order: &'a Order,
}

/// What an engine should be like.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct DesiredState {
    /// The versions that it should serve.
    pub models: BTreeSet<ModelVersion>,
    /// Its role.
    pub role: Role,
}

/// A version that an engine holds.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct LoadedModel {
    /// The version.
    pub version: ModelVersion,
    /// Whether it does not serve yet.
    pub loading: bool,
}

/// What an engine reports.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct EngineState {
    /// The highest fencing number that it has seen.
    pub fencing: FencingNumber,
    /// The versions that it holds.
    pub models: Vec<LoadedModel>,
    /// Its role.
    pub role: Role,
}

/// Says why a report could not be read.
#[derive(Debug)]
#[derive(Display, Error)]
pub enum StateError {
    /// The report is not of the stated form.
    #[display("the report cannot be read: {cause}")]
    Malformed {
        /// What the parser reported.
        cause: serde_json::Error,
    },
    /// A name is not valid.
    #[display("{cause}")]
    Name {
        /// Why it is not valid.
        cause: NameError,
    },
}

#[derive(Deserialize)]
struct RawState {
    #[serde(default)]
    fencing: u64,
    #[serde(default)]
    models: Vec<RawModel>,
    #[serde(default)]
    role: Role,
}

#[derive(Deserialize)]
struct RawModel {
    model: String,
    #[serde(default)]
    version: String,
    #[serde(default)]
    loading: bool,
}

impl TryFrom<RawModel> for LoadedModel {
    type Error = NameError;

    fn try_from(raw: RawModel) -> Result<Self, NameError> {
        let version = ModelVersion { model: raw.model.try_into()?, version: raw.version };
        Ok(Self { version, loading: raw.loading })
    }
}

impl TryFrom<serde_json::Value> for EngineState {
    type Error = StateError;

    fn try_from(raw: serde_json::Value) -> Result<Self, StateError> {
        let raw: RawState =
            serde_json::from_value(raw).map_err(|cause| StateError::Malformed { cause })?;
        let models = raw.models.into_iter().map(LoadedModel::try_from);
        let name = |cause| StateError::Name { cause };
        Ok(Self {
            fencing: FencingNumber(raw.fencing),
            models: models.collect::<Result<_, _>>().map_err(name)?,
            role: raw.role,
        })
    }
}
