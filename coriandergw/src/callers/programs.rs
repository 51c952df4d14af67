//! Creates, reads and ends programs for callers.

use std::sync::Arc;

use axum::Json;
use axum::extract::State;
use axum::http::HeaderMap;
use axum::http::StatusCode;
use axum::response::IntoResponse;
use axum::response::Response;
use serde_json::json;

use crate::callers::accounts::check_account;
use crate::callers::body::Body;
use crate::callers::body::ProgramPath;
use crate::callers::body::bearer;
use crate::instance::HandlerState;
use crate::programs::ChildRequest;
use crate::programs::ProgramRequest;
use crate::result_code::Refusal;

pub(super) async fn create(
    State(shared): State<Arc<HandlerState>>,
    headers: HeaderMap,
    Body(req): Body<ProgramRequest>,
) -> Result<Response, Refusal> {
    if shared.settings.access.require_account_key {
        check_account(shared.catalogue.as_ref(), &req.entry, bearer(&headers))?;
    }
    let created = shared.programs.create(req).await?;
    Ok((StatusCode::CREATED, Json(created)).into_response())
}

pub(super) async fn create_child(
    State(shared): State<Arc<HandlerState>>,
    ProgramPath(id): ProgramPath,
    headers: HeaderMap,
    Body(req): Body<ChildRequest>,
) -> Result<Response, Refusal> {
    let created = shared.programs.create_child(&id, bearer(&headers), req).await?;
    Ok((StatusCode::CREATED, Json(created)).into_response())
}

pub(super) async fn end(
    State(shared): State<Arc<HandlerState>>,
    ProgramPath(id): ProgramPath,
    headers: HeaderMap,
) -> Result<StatusCode, Refusal> {
    shared.programs.end(&id, bearer(&headers)).await?;
    Ok(StatusCode::NO_CONTENT)
}

pub(super) async fn read_history(
    State(shared): State<Arc<HandlerState>>,
    ProgramPath(id): ProgramPath,
    headers: HeaderMap,
) -> Result<Json<serde_json::Value>, Refusal> {
    let turns = shared.programs.history(&id, bearer(&headers)).await?;
    Ok(Json(json!({"program": id, "turns": turns})))
}
