//! Reads what a process uses from the operating system.

use serde::Serialize;

/// The clock ticks a second in which Linux counts processor time for programs.
const TICKS_PER_SECOND: f64 = 100.0;

/// The fields of `/proc/PID/stat` before user time, counted after the command's name.
const FIELDS_BEFORE_USER_TIME: usize = 11;

/// What a process uses at one moment.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
#[derive(Serialize)]
pub struct Usage {
    /// Resident memory in KiB.
    pub resident_kib: u64,
    /// Processor seconds since the start.
    pub cpu_seconds: f64,
    /// Open file descriptors.
    pub descriptors: usize,
}

/// Reads the usage of a process; zero for what cannot be read.
pub fn usage(process: u32) -> Usage {
    let read =
        |name: &str| std::fs::read_to_string(format!("/proc/{process}/{name}")).unwrap_or_default();
    let descriptors = std::fs::read_dir(format!("/proc/{process}/fd"));
    Usage {
        resident_kib: resident_kib(&read("status")),
        cpu_seconds: cpu_seconds(&read("stat")),
        descriptors: descriptors.map_or(0, Iterator::count),
    }
}

/// Returns how often the threads of a process waited and were woken since they started.
pub fn wake_ups(process: u32) -> u64 {
    let Ok(threads) = std::fs::read_dir(format!("/proc/{process}/task")) else {
        return 0;
    };
    let read = |thread: std::fs::DirEntry| std::fs::read_to_string(thread.path().join("status"));
    threads.flatten().filter_map(|thread| read(thread).ok()).map(|text| voluntary(&text)).sum()
}

fn voluntary(status: &str) -> u64 {
    let found = status.lines().find_map(|line| line.strip_prefix("voluntary_ctxt_switches:"));
    found.and_then(|number| number.trim().parse().ok()).unwrap_or(0)
}

pub(super) fn resident_kib(status: &str) -> u64 {
    let line = status.lines().find_map(|line| line.strip_prefix("VmRSS:")).unwrap_or("");
    line.split_whitespace().next().and_then(|number| number.parse().ok()).unwrap_or(0)
}

pub(super) fn cpu_seconds(stat: &str) -> f64 {
    // The command's name may hold spaces; it ends with the last parenthesis.
    let rest = stat.rsplit_once(')').map_or("", |(_, rest)| rest);
    let fields = rest.split_whitespace().skip(FIELDS_BEFORE_USER_TIME).take(2);
    let ticks: f64 = fields.filter_map(|field| field.parse::<f64>().ok()).sum();
    ticks / TICKS_PER_SECOND
}
