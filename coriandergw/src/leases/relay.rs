//! The queue of renewals at the relay of a data centre. They are sent with the relay's next
//! renewal.

use std::sync::Mutex;

use tokio::sync::oneshot;

use crate::leases::generated::Grant;
use crate::leases::generated::Member;
use crate::leases::generated::Renewal;

/// The maximum number of queued renewals.
const QUEUE_MAX: usize = 4_096;

/// A queued renewal.
pub(super) struct PendingRenewal {
    pub(super) member: Member,
    pub(super) answer: oneshot::Sender<Grant>,
}

/// The queue of renewals for the relay's next renewal.
#[derive(Default)]
pub(super) struct RenewalQueue {
    queue: Mutex<Vec<PendingRenewal>>,
}

impl RenewalQueue {
    /// Queues a renewal of the instance with this index, or returns `None` if the queue is full.
    /// The grant arrives after the relay's next renewal; if that fails, the channel is closed.
    pub(super) fn add(&self, index: u32, renewal: Renewal) -> Option<oneshot::Receiver<Grant>> {
        let mut queue = self.queue.lock().expect("not poisoned");
        if queue.len() == QUEUE_MAX {
            return None;
        }
        let (answer, receiver) = oneshot::channel();
        queue.push(PendingRenewal { member: Member { index, renewal: Some(renewal) }, answer });
        Some(receiver)
    }

    /// Removes and returns all queued renewals.
    pub(super) fn take(&self) -> Vec<PendingRenewal> {
        std::mem::take(&mut self.queue.lock().expect("not poisoned"))
    }
}
