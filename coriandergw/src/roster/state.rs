//! What one core instance has heard, with a number for each change.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;

use crate::clock::Timestamp;
use crate::ids::EndpointName;
use crate::ids::InstanceName;
use crate::roster::EndpointRecord;
use crate::roster::EndpointState;
use crate::roster::Presence;

/// How long a poll may wait for a change.
pub const POLL_WAIT: Duration = Duration::from_millis(200);

/// A process that has not polled for this long is not heard: one wait, one repetition of a lost
/// packet and a slow machine. Callers keep sending to a frozen instance until it is left out, and
/// what must not be repeated is lost there, so this is short.
pub const PRESENCE_SILENCE_LIMIT: Duration = Duration::from_millis(600);

/// An instance that sent signs of life to this core instance and stopped is not heard after this:
/// four signs and a little scheduling delay.
pub const PULSE_SILENCE_LIMIT: Duration = Duration::from_millis(220);

/// How long departed endpoints and instances are remembered, so that late messages of theirs are
/// recognised.
pub const GONE_RETENTION: Duration = Duration::from_secs(120);

/// An unchanged announcement is published again after this time with its latest sequence, so that
/// two core instances that heard it agree on who heard it last.
const REPEAT_AFTER: Duration = Duration::from_secs(3);

/// Between two looks for silence; a longer gap means that this process itself stood still, and what
/// others sent meanwhile is still to be read.
const OWN_STALL: Duration = Duration::from_millis(150);

/// The configuration in force and what else the control group fixed.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct ConfigState {
    /// The version of the configuration; 0 before the first one.
    pub config_version: u64,
    /// The configuration as the operator sent it.
    pub config: Bytes,
    /// The first voters of the journal group; empty until they are fixed.
    pub first_journal_voters: Vec<InstanceName>,
    /// Journal instances to be emptied, by the operator's name for the machine.
    pub retiring: Vec<Arc<str>>,
}

#[derive(Debug)]
struct Entry<T> {
    value: T,
    /// The number of the last change.
    changed: u64,
    heard_at: Timestamp,
    told_at: Timestamp,
    /// Whether signs of life come between the polls.
    pulses: bool,
}

impl<T> Entry<T> {
    fn new(value: T, changed: u64, now: Timestamp) -> Self {
        Self { value, changed, heard_at: now, told_at: now, pulses: false }
    }
}

/// A process as one core instance hears it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ReportedPresence {
    /// What it said of itself.
    pub presence: Presence,
    /// Whether it is heard.
    pub heard: bool,
}

/// Who fell silent.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum SilentPeer {
    /// An endpoint.
    Endpoint(EndpointName),
    /// An instance.
    Instance(InstanceName),
}

/// What changed after a cursor.
#[derive(Debug, Default)]
pub struct Changes {
    /// The endpoints that changed.
    pub endpoints: Vec<EndpointRecord>,
    /// The processes that changed.
    pub instances: Vec<ReportedPresence>,
}

/// Keeps what was heard.
#[derive(Debug)]
pub struct RosterState {
    endpoint_silence: Duration,
    last_change: u64,
    endpoints: BTreeMap<EndpointName, Entry<EndpointRecord>>,
    instances: BTreeMap<InstanceName, Entry<ReportedPresence>>,
    fixed: ConfigState,
    looked_at: Timestamp,
}

impl RosterState {
    /// Creates an empty roster state; an endpoint that says nothing for `endpoint_silence` is silent.
    pub fn new(endpoint_silence: Duration, now: Timestamp) -> Self {
        Self {
            endpoint_silence,
            last_change: 0,
            endpoints: BTreeMap::new(),
            instances: BTreeMap::new(),
            fixed: ConfigState::default(),
            looked_at: now,
        }
    }

    /// Returns the number of the last change.
    pub fn last_change(&self) -> u64 {
        self.last_change
    }

    /// Returns what the control group fixed.
    pub fn config_state(&self) -> &ConfigState {
        &self.fixed
    }

    /// Applies the state of the control group; an older configuration does not replace a newer one.
    /// Returns whether anything changed.
    pub fn apply_config_state(&mut self, fixed: ConfigState) -> bool {
        let is_news = fixed.config_version >= self.fixed.config_version && fixed != self.fixed;
        if is_news {
            self.fixed = fixed;
            self.last_change += 1;
        }
        is_news
    }

    /// Records an announcement; returns whether anything but its sequence changed.
    pub fn announce(&mut self, record: EndpointRecord, now: Timestamp) -> bool {
        let Some(entry) = self.endpoints.get_mut(&record.id) else {
            self.last_change += 1;
            let entry = Entry::new(record, self.last_change, now);
            self.endpoints.insert(entry.value.id.clone(), entry);
            return true;
        };
        // A repeated departure is acknowledged like the first.
        if !record.supersedes(&entry.value) {
            return false;
        }
        let is_news = !says_the_same(&entry.value, &record);
        let is_due = now.since(entry.told_at) >= REPEAT_AFTER;
        entry.value = record;
        entry.heard_at = now;
        if is_news || is_due {
            self.last_change += 1;
            entry.changed = self.last_change;
            entry.told_at = now;
        }
        is_news
    }

