//! A single attempt to send a request to one endpoint.

use std::sync::Arc;
use std::sync::OnceLock;
use std::time::Duration;

use bytes::Bytes;
use derive_more::Display;
use http_body_util::BodyExt;
use http_body_util::Full;
use hyper::HeaderMap;
use hyper::Method;
use hyper::Request;
use hyper::StatusCode;
use hyper::Uri;
use hyper::body::Frame;
use hyper::body::Incoming;
use hyper::header;
use hyper::http::uri::PathAndQuery;
use tokio::time::Instant;

use crate::clock::Timestamp;
use crate::crashes::RequestDigest;
use crate::forwarding::AccountHeader;
use crate::forwarding::ForwardingHeaders;
use crate::forwarding::HeaderCodec;
use crate::forwarding::RequestHeaders;
use crate::forwarding::ResponseHeaders;
use crate::forwarding::connecting::ConnectFailure;
use crate::forwarding::connecting::Connector;
use crate::forwarding::connecting::NoConnection;
use crate::forwarding::headers;
use crate::forwarding::loads::InFlightGuard;
use crate::forwarding::pool::Connection;
use crate::forwarding::pool::ConnectionUse;
use crate::forwarding::pool::Pool;
use crate::forwarding::pool::SharedPool;
use crate::ids::EndpointName;
use crate::roster::EndpointRecord;

/// The highest status that HTTP defines; the library accepts up to 999, and refuses those below 100.
const STATUS_MAX: u16 = 599;

/// Why an attempt produced no response that can be passed on.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Display)]
pub(super) enum Failure {
    /// The request was not sent, so it has not run.
    #[display("not sent: {reason}")]
    NotSent {
        /// The error that prevented sending.
        reason: String,
        /// Whether a pooled connection was used, which the endpoint may close at any time while it
        /// is idle.
        was_idle: bool,
    },
    /// No connection was opened, so the request has not run.
    #[display("not sent: {reason}")]
    NoConnection {
        /// What prevented the connection.
        kind: NoConnection,
        /// The error that prevented it.
        reason: String,
    },
    /// The request was sent and may have run, but its response was lost.
    #[display("lost: {reason}")]
    Lost {
        /// The error that lost the response.
        reason: String,
    },
}

/// A buffered request that can be sent several times.
pub(super) struct UpstreamRequest {
    pub(super) method: Method,
    pub(super) uri: Uri,
    pub(super) headers: HeaderMap,
    pub(super) body: Bytes,
    pub(super) head: RequestHeaders,
    /// The client account that sent it.
    pub(super) account: Option<Arc<str>>,
    digest: OnceLock<RequestDigest>,
}

impl UpstreamRequest {
    /// Creates a request to be sent; `headers` must not contain those of the caller's connection.
    pub(super) fn new(
        method: Method,
        uri: Uri,
        headers: HeaderMap,
        body: Bytes,
        head: RequestHeaders,
    ) -> Self {
        Self { method, uri, headers, body, head, account: None, digest: OnceLock::new() }
    }

    /// Returns the digest of the request's content and its account.
    pub(super) fn digest(&self) -> RequestDigest {
        *self.digest.get_or_init(|| {
            let host = self.headers.get(header::HOST).and_then(|value| value.to_str().ok());
            let path = self.uri.path_and_query().map_or("/", PathAndQuery::as_str);
            let digest =
                RequestDigest::of(&self.method, host.unwrap_or_default(), path, &self.body);
            self.account.as_deref().map_or(digest, |account| digest.sent_by(account))
        })
    }
}

/// A response whose headers have arrived. Dropping it closes the connection.
pub(super) struct UpstreamResponse {
    pub(super) status: StatusCode,
    pub(super) headers: HeaderMap,
    body: Incoming,
    pub(super) head: ResponseHeaders,
    pub(super) endpoint: EndpointRecord,
    /// When the attempt began.
    pub(super) sent_at: Timestamp,
    connection: Connection,
    closes_connection: bool,
    _in_flight: InFlightGuard,
}

impl UpstreamResponse {
    /// Returns whether the connection was taken from the pool.
    pub(super) fn is_reused(&self) -> bool {
        self.connection.is_reused
    }

