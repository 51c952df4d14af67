//! Spreads updates of members by piggybacking them on the messages of the protocol.

use std::collections::BTreeMap;

use crate::ids::DataCentre;
use crate::ids::InstanceName;
use crate::membership::MemberState;

/// The maximum number of queued updates in one message.
const UPDATES_MAX: usize = 8;

/// The factor that sets how often an update is sent: `RETRANSMIT_FACTOR * (log2(members) + 1)`
/// times, where the logarithm is rounded down.
const RETRANSMIT_FACTOR: u32 = 4;

/// A change of the state of one member.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Update {
    /// The member that changed.
    pub name: InstanceName,
    /// Its data centre.
    pub data_centre: DataCentre,
    /// The new state.
    pub state: MemberState,
    /// The incarnation number that the state belongs to.
    pub incarnation: u64,
    /// The instance that suspects the member, if the update is a suspicion.
    pub accuser: Option<InstanceName>,
}

/// The updates to spread; those sent least often go first.
#[derive(Debug, Default)]
pub(super) struct UpdateQueue {
    updates: BTreeMap<(InstanceName, Option<InstanceName>), (u32, Update)>,
}

impl UpdateQueue {
    /// Adds an update, replacing an older one of the same member by the same accuser.
    pub(super) fn add(&mut self, update: Update) {
        if update.accuser.is_none() {
            // An update without an accuser supersedes all queued accusations of the member.
            self.updates.retain(|(name, _), _| *name != update.name);
        }
        let key = (update.name.clone(), update.accuser.clone());
        self.updates.insert(key, (0, update));
    }

    /// Returns the updates for the next message, counts them as sent and drops those that have been
    /// sent often enough for the number of `members`.
    pub(super) fn take(&mut self, members: usize) -> Vec<Update> {
        let sends_max = RETRANSMIT_FACTOR * (members.max(2).ilog2() + 1);
        let mut order: Vec<_> =
            self.updates.iter().map(|(key, (sent, _))| (*sent, key.clone())).collect();
        order.sort();
        order.truncate(UPDATES_MAX);
        let mut taken = Vec::with_capacity(order.len());
        for (_, key) in order {
            if let Some((sent, update)) = self.updates.get_mut(&key) {
                *sent += 1;
                taken.push(update.clone());
            }
        }
        self.updates.retain(|_, (sent, _)| *sent < sends_max);
        taken
    }
}
