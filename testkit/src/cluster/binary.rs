//! Finds the shipped binary and keeps it as new as the source.

use std::path::Path;
use std::path::PathBuf;
use std::process::Command;
use std::sync::OnceLock;

/// The name of the shipped binary.
const BINARY: &str = "coriandergw";

/// The start of the variables that cargo sets for the test that it runs.
const PACKAGE_VARIABLES: [&str; 2] = ["CARGO_PKG_", "CARGO_MANIFEST_"];

/// Returns the binary beside the running executable.
///
/// A test builds it first, once a process: `cargo test` alone leaves an older binary in place, and
/// a test of an old binary proves nothing.
///
/// # Panics
/// Panics if the binary is neither there nor can be built.
pub fn path() -> PathBuf {
    static FOUND: OnceLock<PathBuf> = OnceLock::new();
    FOUND.get_or_init(find).clone()
}

fn find() -> PathBuf {
    let executable = std::env::current_exe().expect("the running executable has a path");
    let folder = executable.parent().expect("an executable is in a folder");
    if folder.ends_with("deps") {
        let profile_folder = folder.parent().expect("deps is in a folder");
        build(profile_folder);
        return profile_folder.join(BINARY);
    }
    let binary = folder.join(BINARY);
    assert!(binary.exists(), "build {BINARY} first: cargo build --workspace");
    binary
}

fn build(profile_folder: &Path) {
    let mut command = Command::new(env!("CARGO"));
    command.args(["build", "--quiet", "--locked", "--workspace", "--bin", BINARY]);
    command.current_dir(env!("CARGO_MANIFEST_DIR"));
    // A dependency's build script runs again where these differ, and all that depends on it.
    let of_this_package = |name: &String| PACKAGE_VARIABLES.iter().any(|p| name.starts_with(p));
    let names = std::env::vars_os().filter_map(|(name, _)| name.into_string().ok());
    names.filter(of_this_package).for_each(|name| {
        command.env_remove(name);
    });
    if profile_folder.ends_with("release") {
        command.arg("--release");
    }
    let status = command.status().expect("cargo can be started");
    assert!(status.success(), "building {BINARY} failed");
}
