//! `coriandergw status`

use std::process::ExitCode;

use gumdrop::Options;
use serde_json::Value;

use crate::cli::EXIT_FAILED;
use crate::cli::client::OperatorClient;
use crate::cli::entry::pretty;
use crate::cli::fail;
use crate::cli::run::block_on;

/// The arguments of `status`.
#[derive(Debug, Options)]
pub(super) struct Arguments {
    #[options(help = "print this help")]
    help: bool,
    #[options(help = "the address of an instance", default = "127.0.0.1:7400")]
    address: String,
    #[options(help = "print the answer as JSON")]
    json: bool,
}

/// Shows the instances, their states and what they have applied.
pub(super) fn status(arguments: &Arguments) -> ExitCode {
    let client = OperatorClient::from_environment();
    let answer = match block_on(client.get(&arguments.address, "/v1/status")) {
        Ok(answer) => answer,
        Err(cause) => return fail(EXIT_FAILED, cause),
    };
    if !answer.is_success() {
        return fail(EXIT_FAILED, pretty(&answer.body));
    }
    match arguments.json {
        true => println!("{}", pretty(&answer.body)),
        false => print_table(&answer.body),
    }
    ExitCode::SUCCESS
}

fn print_table(body: &Value) {
    let text = |value: &Value| match value {
        Value::String(text) => text.clone(),
        Value::Null => "-".to_owned(),
        other => other.to_string(),
    };
    for (key, value) in body.as_object().into_iter().flatten() {
        let Some(rows) = value.as_array() else {
            println!("{key}: {}", text(value));
            continue;
        };
        println!("{key}:");
        for row in rows {
            let cells = row.as_object().into_iter().flatten();
            let cells: Vec<String> = cells.map(|(k, v)| format!("{k}={}", text(v))).collect();
            println!("  {}", cells.join(" "));
        }
    }
}
