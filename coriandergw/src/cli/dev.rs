//! `coriandergw dev`

use std::net::SocketAddr;
use std::process::ExitCode;

use gumdrop::Options;

use crate::cli::EXIT_INVALID;
use crate::cli::fail;
use crate::cli::run::block_on;
use crate::cli::run::exit_code;
use crate::events::log_output;
use crate::instance;
use crate::settings::DEV_LISTEN;
use crate::settings::Settings;

/// The arguments of `dev`.
#[derive(Debug, Options)]
pub(super) struct Arguments {
    #[options(help = "print this help")]
    help: bool,
    #[options(help = "the address to listen on", default = "127.0.0.1:7400")]
    listen: String,
}

/// Runs one instance with embedded stand-ins.
pub(super) fn dev(arguments: &Arguments) -> ExitCode {
    let listen: SocketAddr = match arguments.listen.parse() {
        Ok(listen) => listen,
        Err(cause) => {
            let message = format!("--listen {}: {cause}; try {DEV_LISTEN}", arguments.listen);
            return fail(EXIT_INVALID, message);
        }
    };
    let settings = Settings::dev(listen);
    log_output::start(settings.log);
    match block_on(instance::run_dev(settings)) {
        Ok(()) => ExitCode::SUCCESS,
        Err(cause) => fail(exit_code(&cause), cause),
    }
}
