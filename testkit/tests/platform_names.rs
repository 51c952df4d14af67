//! Checks that only `platform/` knows the names of the platform's wire format.

use std::path::Path;

/// Names that nothing but the platform uses.
const NAMES: [&str; 29] = [
    "X-Attempt-Id",
    "X-Response-Signature",
    "X-Expect-Instance",
    "X-Not-Executed",
    "X-Server-Load",
    "X-Token-Usage",
    "X-Token-Budget",
    "X-Program-Id",
    "X-Program-Deadline-Ms",
    "X-Deadline-Ms",
    "X-Affinity-Key",
    "X-Request-Priority",
    "X-Prompt-Prefix",
    "Kv-From",
    "Kv-Fetch",
    "Instances.Heartbeat",
    "Instances.Deregister",
    "Config.Replace",
    "Config.Get",
    "Retire.Start",
    "heartbeat_addr",
    "cold_remaining_ms",
    "target_latency_ms",
    "fault_tolerance",
    "X-Tenant",
    "X-Previous-Turn",
    "retention_enabled",
    "allow_anonymous",
    "rate_per_s",
];

fn check_file(file: &Path) -> datatest_stable::Result<()> {
    if file.ends_with("platform_names.rs") {
        return Ok(());
    }
    let text = std::fs::read_to_string(file)?.to_lowercase();
    match NAMES.iter().find(|name| text.contains(&name.to_lowercase())) {
        Some(name) => Err(format!("{} names {name}", file.display()).into()),
        None => Ok(()),
    }
}

datatest_stable::harness! {
    { test = check_file, root = "../coriandergw/src", pattern = r"\.rs$" },
    { test = check_file, root = "src", pattern = r"\.rs$" },
    { test = check_file, root = "tests", pattern = r"\.rs$" },
}
