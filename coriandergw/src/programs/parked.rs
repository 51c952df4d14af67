//! Parks idle trees: drops them from memory and reads them back from the journal on demand.
//!
//! The state of a tree is derived only from its journal, so a tree without running calls can be
//! dropped at any time.

use std::collections::HashMap;
use std::sync::Arc;
use std::sync::MutexGuard;

use crate::clock::WallTime;
use crate::events::EventNumber;
use crate::events::Subject;
use crate::ids::EntryName;
use crate::ids::ProgramId;
use crate::programs::append::APPEND_RETRY_DELAY;
use crate::programs::append::APPEND_RETRY_LIMIT;
use crate::programs::home::Home;
use crate::programs::home::LiveTree;
use crate::programs::home::ProgramHandle;
use crate::programs::home::Programs;
use crate::programs::home::no_home;
use crate::programs::journal::JournalError;
use crate::programs::limits::Age;
use crate::programs::limits::end_due;
use crate::programs::state::Tree;
use crate::programs::sweep::RETENTION_MS;
use crate::result_code::Refusal;

/// The estimated memory of a program without its calls, in bytes.
const PROGRAM_BYTES: usize = 5 * 1024;

/// The estimated memory of a call without its text, in bytes.
const CALL_BYTES: usize = 3 * 1024;

/// The copies of a turn's text in memory: the stored one and the messages of a prompt.
const TEXT_COPIES: usize = 2;

/// The trees of a partition at its home.
#[derive(Default)]
pub(super) struct Trees {
    /// The trees in memory.
    pub live: HashMap<ProgramId, Arc<LiveTree>>,
    /// The trees whose state is only in the journal.
    pub parked: HashMap<ProgramId, Arc<ParkedTree>>,
}

impl Trees {
    /// Returns whether a program is known and has not ended.
    pub fn is_live(&self, id: &ProgramId) -> bool {
        let root = id.root();
        if let Some(tree) = self.live.get(&root) {
            let state = tree.state.lock().expect("not poisoned");
            return state.programs.get(id).is_some_and(|program| program.ended.is_none());
        }
        let parked = self.parked.get(&root);
        parked.is_some_and(|tree| {
            tree.programs.iter().any(|program| program.id == *id && program.age.ended_at.is_none())
        })
    }
}

/// The data kept in memory for a tree whose state is only in the journal.
pub(super) struct ParkedTree {
    /// The programs of the tree.
    pub programs: Vec<ParkedProgram>,
    /// Ensures that only one request at a time reads the tree back.
    reading: tokio::sync::Mutex<()>,
}

/// The data kept in memory for a parked program, enough to enforce its time limits.
pub(super) struct ParkedProgram {
    /// The program's identifier.
    pub id: ProgramId,
    /// The catalogue entry that it was created under.
    pub entry: EntryName,
    /// The data that its time limits are checked against.
    pub age: Age,
}

impl ParkedTree {
    fn of(tree: &Tree) -> Self {
        let programs = tree.programs.values();
        let programs = programs.map(|program| ParkedProgram {
            id: program.id.clone(),
            entry: program.entry.clone(),
            age: program.age(),
        });
        Self { programs: programs.collect(), reading: tokio::sync::Mutex::default() }
    }

    /// Returns whether all programs ended at least `retention_ms` ago.
    pub fn is_past_retention(&self, now: WallTime, retention_ms: u64) -> bool {
        self.programs.iter().all(|program| program.age.ended_before(now, retention_ms))
    }
}

impl Tree {
    /// Estimates the memory of the tree in bytes.
    pub(super) fn memory_bytes(&self) -> usize {
        let programs = self.programs.values();
        let bytes = programs.map(|program| {
            PROGRAM_BYTES + CALL_BYTES * program.calls.len() + TEXT_COPIES * program.history_bytes
        });
        bytes.sum()
    }

    fn active_at(&self) -> WallTime {
        self.programs.values().map(|program| program.active_at).max().unwrap_or_default()
    }

    fn has_open_calls(&self) -> bool {
        self.programs.values().any(|program| program.has_open_calls())
    }
}

/// A tree in memory that could be parked.
struct Candidate {
    active_at: WallTime,
    bytes: usize,
    home: Arc<Home>,
    root: ProgramId,
}

impl Programs {
    /// Returns a tree of a home, reading it back from the journal if it is parked.
    pub(super) async fn tree(
        &self,
        home: &Arc<Home>,
        root: &ProgramId,
    ) -> Result<Option<Arc<LiveTree>>, Refusal> {
        let parked = {
            let trees = home.trees.lock().expect("not poisoned");
            if let Some(tree) = trees.live.get(root) {
                return Ok(Some(tree.clone()));
            }
            trees.parked.get(root).cloned()
        };
        let Some(parked) = parked else {
            return Ok(None);
        };
        let _reading = parked.reading.lock().await;
        {
            let trees = home.trees.lock().expect("not poisoned");
            if !trees.parked.contains_key(root) {
                // Another request has read it back, or it was forgotten.
                return Ok(trees.live.get(root).cloned());
            }
        }
        let state = self.read_back(home, root).await?;
        let tree = Arc::new(LiveTree::from_state(state));
        let mut trees = home.trees.lock().expect("not poisoned");
        trees.parked.remove(root);
        trees.live.insert(root.clone(), tree.clone());
        self.cx.metrics.trees_read_back.inc();
        Ok(Some(tree))
    }

