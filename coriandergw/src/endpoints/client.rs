//! Sends calls to endpoints over HTTP.
//!
//! A model engine is called through the chat-completions API with streaming, a tool or a service
//! with `POST /call`.

use std::sync::OnceLock;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;
use std::time::Duration;
use std::time::Instant;

use bytes::Bytes;
use derive_more::Display;
use derive_more::Error;
use http_body_util::BodyExt;
use http_body_util::Full;
use hyper::Request;
use hyper::Response;
use hyper::body::Incoming;
use hyper_util::client::legacy::Client;
use hyper_util::client::legacy::connect::HttpConnector;
use hyper_util::rt::TokioExecutor;
use serde_json::Value;
use serde_json::json;

use crate::dispatch::Message;
use crate::dispatch::ReadyCall;
use crate::dispatch::TokenSink;
use crate::dispatch::Usage;
use crate::endpoints::Announcement;

/// The time-out for connecting to an endpoint.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);

/// The largest body of an answer that is read as a whole, the longest text of a completion, and the most
/// bytes of one that add nothing to its text, in bytes.
const ANSWER_MAX_BYTES: usize = 4 * 1024 * 1024;

/// Why a call failed.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Display, Error)]
pub enum SendError {
    /// No connection was established, so no byte of the call was sent.
    #[display("could not connect: {reason}")]
    NotSent {
        /// The error of the HTTP library.
        reason: String,
    },
    /// The endpoint answered with an error status.
    #[display("the endpoint answered {status}: {body}")]
    Status {
        /// The HTTP status.
        status: u16,
        /// The first 200 characters of the body.
        body: String,
    },
    /// The endpoint accepted the call and then sent no output within a time limit.
    #[display("the endpoint sent no output for {} ms", limit.as_millis())]
    Stalled {
        /// The time limit.
        limit: Duration,
    },
    /// The call may have run, but its answer was lost or truncated.
    #[display("the answer was lost or truncated: {reason}")]
    Lost {
        /// The error of the HTTP library or of the JSON parser, or that the stream ended too early.
        reason: String,
    },
}

/// A complete answer of an endpoint.
#[derive(Debug, Clone, PartialEq)]
pub struct EndpointAnswer {
    /// The output.
    pub output: Value,
    /// The tokens that the call used; all 0 for tools and services.
    pub usage: Usage,
}

/// Priority, cache salt and time limits of a model call.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ModelOptions {
    /// The priority among the engine's calls; 0 is the most urgent.
    pub priority: u32,
    /// Only calls with the same salt may share a cached prefix.
    pub cache_salt: String,
    /// The time limit for the response headers, and until the first token for each frame of the
    /// body.
    pub first_token_limit: Duration,
    /// The time limit for each frame of the body after the first token.
    pub stall_limit: Duration,
}

impl ModelOptions {
    /// Returns options with the default limits: 120 s up to the first token and 20 s after it.
    pub fn new(priority: u32, cache_salt: String) -> Self {
        let first_token_limit = Duration::from_secs(120);
        Self { priority, cache_salt, first_token_limit, stall_limit: Duration::from_secs(20) }
    }
}

/// The progress of a call, which can still be read after the call has failed.
#[derive(Debug)]
pub struct Progress {
    started_at: Instant,
    first_token: OnceLock<Duration>,
    text_passed_on: AtomicBool,
}

impl Default for Progress {
    fn default() -> Self {
        Self {
            started_at: Instant::now(),
            first_token: OnceLock::new(),
            text_passed_on: AtomicBool::new(false),
        }
    }
}

impl Progress {
    /// Returns the time until the first token, if one has arrived.
    pub fn first_token(&self) -> Option<Duration> {
        self.first_token.get().copied()
    }

    /// Returns whether any text was passed to the sink, so that the caller may have received it.
    pub fn text_passed_on(&self) -> bool {
        self.text_passed_on.load(Ordering::Relaxed)
    }
}

/// The HTTP client for endpoints, which keeps connections open between calls.
#[derive(Debug, Clone)]
pub struct EndpointClient {
    http: Client<HttpConnector, Full<Bytes>>,
}

impl Default for EndpointClient {
    fn default() -> Self {
        let mut connector = HttpConnector::new();
        connector.set_connect_timeout(Some(CONNECT_TIMEOUT));
        connector.set_nodelay(true);
        Self { http: Client::builder(TokioExecutor::new()).build(connector) }
    }
}

