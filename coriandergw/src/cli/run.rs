//! `coriandergw run`

use std::future::Future;
use std::path::PathBuf;
use std::process::ExitCode;
use std::time::Duration;

use gumdrop::Options;

use crate::cli::EXIT_FAILED;
use crate::cli::EXIT_INVALID;
use crate::cli::check::load;
use crate::cli::fail;
use crate::events::log_output;
use crate::instance;
use crate::instance::RunError;
use crate::supervision::EXIT_TASK_ENDED;

/// How long work that blocks a thread, such as a write to a stalled disk, may delay the exit.
const SHUTDOWN_LIMIT: Duration = Duration::from_secs(1);

/// The arguments of `run`.
#[derive(Debug, Options)]
pub(super) struct Arguments {
    #[options(help = "print this help")]
    help: bool,
    #[options(free, required, help = "the settings file")]
    settings: PathBuf,
}

/// Runs one instance from a settings file.
pub(super) fn run(arguments: &Arguments) -> ExitCode {
    let settings = match load(&arguments.settings) {
        Ok(settings) => settings,
        Err(message) => return fail(EXIT_INVALID, message),
    };
    log_output::start(settings.log);
    match block_on(instance::run(settings)) {
        Ok(()) => ExitCode::SUCCESS,
        Err(cause) => fail(exit_code(&cause), cause),
    }
}

/// Returns the exit code of an instance that could not run on.
pub(super) fn exit_code(cause: &RunError) -> u8 {
    match cause {
        RunError::Task { .. } => EXIT_TASK_ENDED,
        _ => EXIT_FAILED,
    }
}

/// Runs a future on a new runtime.
pub(super) fn block_on<F, T>(future: F) -> T
where
    F: Future<Output = T>,
{
    let runtime = tokio::runtime::Runtime::new().expect("the runtime can be started");
    let output = runtime.block_on(future);
    runtime.shutdown_timeout(SHUTDOWN_LIMIT);
    output
}
