//! A disk that stores its files in a folder of the file system.

use std::collections::BTreeMap;
use std::fs::File;
use std::fs::OpenOptions;
use std::io;
use std::io::Write;
use std::os::unix::fs::FileExt;
use std::path::Path;
use std::path::PathBuf;
use std::sync::Mutex;

use crate::storage::Disk;

/// The file that is locked while a process uses the folder.
const LOCK_FILE: &str = "lock";

/// The end of the name of a file that is to replace another one.
const TEMPORARY_SUFFIX: &str = ".new";

/// A folder of files that is locked for use by a single process.
pub struct FileDisk {
    folder: PathBuf,
    append_handles: Mutex<BTreeMap<String, File>>,
    _lock: File,
}

impl FileDisk {
    /// Opens and locks a folder, and creates it if it does not exist.
    ///
    /// # Errors
    /// Fails if the folder cannot be used or is locked by another process.
    pub fn open(folder: &Path) -> io::Result<Self> {
        std::fs::create_dir_all(folder)?;
        let lock = File::create(folder.join(LOCK_FILE))?;
        lock.try_lock().map_err(|cause| io::Error::other(format!("{LOCK_FILE}: {cause}")))?;
        Ok(Self { folder: folder.to_owned(), append_handles: Mutex::default(), _lock: lock })
    }

    /// Opens and locks a folder inside the existing folder `parent`, with handles of its own: a sync of
    /// one of them does not delay the files of the other.
    ///
    /// # Errors
    /// Fails if the folder cannot be used or is locked by another process.
    pub fn open_inside(parent: &Path, name: &str) -> io::Result<Self> {
        let disk = Self::open(&parent.join(name))?;
        // The name of a new folder is durable only once its parent is synced.
        File::open(parent)?.sync_all()?;
        Ok(disk)
    }

    fn path(&self, name: &str) -> PathBuf {
        self.folder.join(name)
    }

    fn sync_folder(&self) -> io::Result<()> {
        File::open(&self.folder)?.sync_all()
    }

    /// Runs `action` on the append handle of a file, which is kept open for later calls.
    fn with_append_handle<F>(&self, name: &str, action: F) -> io::Result<()>
    where
        F: FnOnce(&mut File) -> io::Result<()>,
    {
        let mut append_handles = self.append_handles.lock().expect("not poisoned");
        if !append_handles.contains_key(name) {
            let is_new = !self.path(name).exists();
            let file = OpenOptions::new().append(true).create(true).open(self.path(name))?;
            if is_new {
                self.sync_folder()?;
            }
            append_handles.insert(name.to_owned(), file);
        }
        append_handles.get_mut(name).map_or(Ok(()), action)
    }

    fn close_append_handle(&self, name: &str) {
        self.append_handles.lock().expect("not poisoned").remove(name);
    }
}

impl Disk for FileDisk {
    fn read(&self, name: &str) -> io::Result<Option<Vec<u8>>> {
        match std::fs::read(self.path(name)) {
            Ok(bytes) => Ok(Some(bytes)),
            Err(cause) if cause.kind() == io::ErrorKind::NotFound => Ok(None),
            Err(cause) => Err(cause),
        }
    }

    fn read_range(&self, name: &str, offset: u64, length: usize) -> io::Result<Vec<u8>> {
        let mut bytes = vec![0; length];
        File::open(self.path(name))?.read_exact_at(&mut bytes, offset)?;
        Ok(bytes)
    }

    fn names(&self) -> io::Result<Vec<String>> {
        let mut names = Vec::new();
        for entry in std::fs::read_dir(&self.folder)? {
            let entry = entry?;
            let name = entry.file_name().to_string_lossy().into_owned();
            let is_internal = name == LOCK_FILE || name.ends_with(TEMPORARY_SUFFIX);
            if entry.file_type()?.is_file() && !is_internal {
                names.push(name);
            }
        }
        names.sort_unstable();
        Ok(names)
    }

    fn remove(&self, name: &str) -> io::Result<()> {
        self.close_append_handle(name);
        match std::fs::remove_file(self.path(name)) {
            Ok(()) => self.sync_folder(),
            Err(cause) if cause.kind() == io::ErrorKind::NotFound => Ok(()),
            Err(cause) => Err(cause),
        }
    }

    fn append(&self, name: &str, bytes: &[u8]) -> io::Result<()> {
        self.with_append_handle(name, |file| file.write_all(bytes))
    }

    fn sync(&self, name: &str) -> io::Result<()> {
        self.with_append_handle(name, |file| file.sync_data())
    }

    fn truncate(&self, name: &str, bytes: u64) -> io::Result<()> {
        // A descriptor may not report the failure of an earlier sync again.
        self.close_append_handle(name);
        let file = OpenOptions::new().write(true).open(self.path(name))?;
        file.set_len(bytes)?;
        file.sync_all()
    }

    fn replace(&self, name: &str, bytes: &[u8]) -> io::Result<()> {
        let temporary = self.path(&format!("{name}{TEMPORARY_SUFFIX}"));
        if let Err(cause) = write_durably(&temporary, bytes) {
            // The part that was written takes room from the files in use.
            if let Err(cause) = std::fs::remove_file(&temporary) {
                log::warn!("{} could not be removed: {cause}", temporary.display());
            }
            return Err(cause);
        }
        std::fs::rename(&temporary, self.path(name))?;
        self.close_append_handle(name);
        self.sync_folder()
    }

    fn rename(&self, from: &str, to: &str) -> io::Result<()> {
        std::fs::rename(self.path(from), self.path(to))?;
        self.close_append_handle(from);
        self.sync_folder()
    }

    fn sync_all(&self) -> io::Result<()> {
        for entry in std::fs::read_dir(&self.folder)? {
            let path = entry?.path();
            let is_temporary = path.to_string_lossy().ends_with(TEMPORARY_SUFFIX);
            if path.is_file() && !is_temporary {
                File::open(&path)?.sync_all()?;
            }
        }
        self.sync_folder()
    }
}

fn write_durably(path: &Path, bytes: &[u8]) -> io::Result<()> {
    let mut file = File::create(path)?;
    file.write_all(bytes)?;
    file.sync_all()
}
