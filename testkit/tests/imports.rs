//! Checks that each source file imports one item a line, in three groups.

use std::path::Path;

type CheckResult = datatest_stable::Result<()>;

/// The group of an import: the standard library, other crates, this crate.
fn group(path: &str) -> u8 {
    match path.split("::").next().unwrap_or("") {
        "std" | "core" | "alloc" => 0,
        "crate" | "self" | "super" => 2,
        _ => 1,
    }
}

fn imported(line: &str) -> Option<&str> {
    let line = line.trim_end();
    let rest = line.strip_prefix("pub use ").or_else(|| line.strip_prefix("use "))?;
    Some(rest)
}

fn check_imports(file: &Path, text: String) -> CheckResult {
    if file.ends_with("generated.rs") {
        return Ok(());
    }
    let mut last: Option<(usize, u8)> = None;
    for (index, line) in text.lines().enumerate() {
        let at = format!("{}:{}", file.display(), index + 1);
        let inner = line.trim_start();
        if imported(inner).is_some_and(|path| path.contains('{')) {
            return Err(format!("{at}: one import a line, without braces").into());
        }
        let Some(path) = line.strip_prefix("use ") else {
            continue;
        };
        let group = group(path);
        if let Some((last_index, last_group)) = last {
            let adjacent = last_index + 1 == index;
            if group < last_group && adjacent {
                return Err(format!("{at}: standard library, other crates, this crate").into());
            }
            if group != last_group && adjacent {
                return Err(format!("{at}: an empty line between groups of imports").into());
            }
        }
        last = Some((index, group));
    }
    Ok(())
}

fn check_file(file: &Path) -> CheckResult {
    check_imports(file, std::fs::read_to_string(file)?)
}

datatest_stable::harness! {
    { test = check_file, root = "../coriandergw/src", pattern = r"\.rs$" },
    { test = check_file, root = "../platform/src", pattern = r"\.rs$" },
    { test = check_file, root = "../platform/tests", pattern = r"\.rs$" },
    { test = check_file, root = "src", pattern = r"\.rs$" },
    { test = check_file, root = "tests", pattern = r"\.rs$" },
}
