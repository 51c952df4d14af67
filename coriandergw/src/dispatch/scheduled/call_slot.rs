//! Guards for the slot of a call and for its share of the entry's limit, which are released when
//! the guard is dropped.

use std::sync::Arc;

use crate::dispatch::call_metadata::CallMetadata;
use crate::dispatch::call_metadata::QueueKey;
use crate::dispatch::scheduled::Inner;
use crate::dispatch::scheduler::AssignmentOutcome;
use crate::ids::EndpointName;

/// Counts a call against the limit of its catalogue entry until dropped.
pub(super) struct EntryCountGuard {
    pub(super) inner: Arc<Inner>,
    pub(super) metadata: CallMetadata,
}

impl Drop for EntryCountGuard {
    fn drop(&mut self) {
        let mut state = self.inner.state.lock().expect("not poisoned");
        state.scheduler.release(&self.metadata.entry.name);
    }
}

/// A slot in the queue or at an endpoint; released when dropped.
pub(super) struct CallSlot {
    pub(super) inner: Arc<Inner>,
    pub(super) key: QueueKey,
    pub(super) ticket: Option<u64>,
}

impl CallSlot {
    /// Ends the call at its endpoint and assigns waiting calls to the freed slot.
    pub(super) fn finish(mut self, endpoint: &EndpointName, outcome: AssignmentOutcome) {
        let Some(ticket) = self.ticket.take() else {
            return;
        };
        let Inner { cx, directory, .. } = self.inner.as_ref();
        let mut state = self.inner.state.lock().expect("not poisoned");
        let prefix_reuse = state.scheduler.finish(ticket, outcome, directory, cx.clock.now());
        cx.metrics.prefix_tokens_reused.inc_by(prefix_reuse.reused);
        cx.metrics.prefix_tokens_recomputed.inc_by(prefix_reuse.recomputed);
        self.inner.assign(&mut state, &self.key, Some(endpoint));
    }
}

impl Drop for CallSlot {
    fn drop(&mut self) {
        let Some(ticket) = self.ticket.take() else {
            return;
        };
        let mut state = self.inner.state.lock().expect("not poisoned");
        state.waiters.remove(&ticket);
        if let Some(key) = state.scheduler.cancel(ticket, self.inner.cx.clock.now()) {
            self.inner.assign(&mut state, &key, None);
        }
    }
}