impl EndpointClient {
    /// Sends a model call and passes its text to `sink` as it arrives.
    ///
    /// # Errors
    /// Fails as [`SendError`] describes.
    pub async fn complete(
        &self,
        endpoint: &Announcement,
        call: &ReadyCall,
        options: &ModelOptions,
        sink: Option<&TokenSink>,
        progress: &Progress,
    ) -> Result<EndpointAnswer, SendError> {
        let body = json!({
            "model": call.target,
            "messages": prompt(&call.history, &call.input),
            "max_tokens": call.max_tokens,
            "stream": true,
            "stream_options": {"include_usage": true},
            "user": call.program,
            "priority": options.priority,
            "cache_salt": options.cache_salt,
        });
        let posted = self.post(endpoint, "/v1/chat/completions", call, &body);
        let res = with_timeout(options.first_token_limit, posted).await??;
        read_completion(res, options, sink, progress).await
    }

    /// Sends a tool or service call.
    ///
    /// # Errors
    /// Fails as [`SendError`] describes.
    pub async fn invoke(
        &self,
        endpoint: &Announcement,
        call: &ReadyCall,
    ) -> Result<EndpointAnswer, SendError> {
        let body = json!({
            "call_id": call.call,
            "program": call.program,
            "target": call.target,
            "input": call.input,
        });
        let res = self.post(endpoint, "/call", call, &body).await?;
        let bytes = read_whole(res).await?;
        let output = serde_json::from_slice(&bytes)
            .unwrap_or_else(|_| Value::String(String::from_utf8_lossy(&bytes).into_owned()));
        Ok(EndpointAnswer { output, usage: Usage::default() })
    }

    /// Fetches a JSON document from an endpoint. The body of a 404 answer is returned as well.
    ///
    /// # Errors
    /// Fails as [`SendError`] describes.
    pub async fn get_json(&self, endpoint: &Announcement, path: &str) -> Result<Value, SendError> {
        let req = Request::get(format!("http://{}{path}", endpoint.address)).body(Full::default());
        let res = self.request(req).await?;
        let status = res.status().as_u16();
        let bytes = read_whole(res).await?;
        match status {
            200 | 404 => serde_json::from_slice(&bytes)
                .map_err(|cause| SendError::Lost { reason: cause.to_string() }),
            _ => Err(status_error(status, &bytes)),
        }
    }

    /// Posts a JSON document and returns once the endpoint has answered with success.
    ///
    /// # Errors
    /// Fails as [`SendError`] describes.
    pub async fn post_json(
        &self,
        endpoint: &Announcement,
        path: &str,
        body: &Value,
    ) -> Result<(), SendError> {
        let req = Request::post(format!("http://{}{path}", endpoint.address))
            .header("content-type", "application/json")
            .body(Full::new(Bytes::from(body.to_string())));
        let res = self.request(req).await?;
        if res.status().is_success() {
            return Ok(());
        }
        let status = res.status().as_u16();
        Err(status_error(status, &read_whole(res).await.unwrap_or_default()))
    }

    async fn request(
        &self,
        req: Result<Request<Full<Bytes>>, hyper::http::Error>,
    ) -> Result<Response<Incoming>, SendError> {
        let req = req.map_err(|cause| SendError::NotSent { reason: cause.to_string() })?;
        self.http.request(req).await.map_err(|cause| {
            let reason = cause.to_string();
            match cause.is_connect() {
                true => SendError::NotSent { reason },
                false => SendError::Lost { reason },
            }
        })
    }

    async fn post(
        &self,
        endpoint: &Announcement,
        path: &str,
        call: &ReadyCall,
        body: &Value,
    ) -> Result<Response<Incoming>, SendError> {
        let req = Request::post(format!("http://{}{path}", endpoint.address))
            .header("content-type", "application/json")
            .header("call-id", call.call.as_str())
            .header("program", call.program.as_str())
            .body(Full::new(Bytes::from(body.to_string())));
        let res = self.request(req).await?;
        if res.status().is_success() {
            return Ok(res);
        }
        let status = res.status().as_u16();
        Err(status_error(status, &read_whole(res).await.unwrap_or_default()))
    }
}

fn status_error(status: u16, body: &[u8]) -> SendError {
    SendError::Status { status, body: String::from_utf8_lossy(body).chars().take(200).collect() }
}

/// Builds the prompt of a model call: the history, then the call's own input.
pub fn prompt(history: &[Message], input: &Value) -> Vec<Message> {
    let mut messages = history.to_vec();
    messages.extend(input_messages(input));
    messages
}

/// Reads the messages of an input: text, `{"prompt": …}` or `{"messages": […]}`.
pub fn input_messages(input: &Value) -> Vec<Message> {
    if let Some(list) = input.get("messages") {
        return serde_json::from_value(list.clone()).unwrap_or_default();
    }
    let text = match input.get("prompt").unwrap_or(input) {
        Value::String(text) => text.clone(),
        other => other.to_string(),
    };
    vec![Message { role: "user".into(), content: text.into() }]
}

