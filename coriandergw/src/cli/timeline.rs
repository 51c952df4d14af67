//! `coriandergw timeline`

use std::path::PathBuf;
use std::process::ExitCode;

use gumdrop::Options;
use serde_json::Value;
use serde_json::json;

use crate::cli::EXIT_FAILED;
use crate::cli::EXIT_INVALID;
use crate::cli::client::OperatorClient;
use crate::cli::client::RequestError;
use crate::cli::client::instance_addresses;
use crate::cli::entry::pretty;
use crate::cli::fail;
use crate::cli::run::block_on;
use crate::events::Event;
use crate::events::merge::merge_causally;
use crate::events::timeline_svg::draw_svg;

/// The arguments of `timeline`.
#[derive(Debug, Options)]
pub(super) struct Arguments {
    #[options(help = "print this help")]
    help: bool,
    #[options(
        help = "the address of any instance; the others are found through it",
        default = "127.0.0.1:7400"
    )]
    address: String,
    #[options(help = "only events of this program")]
    program: Option<String>,
    #[options(help = "only events of this catalogue entry")]
    entry: Option<String>,
    #[options(help = "only events since this time, in milliseconds since the Unix epoch")]
    since: Option<u64>,
    #[options(help = "write a picture with a lane per process to this file")]
    svg: Option<PathBuf>,
    #[options(help = "print the events as JSON")]
    json: bool,
}

/// Shows the events of all instances that can be reached, and names those that cannot.
pub(super) fn timeline(arguments: &Arguments) -> ExitCode {
    let client = OperatorClient::from_environment();
    let (events, unreached) = match block_on(collect(&client, arguments)) {
        Ok(collected) => collected,
        Err(cause) => return fail(EXIT_FAILED, cause),
    };
    let events = merge_causally(events);
    if let Some(file) = &arguments.svg
        && let Err(cause) = std::fs::write(file, draw_svg(&events))
    {
        return fail(EXIT_INVALID, format!("{}: {cause}", file.display()));
    }
    if arguments.json {
        println!("{}", pretty(&json!({"events": events, "unreached": unreached})));
        return ExitCode::SUCCESS;
    }
    for event in &events {
        println!("{}", line(event));
    }
    for cause in unreached {
        println!("not reached: {cause}");
    }
    ExitCode::SUCCESS
}

async fn collect(
    client: &OperatorClient,
    arguments: &Arguments,
) -> Result<(Vec<Event>, Vec<String>), RequestError> {
    let path = query_path(arguments);
    let mut events = Vec::new();
    let mut unreached = Vec::new();
    for address in instance_addresses(client, &arguments.address).await? {
        match client.get(&address, &path).await {
            Ok(answer) if answer.is_success() => events.extend(parse_events(&answer.body)),
            Ok(answer) => unreached.push(format!("{address}: {}", answer.body)),
            Err(cause) => unreached.push(cause.to_string()),
        }
    }
    Ok((events, unreached))
}

fn query_path(arguments: &Arguments) -> String {
    let mut parts = Vec::new();
    parts.extend(arguments.program.as_ref().map(|program| format!("program={program}")));
    parts.extend(arguments.entry.as_ref().map(|entry| format!("entry={entry}")));
    parts.extend(arguments.since.map(|since| format!("since_ms={since}")));
    format!("/v1/events?{}", parts.join("&"))
}

fn parse_events(body: &Value) -> Vec<Event> {
    serde_json::from_value(body["events"].clone()).unwrap_or_default()
}

fn line(event: &Event) -> String {
    let subject = &event.subject;
    let mut parts = vec![
        event.wall_ms.to_string(),
        format!("{}#{}", event.instance, event.sequence),
        event.number.to_string(),
    ];
    parts.extend(subject.program.as_ref().map(|program| format!("program={program}")));
    parts.extend(subject.call.as_ref().map(|call| format!("call={call}")));
    parts.extend(subject.entry.as_ref().map(|entry| format!("entry={entry}")));
    parts.extend(subject.epoch.map(|epoch| format!("epoch={epoch}")));
    parts.extend(subject.peer.as_ref().map(|peer| format!("peer={peer}")));
    parts.push(event.message.clone());
    parts.join(" ")
}
