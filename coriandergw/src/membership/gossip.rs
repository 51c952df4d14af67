//! Spreads news of members with the messages that are sent anyway.

use std::collections::BTreeMap;

use crate::ids::DataCentre;
use crate::ids::InstanceName;
use crate::membership::MemberState;

/// The most updates in one message.
const UPDATES_MAX: usize = 8;

/// How often an update is sent, times the binary logarithm of the number of members.
const SPREAD_FACTOR: u32 = 4;

/// News of one member.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Update {
    /// The member.
    pub name: InstanceName,
    /// Its data centre.
    pub data_centre: DataCentre,
    /// Its state.
    pub state: MemberState,
    /// The incarnation number that the state belongs to.
    pub incarnation: u64,
    /// The instance that found a suspected member silent.
    pub accuser: Option<InstanceName>,
}

/// The news to spread; the least sent goes first.
#[derive(Debug, Default)]
pub(super) struct UpdateQueue {
    updates: BTreeMap<(InstanceName, Option<InstanceName>), (u32, Update)>,
}

impl UpdateQueue {
    /// Adds an update in place of an older one on the same member by the same accuser.
    pub(super) fn add(&mut self, update: Update) {
        if update.accuser.is_none() {
            // What is not an accusation settles those before it.
            self.updates.retain(|(name, _), _| *name != update.name);
        }
        let key = (update.name.clone(), update.accuser.clone());
        self.updates.insert(key, (0, update));
    }

    /// Returns the updates for the next message and counts them as sent.
    pub(super) fn take(&mut self, members: usize) -> Vec<Update> {
        let sends_max = SPREAD_FACTOR * (members.max(2).ilog2() + 1);
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
