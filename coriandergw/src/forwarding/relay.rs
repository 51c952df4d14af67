//! Relays an event stream to the caller and resumes it at another endpoint if it breaks and the
//! route allows that.

use std::sync::Arc;

use bytes::Bytes;
use futures_util::StreamExt;
use futures_util::stream;
use http_body_util::BodyExt;
use http_body_util::StreamBody;
use hyper::HeaderMap;
use hyper::Response;
use hyper::StatusCode;
use hyper::body::Frame;
use hyper::header;
use tokio::time::Instant;

use crate::forwarding::attempt::UpstreamRequest;
use crate::forwarding::attempt::UpstreamResponse;
use crate::forwarding::body;
use crate::forwarding::drain;
use crate::forwarding::events::EventFault;
use crate::forwarding::events::EventSplitter;
use crate::forwarding::forwarder::Forwarder;
use crate::forwarding::forwarder::RequestPlan;
use crate::forwarding::held_events::HeldEvents;
use crate::forwarding::refusal::BodyError;
use crate::forwarding::refusal::ResponseBody;
use crate::forwarding::turn_guard::TurnGuard;
use crate::memory::budget::HolderKind;
use crate::memory::shared::Held;

/// The maximum number of resumptions of a stream without a new event between them.
const RESUMPTIONS_MAX: u32 = 8;

/// The size up to which an incomplete event is held outside the memory budget, in bytes: events of
/// ordinary streams are smaller, and the connection that they arrive on is part of the budget.
const UNRESERVED_EVENT_BYTES: usize = 16 * 1024;

/// An event stream being relayed. Dropping it closes the connection to the endpoint and settles the
/// turn.
pub(super) struct StreamRelay {
    forwarder: Arc<Forwarder>,
    plan: RequestPlan,
    upstream_request: UpstreamRequest,
    response: Option<UpstreamResponse>,
    splitter: EventSplitter,
    /// The memory of a large incomplete event.
    partial_event: Option<Held>,
    turn: Option<TurnGuard>,
    events: u64,
    /// The resumptions since the last new event.
    resumptions: u32,
    /// The newest events of a turn that is kept.
    held: HeldEvents,
}

/// The result of reading from the endpoint's stream.
enum StreamStep {
    Data(Bytes),
    Failed(String),
    End,
}

impl StreamRelay {
    /// Returns the response to the caller, whose body relays the endpoint's events.
    pub(super) fn start(
        forwarder: Arc<Forwarder>,
        plan: &mut RequestPlan,
        upstream_request: UpstreamRequest,
        response: UpstreamResponse,
        turn: Option<TurnGuard>,
    ) -> Response<ResponseBody> {
        if response.status != StatusCode::OK {
            return pass_through(forwarder, plan, &upstream_request, response, Bytes::new());
        }
        let (status, mut headers) = (response.status, response.headers.clone());
        headers.remove(header::CONTENT_LENGTH);
        let mut turn = turn;
        if let Some(turn) = &mut turn {
            turn.set_engine(&response.endpoint);
        }
        let relay = Self {
            splitter: EventSplitter::after(upstream_request.head.last_event),
            partial_event: None,
            forwarder,
            plan: plan.take(),
            upstream_request,
            response: Some(response),
            turn,
            events: 0,
            resumptions: 0,
            held: HeldEvents::default(),
        };
        let frames = stream::unfold(Some(relay), |relay| async {
            let mut relay = relay?;
            let forwarder = relay.forwarder.clone();
            let step = tokio::select! {
                biased;
                step = relay.next() => Some(step),
                () = forwarder.drain.ended() => None,
            };
            let step = match step {
                Some(step) => step,
                None => relay.abort(drain::STOPPED.to_owned()).await,
            };
            match step {
                StreamStep::Data(bytes) => Some((Ok(Frame::data(bytes)), Some(relay))),
                StreamStep::Failed(reason) => {
                    // The server drops what it has not written when the body fails, so it is given a
                    // turn to write first.
                    tokio::task::yield_now().await;
                    Some((Err(BodyError::from(reason)), None))
                }
                StreamStep::End => None,
            }
        });
        let mut res = Response::new(StreamBody::new(frames).boxed_unsync());
        *res.status_mut() = status;
        *res.headers_mut() = headers;
        res
    }

