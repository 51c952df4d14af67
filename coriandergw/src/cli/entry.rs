//! `coriandergw entry`

use std::path::PathBuf;
use std::process::ExitCode;

use bytes::Bytes;
use gumdrop::Options;
use hyper::Method;
use hyper::StatusCode;
use serde_json::Value;

use crate::cli::EXIT_CONFLICT;
use crate::cli::EXIT_FAILED;
use crate::cli::EXIT_INVALID;
use crate::cli::client::Answer;
use crate::cli::client::OperatorClient;
use crate::cli::client::RequestError;
use crate::cli::fail;
use crate::cli::run::block_on;

/// How often a change whose answer was lost is sent again, under the same change id.
const SEND_ATTEMPTS: u32 = 5;

/// The arguments of `entry`.
#[derive(Debug, Options)]
pub(super) struct Arguments {
    #[options(help = "print this help")]
    help: bool,
    #[options(help = "the address of an instance", default = "127.0.0.1:7400")]
    address: String,
    #[options(help = "the change id; resend a change under the same one")]
    change_id: Option<String>,
    #[options(help = "the revision that the change was made against; default: the current one")]
    revision: Option<u64>,
    #[options(command)]
    command: Option<Command>,
}

#[derive(Debug, Options)]
enum Command {
    #[options(help = "list all entries")]
    List(NoArguments),
    #[options(help = "show an entry")]
    Show(NameArgument),
    #[options(help = "create or replace an entry from a JSON file")]
    Set(SetArguments),
    #[options(help = "remove an entry")]
    Remove(NameArgument),
    #[options(help = "show who changed an entry and when")]
    History(NameArgument),
}

#[derive(Debug, Options)]
struct NoArguments {
    #[options(help = "print this help")]
    help: bool,
}

#[derive(Debug, Options)]
struct NameArgument {
    #[options(help = "print this help")]
    help: bool,
    #[options(free, required, help = "the entry's name")]
    name: String,
}

#[derive(Debug, Options)]
struct SetArguments {
    #[options(help = "print this help")]
    help: bool,
    #[options(free, required, help = "the entry's name")]
    name: String,
    #[options(free, required, help = "the file with the entry as JSON")]
    file: PathBuf,
}

/// Reads or changes catalogue entries and prints the answer as JSON.
pub(super) fn entry(arguments: &Arguments) -> ExitCode {
    let Some(command) = &arguments.command else {
        return fail(EXIT_INVALID, format!("entry needs a command:\n{}", Command::usage()));
    };
    let client = OperatorClient::from_environment();
    let answer = match command {
        Command::List(_) => block_on(client.get(&arguments.address, "/v1/catalogue/entries")),
        Command::Show(show) => block_on(client.get(&arguments.address, &path(&show.name, ""))),
        Command::History(show) => {
            block_on(client.get(&arguments.address, &path(&show.name, "/history")))
        }
        Command::Remove(remove) => {
            block_on(change(&client, arguments, Method::DELETE, &remove.name, Bytes::new()))
        }
        Command::Set(set) => match std::fs::read(&set.file) {
            Ok(body) => block_on(change(&client, arguments, Method::PUT, &set.name, body.into())),
            Err(cause) => {
                return fail(EXIT_INVALID, format!("{}: {cause}", set.file.display()));
            }
        },
    };
    report(answer)
}

fn path(name: &str, rest: &str) -> String {
    format!("/v1/catalogue/entries/{name}{rest}")
}

/// Sends a change until it is answered; the change id keeps it from being made twice.
async fn change(
    client: &OperatorClient,
    arguments: &Arguments,
    method: Method,
    name: &str,
    body: Bytes,
) -> Result<Answer, RequestError> {
    let path = path(name, "");
    let revision = match arguments.revision {
        Some(revision) => revision.to_string(),
        None => {
            let current = client.get(&arguments.address, &path).await?;
            current.revision.unwrap_or_else(|| "0".to_owned())
        }
    };
    let fresh = || format!("c-{}", hex::encode(rand::random::<[u8; 16]>()));
    let change_id = arguments.change_id.clone().unwrap_or_else(fresh);
    let headers = [("if-match", revision.as_str()), ("change-id", change_id.as_str())];
    let mut last = None;
    for _ in 0..SEND_ATTEMPTS {
        match client.send(method.clone(), &arguments.address, &path, &headers, body.clone()).await {
            Ok(answer) => return Ok(answer),
            Err(cause) => last = Some(cause),
        }
    }
    let mut cause = last.expect("at least one attempt was made");
    cause.reason = format!("{}; resend with --change-id {change_id}", cause.reason);
    Err(cause)
}

fn report(answer: Result<Answer, RequestError>) -> ExitCode {
    let answer = match answer {
        Ok(answer) => answer,
        Err(cause) => return fail(EXIT_FAILED, cause),
    };
    if answer.is_success() {
        println!("{}", pretty(&answer.body));
        return ExitCode::SUCCESS;
    }
    let conflict = answer.status == StatusCode::PRECONDITION_FAILED.as_u16();
    let code = if conflict { EXIT_CONFLICT } else { EXIT_FAILED };
    fail(code, pretty(&answer.body))
}

/// Formats JSON for people.
pub(super) fn pretty(body: &Value) -> String {
    serde_json::to_string_pretty(body).unwrap_or_else(|_| body.to_string())
}
