//! Prints what a turn costs in the journal and how long a takeover and reading back take, as JSON.

use std::process::ExitCode;

use gumdrop::Options;
use testkit::report::print_json;

/// Measures programs without network, disk or replicas.
#[derive(Debug, Options)]
struct Arguments {
    #[options(help = "print this help")]
    help: bool,
    #[options(help = "programs measured at each length", default = "200")]
    measured: usize,
    #[options(help = "programs taken over", default = "10000")]
    programs: usize,
}

#[tokio::main]
async fn main() -> ExitCode {
    let arguments = Arguments::parse_args_default_or_exit();
    let lengths = [1, 16, 64, 260];
    let report =
        testkit::bench_programs::run(&lengths, arguments.measured, arguments.programs).await;
    print_json(&report)
}
