//! The engine and tool stand-ins that `coriandergw dev` runs inside its own process.
//!
//! The engine repeats the last message with the number of messages it was given; the tool returns
//! its input. Both exist for a first try, not for measurements.

use std::net::SocketAddr;

use axum::Json;
use axum::Router;
use axum::response::IntoResponse;
use axum::response::Response;
use axum::response::Sse;
use axum::response::sse;
use axum::routing::post;
use futures_util::StreamExt;
use serde_json::Value;
use serde_json::json;

use crate::dispatch::CallKind;
use crate::endpoints::Announcement;
use crate::endpoints::LoadReport;
use crate::ids::DataCentre;

/// The bytes that the stand-in engine counts as one token.
const BYTES_PER_TOKEN: usize = 4;

/// The model that the stand-in engine serves.
pub const MODEL: &str = "dev-model";

/// The tool that the stand-in tool service serves.
pub const TOOL: &str = "echo";

/// Starts the stand-ins on a port of the system's choice and returns their announcements.
///
/// # Errors
/// Fails if no port can be bound.
pub async fn start_endpoints(data_centre: &DataCentre) -> std::io::Result<Vec<Announcement>> {
    let listener = tokio::net::TcpListener::bind("127.0.0.1:0").await?;
    let address = listener.local_addr()?;
    let routes =
        Router::new().route("/v1/chat/completions", post(complete)).route("/call", post(echo));
    tokio::spawn(async move { axum::serve(listener, routes).await });
    let kinds = [(CallKind::Model, MODEL), (CallKind::Tool, TOOL), (CallKind::Service, TOOL)];
    Ok(kinds.map(|(kind, target)| announcement(kind, target, address, data_centre)).to_vec())
}

fn announcement(
    kind: CallKind,
    target: &str,
    address: SocketAddr,
    data_centre: &DataCentre,
) -> Announcement {
    Announcement {
        name: format!("dev-{kind}").try_into().expect("a valid name"),
        kind,
        address,
        targets: vec![target.try_into().expect("a valid name")],
        data_centre: data_centre.clone(),
        capacity: 64,
        leaving: false,
        load: LoadReport::default(),
        checks_fencing: false,
        outcome_lookup: false,
    }
}

async fn echo(Json(call): Json<Value>) -> Json<Value> {
    Json(call["input"].clone())
}

async fn complete(Json(req): Json<Value>) -> Response {
    let messages = req["messages"].as_array().cloned().unwrap_or_default();
    let content = |message: &Value| message["content"].as_str().unwrap_or("").to_owned();
    let last = messages.last().map(content).unwrap_or_default();
    let prompt_bytes: usize = messages.iter().map(|message| content(message).len()).sum();
    let words = reply(messages.len(), &last, req["max_tokens"].as_u64().unwrap_or(u64::MAX));
    let usage = json!({
        "choices": [],
        "usage": {
            "prompt_tokens": prompt_bytes.div_ceil(BYTES_PER_TOKEN),
            "completion_tokens": words.len(),
        },
    });
    let texts = words.into_iter().map(|word| json!({"choices": [{"delta": {"content": word}}]}));
    let events = texts.chain([usage]).map(|event| event.to_string());
    let events = events.chain(["[DONE]".to_owned()]);
    let events = futures_util::stream::iter(events)
        .map(|data| Ok::<_, std::convert::Infallible>(sse::Event::default().data(data)));
    Sse::new(events).into_response()
}

fn reply(messages: usize, last: &str, max_tokens: u64) -> Vec<String> {
    let text = format!("After {messages} messages: {last}");
    text.split_inclusive(' ').take(max_tokens as usize).map(str::to_owned).collect()
}
