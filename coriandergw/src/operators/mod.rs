//! The HTTP interface of operators: the catalogue, the cluster's status, health and metrics.

use std::sync::Arc;

use axum::Json;
use axum::Router;
use axum::extract::State;
use axum::http::HeaderMap;
use axum::http::StatusCode;
use axum::response::IntoResponse;
use axum::response::Response;
use axum::routing::get;
use serde::Serialize;
use sha2::Digest;
use sha2::Sha256;

use crate::callers::bearer;
use crate::ids::InstanceName;
use crate::instance::HandlerState;
use crate::leases::StatusReport;
use crate::membership::MemberStatus;
use crate::result_code::Refusal;
use crate::result_code::ResultCode;

mod entries;
mod voters;

/// The state of the cluster, with what only the asked instance knows.
#[derive(Debug)]
#[derive(Serialize)]
struct Status {
    /// The instance that was asked.
    instance: InstanceName,
    /// When its certificate expires, in seconds since the Unix epoch.
    certificate_expires_at_s: Option<i64>,
    /// The state of the cluster.
    #[serde(flatten)]
    cluster: StatusReport,
    /// The other instances as the asked one's probes see them.
    members: Vec<MemberStatus>,
}

/// Builds the routes of operators.
pub fn routes() -> Router<Arc<HandlerState>> {
    Router::new()
        .merge(entries::routes())
        .merge(voters::routes())
        .route("/v1/status", get(status))
        .route("/healthz", get(|| async { "alive\n" }))
        .route("/readyz", get(ready))
        .route("/metrics", get(metrics))
}

async fn status(
    State(shared): State<Arc<HandlerState>>,
    headers: HeaderMap,
) -> Result<Json<Status>, Refusal> {
    check_operator(&shared, &headers)?;
    let transport = shared.transport.as_ref();
    Ok(Json(Status {
        instance: shared.cx.instance.clone(),
        certificate_expires_at_s: transport.and_then(|t| t.certificate_expires_at_s()),
        cluster: shared.cluster.status().await,
        members: shared.membership.as_ref().map(|m| m.status()).unwrap_or_default(),
    }))
}

async fn ready(State(shared): State<Arc<HandlerState>>) -> Response {
    match shared.is_ready() {
        true => "ready\n".into_response(),
        false => (StatusCode::SERVICE_UNAVAILABLE, "not ready\n").into_response(),
    }
}

async fn metrics(State(shared): State<Arc<HandlerState>>) -> String {
    shared.cx.metrics.render()
}

/// Refuses a request without the operator key, where one is set.
///
/// # Errors
/// Refuses a missing or wrong key.
pub fn check_operator(shared: &HandlerState, headers: &HeaderMap) -> Result<(), Refusal> {
    let Some(expected) = &shared.settings.access.operator_key_digest else {
        return Ok(());
    };
    let shown = hex::encode(Sha256::digest(bearer(headers).as_bytes()));
    match shown == *expected {
        true => Ok(()),
        false => Err(Refusal::not_run(ResultCode::Unauthorised, "the operator key is wrong")),
    }
}

#[cfg(test)]
mod tests;
