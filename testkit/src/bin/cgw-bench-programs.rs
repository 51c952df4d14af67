//! Prints what a turn costs in the journal and how long a takeover and reading back take, as JSON.

use std::process::ExitCode;

use gumdrop::Options;

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
    match serde_json::to_string_pretty(&report) {
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
