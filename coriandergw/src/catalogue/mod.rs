//! The catalogue: the entries in which operators declare owners, classes and limits.

use std::sync::Arc;

use crate::ids::EntryName;
use crate::ids::Revision;

mod entry;
mod store;

pub use entry::Class;
pub use entry::Entry;
pub use entry::EntryError;
pub use entry::Limits;
pub use entry::RawEntry;
pub use store::CatalogueWriter;
pub use store::Change;
pub use store::ChangeAction;
pub use store::ChangeAnswer;
pub use store::MemoryCatalogue;

/// A read-only view of the catalogue as applied by this instance.
pub trait CatalogueView: Send + Sync {
    /// Returns the entry with this name, including the revision of its last change.
    fn entry(&self, name: &EntryName) -> Option<Arc<Entry>>;

    /// Returns all entries of the applied revision.
    fn entries(&self) -> Vec<Arc<Entry>>;

    /// Returns the revision of the whole configuration that this instance has applied.
    fn revision(&self) -> Revision;
}
