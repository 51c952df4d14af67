//! Writes the generated message types of all slices of the workspace that it is run in; run by
//! maintainers after a change of a proto.

use std::path::Path;
use std::process::ExitCode;

fn main() -> ExitCode {
    let source = Path::new("coriandergw/src");
    match testkit::generate::generate_all(source) {
        Ok(files) => {
            for file in files {
                println!("{}", file.display());
            }
            ExitCode::SUCCESS
        }
        Err(cause) => {
            eprintln!("{cause}");
            ExitCode::FAILURE
        }
    }
}
