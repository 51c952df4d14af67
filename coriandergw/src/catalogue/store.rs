//! Changes to the catalogue.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::sync::RwLock;

use async_trait::async_trait;

use crate::catalogue::CatalogueView;
use crate::catalogue::Entry;
use crate::ids::ChangeId;
use crate::ids::EntryName;
use crate::ids::Revision;
use crate::result_code::Refusal;
use crate::result_code::ResultCode;

/// What a change does to an entry.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum ChangeAction {
    /// Creates or replaces the entry.
    Put(Entry),
    /// Removes the entry.
    Remove,
}

/// A change that an operator asks for.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Change {
    /// Identifies the change, so that it can be resent.
    pub id: ChangeId,
    /// The entry.
    pub entry: EntryName,
    /// The revision of the entry that the change was made against; zero creates it.
    pub against: Revision,
    /// Who asked, as far as known.
    pub operator: String,
    /// What to do.
    pub action: ChangeAction,
}

/// The answer to a change: an accepted revision or a refusal. The first answer is kept.
pub type ChangeAnswer = Result<Revision, Refusal>;

/// Commits changes to the catalogue.
#[async_trait]
pub trait CatalogueWriter: Send + Sync {
    /// Commits a change; a resent change gets its first answer.
    async fn change(&self, change: Change) -> ChangeAnswer;
}

/// A catalogue in the memory of one process.
#[derive(Debug, Default)]
pub struct MemoryCatalogue {
    state: RwLock<State>,
}

#[derive(Debug, Default)]
struct State {
    revision: Revision,
    entries: BTreeMap<EntryName, Arc<Entry>>,
    answers: BTreeMap<ChangeId, (Change, ChangeAnswer)>,
}

impl MemoryCatalogue {
    /// Creates a catalogue that holds `entries`.
    pub fn with_entries<I>(entries: I) -> Self
    where
        I: IntoIterator<Item = Entry>,
    {
        let mut state = State::default();
        for entry in entries {
            state.put(entry);
        }
        Self { state: RwLock::new(state) }
    }
}

impl State {
    fn put(&mut self, mut entry: Entry) -> Revision {
        self.revision = Revision(self.revision.0 + 1);
        entry.revision = self.revision;
        self.entries.insert(entry.name.clone(), Arc::new(entry));
        self.revision
    }

    fn apply(&mut self, change: &Change) -> ChangeAnswer {
        let current = self.entries.get(&change.entry).map(|entry| entry.revision);
        if current.unwrap_or_default() != change.against {
            let message = format!(
                "entry {} is at revision {}, not {}",
                change.entry,
                current.unwrap_or_default(),
                change.against
            );
            return Err(Refusal::not_run(ResultCode::RevisionConflict, message));
        }
        match &change.action {
            ChangeAction::Put(entry) => Ok(self.put(entry.clone())),
            ChangeAction::Remove => {
                self.revision = Revision(self.revision.0 + 1);
                self.entries.remove(&change.entry);
                Ok(self.revision)
            }
        }
    }
}

#[async_trait]
impl CatalogueWriter for MemoryCatalogue {
    async fn change(&self, change: Change) -> ChangeAnswer {
        let mut state = self.state.write().expect("not poisoned");
        if let Some((first, answer)) = state.answers.get(&change.id) {
            if *first == change {
                return answer.clone();
            }
            let message = format!("change id {} was used for another change", change.id);
            return Err(Refusal::not_run(ResultCode::ChangeIdReused, message));
        }
        let answer = state.apply(&change);
        state.answers.insert(change.id.clone(), (change, answer.clone()));
        answer
    }
}

impl CatalogueView for MemoryCatalogue {
    fn entry(&self, name: &EntryName) -> Option<Arc<Entry>> {
        self.state.read().expect("not poisoned").entries.get(name).cloned()
    }

    fn entries(&self) -> Vec<Arc<Entry>> {
        self.state.read().expect("not poisoned").entries.values().cloned().collect()
    }

    fn revision(&self) -> Revision {
        self.state.read().expect("not poisoned").revision
    }
}
