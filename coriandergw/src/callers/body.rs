//! Reads what requests carry and writes refusals, each fault with its number.

use axum::Json;
use axum::body::Bytes;
use axum::extract::FromRequest;
use axum::extract::FromRequestParts;
use axum::extract::Path;
use axum::extract::Request;
use axum::http::HeaderMap;
use axum::http::StatusCode;
use axum::http::header;
use axum::http::request::Parts;
use axum::response::IntoResponse;
use axum::response::Response;
use serde::de::DeserializeOwned;
use serde_json::json;

use crate::ids::ProgramId;
use crate::result_code::Refusal;
use crate::result_code::ResultCode;

impl IntoResponse for Refusal {
    fn into_response(self) -> Response {
        (self.status(), Json(refusal_body(&self))).into_response()
    }
}

impl Refusal {
    /// Returns the HTTP status that goes with the code.
    pub(super) fn status(&self) -> StatusCode {
        StatusCode::from_u16(self.code.http_status()).unwrap_or(StatusCode::INTERNAL_SERVER_ERROR)
    }
}

/// Returns the JSON body that tells a caller of a refusal.
pub(super) fn refusal_body(refusal: &Refusal) -> serde_json::Value {
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
                // What failed is the connection, so the request is worth sending again.
                _ => ResultCode::BodyIncomplete,
            };
            Refusal::not_run(code, rejection.body_text())
        })?;
        let parsed = serde_json::from_slice(&bytes);
        parsed.map(Body).map_err(|cause| {
            Refusal::not_run(ResultCode::MalformedRequest, format!("body: {cause}"))
        })
    }
}

/// The program that a request's path names.
pub(super) struct ProgramPath(pub ProgramId);

impl<S> FromRequestParts<S> for ProgramPath
where
    S: Send + Sync,
{
    type Rejection = Refusal;

    async fn from_request_parts(parts: &mut Parts, state: &S) -> Result<Self, Refusal> {
        let raw = Path::<String>::from_request_parts(parts, state).await.ok();
        let id = raw.and_then(|Path(raw)| ProgramId::try_from(raw).ok());
        id.map(Self).ok_or_else(|| {
            let message = "the path does not hold a program's id";
            Refusal::not_run(ResultCode::UnknownProgram, message)
        })
    }
}

/// Returns the bearer token of a request, or the empty string.
pub fn bearer(headers: &HeaderMap) -> &str {
    let value = headers.get(header::AUTHORIZATION).and_then(|value| value.to_str().ok());
    value.and_then(|value| value.strip_prefix("Bearer ")).unwrap_or("")
}
