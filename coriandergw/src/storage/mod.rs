//! Files under the data folder: the write-ahead file and the snapshots.

use std::io;

use derive_more::Display;
use derive_more::Error;

use crate::ids::GroupId;
use crate::result_code::ResultCode;

pub mod file_disk;
pub mod frames;
pub mod identity;
pub mod memory_disk;
pub mod store;

#[cfg(test)]
mod tests;

/// A flat folder of files; the border to the operating system.
///
/// What was appended survives a crash only after [`Disk::sync`]. The other changes are durable
/// when they return.
pub trait Disk: Send + Sync {
    /// Reads a whole file; `None` if there is none of this name.
    fn read(&self, name: &str) -> io::Result<Option<Vec<u8>>>;

    /// Appends to a file and creates it if it is not there.
    fn append(&self, name: &str, bytes: &[u8]) -> io::Result<()>;

    /// Makes durable what was appended to a file.
    fn sync(&self, name: &str) -> io::Result<()>;

    /// Cuts a file to its first `bytes` bytes.
    fn truncate(&self, name: &str, bytes: u64) -> io::Result<()>;

    /// Replaces the content of a file at once: after a crash it has the old or the new one.
    fn replace(&self, name: &str, bytes: &[u8]) -> io::Result<()>;

    /// Renames a file.
    fn rename(&self, from: &str, to: &str) -> io::Result<()>;
}

/// Says why the data folder cannot be used.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Display, Error)]
pub enum StorageError {
    /// Reading, writing or syncing failed; nothing further is acknowledged.
    #[display("{} {file}: {reason}", ResultCode::StorageFailed)]
    Failed {
        /// The file at fault.
        file: String,
        /// What the operating system reported.
        reason: String,
    },
    /// The folder belongs to another cluster or instance.
    #[display("{} the data folder belongs to {owner}", ResultCode::ForeignDataFolder)]
    Foreign {
        /// The cluster and instance that it belongs to, where known.
        #[error(not(source))]
        owner: String,
    },
    /// A file holds what was never written.
    #[display("{} {file}: {reason}", ResultCode::CorruptRecord)]
    Corrupt {
        /// The file at fault.
        file: String,
        /// What is wrong with it.
        reason: String,
    },
    /// The folder holds a group that the settings do not name.
    #[display("{} the data folder holds group {group}", ResultCode::InvalidSettings)]
    UnknownGroup {
        /// The group.
        #[error(not(source))]
        group: GroupId,
    },
}

impl StorageError {
    /// Returns the numbered result that goes with the error.
    pub fn code(&self) -> ResultCode {
        match self {
            Self::Failed { .. } => ResultCode::StorageFailed,
            Self::Foreign { .. } => ResultCode::ForeignDataFolder,
            Self::Corrupt { .. } => ResultCode::CorruptRecord,
            Self::UnknownGroup { .. } => ResultCode::InvalidSettings,
        }
    }

    fn failed(file: &str, cause: &io::Error) -> Self {
        Self::Failed { file: file.to_owned(), reason: cause.to_string() }
    }

    fn corrupt<R>(file: &str, reason: R) -> Self
    where
        R: ToString,
    {
        Self::Corrupt { file: file.to_owned(), reason: reason.to_string() }
    }
}