    /// Reads a tree from the journal. Retries for `APPEND_RETRY_LIMIT`, unless the epoch is stale
    /// or the journal is invalid.
    async fn read_back(&self, home: &Arc<Home>, root: &ProgramId) -> Result<Tree, Refusal> {
        let started = self.cx.clock.now();
        loop {
            let cause = match home.journal.read_tree(root).await {
                Ok(tree) => return Ok(tree),
                Err(cause) => cause,
            };
            let is_final =
                matches!(cause, JournalError::Stale { .. } | JournalError::Invalid { .. });
            if is_final {
                self.drop_home_and_record(home, &cause.to_string());
            }
            if is_final || self.cx.clock.now().since(started) >= APPEND_RETRY_LIMIT {
                return Err(no_home(format!("the program cannot be read back: {cause}")));
            }
            tokio::time::sleep(APPEND_RETRY_DELAY).await;
        }
    }

    /// Parks the least recently active trees until the others fit the memory limit.
    pub(super) fn park_idle_trees(&self) {
        let mut bytes = self.memory_bytes();
        self.cx.metrics.states.with_label_values(&["program_memory_bytes"]).set(bytes as i64);
        let limit = self.settings.memory_bytes;
        if bytes <= limit {
            return;
        }
        let mut candidates = self.candidates();
        candidates.sort_by_key(|candidate| candidate.active_at);
        let mut count = 0;
        for candidate in &candidates {
            if bytes <= limit {
                break;
            }
            if park(candidate) {
                bytes -= candidate.bytes;
                count += 1;
            }
        }
        let message = format!("{count} trees parked, {bytes} bytes of programs in memory");
        self.cx.events.record(EventNumber::TreesParked, Subject::default(), message);
    }

    fn memory_bytes(&self) -> usize {
        let of_home = |home: Arc<Home>| {
            let trees = home.trees.lock().expect("not poisoned");
            let states = trees.live.values().map(|tree| tree.state.lock().expect("not poisoned"));
            states.map(|state| state.memory_bytes()).sum::<usize>()
        };
        self.known_homes().into_iter().map(of_home).sum()
    }

    fn candidates(&self) -> Vec<Candidate> {
        let mut candidates = Vec::new();
        for home in self.known_homes() {
            let trees = home.trees.lock().expect("not poisoned");
            for (root, tree) in &trees.live {
                let Some(state) = idle_state(tree) else {
                    continue;
                };
                let (active_at, bytes) = (state.active_at(), state.memory_bytes());
                let (home, root) = (home.clone(), root.clone());
                candidates.push(Candidate { active_at, bytes, home, root });
            }
        }
        candidates
    }

    /// Enforces the limits of parked trees: reads back trees with programs that must end and
    /// forgets trees past their retention.
    pub(super) async fn sweep_parked(self: &Arc<Self>, home: &Arc<Home>, now: WallTime) {
        let parked: Vec<(ProgramId, Arc<ParkedTree>)> = {
            let trees = home.trees.lock().expect("not poisoned");
            trees.parked.iter().map(|(root, tree)| (root.clone(), tree.clone())).collect()
        };
        for (root, tree) in parked {
            if tree.is_past_retention(now, RETENTION_MS) {
                self.forget_parked(home, &root, &tree).await;
            } else if self.is_due(&tree, now) {
                // The next sweep retries a failed read.
                if let Ok(Some(tree)) = self.tree(home, &root).await {
                    let handle = ProgramHandle { home: home.clone(), tree, program: root };
                    self.sweep_tree(&handle, now).await;
                }
            }
        }
    }

    fn is_due(&self, tree: &ParkedTree, now: WallTime) -> bool {
        tree.programs.iter().any(|program| {
            let entry = self.catalogue.entry(&program.entry);
            entry.is_some_and(|entry| end_due(&program.age, &entry.limits, now).is_some())
        })
    }

    async fn forget_parked(&self, home: &Arc<Home>, root: &ProgramId, tree: &ParkedTree) {
        let _reading = tree.reading.lock().await;
        if !home.trees.lock().expect("not poisoned").parked.contains_key(root) {
            return;
        }
        // If this fails, the next sweep retries.
        if home.journal.forget(root).await.is_ok() {
            home.trees.lock().expect("not poisoned").parked.remove(root);
            self.record_forgotten(root);
        }
    }
}

/// Returns the state of a tree if it is not in use. The caller must hold the lock of the home's
/// trees.
fn idle_state(tree: &Arc<LiveTree>) -> Option<MutexGuard<'_, Tree>> {
    // Every user of a tree owns a reference to it, and taking a new one needs the lock of the
    // home's trees.
    let is_held = Arc::strong_count(tree) > 1;
    let has_live = !tree.live.lock().expect("not poisoned").is_empty();
    let state = tree.state.lock().expect("not poisoned");
    let is_idle = !is_held && !has_live && !state.programs.is_empty() && !state.has_open_calls();
    is_idle.then_some(state)
}

/// Parks a tree. Returns false if it has come into use since it was selected.
fn park(candidate: &Candidate) -> bool {
    let mut trees = candidate.home.trees.lock().expect("not poisoned");
    let Some(tree) = trees.live.get(&candidate.root) else {
        return false;
    };
    let Some(parked) = idle_state(tree).map(|state| ParkedTree::of(&state)) else {
        return false;
    };
    trees.live.remove(&candidate.root);
    trees.parked.insert(candidate.root.clone(), Arc::new(parked));
    true
}
