//! Sends calls to endpoints over HTTP.
//!
//! Engines are met by the chat-completions convention with streaming, tools and services by a plain
//! `POST /call`.

use std::time::Duration;

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

/// How long connecting to an endpoint may take.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);

/// The largest answer of a tool or service, in bytes.
const ANSWER_MAX_BYTES: usize = 4 * 1024 * 1024;

/// Says how sending a call failed.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Display, Error)]
pub enum SendError {
    /// No connection came about, so no byte of the call was sent.
    #[display("could not connect: {reason}")]
    NotSent {
        /// What the lower layer reported.
        reason: String,
    },
    /// The endpoint answered with an error status.
    #[display("the endpoint answered {status}: {body}")]
    Status {
        /// The HTTP status.
        status: u16,
        /// The start of the body.
        body: String,
    },
    /// The call may have run; its answer is lost or cut short.
    #[display("the answer is lost: {reason}")]
    Lost {
        /// What the lower layer reported.
        reason: String,
    },
}

/// A whole answer of an endpoint.
#[derive(Debug, Clone, PartialEq)]
pub struct EndpointAnswer {
    /// The output.
    pub output: Value,
    /// What the call used.
    pub usage: Usage,
}

/// Sends calls; keeps connections to endpoints open between calls.
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
        sink: Option<&TokenSink>,
    ) -> Result<EndpointAnswer, SendError> {
        let body = json!({
            "model": call.target,
            "messages": prompt(&call.history, &call.input),
            "max_tokens": call.max_tokens,
            "stream": true,
            "stream_options": {"include_usage": true},
            "user": call.program,
        });
        let res = self.post(endpoint, "/v1/chat/completions", call, &body).await?;
        read_completion(res, sink).await
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
            .body(Full::new(Bytes::from(body.to_string())))
            .map_err(|cause| SendError::NotSent { reason: cause.to_string() })?;
        let res = self.http.request(req).await.map_err(|cause| {
            let reason = cause.to_string();
            match cause.is_connect() {
                true => SendError::NotSent { reason },
                false => SendError::Lost { reason },
            }
        })?;
        if res.status().is_success() {
            return Ok(res);
        }
        let status = res.status().as_u16();
        let body = read_whole(res).await.unwrap_or_default();
        let body = String::from_utf8_lossy(&body).chars().take(200).collect();
        Err(SendError::Status { status, body })
    }
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

async fn read_completion(
    res: Response<Incoming>,
    sink: Option<&TokenSink>,
) -> Result<EndpointAnswer, SendError> {
    let mut body = res.into_body();
    let mut parser = CompletionParser::default();
    while let Some(frame) = body.frame().await {
        let frame = frame.map_err(|cause| SendError::Lost { reason: cause.to_string() })?;
        let Ok(data) = frame.into_data() else {
            continue;
        };
        for text in parser.feed(&data) {
            if let Some(sink) = sink {
                // A caller that went away is noticed by whoever runs the call.
                let _ = sink.send(Bytes::from(text)).await;
            }
        }
    }
    parser.finish()
}

/// Reads the server-sent events of a chat completion.
#[derive(Debug, Default)]
struct CompletionParser {
    pending: Vec<u8>,
    text: String,
    usage: Usage,
    done: bool,
}

impl CompletionParser {
    /// Takes bytes as they arrive and returns the texts that they completed.
    fn feed(&mut self, data: &[u8]) -> Vec<String> {
        self.pending.extend_from_slice(data);
        let mut texts = Vec::new();
        while let Some(end) = self.pending.iter().position(|b| *b == b'\n') {
            let line: Vec<u8> = self.pending.drain(..=end).collect();
            let line = String::from_utf8_lossy(&line);
            if let Some(data) = line.trim().strip_prefix("data:") {
                texts.extend(self.event(data.trim()));
            }
        }
        texts
    }

    fn event(&mut self, data: &str) -> Option<String> {
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
            return Err(SendError::Lost { reason: "the stream ended early".to_owned() });
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