    /// Reserves the memory of the incomplete event; returns whether there was room.
    fn has_room_for_partial_event(&mut self) -> bool {
        let bytes = self.splitter.partial_bytes();
        if bytes <= UNRESERVED_EVENT_BYTES {
            self.partial_event = None;
            return true;
        }
        let memory = &self.forwarder.cx.memory;
        let held = self.partial_event.get_or_insert_with(|| {
            let mut held = memory.open(HolderKind::Answer, None);
            // It is not evicted: its endpoint runs the request.
            let _ = held.complete(0);
            held
        });
        body::has_room(held, bytes)
    }

    async fn next(&mut self) -> StreamStep {
        loop {
            let Some(response) = &mut self.response else {
                return StreamStep::End;
            };
            let deadline = self.plan.deadline;
            let limit = self.held.release_at().map_or(deadline, |at| at.min(deadline));
            let is_repeatable = self.plan.route.retry_policy.allows_retry();
            let frame = response.watched_frame(&self.forwarder.connector, is_repeatable);
            let failure = match tokio::time::timeout_at(limit, frame).await {
                Err(_) => match self.held.take_due(limit) {
                    Some(events) => return StreamStep::Data(events),
                    None => return self.deadline_passed().await,
                },
                Ok(Err(reason)) => reason,
                Ok(Ok(None)) if !self.splitter.has_partial_event() => {
                    return match self.splitter.check_end() {
                        Ok(()) => self.finish().await,
                        Err(fault) => self.abort(fault.to_string()).await,
                    };
                }
                Ok(Ok(None)) => "the stream ended in the middle of an event".to_owned(),
                Ok(Ok(Some(Err(cause)))) => cause.to_string(),
                Ok(Ok(Some(Ok(frame)))) => match frame.into_data() {
                    Err(_) => continue,
                    Ok(data) => match self.splitter.push(&data) {
                        Ok(_) if !self.has_room_for_partial_event() => {
                            let reason = "there is no memory for an incomplete event".to_owned();
                            return self.abort(reason).await;
                        }
                        Ok(events) if events.count == 0 => continue,
                        Ok(events) => {
                            if let Err(reason) = self.keep_version().await {
                                return self.abort(reason).await;
                            }
                            match self.forward_events(events.bytes, events.count) {
                                Ok(Some(events)) => return StreamStep::Data(events),
                                Ok(None) => continue,
                                Err(reason) => return self.abort(reason).await,
                            }
                        }
                        Err(fault @ EventFault::TooLarge) => fault.to_string(),
                        Err(fault) => return self.abort(fault.to_string()).await,
                    },
                },
            };
            if let Err(reason) = self.resume(&failure).await {
                return self.abort(reason).await;
            }
        }
    }

    /// Returns the bytes to be passed on now: the events, or those before them if the turn is kept.
    fn forward_events(&mut self, bytes: Bytes, count: u64) -> Result<Option<Bytes>, String> {
        self.resumptions = 0;
        if self.events == 0 {
            let response = self.response.as_ref();
            let version = response.map(|response| &response.endpoint.version);
            self.plan.report.note_first_event(version);
        }
        self.events += count;
        if let Some(turn) = &mut self.turn {
            turn.add_used_tokens(count * self.plan.tokens_per_event);
        }
        let are_last = self.has_all_tokens();
        let Some(kept) = &mut self.plan.kept else {
            return Ok(Some(bytes));
        };
        kept.add_events(&bytes)?;
        Ok(self.held.hold(bytes, are_last, Instant::now()))
    }

    /// Returns whether the events have all tokens that the turn may generate.
    fn has_all_tokens(&self) -> bool {
        let demand = self.upstream_request.head.tokens;
        let tokens = self.events * self.plan.tokens_per_event;
        self.plan.is_engine && demand.is_some_and(|demand| tokens >= demand.output_max)
    }

    /// Records the version of the endpoint before its first event is passed on.
    async fn keep_version(&mut self) -> Result<(), String> {
        let Some(response) = self.response.as_ref().filter(|_| self.events == 0) else {
            return Ok(());
        };
        let (head, version) = (&self.upstream_request.head, response.endpoint.version.clone());
        self.forwarder.record_version(&mut self.plan, head, &version).await
    }

    async fn deadline_passed(&mut self) -> StreamStep {
        self.abort("the deadline of the request has passed".to_owned()).await
    }

    /// Breaks the stream off. Events that are held back are not passed on, since they may be the last
    /// ones.
    async fn abort(&mut self, reason: String) -> StreamStep {
        if let Some(kept) = &mut self.plan.kept {
            kept.keep_partial().await;
        }
        self.plan.report.stream_aborted(&self.forwarder.cx, self.events, &reason);
        StreamStep::Failed(reason)
    }

