//! Persists the applied revision across restarts.

use std::io::Write;
use std::path::Path;
use std::path::PathBuf;

use crate::ids::Revision;

/// The name of the file in the data folder.
const FILE_NAME: &str = "applied-revision";

/// The file with the applied revision of an instance that has a data folder.
#[derive(Debug, Clone)]
pub(super) struct RevisionFile {
    path: PathBuf,
}

impl RevisionFile {
    /// Returns the revision file of a data folder. The file need not exist yet.
    pub(super) fn in_folder(folder: &Path) -> Self {
        Self { path: folder.join(FILE_NAME) }
    }

    /// Reads the revision, which is 0 if the file does not exist.
    pub(super) fn read(&self) -> std::io::Result<Revision> {
        match std::fs::read_to_string(&self.path) {
            Ok(text) => text.trim().parse().map(Revision).map_err(std::io::Error::other),
            Err(cause) if cause.kind() == std::io::ErrorKind::NotFound => Ok(Revision(0)),
            Err(cause) => Err(cause),
        }
    }

    /// Replaces the file atomically and syncs the file and its folder.
    pub(super) fn write(&self, revision: Revision) -> std::io::Result<()> {
        let temporary = self.path.with_extension("new");
        let mut file = std::fs::File::create(&temporary)?;
        writeln!(file, "{revision}")?;
        file.sync_all()?;
        std::fs::rename(&temporary, &self.path)?;
        let folder = self.path.parent().unwrap_or(Path::new("."));
        std::fs::File::open(folder)?.sync_all()
    }
}
