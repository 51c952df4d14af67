//! Merges the events of several processes into one causal order.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::collections::VecDeque;

use crate::events::Event;
use crate::ids::InstanceName;

/// Orders events so that each follows its cause and the earlier events of its own process.
///
/// Where neither decides, wall time does. Clocks of different instances may disagree; an effect
/// still never stands before its cause.
pub fn merge_causally(events: Vec<Event>) -> Vec<Event> {
    let present: BTreeSet<String> = events.iter().map(identity).collect();
    let mut lanes = lanes_of(events);
    let mut shown = BTreeSet::new();
    let mut merged = Vec::new();
    while let Some(instance) = next_lane(&lanes, &present, &shown) {
        let lane = lanes.get_mut(&instance).expect("the lane was found");
        let event = lane.pop_front().expect("the lane was not empty");
        if lane.is_empty() {
            lanes.remove(&instance);
        }
        shown.insert(identity(&event));
        merged.push(event);
    }
    merged
}

/// Returns the name by which other events refer to this one as their cause.
pub fn identity(event: &Event) -> String {
    format!("{}#{}", event.instance, event.sequence)
}

fn lanes_of(events: Vec<Event>) -> BTreeMap<InstanceName, VecDeque<Event>> {
    let mut by_instance: BTreeMap<InstanceName, Vec<Event>> = BTreeMap::new();
    for event in events {
        by_instance.entry(event.instance.clone()).or_default().push(event);
    }
    by_instance
        .into_iter()
        .map(|(instance, mut lane)| {
            lane.sort_by_key(|event| event.sequence);
            (instance, lane.into())
        })
        .collect()
}

/// Finds the lane whose first event may come next; after a cycle of causes, the earliest one.
fn next_lane(
    lanes: &BTreeMap<InstanceName, VecDeque<Event>>,
    present: &BTreeSet<String>,
    shown: &BTreeSet<String>,
) -> Option<InstanceName> {
    let is_free = |event: &Event| match &event.subject.cause {
        Some(cause) => shown.contains(cause) || !present.contains(cause),
        None => true,
    };
    let first = lanes.iter().filter_map(|(instance, lane)| Some((instance, lane.front()?)));
    first
        .min_by_key(|(_, event)| (!is_free(event), event.wall_ms))
        .map(|(instance, _)| instance.clone())
}

#[cfg(test)]
mod tests;
