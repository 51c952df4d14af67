//! Checks that no task of the shipped programs is started without supervision.

use std::path::Path;

type CheckResult = datatest_stable::Result<()>;

/// How a supervised task is started: each of these handles the panic of its task.
const SUPERVISED: [&str; 4] = [
    "supervision::essential(",
    "supervision::finite(",
    "supervision::isolated(",
    "supervision::until_stopped(",
];

/// Files that start tasks without supervision: how many, and who notices the end of the task.
const UNSUPERVISED: [(&str, usize, &str); 10] = [
    ("coriandergw/src/compatibility/transport.rs", 1, "the test joins it"),
    ("coriandergw/src/crashes/reporter.rs", 1, "the sender of the report joins its calls"),
    ("coriandergw/src/dev/mod.rs", 1, "stand-ins of a trial"),
    ("coriandergw/src/events/file.rs", 1, "the log has each event too"),
    ("coriandergw/src/events/log_output.rs", 1, "runs while the process exits"),
    ("coriandergw/src/forwarding/crash_check.rs", 1, "the request joins its check"),
    ("coriandergw/src/programs/accept.rs", 2, "the caller joins the first; the other only waits"),
    ("coriandergw/src/programs/append.rs", 1, "the caller joins it"),
    ("coriandergw/src/programs/end.rs", 1, "the caller joins it"),
    ("coriandergw/src/transport/memory.rs", 1, "the network of tests"),
];

/// Counts the places that start a task with anything but a supervised future.
fn count_unsupervised(text: &str) -> usize {
    let one_line = text.split_whitespace().collect::<Vec<_>>().join(" ");
    let is_supervised = |argument: &str| {
        let argument = argument.trim_start();
        // `ProcessParts::spawn`, which supervises, is given the name of the task first.
        let is_named = argument.starts_with('"');
        let variable = argument.split(')').next().unwrap_or("");
        is_named
            || SUPERVISED.iter().any(|call| {
                argument.starts_with(call) || one_line.contains(&format!("let {variable} = {call}"))
            })
    };
    let starts = text.match_indices("spawn(").filter(|(at, _)| {
        let before = &text[..*at];
        before.ends_with("tokio::") || before.ends_with("thread::") || before.ends_with('.')
    });
    starts.filter(|(at, call)| !is_supervised(&text[at + call.len()..])).count()
}

fn check_file(file: &Path) -> CheckResult {
    let path = file.to_string_lossy().replace('\\', "/");
    if path.contains("/tests/") || path.ends_with("/tests.rs") {
        return Ok(());
    }
    let listed = UNSUPERVISED.iter().find(|(name, ..)| path.ends_with(name));
    let allowed = listed.map_or(0, |(_, count, _)| *count);
    let found = count_unsupervised(&std::fs::read_to_string(file)?);
    if found == allowed {
        return Ok(());
    }
    let advice = "start it with coriandergw::supervision, or list who notices its end";
    Err(format!("{path}: {found} tasks without supervision, {allowed} are listed; {advice}").into())
}

datatest_stable::harness! {
    { test = check_file, root = "../coriandergw/src", pattern = r"\.rs$" },
    { test = check_file, root = "../platform/src", pattern = r"\.rs$" },
}
