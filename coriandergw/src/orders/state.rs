//! Orders, and the desired and reported state of an engine.

use std::collections::BTreeSet;

use derive_more::Display;
use derive_more::Error;
use serde::Deserialize;
use serde::Serialize;

use crate::ids::FencingNumber;
use crate::ids::NameError;
use crate::ids::TargetName;

/// The phase of inference that an engine runs.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
#[derive(Display, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum Role {
    /// Processes prompts only.
    #[display("prefill")]
    Prefill,
    /// Generates answers only.
    #[display("decode")]
    Decode,
    /// Processes prompts and generates answers.
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

/// The desired end state of one part of an engine.
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
    /// Returns the kind as written in the `order` field, in metrics and in events.
    pub fn kind(&self) -> &'static str {
        match self {
            Order::LoadModel { .. } => "load_model",
            Order::UnloadModel { .. } => "unload_model",
            Order::SetRole { .. } => "set_role",
        }
    }
}

/// The JSON body of an order: the order and the fencing number of the leader that sends it.
#[derive(Debug, Serialize)]
pub(super) struct OrderBody<'a> {
    pub(super) fencing: FencingNumber,
    #[serde(flatten)]
    pub(super) order: &'a Order,
}

/// The models and role that an engine should have.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct DesiredState {
    /// The versions that the engine should serve.
    pub models: BTreeSet<ModelVersion>,
    /// The role of the engine.
    pub role: Role,
}

/// A version that an engine reports as loaded or loading.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct LoadedModel {
    /// The version.
    pub version: ModelVersion,
    /// Whether the version is still loading and not served yet.
    pub loading: bool,
}

/// The state that an engine reports.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct EngineState {
    /// The highest fencing number that the engine has seen.
    pub fencing: FencingNumber,
    /// The versions that are loaded or loading.
    pub models: Vec<LoadedModel>,
    /// The role of the engine.
    pub role: Role,
}

/// Why a state report was rejected.
#[derive(Debug)]
#[derive(Display, Error)]
pub enum StateError {
    /// A field of the report is missing or has a value that is not allowed.
    #[display("cannot parse the state report: {cause}")]
    Malformed {
        /// The error from deserializing the JSON value.
        cause: serde_json::Error,
    },
    /// The name of a model is not valid.
    #[display("{cause}")]
    Name {
        /// Why the name is not valid.
        cause: NameError,
    },
}

#[derive(Deserialize)]
struct RawEngineState {
    #[serde(default)]
    fencing: u64,
    #[serde(default)]
    models: Vec<RawLoadedModel>,
    #[serde(default)]
    role: Role,
}

#[derive(Deserialize)]
struct RawLoadedModel {
    model: String,
    #[serde(default)]
    version: String,
    #[serde(default)]
    loading: bool,
}

impl TryFrom<RawLoadedModel> for LoadedModel {
    type Error = NameError;

    fn try_from(raw: RawLoadedModel) -> Result<Self, NameError> {
        let version = ModelVersion { model: raw.model.try_into()?, version: raw.version };
        Ok(Self { version, loading: raw.loading })
    }
}

impl TryFrom<serde_json::Value> for EngineState {
    type Error = StateError;

    fn try_from(raw: serde_json::Value) -> Result<Self, StateError> {
        let raw: RawEngineState =
            serde_json::from_value(raw).map_err(|cause| StateError::Malformed { cause })?;
        let models = raw.models.into_iter().map(LoadedModel::try_from);
        let invalid_name = |cause| StateError::Name { cause };
        Ok(Self {
            fencing: FencingNumber(raw.fencing),
            models: models.collect::<Result<_, _>>().map_err(invalid_name)?,
            role: raw.role,
        })
    }
}
