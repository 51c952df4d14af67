//! Measures the replicated log and prints the figures as JSON.

use std::path::PathBuf;
use std::process::ExitCode;

use gumdrop::Options;
use testkit::bench_log;
use testkit::bench_log::LogBenchArgs;

/// What the command line may say.
#[derive(Debug, Options)]
struct BenchOptions {
    /// Print this help.
    help: bool,
    /// Make temporary folders below this one instead of the system's.
    #[options(meta = "FOLDER")]
    folder: Option<PathBuf>,
    /// Measure a few short points only.
    quick: bool,
}

fn args(options: &BenchOptions) -> LogBenchArgs {
    let folder = options.folder.clone().unwrap_or_else(std::env::temp_dir);
    let mut args = LogBenchArgs::new(folder);
    if options.quick {
        args.duration = std::time::Duration::from_millis(500);
        args.log_lengths = vec![1_000];
        args.failovers = 2;
    }
    args
}

#[tokio::main]
async fn main() -> ExitCode {
    let options = BenchOptions::parse_args_default_or_exit();
    match bench_log::run(&args(&options)).await {
        Ok(figures) => {
            println!("{figures:#}");
            ExitCode::SUCCESS
        }
        Err(cause) => {
            eprintln!("{cause}");
            ExitCode::FAILURE
        }
    }
}
