//! Stride scheduling of calls: classes share service by weight, and the owners of a class share it
//! evenly.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::collections::HashMap;

use crate::catalogue::Class;
use crate::clock::Timestamp;
use crate::ids::OwnerName;
use crate::queueing::QueueSettings;
use crate::queueing::QueuedCall;
use crate::queueing::urgency;

/// The maximum number of calls of one owner that one pick examines.
const EXAMINED_PER_OWNER_MAX: usize = 6;

/// The maximum number of calls of one class that one pick examines.
const EXAMINED_MAX: usize = 32;

/// The position of a call in its owner's queue: its urgency, then its ticket.
type Position = (Timestamp, u64);

/// The service that a class or owner has received, divided by its weight, in microseconds.
///
/// The class or owner with the lowest pass is served next.
type Pass = u64;

#[derive(Debug, Default)]
struct OwnerQueue {
    pass: Pass,
    calls: BTreeMap<Position, QueuedCall>,
}

#[derive(Debug, Default)]
struct ClassQueue {
    pass: Pass,
    current_owner_pass: Pass,
    waiting: usize,
    owners: HashMap<OwnerName, OwnerQueue>,
    owners_by_pass: BTreeSet<(Pass, OwnerName)>,
}

impl ClassQueue {
    fn push(&mut self, position: Position, call: QueuedCall) {
        let owner = call.owner.clone();
        let queue = self.owners.entry(owner.clone()).or_default();
        if queue.calls.is_empty() {
            // An owner gets no credit for the time that it was idle.
            queue.pass = queue.pass.max(self.current_owner_pass);
            self.owners_by_pass.insert((queue.pass, owner));
        }
        queue.calls.insert(position, call);
        self.waiting += 1;
    }

    fn take(&mut self, owner: &OwnerName, position: &Position) -> Option<QueuedCall> {
        let queue = self.owners.get_mut(owner)?;
        let call = queue.calls.remove(position)?;
        self.waiting -= 1;
        if queue.calls.is_empty() {
            self.owners_by_pass.remove(&(queue.pass, owner.clone()));
            if queue.pass <= self.current_owner_pass {
                self.owners.remove(owner);
            }
        }
        Some(call)
    }

    fn charge(&mut self, owner: &OwnerName, service: Pass) {
        let Some(queue) = self.owners.get_mut(owner) else {
            return;
        };
        self.current_owner_pass = self.current_owner_pass.max(queue.pass);
        let is_waiting = self.owners_by_pass.remove(&(queue.pass, owner.clone()));
        queue.pass += service;
        if is_waiting {
            self.owners_by_pass.insert((queue.pass, owner.clone()));
        }
    }

    fn find<F>(&self, examined: &mut usize, accept: &mut F) -> Option<(OwnerName, Position)>
    where
        F: FnMut(&QueuedCall) -> bool,
    {
        for (_, owner) in &self.owners_by_pass {
            let calls = self.owners.get(owner).map(|queue| &queue.calls);
            for (position, call) in calls.into_iter().flatten().take(EXAMINED_PER_OWNER_MAX) {
                if *examined == EXAMINED_MAX {
                    return None;
                }
                *examined += 1;
                if accept(call) {
                    return Some((owner.clone(), *position));
                }
            }
        }
        None
    }
}

/// The calls that wait for endpoints of one kind and target.
#[derive(Debug, Default)]
pub struct CallQueue {
    settings: QueueSettings,
    classes: BTreeMap<Class, ClassQueue>,
    current_class_pass: Pass,
    tickets: HashMap<u64, (Class, OwnerName, Position)>,
}

impl CallQueue {
    /// Creates an empty queue.
    pub fn new(settings: QueueSettings) -> Self {
        Self { settings, ..Self::default() }
    }

    /// Adds a call at the position given by its urgency.
    pub fn push(&mut self, call: QueuedCall) {
        let position = (urgency(&call, &self.settings), call.ticket);
        let class = self.effective_class(call.class);
        self.tickets.insert(call.ticket, (class, call.owner.clone(), position));
        let queue = self.classes.entry(class).or_default();
        if queue.waiting == 0 {
            queue.pass = queue.pass.max(self.current_class_pass);
        }
        queue.push(position, call);
    }

    fn effective_class(&self, class: Class) -> Class {
        match self.settings.first_come_first_served {
            true => Class::Standard,
            false => class,
        }
    }

    /// Removes a call that no longer waits, for example because its caller gave up.
    pub fn remove(&mut self, ticket: u64) -> Option<QueuedCall> {
        let (class, owner, position) = self.tickets.remove(&ticket)?;
        self.classes.get_mut(&class)?.take(&owner, &position)
    }

    /// Removes and returns the first call in order that `accept` returns true for.
    ///
    /// Only a bounded number of calls is examined.
    pub fn pick<F>(&mut self, mut accept: F) -> Option<QueuedCall>
    where
        F: FnMut(&QueuedCall) -> bool,
    {
        let mut classes: Vec<(Pass, Class)> = self
            .classes
            .iter()
            .filter(|(_, queue)| queue.waiting > 0)
            .map(|(class, queue)| (queue.pass, *class))
            .collect();
        classes.sort_unstable();
        for (pass, class) in classes {
            let mut examined = 0;
            let queue = self.classes.get_mut(&class)?;
            let Some((owner, position)) = queue.find(&mut examined, &mut accept) else {
                continue;
            };
            let service = queue.owners.get(&owner)?.calls.get(&position)?.service;
            let service = (service.as_micros() as Pass).max(1);
            self.current_class_pass = self.current_class_pass.max(pass);
            queue.pass += service / Pass::from(class.weight());
            queue.charge(&owner, service);
            let call = queue.take(&owner, &position)?;
            self.tickets.remove(&call.ticket);
            return Some(call);
        }
        None
    }

    /// Returns the number of waiting calls.
    pub fn len(&self) -> usize {
        self.tickets.len()
    }

    /// Returns whether no calls wait.
    pub fn is_empty(&self) -> bool {
        self.tickets.is_empty()
    }

    /// Returns the number of waiting calls of a class.
    pub fn waiting(&self, class: Class) -> usize {
        self.classes.get(&self.effective_class(class)).map_or(0, |queue| queue.waiting)
    }

    /// Returns the share of service, from 0 to 1, that a class gets among the classes with waiting
    /// calls.
    pub fn share(&self, class: Class) -> f64 {
        let waits = |one: &Class| *one == class || self.waiting(*one) > 0;
        let total: u32 = Class::ALL.iter().copied().filter(waits).map(Class::weight).sum();
        f64::from(class.weight()) / f64::from(total)
    }
}
