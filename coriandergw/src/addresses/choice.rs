//! Chooses the addresses for one caller.

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

/// The addresses in one answer.
pub const ADDRESSES_MAX: usize = 5;

/// Returns the number that spreads callers: the same for the same caller.
pub fn caller_seed(caller: IpAddr) -> u64 {
    u64::from(crc32fast::hash(caller.to_string().as_bytes()))
}

/// Chooses the addresses for one caller among the instances that are alive.
///
/// Those in `near` come first. Within a data centre the order depends on `seed`, so that callers are
/// spread over all instances, also those whose first address is lost. One address of another data
/// centre is always among them, where there is one, for when the nearest data centre is lost.
/// Instances that `liveness` avoids are left out, unless that left none of `near` or none elsewhere:
/// an instance that is cut off must not send its callers nowhere.
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
        leave_out_avoided(group, liveness);
        group.sort_by_cached_key(|instance| rank(instance, seed));
    }
    let spare = usize::from(!others.is_empty());
    nearby.truncate(ADDRESSES_MAX - spare);
    let addresses = nearby.into_iter().chain(others).take(ADDRESSES_MAX);
    let addresses = addresses.map(|instance| Address {
        address: instance.caller_address,
        data_centre: instance.data_centre.clone(),
    });
    AddressAnswer { addresses: addresses.collect(), ttl_ms: ttl.as_millis() as u64 }
}

/// Removes the avoided instances of a group, unless these are all.
fn leave_out_avoided(group: &mut Vec<&Instance>, liveness: &dyn Liveness) {
    let is_used = |instance: &&Instance| !liveness.is_avoided(&instance.name);
    if group.iter().any(is_used) {
        group.retain(is_used);
    }
}

/// Returns the place of an instance in the order of one caller.
fn rank(instance: &Instance, seed: u64) -> [u8; 32] {
    let hash = Sha256::new().chain_update(seed.to_be_bytes());
    hash.chain_update(instance.name.as_str()).finalize().into()
}
