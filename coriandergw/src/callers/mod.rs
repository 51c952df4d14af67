//! The HTTP interface of callers and of endpoints that announce themselves.

use std::convert::Infallible;
use std::net::SocketAddr;
use std::sync::Arc;

use axum::Json;
use axum::Router;
use axum::body::Bytes;
use axum::extract::ConnectInfo;
use axum::extract::DefaultBodyLimit;
use axum::extract::FromRequest;
use axum::extract::Path;
use axum::extract::Request;
use axum::extract::State;
use axum::http::HeaderMap;
use axum::http::StatusCode;
use axum::http::header;
use axum::response::IntoResponse;
use axum::response::Response;
use axum::response::sse;
use axum::response::sse::Sse;
use axum::routing::delete;
use axum::routing::get;
use axum::routing::post;
use futures_util::Stream;
use serde::de::DeserializeOwned;
use serde_json::json;
use tokio::sync::mpsc;

use crate::addresses::AddressAnswer;
use crate::endpoints::Announcement;
use crate::endpoints::directory::RENEWAL_INTERVAL;
use crate::events::EventNumber;
use crate::events::Subject;
use crate::ids::ProgramId;
use crate::instance::Shared;
use crate::programs::CallAnswer;
use crate::programs::CallRequest;
use crate::programs::ChildRequest;
use crate::programs::ProgramRequest;
use crate::result_code::Refusal;
use crate::result_code::ResultCode;

/// The largest request body accepted, in bytes.
pub const BODY_MAX_BYTES: usize = 2 * 1024 * 1024;

/// The pieces of text buffered between an engine and a caller that streams.
const STREAM_BUFFER: usize = 64;

/// Builds the routes of callers and endpoints.
pub fn routes() -> Router<Arc<Shared>> {
    Router::new()
        .route("/v1/addresses", get(addresses))
        .route("/v1/programs", post(create_program))
        .route("/v1/programs/{id}", delete(end_program))
        .route("/v1/programs/{id}/calls", post(add_call))
        .route("/v1/programs/{id}/history", get(read_history))
        .route("/v1/programs/{id}/programs", post(create_child))
        .route("/v1/endpoints", post(announce_endpoint))
        .layer(DefaultBodyLimit::max(BODY_MAX_BYTES))
}

impl IntoResponse for Refusal {
    fn into_response(self) -> Response {
        let status = StatusCode::from_u16(self.code.http_status())
            .unwrap_or(StatusCode::INTERNAL_SERVER_ERROR);
        (status, Json(refusal_body(&self))).into_response()
    }
}

fn refusal_body(refusal: &Refusal) -> serde_json::Value {
    json!({
        "code": refusal.code.to_string(),
        "not_run": refusal.not_run,
        "message": refusal.message,
        "retry_after_ms": refusal.retry_after.map(|delay| delay.as_millis() as u64),
    })
}

/// A JSON body whose faults are answered with numbered codes.
pub struct Body<T>(pub T);

impl<S, T> FromRequest<S> for Body<T>
where
    S: Send + Sync,
    T: DeserializeOwned,
{
    type Rejection = Refusal;

    async fn from_request(req: Request, state: &S) -> Result<Self, Refusal> {
        let bytes = Bytes::from_request(req, state).await.map_err(|rejection| {
            let code = match rejection.status() {
                StatusCode::PAYLOAD_TOO_LARGE => ResultCode::BodyTooLarge,
                _ => ResultCode::MalformedRequest,
            };
            Refusal::not_run(code, rejection.body_text())
        })?;
        let parsed = serde_json::from_slice(&bytes);
        parsed.map(Body).map_err(|cause| {
            Refusal::not_run(ResultCode::MalformedRequest, format!("body: {cause}"))
        })
    }
}

fn program_id(raw: String) -> Result<ProgramId, Refusal> {
    let unknown =
        |_| Refusal::not_run(ResultCode::UnknownProgram, "the path does not hold a program's id");
    ProgramId::try_from(raw).map_err(unknown)
}

/// Returns the bearer token of a request, or the empty string.
pub fn bearer(headers: &HeaderMap) -> &str {
    let value = headers.get(header::AUTHORIZATION).and_then(|value| value.to_str().ok());
    value.and_then(|value| value.strip_prefix("Bearer ")).unwrap_or("")
}

