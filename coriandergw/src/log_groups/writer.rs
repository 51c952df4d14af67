//! Writes the records of all groups, and opens the data folder again after the disk refused a write.
//!
//! A disk may refuse writes for a while, for example when it is full. Nothing of the refused batch
//! counts, so the folder is opened again with what was durable before it. The members take part in
//! their groups again once one write has succeeded.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::sync::Mutex;
use std::time::Duration;

use tokio::task::JoinError;
use tokio::task::JoinHandle;

use crate::clock::Timestamp;
use crate::ids::GroupId;
use crate::log_groups::core::Record;
use crate::log_groups::core::Recovered;
use crate::storage::StorageError;
use crate::storage::store::LOG_FILE;
use crate::storage::store::Store;
use crate::storage::store::StoreOptions;

/// The initial and the maximum delay before the data folder is opened again.
const REOPEN_DELAY: (Duration, Duration) = (Duration::from_millis(50), Duration::from_secs(1));

/// The state of the groups as found when the data folder was opened again.
pub struct Reopened {
    /// The durable state of each group.
    pub groups: BTreeMap<GroupId, Recovered>,
    /// The damage for which the log was set aside, if any.
    pub damage: Option<StorageError>,
    /// How long the disk refused writes.
    pub refused_for: Duration,
}

/// The outcome of an operation on the disk.
pub enum DiskOutcome {
    /// The last batch is durable.
    Synced,
    /// The disk refused a write; nothing of the last batch counts.
    Refused(StorageError),
    /// The disk still refuses writes.
    StillRefused,
    /// The disk takes writes again.
    Regained(Reopened),
    /// The data folder cannot be used any more.
    Unusable(StorageError),
}

/// The state recovered when the folder was opened again, and the damage found.
type Recovery = (BTreeMap<GroupId, Recovered>, Option<StorageError>);

enum Operation {
    Write(JoinHandle<Result<(), StorageError>>),
    Reopen(JoinHandle<Result<Recovery, StorageError>>),
}

/// The result of an operation that has ended, to be passed to [`LogWriter::finish`].
pub enum Finished {
    /// A batch was written or refused.
    Write(Result<(), StorageError>),
    /// The folder was opened again or not.
    Reopen(Result<Recovery, StorageError>),
    /// The task of the operation panicked.
    Panicked(StorageError),
}

/// A disk that refuses writes.
#[derive(Debug, Clone, Copy)]
struct Refusal {
    since: Timestamp,
    delay: Duration,
    retry_at: Timestamp,
}

/// Owns the store; runs one operation at a time, without blocking the async runtime.
pub struct LogWriter {
    store: Arc<Mutex<Store>>,
    options: StoreOptions,
    operation: Option<Operation>,
    refusal: Option<Refusal>,
}

impl LogWriter {
    /// Creates a writer of a store that was opened with `options`.
    pub fn new(store: Store, options: StoreOptions) -> Self {
        Self { store: Arc::new(Mutex::new(store)), options, operation: None, refusal: None }
    }

    /// Returns whether a batch may be written now.
    pub fn is_ready(&self) -> bool {
        self.operation.is_none() && self.refusal.is_none()
    }

    /// Returns whether the disk refuses writes.
    pub fn is_refused(&self) -> bool {
        self.refusal.is_some()
    }

    /// Returns when [`LogWriter::tick`] must be called; `None` if no deadline is known.
    pub fn next_deadline(&self) -> Option<Timestamp> {
        let refusal = self.refusal.filter(|_| self.operation.is_none());
        refusal.map(|refusal| refusal.retry_at)
    }

    /// Returns whether the next batch must be the complete state of all groups.
    pub fn needs_rewrite(&self) -> bool {
        self.store.lock().expect("not poisoned").needs_rewrite()
    }

    /// Starts to write a batch, or the complete state of all groups if `is_complete`.
    pub fn write(&mut self, records: Vec<(GroupId, Record)>, is_complete: bool) {
        let store = self.store.clone();
        self.operation = Some(Operation::Write(tokio::task::spawn_blocking(move || {
            let mut store = store.lock().expect("not poisoned");
            if is_complete { store.rewrite(records) } else { store.write(records) }
        })));
    }

    /// Starts to open the data folder again if that is due.
    pub fn tick(&mut self, now: Timestamp) {
        if self.next_deadline().is_none_or(|deadline| now < deadline) {
            return;
        }
        let (store, options) = (self.store.clone(), self.options.clone());
        self.operation = Some(Operation::Reopen(tokio::task::spawn_blocking(move || {
            let mut store = store.lock().expect("not poisoned");
            let opened = store.reopen(&options)?;
            *store = opened.store;
            // Only a write proves that the disk takes writes again.
            let hard_state = |(group, found): (&GroupId, &Recovered)| (*group, found.hard_state());
            store.write(opened.groups.iter().map(hard_state).collect())?;
            Ok((opened.groups, opened.damage))
        })));
    }

    /// Waits for the end of the operation in progress; never completes if there is none.
    pub async fn completed(&mut self) -> Finished {
        let finished = match &mut self.operation {
            None => std::future::pending().await,
            Some(Operation::Write(task)) => task.await.map(Finished::Write),
            Some(Operation::Reopen(task)) => task.await.map(Finished::Reopen),
        };
        self.operation = None;
        finished.unwrap_or_else(|cause| Finished::Panicked(panicked(&cause)))
    }

    /// Returns what the end of an operation means for the groups.
    pub fn finish(&mut self, finished: Finished, now: Timestamp) -> DiskOutcome {
        match finished {
            Finished::Write(Ok(())) => DiskOutcome::Synced,
            Finished::Write(Err(cause)) => {
                let delay = REOPEN_DELAY.0;
                self.refusal = Some(Refusal { since: now, delay, retry_at: now + delay });
                DiskOutcome::Refused(cause)
            }
            Finished::Reopen(Ok((groups, damage))) => {
                let refusal = self.refusal.take();
                let refused_for = refusal.map(|refusal| now.since(refusal.since));
                let refused_for = refused_for.unwrap_or_default();
                DiskOutcome::Regained(Reopened { groups, damage, refused_for })
            }
            Finished::Reopen(Err(StorageError::Failed { .. })) => {
                if let Some(refusal) = &mut self.refusal {
                    refusal.delay = (refusal.delay * 2).min(REOPEN_DELAY.1);
                    refusal.retry_at = now + refusal.delay;
                }
                DiskOutcome::StillRefused
            }
            Finished::Reopen(Err(cause)) | Finished::Panicked(cause) => {
                DiskOutcome::Unusable(cause)
            }
        }
    }

    /// Waits until the data folder is no longer in use.
    pub async fn close(mut self) {
        if self.operation.is_some() {
            // What the operation yields no longer matters.
            let _ = self.completed().await;
        }
    }
}

fn panicked(cause: &JoinError) -> StorageError {
    StorageError::Failed { file: LOG_FILE.to_owned(), reason: cause.to_string() }
}
