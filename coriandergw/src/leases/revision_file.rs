//! Remembers the applied revision over a restart.

use std::io::Write;
use std::path::Path;
use std::path::PathBuf;

use crate::ids::Revision;

/// The file in the data folder.
const FILE_NAME: &str = "applied-revision";

/// The file that holds the applied revision of an instance with a data folder.
#[derive(Debug, Clone)]
pub(super) struct RevisionFile {
    path: PathBuf,
}

impl RevisionFile {
    /// Returns the file in a data folder.
    pub(super) fn in_folder(folder: &Path) -> Self {
        Self { path: folder.join(FILE_NAME) }
    }

    /// Reads the revision; zero where the file is not there yet.
    pub(super) fn read(&self) -> std::io::Result<Revision> {
        match std::fs::read_to_string(&self.path) {
            Ok(text) => text.trim().parse().map(Revision).map_err(std::io::Error::other),
            Err(cause) if cause.kind() == std::io::ErrorKind::NotFound => Ok(Revision(0)),
            Err(cause) => Err(cause),
        }
    }

    /// Replaces the revision and syncs it.
    pub(super) fn write(&self, revision: Revision) -> std::io::Result<()> {
        let fresh = self.path.with_extension("new");
        let mut file = std::fs::File::create(&fresh)?;
        writeln!(file, "{revision}")?;
        file.sync_all()?;
        std::fs::rename(&fresh, &self.path)?;
        let folder = self.path.parent().unwrap_or(Path::new("."));
        std::fs::File::open(folder)?.sync_all()
    }
}
