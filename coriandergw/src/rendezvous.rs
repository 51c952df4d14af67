//! Rendezvous hashing: all processes choose the same members for a key without a message.

use crate::ids::InstanceName;

/// Mixes a key and a name to a number that is the same on all instances.
pub fn hash_of(key: &str, name: &str) -> u64 {
    // FNV-1a with a final mix: cheap, and stable across processes and versions.
    let bytes = key.bytes().chain([0xff]).chain(name.bytes());
    let mixed = bytes.fold(0xcbf2_9ce4_8422_2325u64, |hash, byte| {
        (hash ^ u64::from(byte)).wrapping_mul(0x0100_0000_01b3)
    });
    let mixed = (mixed ^ (mixed >> 33)).wrapping_mul(0xff51_afd7_ed55_8ccd);
    mixed ^ (mixed >> 33)
}

/// Returns the `count` names that weigh most for a key, heaviest first.
pub fn heaviest(key: &str, names: &[InstanceName], count: usize) -> Vec<InstanceName> {
    let mut ranked = names.to_vec();
    ranked.sort_by_cached_key(|name| std::cmp::Reverse(hash_of(key, name.as_str())));
    ranked.truncate(count);
    ranked
}

#[cfg(test)]
mod tests;
