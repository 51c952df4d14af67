//! Changes to the catalogue, and a catalogue that one process keeps in memory.

use std::sync::Arc;
use std::sync::RwLock;

use async_trait::async_trait;

use crate::catalogue::CatalogueView;
use crate::catalogue::Entry;
use crate::clock::Clock;
use crate::clock::SystemClock;
use crate::control::ControlState;
use crate::control::Instance;
use crate::control::change_command;
use crate::control::decode_change_answer;
use crate::ids::ChangeId;
use crate::ids::EntryName;
use crate::ids::Revision;
use crate::leases::ClusterStatus;
use crate::leases::HistoryItem;
use crate::leases::StatusReport;
use crate::result_code::Refusal;

/// What a change does to an entry.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum ChangeAction {
    /// Creates or replaces the entry.
    Put(Entry),
    /// Removes the entry.
    Remove,
}

/// A change requested by an operator.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Change {
    /// Identifies the change, so that it can be resent without being applied twice.
    pub id: ChangeId,
    /// The entry to change.
    pub entry: EntryName,
    /// The revision of the entry that the change is based on; zero for a new entry.
    pub against: Revision,
    /// Who requested the change, as far as known.
    pub operator: String,
    /// Whether to put or remove the entry.
    pub action: ChangeAction,
}

/// The answer to a change: the revision that it created, or the refusal.
///
/// The first answer is stored and returned again for a resent change.
pub type ChangeAnswer = Result<Revision, Refusal>;

/// Commits changes to the catalogue.
#[async_trait]
pub trait CatalogueWriter: Send + Sync {
    /// Commits a change. A resent change gets the stored first answer.
    async fn change(&self, change: Change) -> ChangeAnswer;
}

/// A catalogue kept in the memory of one process, without replication.
#[derive(Debug, Default)]
pub struct MemoryCatalogue {
    clock: SystemClock,
    state: RwLock<ControlState>,
}

impl MemoryCatalogue {
    /// Creates a catalogue that holds `entries`.
    pub fn with_entries<I>(entries: I) -> Self
    where
        I: IntoIterator<Item = Entry>,
    {
        let catalogue = Self::default();
        for (number, entry) in entries.into_iter().enumerate() {
            let change = Change {
                id: ChangeId::try_from(format!("start-{number}")).expect("a valid name"),
                entry: entry.name.clone(),
                against: Revision(0),
                operator: "start".to_owned(),
                action: ChangeAction::Put(entry),
            };
            // A validated entry is refused only if an earlier one has the same name. The earlier
            // entry stays.
            let _ = catalogue.apply(&change);
        }
        catalogue
    }

    fn apply(&self, change: &Change) -> ChangeAnswer {
        let command = change_command(change, self.clock.wall()).encode_command();
        decode_change_answer(&self.state.write().expect("not poisoned").apply(&command))
    }
}

#[async_trait]
impl CatalogueWriter for MemoryCatalogue {
    async fn change(&self, change: Change) -> ChangeAnswer {
        self.apply(&change)
    }
}

impl CatalogueView for MemoryCatalogue {
    fn entry(&self, name: &EntryName) -> Option<Arc<Entry>> {
        self.state.read().expect("not poisoned").published().entries().get(name).cloned()
    }

    fn entries(&self) -> Vec<Arc<Entry>> {
        let state = self.state.read().expect("not poisoned");
        state.published().entries().values().cloned().collect()
    }

    fn revision(&self) -> Revision {
        self.state.read().expect("not poisoned").published().revision()
    }
}

#[async_trait]
impl ClusterStatus for MemoryCatalogue {
    async fn status(&self) -> StatusReport {
        StatusReport::local(self.state.read().expect("not poisoned").published())
    }

    async fn history(&self, entry: &EntryName) -> Result<Vec<HistoryItem>, Refusal> {
        let state = self.state.read().expect("not poisoned");
        Ok(state.history(entry).iter().map(HistoryItem::from).collect())
    }

    fn instances(&self) -> Vec<Arc<Instance>> {
        Vec::new()
    }
}
