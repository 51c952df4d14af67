//! The first voters of a group, as each of its members has to know them for good.
//!
//! A log is replayed onto the members that it started with. They are written before the log is
//! created; an instance that joins later starts with none and learns them from the log.

use std::net::SocketAddr;

use crate::ids::InstanceName;
use crate::roles::StartError;
use crate::roles::name_of;
use crate::storage::Disk;
use crate::storage::StorageError;
use crate::storage::identity::Identity;

/// The file that holds them.
pub const FOUNDERS_FILE: &str = "founders.json";

/// Returns the name of the first incarnation at an address.
///
/// # Errors
/// Fails if the address makes no name.
pub fn first_name(address: SocketAddr) -> Result<InstanceName, StartError> {
    name_of(address, "0")
}

fn failed<R>(reason: R) -> StorageError
where
    R: ToString,
{
    StorageError::Failed { file: FOUNDERS_FILE.to_owned(), reason: reason.to_string() }
}

/// Returns the first voters that an existing log started with; `None` if there is no log yet.
///
/// # Errors
/// Fails if the file cannot be read.
pub fn read(disk: &dyn Disk) -> Result<Option<Vec<InstanceName>>, StorageError> {
    if Identity::read(disk)?.is_none() {
        return Ok(None);
    }
    let bytes = disk.read(FOUNDERS_FILE).map_err(failed)?;
    let bytes = bytes.ok_or_else(|| failed("the file is missing"))?;
    let names: Vec<InstanceName> = serde_json::from_slice(&bytes).map_err(failed)?;
    Ok(Some(names))
}

/// Writes the first voters of a log that is about to be created.
///
/// # Errors
/// Fails if the file cannot be written.
pub fn write(disk: &dyn Disk, voters: &[InstanceName]) -> Result<(), StorageError> {
    let bytes = serde_json::to_vec(voters).map_err(failed)?;
    disk.replace(FOUNDERS_FILE, &bytes).map_err(failed)
}
