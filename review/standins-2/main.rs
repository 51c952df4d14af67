//! Plays one case of the review: `standins CASE FOLDER`, from the root of the repository.
//!
//! Writes `record.txt` to FOLDER. The exit code is 1 if the rule was broken, 0 if it held, and 2 if
//! the case could not run. With `TROUBLE=0` the disruption is left out.

mod clients;
mod cluster;
mod full_stores;
mod http;
mod late_copies;
mod memory;
mod record;
mod turns;
mod unmarked;
mod worker;

use std::path::Path;
use std::process::ExitCode;
use std::sync::Arc;

use record::Record;

/// The result of a case.
pub enum Outcome {
    /// The rule held.
    Held,
    /// The rule was broken.
    Broken,
    /// What the case needs did not happen.
    CouldNotRun(String),
}

fn main() -> ExitCode {
    let mut arguments = std::env::args().skip(1);
    let (Some(case), Some(folder)) = (arguments.next(), arguments.next()) else {
        eprintln!("usage: standins CASE FOLDER");
        return ExitCode::from(2);
    };
    let has_trouble = std::env::var("TROUBLE").map_or(true, |value| value != "0");
    let record = match Record::create(Path::new(&folder)) {
        Ok(record) => Arc::new(record),
        Err(cause) => {
            eprintln!("{folder}: {cause}");
            return ExitCode::from(2);
        }
    };
    let base = std::env::temp_dir();
    let played = match case.as_str() {
        "late-copies" => late_copies::play(&base, &record, has_trouble),
        "full-stores" => full_stores::play(&base, &record, has_trouble),
        "memory" => memory::play(&base, &record, has_trouble),
        "unmarked" => unmarked::play(&base, &record, has_trouble),
        _ => Err(std::io::Error::other("there is no such case")),
    };
    let (line, code) = match played {
        Ok(Outcome::Held) => ("the rule held".to_owned(), 0),
        Ok(Outcome::Broken) => ("the rule was broken".to_owned(), 1),
        Ok(Outcome::CouldNotRun(reason)) => (format!("the case could not run: {reason}"), 2),
        Err(cause) => (format!("the case could not run: {cause}"), 2),
    };
    record.note(&line);
    println!("{case}: {line}");
    ExitCode::from(code)
}
