//! Shares service between classes by weight and between the owners of a class evenly.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::collections::HashMap;

use crate::catalogue::Class;
use crate::clock::Timestamp;
use crate::ids::OwnerName;
use crate::queueing::QueueSettings;
use crate::queueing::QueuedCall;
use crate::queueing::urgency;

/// The calls of one owner that are looked at in one pick.
const LOOKED_AT_PER_OWNER: usize = 6;

/// The calls that are looked at in one pick.
const LOOKED_AT_MAX: usize = 32;

type Place = (Timestamp, u64);

/// The service that a class or owner was given, divided by its weight, in microseconds.
type Pass = u64;

#[derive(Debug, Default)]
struct OwnerLane {
    pass: Pass,
    calls: BTreeMap<Place, QueuedCall>,
}

#[derive(Debug, Default)]
struct ClassLane {
    pass: Pass,
    last_owner_pass: Pass,
    waiting: usize,
    owners: HashMap<OwnerName, OwnerLane>,
    order: BTreeSet<(Pass, OwnerName)>,
}

impl ClassLane {
    fn push(&mut self, place: Place, call: QueuedCall) {
        let owner = call.owner.clone();
        let lane = self.owners.entry(owner.clone()).or_default();
        if lane.calls.is_empty() {
            // An owner that was idle gets no credit for that time.
            lane.pass = lane.pass.max(self.last_owner_pass);
            self.order.insert((lane.pass, owner));
        }
        lane.calls.insert(place, call);
        self.waiting += 1;
    }

    fn take(&mut self, owner: &OwnerName, place: &Place) -> Option<QueuedCall> {
        let lane = self.owners.get_mut(owner)?;
        let call = lane.calls.remove(place)?;
        self.waiting -= 1;
        if lane.calls.is_empty() {
            self.order.remove(&(lane.pass, owner.clone()));
            if lane.pass <= self.last_owner_pass {
                self.owners.remove(owner);
            }
        }
        Some(call)
    }

    fn charge(&mut self, owner: &OwnerName, service: Pass) {
        let Some(lane) = self.owners.get_mut(owner) else {
            return;
        };
        self.last_owner_pass = self.last_owner_pass.max(lane.pass);
        let listed = self.order.remove(&(lane.pass, owner.clone()));
        lane.pass += service;
        if listed {
            self.order.insert((lane.pass, owner.clone()));
        }
    }

    fn find<F>(&self, looked_at: &mut usize, accept: &mut F) -> Option<(OwnerName, Place)>
    where
        F: FnMut(&QueuedCall) -> bool,
    {
        for (_, owner) in &self.order {
            let calls = self.owners.get(owner).map(|lane| &lane.calls);
            for (place, call) in calls.into_iter().flatten().take(LOOKED_AT_PER_OWNER) {
                if *looked_at == LOOKED_AT_MAX {
                    return None;
                }
                *looked_at += 1;
                if accept(call) {
                    return Some((owner.clone(), *place));
                }
            }
        }
        None
    }
}

/// Holds the calls that wait for endpoints of one kind and target.
#[derive(Debug, Default)]
pub struct CallQueue {
    settings: QueueSettings,
    classes: BTreeMap<Class, ClassLane>,
    last_class_pass: Pass,
    tickets: HashMap<u64, (Class, OwnerName, Place)>,
}

impl CallQueue {
    /// Creates an empty queue.
    pub fn new(settings: QueueSettings) -> Self {
        Self { settings, ..Self::default() }
    }

    /// Adds a call.
    pub fn push(&mut self, call: QueuedCall) {
        let place = (urgency(&call, &self.settings), call.ticket);
        let class = self.lane_class(call.class);
        self.tickets.insert(call.ticket, (class, call.owner.clone(), place));
        let lane = self.classes.entry(class).or_default();
        if lane.waiting == 0 {
            lane.pass = lane.pass.max(self.last_class_pass);
        }
        lane.push(place, call);
    }

    fn lane_class(&self, class: Class) -> Class {
        match self.settings.first_come_first_served {
            true => Class::Standard,
            false => class,
        }
    }

    /// Removes a call that no longer waits.
    pub fn remove(&mut self, ticket: u64) -> Option<QueuedCall> {
        let (class, owner, place) = self.tickets.remove(&ticket)?;
        self.classes.get_mut(&class)?.take(&owner, &place)
    }

    /// Removes and returns the first call in order that `accept` takes.
    ///
    /// Only a bounded number of calls is looked at.
    pub fn pick<F>(&mut self, mut accept: F) -> Option<QueuedCall>
    where
        F: FnMut(&QueuedCall) -> bool,
    {
        let mut classes: Vec<(Pass, Class)> = self
            .classes
            .iter()
            .filter(|(_, lane)| lane.waiting > 0)
            .map(|(class, lane)| (lane.pass, *class))
            .collect();
        classes.sort_unstable();
        for (pass, class) in classes {
            let mut looked_at = 0;
            let lane = self.classes.get_mut(&class)?;
            let Some((owner, place)) = lane.find(&mut looked_at, &mut accept) else {
                continue;
            };
            let service = lane.owners.get(&owner)?.calls.get(&place)?.service;
            let service = (service.as_micros() as Pass).max(1);
            self.last_class_pass = self.last_class_pass.max(pass);
            lane.pass += service / Pass::from(class.weight());
            lane.charge(&owner, service);
            let call = lane.take(&owner, &place)?;
            self.tickets.remove(&call.ticket);
            return Some(call);
        }
        None
    }

    /// Returns how many calls wait.
    pub fn len(&self) -> usize {
        self.tickets.len()
    }

    /// Returns whether no call waits.
    pub fn is_empty(&self) -> bool {
        self.tickets.is_empty()
    }

    /// Returns how many calls of a class wait.
    pub fn waiting(&self, class: Class) -> usize {
        self.classes.get(&self.lane_class(class)).map_or(0, |lane| lane.waiting)
    }

    /// Returns the share of service that a class gets against the classes that wait now.
    pub fn share(&self, class: Class) -> f64 {
        let waits = |one: &Class| *one == class || self.waiting(*one) > 0;
        let total: u32 = Class::ALL.iter().copied().filter(waits).map(Class::weight).sum();
        f64::from(class.weight()) / f64::from(total)
    }
}