    async fn finish(&mut self) -> StreamStep {
        if let Some(kept) = &mut self.plan.kept
            && let Err(reason) = kept.keep().await
        {
            return self.abort(format!("the turn is not kept: {reason}")).await;
        }
        self.forwarder.note_complete_answer(&self.upstream_request);
        if let Some(response) = self.response.take() {
            self.plan.report.ended(&self.forwarder.cx, &response, self.events);
            let now = self.forwarder.cx.clock.now();
            self.forwarder.note_ended(&response, now);
            response.finish(&self.forwarder.pool, now);
        }
        // Settle the turn before the caller sees the end of the stream.
        self.turn = None;
        self.held.take().map_or(StreamStep::End, StreamStep::Data)
    }

    /// Resumes the stream after the last complete event, at the same endpoint or another one.
    async fn resume(&mut self, failure: &str) -> Result<(), String> {
        self.resumptions += 1;
        if self.resumptions > RESUMPTIONS_MAX {
            return Err(format!("{failure}, after {RESUMPTIONS_MAX} resumptions without an event"));
        }
        // Close the connection first, so that the endpoint does not work on the request twice.
        let Some(response) = self.response.take() else {
            return Err(failure.to_owned());
        };
        let endpoint = response.endpoint.clone();
        let media_type = media_type(&response.headers);
        drop(response);
        self.splitter.start_resumption();
        let retryable = self.forwarder.record_lost_response(
            &mut self.plan,
            &self.upstream_request,
            &endpoint,
            failure,
        );
        retryable.await.map_err(|refusal| refusal.to_string())?;
        if !self.splitter.can_resume() {
            return Err(format!("{failure}; the events have no identifiers to resume after"));
        }
        let forwarder = self.forwarder.clone();
        let last_event = self.splitter.last_id();
        let resumed =
            forwarder.send_with_retries(&mut self.plan, &self.upstream_request, last_event).await;
        let response = resumed.map_err(|refusal| refusal.to_string())?;
        if response.status != StatusCode::OK {
            return Err(format!(
                "resuming the stream failed with status {}",
                response.status.as_u16()
            ));
        }
        let found = self::media_type(&response.headers);
        if found != media_type || response.headers.contains_key(header::CONTENT_ENCODING) {
            return Err(format!("resuming the stream failed with content type {found:?}"));
        }
        if let Some(turn) = &mut self.turn {
            turn.set_engine(&response.endpoint);
        }
        self.response = Some(response);
        Ok(())
    }
}

/// Returns the media type of a response in lower case, without parameters; empty if there is none.
fn media_type(headers: &HeaderMap) -> String {
    let value = headers.get(header::CONTENT_TYPE).and_then(|value| value.to_str().ok());
    let essence = value.and_then(|value| value.split(';').next()).unwrap_or_default();
    essence.trim().to_ascii_lowercase()
}

/// Passes an endpoint's response on unchanged, without inspecting its body. `beginning` is the part
/// of the body that has already been read.
pub(super) fn pass_through(
    forwarder: Arc<Forwarder>,
    plan: &mut RequestPlan,
    upstream_request: &UpstreamRequest,
    response: UpstreamResponse,
    beginning: Bytes,
) -> Response<ResponseBody> {
    plan.report.ended(&forwarder.cx, &response, 0);
    let (status, headers) = (response.status, response.headers.clone());
    let (deadline, digest) = (plan.deadline, upstream_request.digest());
    let first = (!beginning.is_empty()).then(|| Ok(Frame::data(beginning)));
    let rest = stream::unfold(Some((forwarder, response)), move |state| async move {
        let (forwarder, mut response) = state?;
        let limit = async {
            tokio::select! {
                () = tokio::time::sleep_until(deadline) => "the deadline of the request has passed",
                () = forwarder.drain.ended() => drain::STOPPED,
            }
        };
        let step = tokio::select! {
            biased;
            frame = response.frame() => Ok(frame),
            reason = limit => Err(reason),
        };
        match step {
            Ok(Some(Ok(frame))) => Some((Ok(frame), Some((forwarder, response)))),
            Ok(Some(Err(cause))) => Some((Err(BodyError::from(cause)), None)),
            Err(reason) => Some((Err(BodyError::from(reason)), None)),
            Ok(None) => {
                let now = forwarder.cx.clock.now();
                response.finish(&forwarder.pool, now);
                forwarder.crashes.clear(&digest);
                None
            }
        }
    });
    let frames = stream::iter(first).chain(rest);
    let mut res = Response::new(StreamBody::new(frames).boxed_unsync());
    *res.status_mut() = status;
    *res.headers_mut() = headers;
    res
}
