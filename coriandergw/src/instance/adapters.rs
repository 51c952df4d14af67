//! Connects features that do not know each other.

use std::net::IpAddr;
use std::sync::Arc;
use std::time::Duration;

use tokio::sync::watch;

use crate::addresses::AddressAnswer;
use crate::addresses::AddressBook;
use crate::addresses::caller_seed;
use crate::addresses::choose_addresses;
use crate::clock::Timestamp;
use crate::control::Instance;
use crate::control::InstanceState;
use crate::endpoints::gossip::Peer;
use crate::endpoints::gossip::Peers;
use crate::ids::CONTROL_GROUP;
use crate::ids::DataCentre;
use crate::ids::InstanceName;
use crate::leases;
use crate::leases::ClusterStatus;
use crate::log_groups::Leadership;
use crate::log_groups::node::LogNode;

/// Tells the leases whether this store instance leads the control group.
pub(super) struct LogLeadership {
    node: Arc<LogNode>,
    leadership: watch::Receiver<Leadership>,
}

impl LogLeadership {
    /// Watches the control group of a log; none if the log does not have it.
    pub(super) fn of(node: Arc<LogNode>) -> Option<Self> {
        let leadership = node.leadership(CONTROL_GROUP)?;
        Some(Self { node, leadership })
    }
}

impl leases::Leadership for LogLeadership {
    fn term(&self, now: Timestamp) -> Option<u64> {
        let leadership = self.leadership.borrow();
        let leads = leadership.is_leader && now < self.node.lease_until(CONTROL_GROUP);
        leads.then_some(leadership.term)
    }
}

/// What the registered instances tell other features.
pub(super) struct Registered {
    /// The source of the registered instances.
    pub(super) control: Arc<dyn ClusterStatus>,
    /// This instance.
    pub(super) name: InstanceName,
    /// This instance's data centre.
    pub(super) data_centre: DataCentre,
    /// How long callers may keep an answer with addresses.
    pub(super) addresses_ttl: Duration,
}

impl Registered {
    fn taking_work(&self) -> Vec<Arc<Instance>> {
        let mut instances = self.control.instances();
        instances.retain(|instance| instance.state == InstanceState::Alive);
        instances
    }
}

impl Peers for Registered {
    fn live(&self) -> Vec<Peer> {
        let others = self.control.instances().into_iter();
        let others = others.filter(|peer| peer.state != InstanceState::Dead);
        others
            .filter(|peer| peer.name != self.name)
            .map(|peer| Peer { data_centre: peer.data_centre.clone(), name: peer.name.clone() })
            .collect()
    }
}

impl AddressBook for Registered {
    fn answer(&self, caller: IpAddr) -> AddressAnswer {
        let instances = self.taking_work();
        let instances = instances.iter().map(Arc::as_ref);
        choose_addresses(instances, &self.data_centre, caller_seed(caller), self.addresses_ttl)
    }

    fn has_others(&self) -> bool {
        self.taking_work().iter().any(|instance| instance.name != self.name)
    }
}
