//! A disk that keeps its files in memory, for `coriandergw dev` and for tests.

use std::collections::BTreeMap;
use std::io;
use std::sync::Mutex;

use crate::storage::Disk;

/// An in-memory disk whose files exist as long as the value.
#[derive(Debug, Default)]
pub struct MemoryDisk {
    files: Mutex<BTreeMap<String, Vec<u8>>>,
}

impl MemoryDisk {
    /// Replaces all files by those of another disk.
    #[cfg(test)]
    pub fn replace_all(&self, other: &Self) {
        let files = other.files.lock().expect("not poisoned").clone();
        *self.files.lock().expect("not poisoned") = files;
    }
}

impl Disk for MemoryDisk {
    fn read(&self, name: &str) -> io::Result<Option<Vec<u8>>> {
        Ok(self.files.lock().expect("not poisoned").get(name).cloned())
    }

    fn read_range(&self, name: &str, offset: u64, length: usize) -> io::Result<Vec<u8>> {
        let files = self.files.lock().expect("not poisoned");
        let file = files.get(name).ok_or(io::ErrorKind::NotFound)?;
        let start = usize::try_from(offset).unwrap_or(usize::MAX);
        let range = file.get(start..start.saturating_add(length));
        Ok(range.ok_or(io::ErrorKind::UnexpectedEof)?.to_vec())
    }

    fn names(&self) -> io::Result<Vec<String>> {
        Ok(self.files.lock().expect("not poisoned").keys().cloned().collect())
    }

    fn remove(&self, name: &str) -> io::Result<()> {
        self.files.lock().expect("not poisoned").remove(name);
        Ok(())
    }

    fn append(&self, name: &str, bytes: &[u8]) -> io::Result<()> {
        let mut files = self.files.lock().expect("not poisoned");
        files.entry(name.to_owned()).or_default().extend_from_slice(bytes);
        Ok(())
    }

    fn sync(&self, _name: &str) -> io::Result<()> {
        Ok(())
    }

    fn truncate(&self, name: &str, bytes: u64) -> io::Result<()> {
        if let Some(file) = self.files.lock().expect("not poisoned").get_mut(name) {
            file.truncate(usize::try_from(bytes).unwrap_or(usize::MAX));
        }
        Ok(())
    }

    fn replace(&self, name: &str, bytes: &[u8]) -> io::Result<()> {
        self.files.lock().expect("not poisoned").insert(name.to_owned(), bytes.to_vec());
        Ok(())
    }

    fn rename(&self, from: &str, to: &str) -> io::Result<()> {
        let mut files = self.files.lock().expect("not poisoned");
        let content = files.remove(from).ok_or(io::ErrorKind::NotFound)?;
        files.insert(to.to_owned(), content);
        Ok(())
    }

    fn sync_all(&self) -> io::Result<()> {
        Ok(())
    }
}
