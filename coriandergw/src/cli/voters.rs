//! `coriandergw voters`

use std::process::ExitCode;

use gumdrop::Options;
use hyper::Method;
use serde_json::Value;
use serde_json::json;

use crate::cli::EXIT_FAILED;
use crate::cli::client::OperatorClient;
use crate::cli::client::RequestError;
use crate::cli::client::instance_addresses;
use crate::cli::entry::pretty;
use crate::cli::fail;
use crate::cli::run::block_on;

/// The arguments of `voters`.
#[derive(Debug, Options)]
pub(super) struct Arguments {
    #[options(help = "print this help")]
    help: bool,
    #[options(help = "the address of any instance", default = "127.0.0.1:7400")]
    address: String,
    #[options(free, required, help = "the voter that is lost")]
    old: String,
    #[options(
        free,
        required,
        help = "the instance that takes its place; the same for a lost folder"
    )]
    new: String,
}

/// Replaces a voter in all log groups, by asking each instance for the groups that it leads.
pub(super) fn voters(arguments: &Arguments) -> ExitCode {
    let client = OperatorClient::from_environment();
    let (groups, unreached) = match block_on(replace(&client, arguments)) {
        Ok(result) => result,
        Err(cause) => return fail(EXIT_FAILED, cause),
    };
    let has_started = !groups.is_empty() && groups.iter().all(|group| group["refused"].is_null());
    println!("{}", pretty(&json!({"groups": groups, "unreached": unreached})));
    if has_started { ExitCode::SUCCESS } else { ExitCode::from(EXIT_FAILED) }
}

async fn replace(
    client: &OperatorClient,
    arguments: &Arguments,
) -> Result<(Vec<Value>, Vec<String>), RequestError> {
    let body = json!({"old": arguments.old, "new": arguments.new}).to_string();
    let mut groups = Vec::new();
    let mut unreached = Vec::new();
    for address in instance_addresses(client, &arguments.address).await? {
        let path = "/v1/voters/replace";
        match client.send(Method::POST, &address, path, &[], body.clone().into()).await {
            Ok(answer) if answer.is_success() => {
                groups.extend(answer.body["groups"].as_array().cloned().unwrap_or_default());
            }
            Ok(answer) => unreached.push(format!("{address}: {}", answer.body)),
            Err(cause) => unreached.push(cause.to_string()),
        }
    }
    Ok((groups, unreached))
}
