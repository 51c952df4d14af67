//! The first voters of a group, stored permanently by each of its members.
//!
//! Replaying a log starts from the voters with which it was created, so they are written to the
//! disk before the log is created. An instance that joins later stores an empty list and learns the
//! voters from the log.

use std::net::SocketAddr;

use crate::ids::InstanceName;
use crate::roles::StartError;
use crate::roles::instance_name;
use crate::storage::Disk;
use crate::storage::StorageError;
use crate::storage::identity::Identity;

/// Name of the file that stores the first voters.
pub const FOUNDERS_FILE: &str = "founders.json";

/// Returns the instance name of the first incarnation at an address.
///
/// # Errors
/// Fails if the address does not give a valid name.
pub fn first_name(address: SocketAddr) -> Result<InstanceName, StartError> {
    instance_name(address, "0")
}

fn storage_error<R>(reason: R) -> StorageError
where
    R: ToString,
{
    StorageError::Failed { file: FOUNDERS_FILE.to_owned(), reason: reason.to_string() }
}

/// Returns the first voters of an existing log, or `None` if there is no log yet.
///
/// # Errors
/// Fails if the file cannot be read.
pub fn read(disk: &dyn Disk) -> Result<Option<Vec<InstanceName>>, StorageError> {
    if Identity::read(disk)?.is_none() {
        return Ok(None);
    }
    let bytes = disk.read(FOUNDERS_FILE).map_err(storage_error)?;
    let bytes = bytes.ok_or_else(|| storage_error("the file is missing"))?;
    let names: Vec<InstanceName> = serde_json::from_slice(&bytes).map_err(storage_error)?;
    Ok(Some(names))
}

/// Writes the first voters of a log that is about to be created.
///
/// # Errors
/// Fails if the file cannot be written.
pub fn write(disk: &dyn Disk, voters: &[InstanceName]) -> Result<(), StorageError> {
    let bytes = serde_json::to_vec(voters).map_err(storage_error)?;
    disk.replace(FOUNDERS_FILE, &bytes).map_err(storage_error)
}
