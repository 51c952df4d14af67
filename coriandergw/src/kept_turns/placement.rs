//! Chooses the instances that keep a chain.

use std::collections::BTreeSet;

use crate::ids::DataCentre;
use crate::ids::InstanceName;
use crate::rendezvous::hash_of;

/// An instance that can keep turns.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Holder {
    /// The name of the instance.
    pub name: InstanceName,
    /// The data centre that it is in.
    pub data_centre: DataCentre,
}

/// Returns all `holders` in the order in which they are to keep the chain of `account` that begins
/// with the turn `root`; the first ones keep it as long as they can be written to.
///
/// The best one of each data centre by rendezvous hashing comes before the second best ones, so
/// that a read finds the chain in its own data centre, and the loss of a data centre leaves copies.
pub fn order_holders(account: &str, root: &str, holders: &[Holder]) -> Vec<Holder> {
    let key = format!("{account}/{root}");
    let mut ordered = holders.to_vec();
    ordered.sort_by_cached_key(|holder| std::cmp::Reverse(hash_of(&key, holder.name.as_str())));
    let mut ranked = Vec::with_capacity(ordered.len());
    while !ordered.is_empty() {
        let mut taken = BTreeSet::new();
        let (best, rest): (Vec<Holder>, Vec<Holder>) =
            ordered.into_iter().partition(|holder| taken.insert(holder.data_centre.clone()));
        ranked.extend(best);
        ordered = rest;
    }
    ranked
}
