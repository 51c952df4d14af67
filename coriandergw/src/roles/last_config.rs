//! The configuration that was last in force, on the disk of a core instance.
//!
//! After a restart of all instances the group that decides it needs an election before it can tell
//! what is in force. Until then entry instances go by this file; reads and changes wait for the group.

use std::sync::Arc;

use bytes::Bytes;

use crate::context::Context;
use crate::events::EventNumber;
use crate::events::Subject;
use crate::roster::state::ConfigState;
use crate::storage::Disk;
use crate::versions::machine;

/// The file that holds it.
const FILE: &str = "last-config.bin";

/// Reads what was last in force; nothing if the disk has none or it cannot be read.
pub fn read(cx: &Context, disk: &dyn Disk) -> Option<ConfigState> {
    let fixed = match disk.read(FILE) {
        Ok(None) => return None,
        Ok(Some(bytes)) => {
            machine::decode_state(Bytes::from(bytes)).ok_or_else(|| "it is damaged".to_owned())
        }
        Err(cause) => Err(cause.to_string()),
    };
    let report = |cause: &String| report(cx, &format!("{FILE} was not read: {cause}"));
    fixed.inspect_err(report).ok()
}

/// Writes what is in force now, without holding up the caller's thread.
pub async fn write(cx: &Context, disk: Arc<dyn Disk>, fixed: &ConfigState) {
    let bytes = machine::encode_state(fixed);
    let writing = tokio::task::spawn_blocking(move || disk.replace(FILE, &bytes));
    let result = writing.await.map_err(std::io::Error::other).flatten();
    if let Err(cause) = result {
        report(cx, &format!("{FILE} was not written: {cause}"));
    }
}

fn report(cx: &Context, cause: &str) {
    cx.events.record(EventNumber::LastConfigFailed, Subject::default(), cause);
}

#[cfg(test)]
mod tests;
