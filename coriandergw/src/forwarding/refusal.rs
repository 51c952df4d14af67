//! Converts refusals into HTTP responses.

use bytes::Bytes;
use http_body_util::BodyExt;
use http_body_util::Full;
use http_body_util::combinators::UnsyncBoxBody;
use hyper::Response;
use hyper::StatusCode;
use hyper::header;
use hyper::header::HeaderValue;

use crate::result_code::Refusal;

/// The error that ended a response body early.
pub type BodyError = Box<dyn std::error::Error + Send + Sync>;

/// The body of a response to a caller.
pub type ResponseBody = UnsyncBoxBody<Bytes, BodyError>;

/// Returns a body that consists of `bytes`.
pub(super) fn full_body(bytes: Bytes) -> ResponseBody {
    Full::new(bytes).map_err(|never| match never {}).boxed_unsync()
}

/// Returns the response for a refusal: the status of its code and a JSON body.
pub(super) fn to_response(refusal: &Refusal) -> Response<ResponseBody> {
    let body = serde_json::json!({
        "code": refusal.code.to_string(),
        "not_run": refusal.not_run,
        "message": refusal.message,
        "retry_after_ms": refusal.retry_after.map(|delay| delay.as_millis() as u64),
    });
    let mut res = Response::new(full_body(Bytes::from(body.to_string())));
    let status = StatusCode::from_u16(refusal.code.http_status());
    *res.status_mut() = status.unwrap_or(StatusCode::INTERNAL_SERVER_ERROR);
    let json = HeaderValue::from_static("application/json");
    res.headers_mut().insert(header::CONTENT_TYPE, json);
    if let Some(delay) = refusal.retry_after {
        let seconds = format!("{:.3}", delay.as_secs_f64());
        if let Ok(value) = HeaderValue::try_from(seconds) {
            res.headers_mut().insert(header::RETRY_AFTER, value);
        }
    }
    res
}
