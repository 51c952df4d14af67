//! The file that identifies the owner of a data folder.

use std::collections::BTreeSet;

use serde::Deserialize;
use serde::Serialize;

use crate::ids::InstanceName;
use crate::storage::Disk;
use crate::storage::StorageError;

/// The name of the identity file in the data folder.
pub const IDENTITY_FILE: &str = "identity.json";

/// The owner of a data folder, and the groups whose log it lost.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct Identity {
    /// The name of the cluster.
    pub cluster: String,
    /// The name of the instance.
    pub instance: InstanceName,
    /// The groups whose log was lost; the instance must not vote in them.
    pub lost_groups: BTreeSet<u32>,
}

impl Identity {
    /// Reads the identity; `None` if the folder is new.
    ///
    /// # Errors
    /// Fails if the file cannot be read or parsed.
    pub fn read(disk: &dyn Disk) -> Result<Option<Self>, StorageError> {
        let bytes =
            disk.read(IDENTITY_FILE).map_err(|e| StorageError::failed(IDENTITY_FILE, &e))?;
        let Some(bytes) = bytes else {
            return Ok(None);
        };
        let parsed = serde_json::from_slice(&bytes);
        parsed.map(Some).map_err(|e| StorageError::corrupt(IDENTITY_FILE, e))
    }

    /// Writes the identity durably.
    ///
    /// # Errors
    /// Fails if the file cannot be written.
    pub fn write(&self, disk: &dyn Disk) -> Result<(), StorageError> {
        let bytes =
            serde_json::to_vec(self).map_err(|e| StorageError::corrupt(IDENTITY_FILE, e))?;
        disk.replace(IDENTITY_FILE, &bytes).map_err(|e| StorageError::failed(IDENTITY_FILE, &e))
    }

    /// Checks that the folder belongs to this cluster and instance.
    ///
    /// # Errors
    /// Fails if it belongs to another cluster or instance.
    pub fn check(&self, cluster: &str, instance: &InstanceName) -> Result<(), StorageError> {
        if self.cluster == cluster && self.instance == *instance {
            return Ok(());
        }
        let owner = format!("instance {} of cluster {}", self.instance, self.cluster);
        Err(StorageError::Foreign { owner })
    }
}
