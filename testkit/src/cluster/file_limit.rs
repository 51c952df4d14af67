//! Makes a process' writes to files fail and succeed again, by the kernel's limit on file sizes.

use std::ffi::OsStr;

use rustix::process::Pid;
use rustix::process::Resource;
use rustix::process::Rlimit;
use rustix::process::getrlimit;
use rustix::process::prlimit;
use tokio::process::Command;

/// Ignores the signal that the kernel sends at the limit, so that a write fails instead; an ignored
/// signal stays so in the program that the shell then becomes.
const RUN: &str = "trap '' XFSZ; exec \"$0\" \"$@\"";

/// The same, with the limit set before the program starts.
const RUN_WITHOUT_SPACE: &str = "trap '' XFSZ; ulimit -S -f 0; exec \"$0\" \"$@\"";

/// Returns a command that runs `program` so that its writes can be made to fail; they fail from the
/// start unless `has_space`.
pub fn command<P>(program: P, has_space: bool) -> Command
where
    P: AsRef<OsStr>,
{
    let mut command = Command::new("sh");
    command.arg("-c").arg(if has_space { RUN } else { RUN_WITHOUT_SPACE }).arg(program);
    command
}

/// Sets the size beyond which a write to a file fails, in bytes; `None` takes the limit away.
///
/// A write that begins below the limit and ends above it is cut off at the limit. Pipes and sockets
/// are not affected.
///
/// # Panics
/// Panics if the process does not run.
pub fn set(process_id: u32, bytes: Option<u64>) {
    let pid = Pid::from_raw(process_id.cast_signed()).expect("the process runs");
    let limit = Rlimit { current: bytes, maximum: getrlimit(Resource::Fsize).maximum };
    prlimit(Some(pid), Resource::Fsize, limit).expect("the limit can be set");
}
