//! Connects features that do not know each other.

use std::sync::Arc;

use crate::control::InstanceState;
use crate::endpoints::gossip::Peer;
use crate::endpoints::gossip::Peers;
use crate::ids::InstanceName;
use crate::leases::ClusterStatus;

/// The registered instances as peers of the endpoint directory and the dispatcher.
pub(super) struct RegisteredPeers {
    /// The source of the registered instances.
    pub(super) control: Arc<dyn ClusterStatus>,
    /// This instance.
    pub(super) name: InstanceName,
}

impl Peers for RegisteredPeers {
    fn live(&self) -> Vec<Peer> {
        let others = self.control.instances().into_iter();
        let others = others.filter(|peer| peer.state != InstanceState::Dead);
        others
            .filter(|peer| peer.name != self.name)
            .map(|peer| Peer { data_centre: peer.data_centre.clone(), name: peer.name.clone() })
            .collect()
    }
}
