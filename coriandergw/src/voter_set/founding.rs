//! Chooses the first voters of a group at the first start of the whole system.

use std::collections::BTreeMap;
use std::time::Duration;

use crate::ids::DataCentre;
use crate::ids::InstanceName;
use crate::roster::Presence;

/// How long all wanted instances are waited for before a smaller group is founded.
pub const FOUNDING_WAIT: Duration = Duration::from_secs(4);

/// Returns the first voters, one a data centre first; `None` while it is worth waiting for more.
pub fn first_voters(
    living: &[Presence],
    wanted: usize,
    waited: Duration,
) -> Option<Vec<InstanceName>> {
    let founders: Vec<&Presence> = living.iter().filter(|p| p.is_founder).collect();
    let is_enough = founders.len() >= wanted;
    if founders.is_empty() || (!is_enough && waited < FOUNDING_WAIT) {
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
