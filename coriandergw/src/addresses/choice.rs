//! Chooses the instance addresses that one caller is given.

use std::net::IpAddr;
use std::time::Duration;

use sha2::Digest;
use sha2::Sha256;

use crate::addresses::Address;
use crate::addresses::AddressAnswer;
use crate::control::Instance;
use crate::control::InstanceState;
use crate::ids::DataCentre;
use crate::membership::Liveness;

/// The maximum number of addresses in one answer.
pub const ADDRESSES_MAX: usize = 5;

/// Returns the seed that determines a caller's order of instances; it is stable for each IP
/// address.
pub fn caller_seed(caller: IpAddr) -> u64 {
    u64::from(crc32fast::hash(caller.to_string().as_bytes()))
}

/// Chooses the addresses for one caller among the instances that are alive.
///
/// Instances in the data centre `near` come first. The order within a data centre depends on
/// `seed`, so that callers are spread over all instances, and are spread again if their first
/// address fails. If there are other data centres, the answer contains at least one address there,
/// in case the nearest data centre fails. Instances that `liveness` avoids are excluded, unless
/// that would exclude all in `near` or all elsewhere: an instance that is cut off from the others
/// must still give its callers addresses.
pub fn choose_addresses<'a, I>(
    instances: I,
    near: &DataCentre,
    seed: u64,
    ttl: Duration,
    liveness: &dyn Liveness,
) -> AddressAnswer
where
    I: IntoIterator<Item = &'a Instance>,
{
    let alive = instances.into_iter().filter(|instance| instance.state == InstanceState::Alive);
    let (mut nearby, mut others): (Vec<_>, Vec<_>) =
        alive.partition(|instance| instance.data_centre == *near);
    for group in [&mut nearby, &mut others] {
        remove_avoided(group, liveness);
        group.sort_by_cached_key(|instance| sort_key(instance, seed));
    }
    let reserved = usize::from(!others.is_empty());
    nearby.truncate(ADDRESSES_MAX - reserved);
    let addresses = nearby.into_iter().chain(others).take(ADDRESSES_MAX);
    let addresses = addresses.map(|instance| Address {
        address: instance.caller_address,
        data_centre: instance.data_centre.clone(),
    });
    AddressAnswer { addresses: addresses.collect(), ttl_ms: ttl.as_millis() as u64 }
}

/// Removes the avoided instances from a group, unless all of them are avoided.
fn remove_avoided(group: &mut Vec<&Instance>, liveness: &dyn Liveness) {
    let is_not_avoided = |instance: &&Instance| !liveness.is_avoided(&instance.name);
    if group.iter().any(is_not_avoided) {
        group.retain(is_not_avoided);
    }
}

/// Returns the sort key of an instance for the caller with this seed (rendezvous hashing).
fn sort_key(instance: &Instance, seed: u64) -> [u8; 32] {
    let hash = Sha256::new().chain_update(seed.to_be_bytes());
    hash.chain_update(instance.name.as_str()).finalize().into()
}
