//! What a call holds while it waits and runs; dropping it gives everything back.

use std::sync::Arc;

use crate::dispatch::call_metadata::CallMetadata;
use crate::dispatch::call_metadata::QueueKey;
use crate::dispatch::scheduled::Inner;
use crate::dispatch::scheduler::AssignmentOutcome;
use crate::ids::EndpointName;

/// A call that counts against its entry until it is dropped.
pub(super) struct EntryCountGuard {
    pub(super) inner: Arc<Inner>,
    pub(super) facts: CallMetadata,
}

impl Drop for EntryCountGuard {
    fn drop(&mut self) {
        let mut state = self.inner.state.lock().expect("not poisoned");
        state.scheduler.leave(&self.facts.entry.name);
    }
}

/// A place in the queue or at an endpoint; given back when it is dropped.
pub(super) struct CallSlot {
    pub(super) inner: Arc<Inner>,
    pub(super) key: QueueKey,
    pub(super) ticket: Option<u64>,
}

impl CallSlot {
    /// Ends the call at its endpoint and lets the next one go there.
    pub(super) fn finish(mut self, endpoint: &EndpointName, finish: AssignmentOutcome) {
        let Some(ticket) = self.ticket.take() else {
            return;
        };
        let Inner { cx, directory, .. } = self.inner.as_ref();
        let mut state = self.inner.state.lock().expect("not poisoned");
        let prefix_use = state.scheduler.finish(ticket, finish, directory, cx.clock.now());
        cx.metrics.prefix_tokens_reused.inc_by(prefix_use.reused);
        cx.metrics.prefix_tokens_recomputed.inc_by(prefix_use.recomputed);
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