async fn read_whole(res: Response<Incoming>) -> Result<Bytes, SendError> {
    let limited = http_body_util::Limited::new(res.into_body(), ANSWER_MAX_BYTES);
    let lost = |cause: Box<dyn std::error::Error + Send + Sync>| SendError::Lost {
        reason: cause.to_string(),
    };
    Ok(limited.collect().await.map_err(lost)?.to_bytes())
}

async fn with_timeout<F>(limit: Duration, work: F) -> Result<F::Output, SendError>
where
    F: Future,
{
    tokio::time::timeout(limit, work).await.map_err(|_| SendError::Stalled { limit })
}

async fn read_completion(
    res: Response<Incoming>,
    options: &ModelOptions,
    sink: Option<&TokenSink>,
    progress: &Progress,
) -> Result<EndpointAnswer, SendError> {
    let mut body = res.into_body();
    let mut parser = CompletionParser::default();
    loop {
        let limit = match progress.first_token() {
            None => options.first_token_limit,
            Some(_) => options.stall_limit,
        };
        let Some(frame) = with_timeout(limit, body.frame()).await? else {
            return parser.finish();
        };
        let frame = frame.map_err(|cause| SendError::Lost { reason: cause.to_string() })?;
        let Ok(data) = frame.into_data() else {
            continue;
        };
        for text in parser.feed(&data)? {
            progress.first_token.get_or_init(|| progress.started_at.elapsed());
            if let Some(sink) = sink {
                progress.text_passed_on.store(true, Ordering::Relaxed);
                // The code that runs the call notices when the caller has disconnected.
                let _ = sink.send(Bytes::from(text)).await;
            }
        }
    }
}

/// Reads the server-sent events of a chat completion.
#[derive(Debug, Default)]
struct CompletionParser {
    pending: Vec<u8>,
    text: String,
    usage: Usage,
    done: bool,
    /// The bytes since the text last grew.
    unproductive_bytes: usize,
}

impl CompletionParser {
    /// Parses bytes as they arrive and returns the texts of the events that they complete.
    ///
    /// # Errors
    /// Fails once the text, or the bytes that add nothing to it, exceed [`ANSWER_MAX_BYTES`].
    fn feed(&mut self, data: &[u8]) -> Result<Vec<String>, SendError> {
        self.unproductive_bytes += data.len();
        if self.unproductive_bytes.max(self.text.len()) > ANSWER_MAX_BYTES {
            let (unproductive, text) = (self.unproductive_bytes, self.text.len());
            let reason = format!(
                "{text} bytes of text and {unproductive} bytes without text exceed the limit of \
                 {ANSWER_MAX_BYTES} bytes"
            );
            return Err(SendError::Lost { reason });
        }
        let mut searched = self.pending.len();
        self.pending.extend_from_slice(data);
        let mut texts = Vec::new();
        while let Some(end) = self.pending[searched..].iter().position(|b| *b == b'\n') {
            let line: Vec<u8> = self.pending.drain(..=searched + end).collect();
            searched = 0;
            let line = String::from_utf8_lossy(&line);
            if let Some(data) = line.trim().strip_prefix("data:") {
                texts.extend(self.parse_event(data.trim()));
            }
        }
        if texts.iter().any(|text| !text.is_empty()) {
            self.unproductive_bytes = 0;
        }
        Ok(texts)
    }

    fn parse_event(&mut self, data: &str) -> Option<String> {
        if data == "[DONE]" {
            self.done = true;
            return None;
        }
        let event: Value = serde_json::from_str(data).ok()?;
        if let Some(usage) = event.get("usage").filter(|usage| usage.is_object()) {
            self.usage = parse_usage(usage);
        }
        let text = event.pointer("/choices/0/delta/content")?.as_str()?.to_owned();
        self.text.push_str(&text);
        Some(text)
    }

    fn finish(self) -> Result<EndpointAnswer, SendError> {
        if !self.done {
            return Err(SendError::Lost { reason: "the stream ended before [DONE]".to_owned() });
        }
        Ok(EndpointAnswer { output: Value::String(self.text), usage: self.usage })
    }
}

fn parse_usage(usage: &Value) -> Usage {
    let number = |pointer: &str| usage.pointer(pointer).and_then(Value::as_u64).unwrap_or(0);
    Usage {
        prompt_tokens: number("/prompt_tokens"),
        cached_tokens: number("/prompt_tokens_details/cached_tokens"),
        completion_tokens: number("/completion_tokens"),
    }
}

#[cfg(test)]
mod tests;
