//! The address provider of an instance that belongs to a cluster.

use std::net::IpAddr;
use std::sync::Arc;
use std::time::Duration;

use crate::addresses::Address;
use crate::addresses::AddressAnswer;
use crate::addresses::AddressProvider;
use crate::addresses::caller_seed;
use crate::addresses::choose_addresses;
use crate::control::Instance;
use crate::control::InstanceState;
use crate::ids::InstanceName;
use crate::leases::ClusterStatus;
use crate::membership::Liveness;

/// Provides the addresses of the registered instances that are alive and answer probes, as far as
/// this instance knows.
pub struct ClusterAddresses {
    cluster: Arc<dyn ClusterStatus>,
    liveness: Arc<dyn Liveness>,
    name: InstanceName,
    own_address: Address,
    ttl: Duration,
}

impl ClusterAddresses {
    /// Creates the provider of the instance `name`, which callers reach at `own_address`.
    pub fn new(
        cluster: Arc<dyn ClusterStatus>,
        liveness: Arc<dyn Liveness>,
        name: InstanceName,
        own_address: Address,
        ttl: Duration,
    ) -> Self {
        Self { cluster, liveness, name, own_address, ttl }
    }
}

impl AddressProvider for ClusterAddresses {
    fn answer(&self, caller: IpAddr) -> AddressAnswer {
        let instances = self.cluster.instances();
        let instances = instances.iter().map(Arc::as_ref);
        let near = &self.own_address.data_centre;
        let seed = caller_seed(caller);
        let liveness = self.liveness.as_ref();
        let mut answer = choose_addresses(instances, near, seed, self.ttl, liveness);
        if answer.addresses.is_empty() {
            // The cluster lists no instances before the first configuration arrives.
            answer.addresses.push(self.own_address.clone());
        }
        answer
    }

    fn has_others(&self) -> bool {
        let is_other = |instance: &Arc<Instance>| {
            instance.state == InstanceState::Alive && instance.name != self.name
        };
        self.cluster.instances().iter().any(is_other)
    }
}
