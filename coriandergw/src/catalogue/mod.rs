//! The catalogue: what operators declare about owners, classes and limits.

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

/// Reads the catalogue as this instance has applied it.
pub trait CatalogueView: Send + Sync {
    /// Returns the entry of this name with the revision that it was last changed at.
    fn entry(&self, name: &EntryName) -> Option<Arc<Entry>>;

    /// Returns all entries.
    fn entries(&self) -> Vec<Arc<Entry>>;

    /// Returns the applied revision of the whole configuration.
    fn revision(&self) -> Revision;
}
