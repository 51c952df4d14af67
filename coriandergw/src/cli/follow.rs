//! `coriandergw follow`

use std::path::PathBuf;
use std::process::ExitCode;

use gumdrop::Options;

use crate::cli::EXIT_FAILED;
use crate::cli::EXIT_INVALID;
use crate::cli::entry::pretty;
use crate::cli::fail;
use crate::follow::line::LogLine;
use crate::follow::report::FollowReport;
use crate::follow::report::FollowTarget;

/// The arguments of `follow`.
#[derive(Debug, Options)]
pub(super) struct Arguments {
    #[options(help = "print this help")]
    help: bool,
    #[options(help = "the identifier that the caller gave the request")]
    request: Option<String>,
    #[options(help = "the program, as its caller names it")]
    program: Option<String>,
    #[options(help = "print the result as JSON")]
    json: bool,
    #[options(free, required, help = "the logs of the processes")]
    logs: Vec<PathBuf>,
}

/// Tells from the logs what became of a request or program and why.
pub(super) fn follow(arguments: &Arguments) -> ExitCode {
    let followed = match (&arguments.request, &arguments.program) {
        (Some(request), None) => FollowTarget::Request(request.as_str().into()),
        (None, Some(program)) => FollowTarget::Program(program.as_str().into()),
        _ => return fail(EXIT_INVALID, "give either --request or --program"),
    };
    let mut lines = Vec::new();
    for file in &arguments.logs {
        match std::fs::read(file) {
            // Lines that are no events, such as those of the runtime, tell nothing of a request.
            Ok(bytes) => {
                let text = String::from_utf8_lossy(&bytes);
                lines.extend(text.lines().filter_map(|line| LogLine::try_from(line).ok()));
            }
            Err(cause) => return fail(EXIT_INVALID, format!("{}: {cause}", file.display())),
        }
    }
    let story = FollowReport::tell(&lines, &followed);
    match arguments.json {
        true => println!("{}", pretty(&story.json())),
        false => println!("{}", story.text()),
    }
    if story.own.is_empty() { ExitCode::from(EXIT_FAILED) } else { ExitCode::SUCCESS }
}
