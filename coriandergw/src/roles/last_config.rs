//! The last known configuration, stored on the disk of a core instance.
//!
//! After a restart of all instances, the control group must elect a leader before it can tell which
//! configuration is in force. Until then entry instances use the one from this file; reads and
//! changes wait for the group.

use std::sync::Arc;

use bytes::Bytes;

use crate::context::Context;
use crate::events::EventNumber;
use crate::events::Subject;
use crate::roster::state::ConfigState;
use crate::storage::Disk;
use crate::versions::machine;

/// Name of the file that stores the configuration.
const FILE: &str = "last-config.bin";

/// Reads the last known configuration; `None` if there is no file or it cannot be read.
pub fn read(cx: &Context, disk: &dyn Disk) -> Option<ConfigState> {
    let state = match disk.read(FILE) {
        Ok(None) => return None,
        Ok(Some(bytes)) => machine::decode_state(Bytes::from(bytes))
            .ok_or_else(|| "the file is corrupt".to_owned()),
        Err(cause) => Err(cause.to_string()),
    };
    let report = |cause: &String| report(cx, &format!("{FILE} could not be read: {cause}"));
    state.inspect_err(report).ok()
}

/// Writes the configuration in force, without blocking the async runtime.
pub async fn write(cx: &Context, disk: Arc<dyn Disk>, state: &ConfigState) {
    let bytes = machine::encode_state(state);
    let writing = tokio::task::spawn_blocking(move || disk.replace(FILE, &bytes));
    let result = writing.await.map_err(std::io::Error::other).flatten();
    if let Err(cause) = result {
        report(cx, &format!("{FILE} could not be written: {cause}"));
    }
}

fn report(cx: &Context, cause: &str) {
    cx.events.record(EventNumber::LastConfigFailed, Subject::default(), cause);
}

#[cfg(test)]
mod tests;