async fn addresses(
    State(shared): State<Arc<Shared>>,
    ConnectInfo(caller): ConnectInfo<SocketAddr>,
) -> Json<AddressAnswer> {
    Json(shared.addresses.answer(caller.ip()))
}

async fn create_program(
    State(shared): State<Arc<Shared>>,
    Body(req): Body<ProgramRequest>,
) -> Result<Response, Refusal> {
    let created = shared.programs.create(req).await?;
    Ok((StatusCode::CREATED, Json(created)).into_response())
}

async fn create_child(
    State(shared): State<Arc<Shared>>,
    Path(id): Path<String>,
    headers: HeaderMap,
    Body(req): Body<ChildRequest>,
) -> Result<Response, Refusal> {
    let id = program_id(id)?;
    let created = shared.programs.create_child(&id, bearer(&headers), req).await?;
    Ok((StatusCode::CREATED, Json(created)).into_response())
}

async fn end_program(
    State(shared): State<Arc<Shared>>,
    Path(id): Path<String>,
    headers: HeaderMap,
) -> Result<StatusCode, Refusal> {
    shared.programs.end(&program_id(id)?, bearer(&headers)).await?;
    Ok(StatusCode::NO_CONTENT)
}

async fn read_history(
    State(shared): State<Arc<Shared>>,
    Path(id): Path<String>,
    headers: HeaderMap,
) -> Result<Json<serde_json::Value>, Refusal> {
    let id = program_id(id)?;
    let turns = shared.programs.history(&id, bearer(&headers)).await?;
    Ok(Json(json!({"program": id, "turns": turns})))
}

async fn add_call(
    State(shared): State<Arc<Shared>>,
    Path(id): Path<String>,
    headers: HeaderMap,
    Body(req): Body<CallRequest>,
) -> Response {
    let id = match program_id(id) {
        Ok(id) => id,
        Err(refusal) => return refusal.into_response(),
    };
    let secret = bearer(&headers).to_owned();
    let accept = headers.get(header::ACCEPT).and_then(|value| value.to_str().ok());
    if accept.is_some_and(|value| value.contains("text/event-stream")) {
        return Sse::new(stream_call(shared, id, secret, req)).into_response();
    }
    call_response(shared.programs.call(&id, &secret, req, None).await)
}

fn call_response(answer: CallAnswer) -> Response {
    match answer {
        Ok(body) => {
            ([(header::CONTENT_TYPE, "application/json")], body.to_string()).into_response()
        }
        Err(refusal) => refusal.into_response(),
    }
}

fn stream_call(
    shared: Arc<Shared>,
    id: ProgramId,
    secret: String,
    req: CallRequest,
) -> impl Stream<Item = Result<sse::Event, Infallible>> {
    let (sink, texts) = mpsc::channel(STREAM_BUFFER);
    let call = async move { shared.programs.call(&id, &secret, req, Some(sink)).await };
    let texts = futures_util::stream::unfold(texts, |mut texts| async move {
        let text = texts.recv().await?;
        let body = json!({"text": String::from_utf8_lossy(&text)});
        Some((sse::Event::default().event("token").data(body.to_string()), texts))
    });
    let answer = futures_util::stream::once(async move {
        match call.await {
            Ok(body) => sse::Event::default().event("answer").data(body.as_ref()),
            Err(refusal) => {
                let body = refusal_body(&refusal).to_string();
                sse::Event::default().event("error").data(body)
            }
        }
    });
    // Both run at once; the texts end when the call drops its sink, before the answer.
    futures_util::StreamExt::map(futures_util::stream::select(texts, answer), Ok)
}

async fn announce_endpoint(
    State(shared): State<Arc<Shared>>,
    Body(announcement): Body<Announcement>,
) -> Json<serde_json::Value> {
    let name = announcement.name.to_string();
    let leaving = announcement.leaving;
    if shared.directory.announce(announcement, shared.cx.clock.now()) {
        let number = match leaving {
            true => EventNumber::EndpointLeaving,
            false => EventNumber::EndpointAnnounced,
        };
        let subject = Subject { peer: Some(name), ..Subject::default() };
        shared.cx.events.record(number, subject, "announcement changed");
    }
    Json(json!({"renew_after_ms": RENEWAL_INTERVAL.as_millis() as u64}))
}
