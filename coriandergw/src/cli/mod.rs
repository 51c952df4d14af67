//! The command line.
//!
//! Each command is one file with one entry function that returns the exit code.

use std::process::ExitCode;

use gumdrop::Options;

mod check;
mod client;
mod dev;
mod entry;
mod follow;
mod keys;
mod run;
mod status;
mod timeline;
mod version;
mod voters;

/// The exit code of a command that failed while it ran.
pub const EXIT_FAILED: u8 = 1;

/// The exit code of a command line or settings file that is not valid.
pub const EXIT_INVALID: u8 = 2;

/// The exit code of a change that was refused because another one came first.
pub const EXIT_CONFLICT: u8 = 3;

const EXAMPLES: &str = "Examples:
  coriandergw dev
  coriandergw check settings.ini
  coriandergw run settings.ini
  coriandergw keys --cluster association --out keys e1 e2 e3
  coriandergw entry show default
  coriandergw entry set drafting entry.json
  coriandergw status --json
  coriandergw voters e3 e5
  coriandergw timeline --program p-… --svg timeline.svg
  coriandergw follow --request 697a3eb9bfeea870 logs/*

Exit codes: 0 done, 1 failed, 2 invalid command line or settings, 3 another change came first,
4 a background task ended.";

#[derive(Debug, Options)]
struct Arguments {
    #[options(help = "print this help")]
    help: bool,
    #[options(command)]
    command: Option<Command>,
}

#[derive(Debug, Options)]
enum Command {
    #[options(help = "run one instance from a settings file")]
    Run(run::Arguments),
    #[options(help = "run one instance with embedded stand-ins")]
    Dev(dev::Arguments),
    #[options(help = "check a settings file")]
    Check(check::Arguments),
    #[options(help = "make an authority and certificates of instances")]
    Keys(keys::Arguments),
    #[options(help = "list, show, set or remove catalogue entries; show their history")]
    Entry(entry::Arguments),
    #[options(help = "show the instances and what they have applied")]
    Status(status::Arguments),
    #[options(help = "show the events of all instances in causal order")]
    Timeline(timeline::Arguments),
    #[options(help = "tell from logs what became of a request or program")]
    Follow(follow::Arguments),
    #[options(help = "replace a store instance that is lost for good")]
    Voters(voters::Arguments),
    #[options(help = "print the version")]
    Version(version::Arguments),
}

/// Parses the command line, runs the command and returns its exit code.
pub fn main() -> ExitCode {
    let arguments = Arguments::parse_args_default_or_exit();
    match arguments.command {
        Some(Command::Run(arguments)) => run::run(&arguments),
        Some(Command::Dev(arguments)) => dev::dev(&arguments),
        Some(Command::Check(arguments)) => check::check(&arguments),
        Some(Command::Keys(arguments)) => keys::keys(&arguments),
        Some(Command::Entry(arguments)) => entry::entry(&arguments),
        Some(Command::Follow(arguments)) => follow::follow(&arguments),
        Some(Command::Status(arguments)) => status::status(&arguments),
        Some(Command::Timeline(arguments)) => timeline::timeline(&arguments),
        Some(Command::Voters(arguments)) => voters::voters(&arguments),
        Some(Command::Version(_)) => version::version(),
        None => {
            println!("Usage: coriandergw COMMAND\n\n{}", Arguments::usage());
            println!("\nCommands:\n{}\n\n{EXAMPLES}", Command::usage());
            ExitCode::from(EXIT_INVALID)
        }
    }
}

fn fail<M>(code: u8, message: M) -> ExitCode
where
    M: std::fmt::Display,
{
    eprintln!("{message}");
    ExitCode::from(code)
}
