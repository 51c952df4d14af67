//! The files in the data folder: the write-ahead log file, the snapshots and the identity.

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

/// A flat folder of files; abstracts the file system.
///
/// Appended data survives a crash only after [`Disk::sync`]. All other changes are durable when
/// they return.
pub trait Disk: Send + Sync {
    /// Reads a complete file; `None` if it does not exist.
    fn read(&self, name: &str) -> io::Result<Option<Vec<u8>>>;

    /// Reads `length` bytes of a file; fails if it ends before them.
    fn read_range(&self, name: &str, offset: u64, length: usize) -> io::Result<Vec<u8>>;

    /// Returns the names of all files, sorted.
    fn names(&self) -> io::Result<Vec<String>>;

    /// Removes a file if it exists.
    fn remove(&self, name: &str) -> io::Result<()>;

    /// Appends to a file, and creates it if it does not exist.
    fn append(&self, name: &str, bytes: &[u8]) -> io::Result<()>;

    /// Makes the data appended to a file durable.
    fn sync(&self, name: &str) -> io::Result<()>;

    /// Truncates a file to its first `bytes` bytes.
    fn truncate(&self, name: &str, bytes: u64) -> io::Result<()>;

    /// Replaces the content of a file atomically: after a crash it has either the old or the new
    /// one.
    fn replace(&self, name: &str, bytes: &[u8]) -> io::Result<()>;

    /// Renames a file, replacing any file of the new name.
    fn rename(&self, from: &str, to: &str) -> io::Result<()>;

    /// Makes the content and the names of all files durable as they are read now.
    fn sync_all(&self) -> io::Result<()>;
}

/// The reason why the data folder cannot be used.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Display, Error)]
pub enum StorageError {
    /// Reading, writing or syncing a file failed; nothing further may be acknowledged.
    #[display("{} {file}: {reason}", ResultCode::StorageFailed)]
    Failed {
        /// The name of the file.
        file: String,
        /// The error of the operating system, or of the task that wrote the file.
        reason: String,
    },
    /// The folder belongs to another cluster or instance.
    #[display("{} the data folder belongs to {owner}", ResultCode::ForeignDataFolder)]
    Foreign {
        /// The cluster and instance that it belongs to, if known.
        #[error(not(source))]
        owner: String,
    },
    /// A file is missing, or its content is not as it was written.
    #[display("{} {file}: {reason}", ResultCode::CorruptRecord)]
    Corrupt {
        /// The name of the file.
        file: String,
        /// The description of the fault.
        reason: String,
    },
    /// The folder holds a group that is not configured on this instance.
    #[display("{} the data folder holds group {group}", ResultCode::InvalidSettings)]
    UnknownGroup {
        /// The group found in the write-ahead log file.
        #[error(not(source))]
        group: GroupId,
    },
}

impl StorageError {
    /// Returns the result code of the error.
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
