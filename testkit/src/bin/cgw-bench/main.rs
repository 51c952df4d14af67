//! Runs fakes, a fault-injecting proxy, load and measurements from the command line.

use std::process::ExitCode;

use gumdrop::Options;
use serde_json::Value;

mod commands;

use commands::CapacityArguments;
use commands::ExperimentArguments;
use commands::FakesArguments;
use commands::LoadArguments;
use commands::ProxyArguments;
use commands::SoakArguments;

/// The exit code of a command line that is not valid.
const EXIT_INVALID: u8 = 2;

#[derive(Debug, Options)]
struct Arguments {
    #[options(help = "print this help")]
    help: bool,
    #[options(command)]
    command: Option<Command>,
}

#[derive(Debug, Options)]
enum Command {
    #[options(help = "run fake endpoints that announce themselves")]
    Fakes(FakesArguments),
    #[options(help = "run a fault-injecting proxy; reads faults as JSON lines")]
    Proxy(ProxyArguments),
    #[options(help = "send programs at random times and report latencies")]
    Load(LoadArguments),
    #[options(help = "compare policies on a deployment")]
    Experiment(ExperimentArguments),
    #[options(help = "mix load and faults on a cluster, then audit")]
    Soak(SoakArguments),
    #[options(help = "measure what an instance costs at several sizes")]
    Capacity(CapacityArguments),
}

fn main() -> ExitCode {
    let arguments = Arguments::parse_args_default_or_exit();
    let Some(command) = arguments.command else {
        println!("Usage: cgw-bench COMMAND\n\n{}", Command::usage());
        return ExitCode::from(EXIT_INVALID);
    };
    let runtime = match tokio::runtime::Runtime::new() {
        Ok(runtime) => runtime,
        Err(cause) => return fail(&cause),
    };
    match runtime.block_on(run(command)) {
        Ok(()) => ExitCode::SUCCESS,
        Err(cause) => fail(&cause),
    }
}

fn fail(cause: &dyn std::fmt::Display) -> ExitCode {
    eprintln!("cgw-bench: {cause}");
    ExitCode::FAILURE
}

async fn run(command: Command) -> Result<(), String> {
    match command {
        Command::Fakes(arguments) => commands::fakes(arguments).await,
        Command::Proxy(arguments) => commands::proxy(arguments).await,
        Command::Load(arguments) => commands::load(arguments).await,
        Command::Experiment(arguments) => commands::experiment(arguments).await,
        Command::Soak(arguments) => commands::soak(arguments).await,
        Command::Capacity(arguments) => commands::capacity(arguments).await,
    }
}

/// Prints a result as one line of JSON or for people.
fn print(json: bool, result: &Value) {
    let text = match json {
        true => result.to_string(),
        false => serde_json::to_string_pretty(result).unwrap_or_default(),
    };
    println!("{text}");
}
