//! The cases of the third review. Usage: `cases CASE RECORD`, run in the root of the repository.
//!
//! Exits with 1 if the rule was broken, 0 if it held, and 2 if the case could not run. With
//! `TROUBLE=0` in the environment a case leaves its disruption out.

use std::path::Path;
use std::process::ExitCode;
use std::sync::Arc;
use std::time::Duration;

use crate::record::Record;

mod cluster;
mod foreign_program;
mod forgotten_block;
mod http;
mod kept_limit;
mod kept_stream;
mod record;
mod repeated_crash;
mod stream_client;
mod system;
mod worker;

/// No case runs longer; the processes that it started end with it.
const CASE_LIMIT: Duration = Duration::from_secs(115);

const EXIT_BROKEN: u8 = 1;
const EXIT_NOT_RUN: u8 = 2;

fn main() -> ExitCode {
    let arguments: Vec<String> = std::env::args().skip(1).collect();
    if arguments.first().is_some_and(|word| word == "worker") {
        return match worker::run(&arguments[1..]) {
            Some(()) => ExitCode::SUCCESS,
            None => ExitCode::from(EXIT_NOT_RUN),
        };
    }
    let [case, file] = arguments.as_slice() else {
        eprintln!("usage: cases CASE RECORD");
        return ExitCode::from(EXIT_NOT_RUN);
    };
    let record = match Record::create(Path::new(file)) {
        Ok(record) => Arc::new(record),
        Err(cause) => {
            eprintln!("{file}: {cause}");
            return ExitCode::from(EXIT_NOT_RUN);
        }
    };
    let has_trouble = std::env::var("TROUBLE").map_or(true, |value| value != "0");
    record.note(&format!("case {case}, trouble={has_trouble}"));
    let (sender, ended) = std::sync::mpsc::channel();
    let (running, name) = (record.clone(), case.clone());
    // A panic drops the processes of the case with its thread.
    std::thread::spawn(move || {
        let result = match name.as_str() {
            "repeated-crash" => repeated_crash::run(&running, has_trouble),
            "kept-stream" => kept_stream::run(&running, has_trouble),
            "forgotten-block" => forgotten_block::run(&running, has_trouble),
            "kept-limit" => kept_limit::run(&running, has_trouble),
            "foreign-program" => foreign_program::run(&running, has_trouble),
            _ => Err(format!("there is no case {name}")),
        };
        let _ = sender.send(result);
    });
    let ended = ended.recv_timeout(CASE_LIMIT);
    cluster::end_all();
    match ended {
        Ok(Ok(true)) => {
            record.note("the rule held");
            ExitCode::SUCCESS
        }
        Ok(Ok(false)) => {
            record.note("the rule was broken");
            ExitCode::from(EXIT_BROKEN)
        }
        Ok(Err(cause)) => {
            record.note(&format!("the case could not run: {cause}"));
            ExitCode::from(EXIT_NOT_RUN)
        }
        Err(_) => {
            record.note("the case did not end in time");
            ExitCode::from(EXIT_NOT_RUN)
        }
    }
}
