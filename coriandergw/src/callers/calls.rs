//! Runs calls for callers, with or without streaming.

use std::convert::Infallible;
use std::sync::Arc;

use axum::extract::State;
use axum::http::HeaderMap;
use axum::http::header;
use axum::response::IntoResponse;
use axum::response::Response;
use axum::response::sse::Event;
use axum::response::sse::KeepAlive;
use axum::response::sse::Sse;
use bytes::Bytes;
use futures_util::StreamExt;
use futures_util::future::BoxFuture;
use futures_util::stream;
use serde_json::json;
use tokio::sync::mpsc;

use crate::callers::body::Body;
use crate::callers::body::ProgramPath;
use crate::callers::body::bearer;
use crate::callers::body::refusal_body;
use crate::instance::HandlerState;
use crate::programs::CallAnswer;
use crate::programs::CallRequest;

/// The pieces of text buffered between an engine and a caller that streams.
const STREAM_BUFFER: usize = 64;

pub(super) async fn add(
    State(shared): State<Arc<HandlerState>>,
    ProgramPath(id): ProgramPath,
    headers: HeaderMap,
    Body(req): Body<CallRequest>,
) -> Response {
    let secret = bearer(&headers).to_owned();
    let accept = headers.get(header::ACCEPT).and_then(|value| value.to_str().ok());
    if !accept.is_some_and(|value| value.contains("text/event-stream")) {
        return respond(shared.programs.call(&id, &secret, req, None).await);
    }
    let (sink, texts) = mpsc::channel(STREAM_BUFFER);
    let call = async move { shared.programs.call(&id, &secret, req, Some(sink)).await };
    respond_streaming(Box::pin(call), texts).await
}

fn respond(answer: CallAnswer) -> Response {
    match answer {
        Ok(body) => {
            ([(header::CONTENT_TYPE, "application/json")], body.to_string()).into_response()
        }
        Err(refusal) => refusal.into_response(),
    }
}

/// Streams a call once its first text has come; a refusal before that has its own HTTP status.
async fn respond_streaming(
    mut call: BoxFuture<'static, CallAnswer>,
    mut texts: mpsc::Receiver<Bytes>,
) -> Response {
    let first = tokio::select! {
        biased;
        text = texts.recv() => text,
        answer = &mut call => return match answer {
            Ok(body) => {
                let events = later_texts(texts).chain(stream::iter([answer_event(Ok(body))]));
                respond_events(events)
            }
            Err(refusal) => refusal.into_response(),
        },
    };
    let Some(first) = first else {
        // The work gave its stream up without a text; only the answer is left.
        return match call.await {
            Ok(body) => respond_events(stream::iter([answer_event(Ok(body))])),
            Err(refusal) => refusal.into_response(),
        };
    };
    let answer = stream::once(call).map(answer_event);
    let first = stream::iter([text_event(first)]);
    // Both run at once; the texts end when the work drops its sink, before the answer.
    respond_events(first.chain(stream::select(later_texts(texts), answer)))
}

fn later_texts(texts: mpsc::Receiver<Bytes>) -> impl stream::Stream<Item = Event> + Send {
    stream::unfold(texts, |mut texts| async move {
        let text = texts.recv().await?;
        Some((text_event(text), texts))
    })
}

fn text_event(text: Bytes) -> Event {
    let body = json!({"text": String::from_utf8_lossy(&text)});
    Event::default().event("token").data(body.to_string())
}

fn answer_event(answer: CallAnswer) -> Event {
    match answer {
        Ok(body) => Event::default().event("answer").data(body.as_ref()),
        Err(refusal) => Event::default().event("error").data(refusal_body(&refusal).to_string()),
    }
}

fn respond_events<S>(events: S) -> Response
where
    S: stream::Stream<Item = Event> + Send + 'static,
{
    let events = events.map(Ok::<_, Infallible>);
    Sse::new(events).keep_alive(KeepAlive::default()).into_response()
}
