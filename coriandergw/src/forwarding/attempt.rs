//! Sends a request to one endpoint once.

use std::time::Duration;

use bytes::Bytes;
use derive_more::Display;
use http_body_util::Full;
use hyper::HeaderMap;
use hyper::Method;
use hyper::Request;
use hyper::StatusCode;
use hyper::Uri;
use hyper::body::Incoming;
use tokio::time::Instant;

use crate::clock::Timestamp;
use crate::forwarding::ForwardingHeaders;
use crate::forwarding::HeaderCodec;
use crate::forwarding::RequestHeaders;
use crate::forwarding::ResponseHeaders;
use crate::forwarding::headers;
use crate::forwarding::loads::InFlightGuard;
use crate::forwarding::pool;
use crate::forwarding::pool::Connection;
use crate::forwarding::pool::Pool;
use crate::forwarding::pool::SharedPool;
use crate::ids::EndpointName;
use crate::roster::EndpointRecord;

/// Why an attempt gave no answer that can be passed on.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Display)]
pub(super) enum Failure {
    /// Nothing was sent.
    #[display("not sent: {reason}")]
    NotSent {
        /// Why not.
        reason: String,
        /// Whether it was to go over an idle connection, which the endpoint may close at any time.
        was_idle: bool,
    },
    /// The request may have run.
    #[display("lost: {reason}")]
    Lost {
        /// What went wrong.
        reason: String,
    },
}

/// A request that may be sent several times.
pub(super) struct UpstreamRequest {
    pub(super) method: Method,
    pub(super) uri: Uri,
    pub(super) headers: HeaderMap,
    pub(super) body: Bytes,
    pub(super) head: RequestHeaders,
}

/// An answer whose head has arrived. Dropping it closes the connection.
pub(super) struct UpstreamResponse {
    pub(super) status: StatusCode,
    pub(super) headers: HeaderMap,
    pub(super) body: Incoming,
    pub(super) head: ResponseHeaders,
    pub(super) endpoint: EndpointRecord,
    connection: Connection,
    closes: bool,
    _in_flight: InFlightGuard,
}

impl UpstreamResponse {
    /// Returns whether the connection had served another request before.
    pub(super) fn is_reused(&self) -> bool {
        self.connection.is_reused
    }

    /// Gives the connection back after the whole answer was read.
    pub(super) fn finish(self, pool: &Pool, now: Timestamp) {
        if !self.closes {
            pool.put(&self.endpoint.id, self.endpoint.address, self.connection, now);
        }
    }
}

/// What one attempt is made with.
pub(super) struct Attempt<'a> {
    pub(super) pool: &'a SharedPool,
    pub(super) dialect: &'a dyn HeaderCodec,
    pub(super) endpoint: EndpointRecord,
    pub(super) in_flight: InFlightGuard,
    /// When the endpoint is to stop.
    pub(super) deadline: Instant,
    /// When the head of the answer is given up.
    pub(super) head_deadline: Instant,
    /// The oldest idle connection that may be used.
    pub(super) idle_limit: Duration,
    /// The event to go on after, if the system resumes the stream.
    pub(super) last_event: Option<u64>,
    pub(super) urgency: Option<u8>,
    pub(super) now: Timestamp,
}

impl Attempt<'_> {
    /// Sends the request and waits for the head of the answer.
    ///
    /// # Errors
    /// Fails with what is known of whether the request ran.
    pub(super) async fn send(
        self,
        outgoing: &UpstreamRequest,
    ) -> Result<UpstreamResponse, Failure> {
        let EndpointRecord { id, address, .. } = &self.endpoint;
        let pooled = self.pool.take(id, *address, self.idle_limit, self.now);
        let mut connection = match pooled {
            Some(connection) => connection,
            None => pool::connect(*address).await.map_err(|cause| not_sent(cause, false))?,
        };
        let req = self.request(outgoing, id)?;
        let sending = connection.sender.try_send_request(req);
        let sent = tokio::time::timeout_at(self.head_deadline, sending).await;
        let response = match sent {
            Err(_) => return Err(lost("no answer in time")),
            Ok(Err(mut cause)) => {
                // The library hands the request back if it has not written any of it.
                return Err(match cause.take_message() {
                    Some(_) => not_sent(cause.into_error(), connection.is_reused),
                    None => Failure::Lost { reason: cause.into_error().to_string() },
                });
            }
            Ok(Ok(response)) => response,
        };
        let (parts, body) = response.into_parts();
        let head = self.dialect.read_response(parts.status, &parts.headers);
        if let Some(attempt) = &head.attempt
            && *attempt != outgoing.head.attempt
        {
            return Err(lost("the answer belongs to another request"));
        }
        if let Some(seconds) = headers::keep_alive_seconds(&parts.headers) {
            // The endpoint counts from when it sent the answer, a little earlier.
            let keep = Duration::from_secs(seconds).saturating_sub(Duration::from_millis(300));
            connection.keep = keep;
        }
        let closes = headers::has_connection_close(&parts.headers);
        let mut headers = parts.headers;
        headers::strip_hop_by_hop(&mut headers);
        Ok(UpstreamResponse {
            status: parts.status,
            headers,
            body,
            head,
            endpoint: self.endpoint,
            connection,
            closes,
            _in_flight: self.in_flight,
        })
    }

    fn request(
        &self,
        outgoing: &UpstreamRequest,
        endpoint: &EndpointName,
    ) -> Result<Request<Full<Bytes>>, Failure> {
        let time_left = self.deadline.saturating_duration_since(Instant::now());
        if time_left.is_zero() {
            return Err(not_sent("no time is left", false));
        }
        let head = ForwardingHeaders {
            endpoint: endpoint.clone(),
            time_left,
            last_event: self.last_event,
            urgency: self.urgency,
        };
        let mut req = Request::new(Full::new(outgoing.body.clone()));
        *req.method_mut() = outgoing.method.clone();
        *req.uri_mut() = outgoing.uri.clone();
        *req.headers_mut() = outgoing.headers.clone();
        self.dialect.write_forwarded(req.headers_mut(), &head);
        Ok(req)
    }
}

fn not_sent<R>(reason: R, was_idle: bool) -> Failure
where
    R: ToString,
{
    Failure::NotSent { reason: reason.to_string(), was_idle }
}

fn lost(reason: &str) -> Failure {
    Failure::Lost { reason: reason.to_owned() }
}
