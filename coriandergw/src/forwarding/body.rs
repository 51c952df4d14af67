//! Buffers the bodies of requests and answers under the memory budget.

use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use hyper::Request;
use hyper::Uri;
use hyper::body::Incoming;
use hyper::header;
use tokio::time::Instant;

use crate::context::Context;
use crate::forwarding::RequestHeaders;
use crate::forwarding::attempt::UpstreamRequest;
use crate::forwarding::attempt::UpstreamResponse;
use crate::forwarding::connecting::Connector;
use crate::forwarding::headers;
use crate::memory::body;
use crate::memory::body::BodyError;
use crate::memory::body::BodyLimits;
use crate::memory::budget::HolderKind;
use crate::memory::open_connections::OpenConnection;
use crate::memory::shared::Held;
use crate::result_code::Refusal;
use crate::result_code::ResultCode;

/// The largest response that is buffered completely before it is passed on, in bytes.
pub(super) const BUFFERED_RESPONSE_MAX_BYTES: u64 = 1 << 20;

/// When a caller may retry whose body found no room: stalled bodies are evicted after a second.
const NO_ROOM_RETRY_AFTER: Duration = Duration::from_millis(1_000);

/// The connection of the caller, as an extension of its requests.
#[derive(Clone)]
pub(super) struct CallerConnection(pub(super) Arc<OpenConnection>);

/// Returns whether the connection is closed after a refusal, since a body was not read to its end.
pub(super) fn leaves_body_unread(code: ResultCode) -> bool {
    matches!(code, ResultCode::BodyTooLarge | ResultCode::BodyTimeout)
}

/// Buffers the body and builds a request that can be sent several times.
///
/// The bytes stay reserved as long as any part of the body is in use, so until the answer has ended.
pub(super) async fn buffer_request(
    cx: &Context,
    req: Request<Incoming>,
    head: RequestHeaders,
    body_max_bytes: usize,
    deadline: Instant,
) -> Result<UpstreamRequest, Refusal> {
    let (mut parts, body) = req.into_parts();
    let caller = parts.extensions.remove::<CallerConnection>().map(|caller| caller.0);
    let held = cx.memory.open(HolderKind::Body, caller.as_ref().map(|caller| caller.peer()));
    let limits = BodyLimits { max_bytes: body_max_bytes, deadline };
    let collected = body::collect(body, limits, held).await;
    let body = collected.map_err(|cause| body_refusal(cause, body_max_bytes))?;
    if let Some(caller) = caller {
        caller.note_received();
    }
    headers::strip_hop_by_hop(&mut parts.headers);
    parts.headers.remove(header::CONTENT_LENGTH);
    parts.headers.remove(header::EXPECT);
    let path = parts.uri.path_and_query().cloned();
    let uri = path.map_or_else(|| Uri::from_static("/"), Uri::from);
    Ok(UpstreamRequest::new(parts.method, uri, parts.headers, body, head))
}

fn body_refusal(cause: BodyError, body_max_bytes: usize) -> Refusal {
    let refuse = |code, message: &str| Refusal::not_run(code, message);
    match cause {
        BodyError::TooLarge => {
            let message = format!("the request body exceeds the limit of {body_max_bytes} bytes");
            Refusal::not_run(ResultCode::BodyTooLarge, message)
        }
        BodyError::Late => {
            refuse(ResultCode::BodyTimeout, "the request body did not arrive before the deadline")
        }
        BodyError::Evicted => refuse(
            ResultCode::BodyTimeout,
            "the request body made no progress while others needed its memory",
        ),
        BodyError::NoRoom => {
            refuse(ResultCode::Overloaded, "there was no memory for the request body in time")
                .retry_after(NO_ROOM_RETRY_AFTER)
        }
        BodyError::Broken { reason } => refuse(ResultCode::MalformedRequest, &reason),
    }
}

/// The part of a response body that was read.
pub(super) enum Collected {
    /// All of it.
    Whole(Bytes),
    /// The beginning of a body that exceeds [`BUFFERED_RESPONSE_MAX_BYTES`], or for which there is no
    /// memory.
    Beginning(Bytes),
}

/// Reads a response body, as far as it may be buffered.
pub(super) async fn collect_response(
    cx: &Context,
    connector: &Connector,
    response: &mut UpstreamResponse,
    is_repeatable: bool,
) -> Result<Collected, String> {
    let mut held = cx.memory.open(HolderKind::Answer, None);
    let mut body = Vec::new();
    while let Some(frame) = response.watched_frame(connector, is_repeatable).await? {
        let Ok(data) = frame.map_err(|cause| cause.to_string())?.into_data() else {
            continue;
        };
        let has_room = has_room(&mut held, body.len() + data.len());
        body.extend_from_slice(&data);
        if !has_room || body.len() as u64 > BUFFERED_RESPONSE_MAX_BYTES {
            return Ok(Collected::Beginning(body::held_bytes(body, held)));
        }
    }
    // It is not evicted: its endpoint has run the request.
    let _ = held.complete(body.capacity() as u64);
    Ok(Collected::Whole(body::held_bytes(body, held)))
}

/// Reserves twice the bytes of an answer, which is what a buffer that doubles takes at most.
pub(super) fn has_room(held: &mut Held, bytes: usize) -> bool {
    let wanted = 2 * bytes as u64;
    wanted <= held.bytes() || held.try_reserve(wanted - held.bytes())
}