    /// Returns the use of the connection that brought the response.
    pub(super) fn connection_use(&self) -> ConnectionUse {
        self.connection.last_use
    }

    /// Reads the next part of the body; `None` at its end.
    pub(super) async fn frame(&mut self) -> Option<Result<Frame<Bytes>, hyper::Error>> {
        let frame = self.body.frame().await;
        self.connection.unproductive.reset();
        frame
    }

    /// Does the same, and checks the path while the endpoint is silent.
    ///
    /// # Errors
    /// Says why nothing more is to be expected.
    pub(super) async fn watched_frame(
        &mut self,
        connector: &Connector,
        is_repeatable: bool,
    ) -> Result<Option<Result<Frame<Bytes>, hyper::Error>>, String> {
        let Self { body, connection, endpoint, .. } = self;
        let is_sign = |frame: &Option<Result<_, _>>| matches!(frame, Some(Ok(_)));
        let watched =
            connector.watch(endpoint, &connection.path, is_repeatable, body.frame(), is_sign);
        let frame = watched.await;
        connection.unproductive.reset();
        frame
    }

    /// Returns whether the connection may carry another request after this refusal or failure, which is
    /// not passed on.
    ///
    /// On a connection that has been used, a response must state its request. An endpoint that does
    /// not do so in refusals therefore gets a new connection after each one.
    pub(super) fn is_reusable_refusal(&self) -> bool {
        let is_meant = self.status != StatusCode::MISDIRECTED_REQUEST;
        is_meant && self.head.attempt.is_some() && !self.closes_connection
    }

    /// Reads and discards the rest of the body; returns the response if that took at most `bytes_max`.
    pub(super) async fn drained(mut self, bytes_max: usize) -> Option<Self> {
        let mut bytes = 0;
        while let Some(frame) = self.frame().await {
            bytes += frame.ok()?.data_ref().map_or(0, Bytes::len);
            if bytes > bytes_max {
                return None;
            }
        }
        Some(self)
    }

    /// Returns the connection to the pool after a response that is not passed on has been read, for
    /// other attempts only.
    pub(super) fn finish_refusal(mut self, pool: &Pool, now: Timestamp) {
        if let Some(attempt) = &self.head.attempt {
            self.connection.note_refused(attempt);
        }
        self.finish(pool, now);
    }

    /// Returns the connection to the pool after the whole response has been read.
    pub(super) fn finish(mut self, pool: &Pool, now: Timestamp) {
        if !self.closes_connection {
            self.connection.has_answered = true;
            pool.put(&self.endpoint.id, self.endpoint.address, self.connection, now);
        }
    }
}

/// The parameters of one attempt.
pub(super) struct Attempt<'a> {
    pub(super) pool: &'a SharedPool,
    pub(super) connector: &'a Connector,
    pub(super) header_codec: &'a dyn HeaderCodec,
    pub(super) endpoint: EndpointRecord,
    pub(super) in_flight: InFlightGuard,
    /// When the endpoint must stop working on the request.
    pub(super) deadline: Instant,
    /// When to stop waiting for the response headers.
    pub(super) head_deadline: Instant,
    /// How long a pooled connection may have been idle to be reused.
    pub(super) idle_limit: Duration,
    /// The last event already received, if the gateway resumes the stream.
    pub(super) last_event: Option<u64>,
    pub(super) urgency: Option<u8>,
    pub(super) account: AccountHeader,
    /// Whether the request may be sent to another endpoint although it may have run.
    pub(super) is_repeatable: bool,
    pub(super) now: Timestamp,
}

