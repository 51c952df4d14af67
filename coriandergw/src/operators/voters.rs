//! Lets operators replace a store instance that is lost for good.

use std::sync::Arc;

use axum::Json;
use axum::Router;
use axum::extract::State;
use axum::http::HeaderMap;
use axum::routing::post;
use serde::Deserialize;
use serde_json::Value;
use serde_json::json;

use crate::callers::Body;
use crate::ids::InstanceName;
use crate::instance::HandlerState;
use crate::operators::check_operator;
use crate::result_code::Refusal;

/// Names a voter and the instance that takes its place.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct ReplaceRequest {
    /// The voter that leaves.
    old: InstanceName,
    /// The instance that becomes a voter; the same name for one that lost its folder.
    new: InstanceName,
}

pub(super) fn routes() -> Router<Arc<HandlerState>> {
    Router::new().route("/v1/voters/replace", post(replace))
}

/// Starts the replacement in each group that this instance leads; the other leaders are asked too.
async fn replace(
    State(shared): State<Arc<HandlerState>>,
    headers: HeaderMap,
    Body(req): Body<ReplaceRequest>,
) -> Result<Json<Value>, Refusal> {
    check_operator(&shared, &headers)?;
    let mut groups = Vec::new();
    if let Some(voters) = &shared.voters {
        for started in voters.replace(&req.old, &req.new).await {
            let refused = started.result.err().map(|cause| cause.to_string());
            groups.push(json!({"group": started.group.0, "refused": refused}));
        }
    }
    Ok(Json(json!({"instance": shared.cx.instance, "groups": groups})))
}