    /// Marks an endpoint as gone that said so without anything else; returns whether it was known.
    pub fn depart(&mut self, id: &EndpointName, started_ms: Option<u64>, now: Timestamp) -> bool {
        let Some(entry) = self.endpoints.get(id) else {
            return false;
        };
        let is_older = started_ms.is_some_and(|started| started < entry.value.started_ms);
        if is_older {
            return true;
        }
        let started_ms = started_ms.unwrap_or(entry.value.started_ms);
        let state = EndpointState::Gone;
        let record = EndpointRecord { state, started_ms, ..entry.value.clone() };
        self.announce(record, now);
        true
    }

    /// Records a poll without a description; returns whether the process is known and alive.
    pub fn note_alive(&mut self, name: &InstanceName, now: Timestamp) -> bool {
        let entry = self.instances.get_mut(name).filter(|entry| entry.value.heard);
        entry.map(|entry| entry.heard_at = now).is_some()
    }

    /// Records a sign of life; returns whether the process was silent before.
    pub fn note_pulse(&mut self, name: &InstanceName, now: Timestamp) -> bool {
        let Some(entry) = self.instances.get_mut(name) else {
            return false;
        };
        entry.heard_at = now;
        entry.pulses = true;
        let is_news = !entry.value.heard;
        if is_news {
            entry.value.heard = true;
            self.last_change += 1;
            entry.changed = self.last_change;
        }
        is_news
    }

    /// Records a process's description of itself; returns whether it is new or alive again.
    pub fn note_presence(&mut self, presence: Presence, now: Timestamp) -> bool {
        let heard = ReportedPresence { presence, heard: true };
        let is_news = match self.instances.get_mut(&heard.presence.name) {
            Some(entry) if entry.value == heard => {
                entry.heard_at = now;
                return false;
            }
            Some(entry) => !entry.value.heard,
            None => true,
        };
        self.last_change += 1;
        let pulses = self.instances.get(&heard.presence.name).is_some_and(|entry| entry.pulses);
        let entry = Entry { pulses, ..Entry::new(heard, self.last_change, now) };
        self.instances.insert(entry.value.presence.name.clone(), entry);
        is_news
    }

    /// Finds who fell silent and forgets what is long over; returns who fell silent.
    pub fn expire_silent(&mut self, now: Timestamp) -> Vec<SilentPeer> {
        let gap = now.since(self.looked_at);
        self.looked_at = now;
        if gap > OWN_STALL {
            // What did not arrive while this process stood still proves nothing.
            self.endpoints.values_mut().for_each(|entry| entry.heard_at = entry.heard_at + gap);
            self.instances.values_mut().for_each(|entry| entry.heard_at = entry.heard_at + gap);
        }
        let mut silent = Vec::new();
        for entry in self.endpoints.values_mut() {
            let is_over = now.since(entry.heard_at) > self.endpoint_silence;
            if is_over && entry.value.state < EndpointState::Silent {
                entry.value.state = EndpointState::Silent;
                self.last_change += 1;
                entry.changed = self.last_change;
                silent.push(SilentPeer::Endpoint(entry.value.id.clone()));
            }
        }
        for entry in self.instances.values_mut() {
            let limit = if entry.pulses { PULSE_SILENCE_LIMIT } else { PRESENCE_SILENCE_LIMIT };
            if entry.value.heard && now.since(entry.heard_at) > limit {
                entry.value.heard = false;
                // A core instance that is no watcher any more goes by the polls.
                entry.pulses = false;
                self.last_change += 1;
                entry.changed = self.last_change;
                silent.push(SilentPeer::Instance(entry.value.presence.name.clone()));
            }
        }
        self.endpoints.retain(|_, entry| now.since(entry.heard_at) < GONE_RETENTION);
        self.instances.retain(|_, entry| now.since(entry.heard_at) < GONE_RETENTION);
        silent
    }

    /// Returns what changed after the change numbered `cursor`.
    pub fn changes_after(&self, cursor: u64) -> Changes {
        let endpoints = self.endpoints.values().filter(|entry| entry.changed > cursor);
        let instances = self.instances.values().filter(|entry| entry.changed > cursor);
        Changes {
            endpoints: endpoints.map(|entry| entry.value.clone()).collect(),
            instances: instances.map(|entry| entry.value.clone()).collect(),
        }
    }
}

/// Returns whether two records of an endpoint differ in nothing but their count.
fn says_the_same(old: &EndpointRecord, new: &EndpointRecord) -> bool {
    let cold_changed = (old.cold_ms == 0) != (new.cold_ms == 0);
    let comparable = EndpointRecord { sequence: old.sequence, cold_ms: old.cold_ms, ..new.clone() };
    comparable == *old && !cold_changed
}
