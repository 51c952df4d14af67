//! A folder of the file system.

use std::collections::BTreeMap;
use std::fs::File;
use std::fs::OpenOptions;
use std::io;
use std::io::Write;
use std::path::Path;
use std::path::PathBuf;
use std::sync::Mutex;

use crate::storage::Disk;

/// The name of the file that is locked while the folder is in use.
const LOCK_FILE: &str = "lock";

/// Files in one folder, which only one process uses at a time.
pub struct FileDisk {
    folder: PathBuf,
    appended: Mutex<BTreeMap<String, File>>,
    _lock: File,
}

impl FileDisk {
    /// Opens a folder and creates it if it is not there.
    ///
    /// # Errors
    /// Fails if the folder cannot be used or another process uses it.
    pub fn open(folder: &Path) -> io::Result<Self> {
        std::fs::create_dir_all(folder)?;
        let lock = File::create(folder.join(LOCK_FILE))?;
        lock.try_lock().map_err(|cause| io::Error::other(format!("{LOCK_FILE}: {cause}")))?;
        Ok(Self { folder: folder.to_owned(), appended: Mutex::default(), _lock: lock })
    }

    fn path(&self, name: &str) -> PathBuf {
        self.folder.join(name)
    }

    fn sync_folder(&self) -> io::Result<()> {
        File::open(&self.folder)?.sync_all()
    }

    /// Runs `action` on the file's append handle, which stays open.
    fn with_appended<F>(&self, name: &str, action: F) -> io::Result<()>
    where
        F: FnOnce(&mut File) -> io::Result<()>,
    {
        let mut appended = self.appended.lock().expect("not poisoned");
        if !appended.contains_key(name) {
            let is_new = !self.path(name).exists();
            let file = OpenOptions::new().append(true).create(true).open(self.path(name))?;
            if is_new {
                self.sync_folder()?;
            }
            appended.insert(name.to_owned(), file);
        }
        appended.get_mut(name).map_or(Ok(()), action)
    }

    fn close(&self, name: &str) {
        self.appended.lock().expect("not poisoned").remove(name);
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

    fn append(&self, name: &str, bytes: &[u8]) -> io::Result<()> {
        self.with_appended(name, |file| file.write_all(bytes))
    }

    fn sync(&self, name: &str) -> io::Result<()> {
        self.with_appended(name, |file| file.sync_data())
    }

    fn truncate(&self, name: &str, bytes: u64) -> io::Result<()> {
        let file = OpenOptions::new().write(true).open(self.path(name))?;
        file.set_len(bytes)?;
        file.sync_all()
    }

    fn replace(&self, name: &str, bytes: &[u8]) -> io::Result<()> {
        let temporary = self.path(&format!("{name}.new"));
        let mut file = File::create(&temporary)?;
        file.write_all(bytes)?;
        file.sync_all()?;
        std::fs::rename(&temporary, self.path(name))?;
        self.close(name);
        self.sync_folder()
    }

    fn rename(&self, from: &str, to: &str) -> io::Result<()> {
        std::fs::rename(self.path(from), self.path(to))?;
        self.close(from);
        self.sync_folder()
    }
}
