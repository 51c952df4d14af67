//! The journal instances that may hold kept turns, as an entry instance knows them.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use crate::clock::Timestamp;
use crate::clock::WallTime;
use crate::context::Context;
use crate::ids::InstanceName;
use crate::kept_turns::placement::Holder;
use crate::kept_turns::placement::order_holders;
use crate::roster::Presence;
use crate::roster::Role;
use crate::roster::poller::Roster;
use crate::roster::state::GONE_RETENTION;
use crate::roster::view::RosterView;
use crate::transport::tcp::address_of;

/// A journal instance that is heard.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct LivingHolder {
    /// The instance.
    pub holder: Holder,
    /// Whether its machine is to be emptied, so that it takes no new turns.
    pub is_retiring: bool,
    /// Whether its process is shutting down.
    pub is_leaving: bool,
}

/// The instances that may hold turns.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct KnownHolders {
    /// Those that are heard.
    pub living: Vec<LivingHolder>,
    /// Those that are listed and not heard; their disks may come back.
    pub silent: Vec<Holder>,
    /// Whether no instance that held a turn within the retention can be missing here.
    pub is_complete: bool,
}

impl KnownHolders {
    /// Returns how many instances may hold turns, heard or not.
    pub fn count(&self) -> usize {
        self.living.len() + self.silent.len()
    }

    /// Returns the instances that can take the turns of a chain, in the order of preference. Those
    /// that are shutting down come last.
    pub fn writable(&self, account: &str, root: &str) -> Vec<InstanceName> {
        let staying = |is_leaving: bool| {
            let usable = self.living.iter().filter(|one| !one.is_retiring);
            let holders: Vec<Holder> = usable
                .filter(|one| one.is_leaving == is_leaving)
                .map(|one| one.holder.clone())
                .collect();
            order_holders(account, root, &holders)
        };
        staying(false).into_iter().chain(staying(true)).map(|holder| holder.name).collect()
    }

    /// Derives the instances from the roster, for turns that are kept for `retention`.
    pub fn of_view(
        view: &RosterView,
        retention: Duration,
        now: Timestamp,
        wall: WallTime,
    ) -> KnownHolders {
        let to_holder = |presence: &Presence| Holder {
            name: presence.name.clone(),
            data_centre: presence.data_centre.clone(),
        };
        let living = view.living(Role::Journal, now);
        let mut silent: BTreeMap<InstanceName, Holder> = BTreeMap::new();
        for presence in view.listed(Role::Journal) {
            silent.insert(presence.name.clone(), to_holder(&presence));
        }
        // A living instance with the address of a silent one has replaced it with an empty disk. It
        // counts in its place until it has been complete for the retention.
        let addresses: Vec<Option<SocketAddr>> =
            living.iter().map(|presence| address_of(&presence.name)).collect();
        silent.retain(|name, _| !addresses.contains(&address_of(name)));
        // A core instance lists what it has heard since its start, so a list is complete once its
        // core instance has run for the retention, or since there were turns.
        let listed_for = Duration::from_millis(
            wall.0.saturating_sub(view.listed_since_ms(now).unwrap_or(u64::MAX)),
        );
        let is_complete = listed_for >= retention.min(GONE_RETENTION)
            && view.leader(Role::Core).is_some()
            && view.reaches_quorum(now);
        let living = living.iter().map(|presence| LivingHolder {
            holder: to_holder(presence),
            is_retiring: view.retiring().contains(&presence.node),
            is_leaving: presence.leaving,
        });
        KnownHolders {
            living: living.collect(),
            silent: silent.into_values().collect(),
            is_complete,
        }
    }
}

/// Tells which instances may hold turns.
pub trait HolderDirectory: Send + Sync {
    /// Returns the instances for turns that are kept for `retention`.
    fn holders(&self, retention: Duration) -> KnownHolders;
}

/// Takes the instances from the roster.
pub struct RosterDirectory {
    /// The context of the process.
    pub cx: Context,
    /// The roster of the process.
    pub roster: Arc<Roster>,
}

impl HolderDirectory for RosterDirectory {
    fn holders(&self, retention: Duration) -> KnownHolders {
        let (now, wall) = (self.cx.clock.now(), self.cx.clock.wall());
        self.roster.with_view(|view| KnownHolders::of_view(view, retention, now, wall))
    }
}

#[cfg(test)]
mod tests;
