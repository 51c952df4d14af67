//! Prints the fields of all messages of the workspace that it is run in; run by maintainers on the
//! commit of a release.

use std::path::Path;
use std::process::ExitCode;

use testkit::schema::Schema;

fn main() -> ExitCode {
    match Schema::read(Path::new("coriandergw/src")) {
        Ok(schema) => {
            print!("{}", schema.to_text());
            ExitCode::SUCCESS
        }
        Err(cause) => {
            eprintln!("{cause}");
            ExitCode::FAILURE
        }
    }
}
