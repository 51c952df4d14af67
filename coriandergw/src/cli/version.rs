//! `coriandergw version`

use std::process::ExitCode;

use gumdrop::Options;

/// The arguments of `version`.
#[derive(Debug, Options)]
pub(super) struct Arguments {
    #[options(help = "print this help")]
    help: bool,
}

/// Prints the version.
pub(super) fn version() -> ExitCode {
    println!("coriandergw {}", env!("CARGO_PKG_VERSION"));
    ExitCode::SUCCESS
}