impl Attempt<'_> {
    /// Sends the request and waits for the response headers.
    ///
    /// # Errors
    /// [`Failure::NotSent`] if the request has not run, [`Failure::Lost`] if it may have run.
    pub(super) async fn send(
        self,
        upstream_request: &UpstreamRequest,
    ) -> Result<UpstreamResponse, Failure> {
        let EndpointRecord { id, address, .. } = &self.endpoint;
        let attempt = &upstream_request.head.attempt;
        let pooled = self.pool.take(id, *address, attempt, self.idle_limit, self.now);
        let pooled = pooled.filter(|connection| self.connector.is_usable(&connection.path));
        let mut connection = match pooled {
            Some(connection) => connection,
            None => self.connector.open(&self.endpoint).await.map_err(no_connection)?,
        };
        let is_reused = connection.is_reused;
        let req = self.build_request(upstream_request, id)?;
        let sent_on = connection.note_sent();
        connection.unproductive.reset();
        let sending = connection.sender.try_send_request(req);
        let watched = self.connector.watch(
            &self.endpoint,
            &connection.path,
            self.is_repeatable,
            sending,
            Result::is_ok,
        );
        let sent = tokio::time::timeout_at(self.head_deadline, watched).await;
        let response = match sent {
            Err(_) => {
                return Err(lost("the response headers did not arrive in time", sent_on));
            }
            Ok(Err(reason)) => return Err(lost(&reason, sent_on)),
            Ok(Ok(Err(mut cause))) => {
                // hyper returns the request if it has not written any of it.
                return Err(match cause.take_message() {
                    Some(_) => not_sent(cause.into_error(), is_reused),
                    None => lost(&cause.into_error().to_string(), sent_on),
                });
            }
            Ok(Ok(Ok(response))) => response,
        };
        connection.unproductive.reset();
        let (parts, body) = response.into_parts();
        if parts.status.is_informational() {
            return Err(lost("the endpoint switched to another protocol", sent_on));
        }
        if parts.status.as_u16() > STATUS_MAX {
            return Err(lost("the response has no status of HTTP", sent_on));
        }
        let head = self.header_codec.read_response(&parts.headers);
        match &head.attempt {
            Some(stated) if stated != attempt => {
                return Err(lost("the response belongs to another request", sent_on));
            }
            // Only the attempt tells a late copy of an earlier response, also of a refusal, from
            // this one.
            None if parts.status.is_success() || connection.has_answered => {
                return Err(lost("the response does not state its request", sent_on));
            }
            _ => {}
        }
        if let Some(seconds) = headers::keep_alive_seconds(&parts.headers) {
            // The endpoint's idle timer started when it sent the response, slightly before the
            // response arrived here, so 300 ms are subtracted.
            let keep_alive =
                Duration::from_secs(seconds).saturating_sub(Duration::from_millis(300));
            connection.keep_alive = keep_alive;
        }
        let closes_connection = headers::has_connection_close(&parts.headers);
        let mut headers = parts.headers;
        headers::strip_hop_by_hop(&mut headers);
        Ok(UpstreamResponse {
            status: parts.status,
            headers,
            body,
            head,
            endpoint: self.endpoint,
            sent_at: self.now,
            connection,
            closes_connection,
            _in_flight: self.in_flight,
        })
    }

    fn build_request(
        &self,
        upstream_request: &UpstreamRequest,
        endpoint: &EndpointName,
    ) -> Result<Request<Full<Bytes>>, Failure> {
        let time_left = self.deadline.saturating_duration_since(Instant::now());
        if time_left.is_zero() {
            return Err(not_sent("the deadline has passed", false));
        }
        let head = ForwardingHeaders {
            endpoint: endpoint.clone(),
            time_left,
            last_event: self.last_event,
            urgency: self.urgency,
            account: self.account.clone(),
        };
        let mut req = Request::new(Full::new(upstream_request.body.clone()));
        *req.method_mut() = upstream_request.method.clone();
        *req.uri_mut() = upstream_request.uri.clone();
        *req.headers_mut() = upstream_request.headers.clone();
        self.header_codec.write_forwarded(req.headers_mut(), &head);
        Ok(req)
    }
}

fn not_sent<R>(reason: R, was_idle: bool) -> Failure
where
    R: ToString,
{
    Failure::NotSent { reason: reason.to_string(), was_idle }
}

fn no_connection(failure: ConnectFailure) -> Failure {
    let ConnectFailure { kind, reason } = failure;
    Failure::NoConnection { kind, reason: format!("no connection: {reason}") }
}

fn lost(reason: &str, sent_on: ConnectionUse) -> Failure {
    Failure::Lost { reason: format!("connection={sent_on} {reason}") }
}
