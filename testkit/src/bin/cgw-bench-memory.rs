//! Prints how long lost releases of engine memory last and what the sweep costs, as JSON.

use std::process::ExitCode;
use std::time::Duration;

use gumdrop::Options;
use testkit::report::print_json;

/// Measures the sweep of engine memory with real processes and fake engines.
#[derive(Debug, Options)]
struct Arguments {
    #[options(help = "print this help")]
    help: bool,
    #[options(help = "programs that live all the time", default = "100")]
    live: usize,
    #[options(help = "times that a home is killed before its releases", default = "8")]
    rounds: usize,
    #[options(help = "seconds over which the cost is taken", default = "130")]
    seconds: u64,
}

#[tokio::main]
async fn main() -> ExitCode {
    let arguments = Arguments::parse_args_default_or_exit();
    let window = Duration::from_secs(arguments.seconds);
    let report = testkit::bench_memory::run(arguments.live, arguments.rounds, window).await;
    print_json(&report)
}
