//! Appends records to the journal and applies them to the state once they are committed.

use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;

use crate::ids::ProgramId;
use crate::programs::home::Home;
use crate::programs::home::LiveTree;
use crate::programs::home::ProgramHandle;
use crate::programs::home::Programs;
use crate::programs::home::home_lost;
use crate::programs::home::no_home;
use crate::programs::journal::JournalError;
use crate::programs::record::Record;
use crate::programs::record::RecordBody;
use crate::programs::state::Tree;
use crate::result_code::Refusal;
use crate::result_code::ResultCode;

/// How long a journal request is retried, unless it must be retried until the home is lost.
pub(super) const APPEND_RETRY_LIMIT: Duration = Duration::from_secs(2);

/// The delay before a journal request is retried.
pub(super) const APPEND_RETRY_DELAY: Duration = Duration::from_millis(20);

/// The `Retry-After` of a request that failed because the journal has no quorum.
const NO_QUORUM_RETRY_AFTER: Duration = Duration::from_millis(500);

/// The largest record, in bytes. The limit applies to the re-encoded request, in which numbers can
/// be longer than in the request body.
const RECORD_MAX_BYTES: usize = 7 * 512 * 1024;

/// How long to retry an append while the journal does not accept it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum AppendRetry {
    /// For `APPEND_RETRY_LIMIT`, or until the home is lost if the record may have been committed.
    Bounded,
    /// Until the home is lost.
    UntilHomeLost,
}

impl Programs {
    /// Builds a record from the tree's state, commits it and applies it to the state.
    ///
    /// Completes even if the caller's future is dropped, so that state and journal stay consistent.
    pub(super) async fn append<T, F>(
        self: &Arc<Self>,
        handle: &ProgramHandle,
        retry: AppendRetry,
        build: F,
    ) -> Result<T, Refusal>
    where
        T: Send + 'static,
        F: FnOnce(&Tree) -> Result<(RecordBody, T), Refusal> + Send + 'static,
    {
        let programs = self.clone();
        let handle = handle.clone();
        let task = tokio::spawn(async move {
            let _writer = handle.tree.writer.lock().await;
            let (body, built) = build(&handle.tree.state.lock().expect("not poisoned"))?;
            let at = programs.cx.clock.wall();
            let record = Record { at, program: handle.program.clone(), body };
            programs.commit(&handle, retry, record).await?;
            Ok(built)
        });
        task.await.unwrap_or_else(|cause| match cause.is_cancelled() {
            true => Err(home_lost()),
            false => Err(Refusal::may_have_run(
                ResultCode::Internal,
                format!("the journal write failed: {cause}"),
            )),
        })
    }

    async fn commit(
        &self,
        handle: &ProgramHandle,
        retry: AppendRetry,
        record: Record,
    ) -> Result<(), Refusal> {
        let ProgramHandle { home, tree, program } = handle;
        let sequence = tree.state.lock().expect("not poisoned").next_sequence;
        let bytes = Bytes::from(record.encode());
        if bytes.len() > RECORD_MAX_BYTES {
            let message = format!("the journal record is larger than {RECORD_MAX_BYTES} bytes");
            return Err(Refusal::not_run(ResultCode::BodyTooLarge, message));
        }
        self.propose(home, program.root(), sequence, bytes, retry).await?;
        let applied = tree.state.lock().expect("not poisoned").apply(home.epoch, record);
        tree.changed.notify_waiters();
        applied.map_err(|cause| {
            self.drop_home_and_record(home, &cause.to_string());
            home_lost()
        })
    }

    /// Proposes a record, with retries under the same sequence number, until the result is known or
    /// the home is lost.
    async fn propose(
        &self,
        home: &Arc<Home>,
        root: ProgramId,
        sequence: u64,
        record: Bytes,
        retry: AppendRetry,
    ) -> Result<(), Refusal> {
        let started = self.cx.clock.now();
        let mut known_not_committed = true;
        loop {
            if home.lost.is_cancelled() {
                return Err(home_lost_during_append(known_not_committed));
            }
            match home.journal.append(&root, sequence, record.clone()).await {
                // The partition may have been reloaded meanwhile, under the same epoch but without
                // this record, so the state here must not be used any further.
                Ok(()) if home.lost.is_cancelled() => return Err(home_lost()),
                Ok(()) => return Ok(()),
                Err(JournalError::NotCommitted { reason }) => {
                    let waited = self.cx.clock.now().since(started);
                    if known_not_committed
                        && retry == AppendRetry::Bounded
                        && waited >= APPEND_RETRY_LIMIT
                    {
                        let refusal = Refusal::not_run(ResultCode::NoQuorum, reason);
                        return Err(refusal.retry_after(NO_QUORUM_RETRY_AFTER));
                    }
                }
                Err(JournalError::Unknown { .. }) => known_not_committed = false,
                Err(cause @ (JournalError::Stale { .. } | JournalError::Invalid { .. })) => {
                    self.drop_home_and_record(home, &cause.to_string());
                    return Err(home_lost_during_append(known_not_committed));
                }
            }
            tokio::select! {
                _ = home.lost.cancelled() => {}
                _ = tokio::time::sleep(APPEND_RETRY_DELAY) => {}
            }
        }
    }
}

/// Builds the refusal of a request whose home was lost while its record was proposed.
fn home_lost_during_append(known_not_committed: bool) -> Refusal {
    match known_not_committed {
        true => no_home("the program's home moved before the request was accepted"),
        false => home_lost(),
    }
}

impl LiveTree {
    /// Creates a tree from the state that was read from its journal.
    pub fn from_state(state: Tree) -> Self {
        Self { state: std::sync::Mutex::new(state), ..Self::default() }
    }
}
