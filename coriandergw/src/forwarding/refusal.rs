//! Turns refusals into answers.

use bytes::Bytes;
use http_body_util::BodyExt;
use http_body_util::Full;
use http_body_util::combinators::UnsyncBoxBody;
use hyper::Response;
use hyper::StatusCode;
use hyper::header;
use hyper::header::HeaderValue;

use crate::result_code::Refusal;

/// The cause of an answer that ended early.
pub type BodyError = Box<dyn std::error::Error + Send + Sync>;

/// The body of an answer to a caller.
pub type ResponseBody = UnsyncBoxBody<Bytes, BodyError>;

/// Returns a body that is there as a whole.
pub(super) fn whole(bytes: Bytes) -> ResponseBody {
    Full::new(bytes).map_err(|never| match never {}).boxed_unsync()
}

/// Returns the answer that carries a refusal.
pub(super) fn answer(refusal: &Refusal) -> Response<ResponseBody> {
    let body = serde_json::json!({
        "code": refusal.code.to_string(),
        "not_run": refusal.not_run,
        "message": refusal.message,
        "retry_after_ms": refusal.retry_after.map(|delay| delay.as_millis() as u64),
    });
    let mut res = Response::new(whole(Bytes::from(body.to_string())));
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
