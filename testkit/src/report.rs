//! Prints the result of a measurement.

use std::process::ExitCode;

use serde::Serialize;

/// Prints a report as JSON and returns the exit code of the command.
pub fn print_json<T>(report: &T) -> ExitCode
where
    T: Serialize,
{
    match serde_json::to_string_pretty(report) {
        Ok(text) => {
            println!("{text}");
            ExitCode::SUCCESS
        }
        Err(cause) => {
            eprintln!("{cause}");
            ExitCode::FAILURE
        }
    }
}
