//! Starts the command line of coriandergw.

use std::process::ExitCode;

fn main() -> ExitCode {
    coriandergw::cli::main()
}
