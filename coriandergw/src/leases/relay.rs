//! The renewals that wait at the relay of a data centre for its next renewal with the leader.

use std::sync::Mutex;

use tokio::sync::oneshot;

use crate::leases::generated::Grant;
use crate::leases::generated::Member;
use crate::leases::generated::Renewal;

/// The most renewals that wait at once.
const WAITING_MAX: usize = 4_096;

/// A renewal that waits.
pub(super) struct PendingRenewal {
    pub(super) member: Member,
    pub(super) answer: oneshot::Sender<Grant>,
}

/// The renewals that wait for the relay's next renewal.
#[derive(Default)]
pub(super) struct RenewalRelay {
    waiting: Mutex<Vec<PendingRenewal>>,
}

impl RenewalRelay {
    /// Adds a renewal. The answer comes with the relay's next renewal, or never if that fails.
    pub(super) fn add(&self, index: u32, renewal: Renewal) -> Option<oneshot::Receiver<Grant>> {
        let mut waiting = self.waiting.lock().expect("not poisoned");
        if waiting.len() == WAITING_MAX {
            return None;
        }
        let (answer, receiver) = oneshot::channel();
        waiting.push(PendingRenewal { member: Member { index, renewal: Some(renewal) }, answer });
        Some(receiver)
    }

    /// Takes all renewals that wait.
    pub(super) fn take(&self) -> Vec<PendingRenewal> {
        std::mem::take(&mut self.waiting.lock().expect("not poisoned"))
    }
}
