//! The command line.

use std::net::SocketAddr;
use std::process::ExitCode;

use gumdrop::Options;

use crate::instance;
use crate::settings::DEV_LISTEN;
use crate::settings::Settings;

/// The exit code of a command that failed while it ran.
pub const EXIT_FAILED: u8 = 1;

/// The exit code of a command line or settings file that is not valid.
pub const EXIT_INVALID: u8 = 2;

#[derive(Debug, Options)]
struct Arguments {
    #[options(help = "print this help")]
    help: bool,
    #[options(command)]
    command: Option<Command>,
}

#[derive(Debug, Options)]
enum Command {
    #[options(help = "run one instance with embedded stand-ins")]
    Dev(DevArguments),
    #[options(help = "print the version")]
    Version(VersionArguments),
}

#[derive(Debug, Options)]
struct DevArguments {
    #[options(help = "print this help")]
    help: bool,
    #[options(help = "the address to listen on", default = "127.0.0.1:7400")]
    listen: String,
}

#[derive(Debug, Options)]
struct VersionArguments {
    #[options(help = "print this help")]
    help: bool,
}

/// Parses the command line, runs the command and returns its exit code.
pub fn main() -> ExitCode {
    let arguments = Arguments::parse_args_default_or_exit();
    match arguments.command {
        Some(Command::Dev(arguments)) => dev(&arguments),
        Some(Command::Version(_)) => {
            println!("coriandergw {}", env!("CARGO_PKG_VERSION"));
            ExitCode::SUCCESS
        }
        None => {
            println!("Usage: coriandergw COMMAND\n\n{}", Arguments::usage());
            println!("\nCommands:\n{}", Command::usage());
            ExitCode::from(EXIT_INVALID)
        }
    }
}

fn dev(arguments: &DevArguments) -> ExitCode {
    let listen: SocketAddr = match arguments.listen.parse() {
        Ok(listen) => listen,
        Err(cause) => {
            eprintln!("--listen {}: {cause}; for example {DEV_LISTEN}", arguments.listen);
            return ExitCode::from(EXIT_INVALID);
        }
    };
    let runtime = match tokio::runtime::Runtime::new() {
        Ok(runtime) => runtime,
        Err(cause) => {
            eprintln!("cannot start: {cause}");
            return ExitCode::from(EXIT_FAILED);
        }
    };
    match runtime.block_on(instance::run_dev(Settings::dev(listen))) {
        Ok(()) => ExitCode::SUCCESS,
        Err(cause) => {
            eprintln!("{cause}");
            ExitCode::from(EXIT_FAILED)
        }
    }
}
