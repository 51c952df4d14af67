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
use sha2::Digest;
use sha2::Sha256;

use crate::callers::bearer;
use crate::instance::Shared;
use crate::leases::StatusReport;
use crate::result_code::Refusal;
use crate::result_code::ResultCode;

mod entries;
mod voters;

/// Builds the routes of operators.
pub fn routes() -> Router<Arc<Shared>> {
    Router::new()
        .merge(entries::routes())
        .merge(voters::routes())
        .route("/v1/status", get(status))
        .route("/healthz", get(|| async { "alive\n" }))
        .route("/readyz", get(ready))
        .route("/metrics", get(metrics))
}

async fn status(
    State(shared): State<Arc<Shared>>,
    headers: HeaderMap,
) -> Result<Json<StatusReport>, Refusal> {
    check_operator(&shared, &headers)?;
    Ok(Json(shared.cluster.status().await))
}

async fn ready(State(shared): State<Arc<Shared>>) -> Response {
    match shared.is_ready() {
        true => "ready\n".into_response(),
        false => (StatusCode::SERVICE_UNAVAILABLE, "not ready\n").into_response(),
    }
}

async fn metrics(State(shared): State<Arc<Shared>>) -> String {
    shared.cx.metrics.render()
}

/// Refuses a request without the operator key, where one is set.
///
/// # Errors
/// Refuses a missing or wrong key.
pub fn check_operator(shared: &Shared, headers: &HeaderMap) -> Result<(), Refusal> {
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
