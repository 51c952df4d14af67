//! The catalogue entries over HTTP.

use std::sync::Arc;

use axum::Json;
use axum::Router;
use axum::extract::Path;
use axum::extract::State;
use axum::http::HeaderMap;
use axum::http::header;
use axum::response::IntoResponse;
use axum::response::Response;
use axum::routing::get;
use serde_json::json;

use crate::callers::Body;
use crate::catalogue::Change;
use crate::catalogue::ChangeAction;
use crate::catalogue::Entry;
use crate::catalogue::RawEntry;
use crate::ids::ChangeId;
use crate::ids::EntryName;
use crate::ids::OwnerName;
use crate::ids::Revision;
use crate::instance::HandlerState;
use crate::operators::check_operator;
use crate::result_code::Refusal;
use crate::result_code::ResultCode;

/// The header in which an operator's client may say who asks.
const OPERATOR_HEADER: &str = "operator";

/// Who asks where the client does not say.
const UNNAMED_OPERATOR: &str = "operator";

/// Builds the routes of the catalogue.
pub(super) fn routes() -> Router<Arc<HandlerState>> {
    Router::new()
        .route("/v1/catalogue/entries", get(list_entries))
        .route("/v1/catalogue/entries/{name}", get(read_entry).put(put_entry).delete(remove_entry))
        .route("/v1/catalogue/entries/{name}/history", get(read_history))
}

fn entry_name(raw: String) -> Result<EntryName, Refusal> {
    EntryName::try_from(raw)
        .map_err(|cause| Refusal::not_run(ResultCode::InvalidEntry, format!("name: {cause}")))
}

fn entry_response(entry: &Entry) -> Response {
    let tag = format!("\"{}\"", entry.revision);
    ([(header::ETAG, tag)], Json(RawEntry::from(entry))).into_response()
}

async fn list_entries(
    State(shared): State<Arc<HandlerState>>,
    headers: HeaderMap,
) -> Result<Json<serde_json::Value>, Refusal> {
    check_operator(&shared, &headers)?;
    let entries = shared.catalogue.entries();
    let entries: Vec<RawEntry> = entries.iter().map(|entry| entry.as_ref().into()).collect();
    Ok(Json(json!({"revision": shared.catalogue.revision(), "entries": entries})))
}

async fn read_entry(
    State(shared): State<Arc<HandlerState>>,
    Path(name): Path<String>,
    headers: HeaderMap,
) -> Result<Response, Refusal> {
    check_operator(&shared, &headers)?;
    let name = entry_name(name)?;
    let entry = shared.catalogue.entry(&name).ok_or_else(|| {
        Refusal::not_run(ResultCode::UnknownEntry, format!("no entry is named {name}"))
    })?;
    Ok(entry_response(&entry))
}

async fn put_entry(
    State(shared): State<Arc<HandlerState>>,
    Path(name): Path<String>,
    headers: HeaderMap,
    Body(mut raw): Body<RawEntry>,
) -> Result<Response, Refusal> {
    check_operator(&shared, &headers)?;
    let name = entry_name(name)?;
    if raw.name.is_empty() {
        raw.name = name.to_string();
    }
    if raw.name != name.as_str() {
        let message = format!("the body names entry {:?}, the path {name}", raw.name);
        return Err(Refusal::not_run(ResultCode::InvalidEntry, message));
    }
    let entry = Entry::try_from(raw)
        .map_err(|cause| Refusal::not_run(ResultCode::InvalidEntry, cause.to_string()))?;
    let change = change_of(&headers, name, ChangeAction::Put(entry))?;
    change_response(&shared, &headers, change).await
}

async fn remove_entry(
    State(shared): State<Arc<HandlerState>>,
    Path(name): Path<String>,
    headers: HeaderMap,
) -> Result<Response, Refusal> {
    check_operator(&shared, &headers)?;
    let change = change_of(&headers, entry_name(name)?, ChangeAction::Remove)?;
    change_response(&shared, &headers, change).await
}

async fn read_history(
    State(shared): State<Arc<HandlerState>>,
    Path(name): Path<String>,
    headers: HeaderMap,
) -> Result<Json<serde_json::Value>, Refusal> {
    check_operator(&shared, &headers)?;
    let name = entry_name(name)?;
    let changes = shared.cluster.history(&name).await?;
    Ok(Json(json!({"entry": name, "changes": changes})))
}

async fn change_response(
    shared: &HandlerState,
    headers: &HeaderMap,
    change: Change,
) -> Result<Response, Refusal> {
    let mut body = json!({"entry": change.entry, "change_id": change.id});
    let answer = shared.catalogue_writer.change(change).await;
    let revision = answer.map_err(|refusal| match headers.contains_key(header::IF_MATCH) {
        true => refusal,
        false => without_if_match(refusal),
    })?;
    body["revision"] = json!(revision);
    Ok(([(header::ETAG, format!("\"{revision}\""))], Json(body)).into_response())
}

fn change_of(
    headers: &HeaderMap,
    entry: EntryName,
    action: ChangeAction,
) -> Result<Change, Refusal> {
    Ok(Change {
        id: change_id(headers)?,
        entry,
        against: if_match(headers)?,
        operator: operator(headers)?,
        action,
    })
}

/// Says that a change of an entry that exists needs the revision that it was made against.
fn without_if_match(refusal: Refusal) -> Refusal {
    match refusal.code {
        ResultCode::RevisionConflict => Refusal { code: ResultCode::RevisionRequired, ..refusal },
        _ => refusal,
    }
}

/// Reads who asks for a change, for the history.
fn operator(headers: &HeaderMap) -> Result<String, Refusal> {
    let Some(value) = headers.get(OPERATOR_HEADER) else {
        return Ok(UNNAMED_OPERATOR.to_owned());
    };
    let raw = value.to_str().unwrap_or("");
    OwnerName::try_from(raw).map(String::from).map_err(|cause| {
        Refusal::not_run(ResultCode::MalformedRequest, format!("Operator: {cause}"))
    })
}

fn change_id(headers: &HeaderMap) -> Result<ChangeId, Refusal> {
    let Some(value) = headers.get("change-id") else {
        return Ok(ChangeId::try_from(format!("c-{}", hex::encode(rand::random::<[u8; 16]>())))
            .expect("a valid name"));
    };
    let raw = value.to_str().unwrap_or("");
    ChangeId::try_from(raw).map_err(|cause| {
        Refusal::not_run(ResultCode::MalformedRequest, format!("Change-Id: {cause}"))
    })
}

/// Reads the revision that a change was made against; none stands for an entry that is not there.
fn if_match(headers: &HeaderMap) -> Result<Revision, Refusal> {
    let Some(value) = headers.get(header::IF_MATCH) else {
        return Ok(Revision(0));
    };
    let number = value.to_str().ok().and_then(|raw| raw.trim().trim_matches('"').parse().ok());
    number.map(Revision).ok_or_else(|| {
        Refusal::not_run(ResultCode::MalformedRequest, "If-Match must hold a revision number")
    })
}
