//! Selection of a group's first voters when a new system starts for the first time.

use std::collections::BTreeMap;
use std::time::Duration;

use crate::ids::DataCentre;
use crate::ids::InstanceName;
use crate::roster::Presence;

/// How long the start waits for the wanted number of founders, the instances that had an
/// empty disk, before it founds a smaller group.
pub const FOUNDING_WAIT: Duration = Duration::from_secs(4);

/// Returns the first voters, spread over the data centres as evenly as possible, or `None` if there
/// are no founders yet or the wait for the wanted number is not over.
pub fn first_voters(
    living: &[Presence],
    wanted: usize,
    waited: Duration,
) -> Option<Vec<InstanceName>> {
    let founders: Vec<&Presence> = living.iter().filter(|p| p.is_founder).collect();
    let has_enough = founders.len() >= wanted;
    if founders.is_empty() || (!has_enough && waited < FOUNDING_WAIT) {
        return None;
    }
    let mut in_data_centre: BTreeMap<&DataCentre, usize> = BTreeMap::new();
    let mut ranked: Vec<(usize, &InstanceName)> = Vec::new();
    for founder in founders {
        let rank = in_data_centre.entry(&founder.data_centre).or_default();
        ranked.push((*rank, &founder.name));
        *rank += 1;
    }
    ranked.sort();
    Some(ranked.into_iter().take(wanted).map(|(_, name)| name.clone()).collect())
}
