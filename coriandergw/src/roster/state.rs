//! The endpoints and processes known to one core instance, with a number for each change.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use derive_more::Display;
use derive_more::Error;

use crate::clock::Timestamp;
use crate::crashes::Crash;
use crate::crashes::Incarnation;
use crate::crashes::table::CrashTable;
use crate::endpoint_limits::StatedLimit;
use crate::ids::EndpointName;
use crate::ids::InstanceName;
use crate::rendezvous::hash_of;
use crate::roster::EndpointKey;
use crate::roster::EndpointRecord;
use crate::roster::EndpointState;
use crate::roster::Presence;
use crate::roster::Relay;
use crate::roster::Role;
use crate::roster::config_lag::ConfigLag;
use crate::roster::config_lag::LagChange;
use crate::roster::departure::Departure;

/// The longest time that a poll waits for a change.
pub const POLL_WAIT: Duration = Duration::from_millis(200);

/// The longest time that a poll of an entry instance waits for a change. There are many of them, and
/// their failure is detected by heartbeats, not by their polls.
pub const ENTRY_POLL_WAIT: Duration = Duration::from_millis(500);

/// A process that has not polled for this long is considered silent. The limit covers one poll
/// wait, one retransmission of a lost packet and the delays of a slow machine. It is short because
/// callers keep sending to a frozen instance until it is removed, and requests that must not be
/// retried are lost there.
pub const PRESENCE_SILENCE_LIMIT: Duration = Duration::from_millis(600);

/// The same limit for an entry instance at a core instance that receives no heartbeats from it.
pub const ENTRY_SILENCE_LIMIT: Duration = Duration::from_millis(1_000);

/// An instance that has sent heartbeats to this core instance is considered silent after this time
/// without one: three heartbeat intervals and a small allowance for scheduling delay.
pub const PULSE_SILENCE_LIMIT: Duration = Duration::from_millis(220);

/// How long departed endpoints and instances are kept, so that their delayed messages are
/// recognised.
pub const GONE_RETENTION: Duration = Duration::from_secs(120);

/// The number of instances that each instance may relay connections to endpoints through.
const RELAYS: usize = 6;

/// The longest normal gap between two silence checks. A longer gap means that this process itself
/// was stalled, and that messages sent by others meanwhile are still unread.
const MAX_CHECK_GAP: Duration = Duration::from_millis(150);

/// The active configuration and the other settings that the control group has committed.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct ConfigState {
    /// The version of the configuration; 0 before the first configuration.
    pub config_version: u64,
    /// The configuration as the operator sent it.
    pub config: Bytes,
    /// The initial voters of the journal group; empty until they are committed.
    pub first_journal_voters: Vec<InstanceName>,
    /// The journal instances to be emptied, by the operator's name for the machine.
    pub retiring: Vec<Arc<str>>,
}

impl ConfigState {
    /// Returns whether this state differs from `known` and its configuration is not older.
    pub fn replaces(&self, known: &Self) -> bool {
        self.config_version >= known.config_version && self != known
    }
}

#[derive(Debug)]
struct Tracked<T> {
    value: T,
    /// The number of the last change.
    changed: u64,
    heard_at: Timestamp,
    /// Whether heartbeats are received between the polls.
    pulses: bool,
}

impl<T> Tracked<T> {
    fn new(value: T, changed: u64, now: Timestamp) -> Self {
        Self { value, changed, heard_at: now, pulses: false }
    }
}

/// A process as seen by one core instance.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ReportedPresence {
    /// The description that the process sent.
    pub presence: Presence,
    /// Whether the process polls or sends heartbeats within the silence limit.
    pub heard: bool,
}

/// A peer from which nothing was received within its silence limit.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum SilentPeer {
    /// An endpoint that stopped sending announcements.
    Endpoint(EndpointName),
    /// An instance that stopped polling or sending heartbeats.
    Instance(InstanceName),
}

/// A departure names an endpoint that no reachable core instance has heard of.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Display, Error)]
#[display("no reachable core instance has heard of endpoint {id}")]
pub struct UnknownEndpoint {
    /// The endpoint that the departure names.
    pub id: EndpointName,
}

/// Which processes are told of a change, which ends their waiting polls.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum ChangeScope {
    /// A change of an entry instance: sent to processes that answer address look-ups.
    EntryInstance,
    /// Any other change: sent to all processes.
    General,
}

/// Returns the longest time that a poll of a process of the given role waits for a change.
pub fn poll_wait(role: Role) -> Duration {
    match role {
        Role::Entry => ENTRY_POLL_WAIT,
        Role::Core | Role::Journal | Role::Directory => POLL_WAIT,
    }
}

/// What a polling process needs to know.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Audience {
    /// A process that answers address look-ups, and so needs all instances.
    AddressSource,
    /// Any other process, which needs no presences of entry instances.
    Other,
}

impl From<Role> for Audience {
    fn from(role: Role) -> Self {
        match role {
            Role::Core | Role::Directory => Self::AddressSource,
            Role::Entry | Role::Journal => Self::Other,
        }
    }
}

/// The numbers of the last changes that end waiting polls; 0 before the first one.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct LastChanges {
    general: u64,
    entry_instance: u64,
}

impl LastChanges {
    /// Returns the number of the last change that ends a poll of the given audience.
    pub fn relevant_to(&self, audience: Audience) -> u64 {
        match audience {
            Audience::AddressSource => self.general.max(self.entry_instance),
            Audience::Other => self.general,
        }
    }
}

/// The changes after a cursor.
#[derive(Debug, Default)]
pub struct Changes {
    /// The endpoints that changed.
    pub endpoints: Vec<EndpointRecord>,
    /// The processes that changed.
    pub instances: Vec<ReportedPresence>,
    /// The limits of endpoints that changed.
    pub limits: Vec<StatedLimit>,
    /// The crashes of endpoints that are new or of which more is known.
    pub crashes: Vec<Crash>,
    /// The departures of endpoints that the control group has committed.
    pub departures: Vec<Departure>,
}

/// The roster state of one core instance.
#[derive(Debug)]
pub struct RosterState {
    endpoint_silence: Duration,
    last_change: u64,
    last_changes: LastChanges,
    endpoints: BTreeMap<EndpointKey, Tracked<EndpointRecord>>,
    instances: BTreeMap<InstanceName, Tracked<ReportedPresence>>,
    limits: BTreeMap<EndpointName, Tracked<StatedLimit>>,
    /// The departures that the control group has committed.
    departures: BTreeMap<EndpointKey, Tracked<Departure>>,
    crashes: CrashTable,
    /// The number of the last change of each crash.
    crash_changes: BTreeMap<Incarnation, u64>,
    config_state: ConfigState,
    config_lag: ConfigLag,
    checked_at: Timestamp,
}

impl RosterState {
    /// Creates an empty state. An endpoint that sends no announcement for `endpoint_silence` is
    /// considered silent.
    pub fn new(endpoint_silence: Duration, now: Timestamp) -> Self {
        Self {
            endpoint_silence,
            last_change: 0,
            last_changes: LastChanges::default(),
            endpoints: BTreeMap::new(),
            instances: BTreeMap::new(),
            limits: BTreeMap::new(),
            departures: BTreeMap::new(),
            crashes: CrashTable::default(),
            crash_changes: BTreeMap::new(),
            config_state: ConfigState::default(),
            config_lag: ConfigLag::default(),
            checked_at: now,
        }
    }

    /// Returns the number of the last change; 0 before the first change.
    pub fn last_change(&self) -> u64 {
        self.last_change
    }

    /// Returns the numbers of the last changes that end waiting polls.
    pub fn last_changes(&self) -> LastChanges {
        self.last_changes
    }

    /// Numbers a change; returns the number.
    fn next_change(&mut self, scope: ChangeScope) -> u64 {
        self.last_change += 1;
        match scope {
            ChangeScope::EntryInstance => self.last_changes.entry_instance = self.last_change,
            ChangeScope::General => self.last_changes.general = self.last_change,
        }
        self.last_change
    }

    /// Returns how many entry instances are heard, ready and not leaving.
    pub fn entry_instances(&self) -> usize {
        let accepts = |reported: &ReportedPresence| {
            let presence = &reported.presence;
            reported.heard && presence.role == Role::Entry && presence.ready && !presence.leaving
        };
        self.instances.values().filter(|entry| accepts(&entry.value)).count()
    }

    /// Returns the number of the last change of an entry instance.
    pub fn last_entry_change(&self) -> u64 {
        self.last_changes.entry_instance
    }

    /// Returns the instances that relay connections to endpoints for the instance `asking`: by
    /// rendezvous hashing, half of them in its own data centre if there are that many.
    ///
    /// An instance that says that it has lost its own links to the endpoints is none.
    pub fn relays_for(&self, asking: &InstanceName) -> Vec<Relay> {
        let own = self.instances.get(asking).map(|entry| &entry.value.presence.data_centre);
        let heard = self.instances.values().filter(|entry| entry.value.heard);
        let presences = heard.map(|entry| &entry.value.presence);
        let can_relay = |presence: &&Presence| {
            presence.ready
                && !presence.leaving
                && !presence.lost_endpoints
                && presence.name != *asking
        };
        let mut ranked: Vec<Relay> = presences.filter(can_relay).filter_map(relay_of).collect();
        ranked.sort_by_cached_key(|relay| {
            std::cmp::Reverse(hash_of(asking.as_str(), relay.name.as_str()))
        });
        let (near, far): (Vec<Relay>, Vec<Relay>) =
            ranked.into_iter().partition(|relay| Some(&relay.data_centre) == own);
        let near_count = near.len().min((RELAYS - far.len().min(RELAYS)).max(RELAYS / 2));
        near.into_iter().take(near_count).chain(far).take(RELAYS).collect()
    }

    /// Returns whether any core instance other than `own` is heard.
    pub fn hears_other_cores(&self, own: &InstanceName) -> bool {
        let is_other = |reported: &ReportedPresence| {
            let presence = &reported.presence;
            reported.heard && presence.role == Role::Core && presence.name != *own
        };
        self.instances.values().any(|entry| is_other(&entry.value))
    }

    /// Returns the last applied state of the control group.
    pub fn config_state(&self) -> &ConfigState {
        &self.config_state
    }

    /// Applies the state of the control group; an older configuration does not replace a newer one.
    /// Returns whether anything changed.
    pub fn apply_config_state(&mut self, config_state: ConfigState, now: Timestamp) -> bool {
        let is_changed = config_state.replaces(&self.config_state);
        if is_changed {
            self.config_lag.note_published(config_state.config_version, now);
            self.config_state = config_state;
            self.next_change(ChangeScope::General);
        }
        is_changed
    }

    /// Notes the version of the configuration that an instance states; returns what is new about its
    /// lag behind the published one.
    pub fn note_config_held(
        &mut self,
        instance: &InstanceName,
        held: u64,
        now: Timestamp,
    ) -> Option<LagChange> {
        self.config_lag.note_held(instance, held, now)
    }

    /// Returns the number of instances that have not received the published configuration in time.
    pub fn instances_behind(&self) -> usize {
        self.config_lag.instances_behind()
    }

    /// Records an announcement; returns whether it changed more than the sequence number and the
    /// remaining warm-up time. The start or end of the warm-up counts as such a change.
    ///
    /// A record that is no newer than a committed departure of the endpoint is taken as that
    /// departure.
    pub fn announce(&mut self, mut record: EndpointRecord, now: Timestamp) -> bool {
        let key = record.key();
        if let Some(departure) = self.departures.get(&key) {
            departure.value.apply_to(&mut record);
        }
        let Some(entry) = self.endpoints.get_mut(&key) else {
            self.endpoints.insert(key.clone(), Tracked::new(record, 0, now));
            self.publish_endpoint(&key);
            return true;
        };
        // A repeated departure is ignored here, but acknowledged like the first one.
        if !record.supersedes(&entry.value) {
            return false;
        }
        let is_changed = !entry.value.is_equivalent(&record);
        entry.value = record;
        entry.heard_at = now;
        if is_changed {
            self.publish_endpoint(&key);
        }
        is_changed
    }

    fn publish_endpoint(&mut self, key: &EndpointKey) {
        let number = self.next_change(ChangeScope::General);
        if let Some(entry) = self.endpoints.get_mut(key) {
            entry.changed = number;
        }
    }

    fn publish_instance(&mut self, name: &InstanceName) {
        let Some(role) = self.instances.get(name).map(|entry| entry.value.presence.role) else {
            return;
        };
        let number = self.next_change(scope_of(role));
        if let Some(entry) = self.instances.get_mut(name) {
            entry.changed = number;
        }
    }

    /// Marks an endpoint as gone on a departure message that carries no full record; returns the records
    /// that are gone.
    ///
    /// `published` are the records that all core instances together publish of the endpoint, one for
    /// each service. The departure concerns the incarnation started at `started_ms`, or the latest
    /// known one of each service if the message does not state it.
    ///
    /// # Errors
    /// Fails if the endpoint is unknown, since there is nothing that the departure could be applied
    /// to.
    pub fn depart<P>(
        &mut self,
        id: &EndpointName,
        started_ms: Option<u64>,
        published: P,
        now: Timestamp,
    ) -> Result<Vec<EndpointRecord>, UnknownEndpoint>
    where
        P: IntoIterator<Item = EndpointRecord>,
    {
        let mut latest: BTreeMap<EndpointKey, EndpointRecord> = BTreeMap::new();
        let own = self.endpoints.values().map(|entry| &entry.value);
        let own: Vec<EndpointRecord> = own.filter(|record| record.id == *id).cloned().collect();
        for record in own.into_iter().chain(published) {
            let known = latest.entry(record.key()).or_insert_with(|| record.clone());
            if (record.started_ms, record.sequence) > (known.started_ms, known.sequence) {
                *known = record;
            }
        }
        if latest.is_empty() {
            return Err(UnknownEndpoint { id: id.clone() });
        }
        let concerned = latest.into_values().filter(|record| {
            // A departure of an earlier incarnation says nothing of the latest one.
            started_ms.is_none_or(|started| started >= record.started_ms)
        });
        let gone: Vec<EndpointRecord> = concerned
            .map(|record| EndpointRecord {
                state: EndpointState::Gone,
                started_ms: started_ms.unwrap_or(record.started_ms),
                ..record
            })
            .collect();
        for record in &gone {
            self.announce(record.clone(), now);
        }
        Ok(gone)
    }

    /// Records a departure that the control group has committed; returns whether it changed the record
    /// of a listed endpoint.
    pub fn note_departure(&mut self, departure: Departure, now: Timestamp) -> bool {
        let key = departure.endpoint.clone();
        let known = self.departures.get(&key);
        if known.is_some_and(|known| !departure.supersedes(&known.value)) {
            return false;
        }
        let is_changed = match self.endpoints.get_mut(&key) {
            Some(entry) => departure.apply_to(&mut entry.value),
            None => false,
        };
        if is_changed {
            self.publish_endpoint(&key);
        }
        let number = self.next_change(ChangeScope::General);
        self.departures.insert(key, Tracked::new(departure, number, now));
        is_changed
    }

    /// Returns the state of an endpoint; `None` if it is not listed.
    pub fn endpoint_state(&self, endpoint: &EndpointKey) -> Option<EndpointState> {
        self.endpoints.get(endpoint).map(|entry| entry.value.state)
    }

    /// Returns whether the control group has committed this departure, or a later one that covers
    /// what the endpoint announced meanwhile.
    pub fn has_committed(&self, departure: &Departure) -> bool {
        let Some(known) = self.departures.get(&departure.endpoint) else {
            return false;
        };
        let record = self.endpoints.get(&departure.endpoint).map(|entry| &entry.value);
        let is_ready_again = record.is_some_and(|record| {
            record.state == EndpointState::Ready && !known.value.covers(record)
        });
        known.value.started_ms >= departure.started_ms
            && known.value.state >= departure.state
            && !is_ready_again
    }

    /// Publishes the limit that an endpoint named, if it is newer than the one known. A limit that
    /// is named again is no change.
    pub fn publish_limit(&mut self, stated: &StatedLimit, now: Timestamp) {
        if let Some(entry) = self.limits.get_mut(&stated.endpoint) {
            if !stated.supersedes(&entry.value) {
                return;
            }
            entry.heard_at = now;
            let is_repeated =
                entry.value.started_ms == stated.started_ms && entry.value.limit == stated.limit;
            if is_repeated {
                entry.value = stated.clone();
                return;
            }
        }
        let number = self.next_change(ChangeScope::General);
        let entry = Tracked::new(stated.clone(), number, now);
        self.limits.insert(stated.endpoint.clone(), entry);
    }

    /// Publishes what is known of a crash; returns whether that is new.
    pub fn publish_crash(&mut self, crash: Crash, now: Timestamp) -> bool {
        let incarnation = crash.incarnation.clone();
        let is_changed = self.crashes.merge(crash, now);
        if is_changed {
            let number = self.next_change(ChangeScope::General);
            self.crash_changes.insert(incarnation, number);
        }
        is_changed
    }

    /// Returns the published crashes.
    pub fn crashes(&self) -> &CrashTable {
        &self.crashes
    }

    /// Marks a crash as reported by an entry instance.
    pub fn touch_crash(&mut self, incarnation: &Incarnation, now: Timestamp) {
        self.crashes.touch(incarnation, now);
    }

    /// Records a poll without a presence; returns the role of the process, or `None` if it is
    /// unknown or silent.
    pub fn note_alive(&mut self, name: &InstanceName, now: Timestamp) -> Option<Role> {
        let entry = self.instances.get_mut(name).filter(|entry| entry.value.heard)?;
        entry.heard_at = now;
        Some(entry.value.presence.role)
    }

    /// Records a heartbeat; returns whether it came from a known process that was silent before.
    pub fn note_pulse(&mut self, name: &InstanceName, now: Timestamp) -> bool {
        let Some(entry) = self.instances.get_mut(name) else {
            return false;
        };
        entry.heard_at = now;
        entry.pulses = true;
        let is_changed = !entry.value.heard;
        if is_changed {
            entry.value.heard = true;
            self.publish_instance(name);
        }
        is_changed
    }

    /// Records the presence of a process; returns whether the process is new or was silent before.
    pub fn note_presence(&mut self, presence: Presence, now: Timestamp) -> bool {
        let reported = ReportedPresence { presence, heard: true };
        let is_newly_heard = match self.instances.get_mut(&reported.presence.name) {
            Some(entry) if entry.value == reported => {
                entry.heard_at = now;
                return false;
            }
            Some(entry) => !entry.value.heard,
            None => true,
        };
        let number = self.next_change(scope_of(reported.presence.role));
        let pulses = self.instances.get(&reported.presence.name).is_some_and(|entry| entry.pulses);
        let entry = Tracked { pulses, ..Tracked::new(reported, number, now) };
        self.instances.insert(entry.value.presence.name.clone(), entry);
        is_newly_heard
    }

    /// Marks silent peers, and removes peers not heard within [`GONE_RETENTION`]; returns the newly
    /// silent ones.
    pub fn expire_silent(&mut self, now: Timestamp) -> Vec<SilentPeer> {
        let gap = now.since(self.checked_at);
        self.checked_at = now;
        if gap > MAX_CHECK_GAP {
            // Missing messages are no evidence of silence while this process was stalled.
            self.endpoints.values_mut().for_each(|entry| entry.heard_at = entry.heard_at + gap);
            self.instances.values_mut().for_each(|entry| entry.heard_at = entry.heard_at + gap);
        }
        let mut silent = Vec::new();
        let mut silent_endpoints = Vec::new();
        for (key, entry) in &mut self.endpoints {
            let is_overdue = now.since(entry.heard_at) > self.endpoint_silence;
            if is_overdue && entry.value.state < EndpointState::Silent {
                entry.value.state = EndpointState::Silent;
                silent.push(SilentPeer::Endpoint(key.id.clone()));
                silent_endpoints.push(key.clone());
            }
        }
        for entry in self.instances.values_mut() {
            let limit = match entry.value.presence.role {
                _ if entry.pulses => PULSE_SILENCE_LIMIT,
                Role::Entry => ENTRY_SILENCE_LIMIT,
                Role::Core | Role::Journal | Role::Directory => PRESENCE_SILENCE_LIMIT,
            };
            if entry.value.heard && now.since(entry.heard_at) > limit {
                entry.value.heard = false;
                // If this core instance is no longer a watcher, only polls count from now on.
                entry.pulses = false;
                silent.push(SilentPeer::Instance(entry.value.presence.name.clone()));
            }
        }
        for key in &silent_endpoints {
            self.publish_endpoint(key);
        }
        for peer in &silent {
            if let SilentPeer::Instance(name) = peer {
                self.publish_instance(name);
            }
        }
        self.endpoints.retain(|_, entry| now.since(entry.heard_at) < GONE_RETENTION);
        self.instances.retain(|_, entry| now.since(entry.heard_at) < GONE_RETENTION);
        let instances = &self.instances;
        self.config_lag.retain(|name| instances.get(name).is_some_and(|entry| entry.value.heard));
        self.limits.retain(|_, entry| now.since(entry.heard_at) < GONE_RETENTION);
        self.departures.retain(|_, entry| now.since(entry.heard_at) < GONE_RETENTION);
        self.crashes.expire(now);
        let crashes = &self.crashes;
        self.crash_changes.retain(|incarnation, _| crashes.has_crashed(incarnation));
        silent
    }

    /// Returns the endpoints and the processes that changed after change number `cursor`, as far as
    /// the audience needs them.
    pub fn changes_after(&self, cursor: u64, audience: Audience) -> Changes {
        let is_needed = |reported: &ReportedPresence| {
            audience == Audience::AddressSource || reported.presence.role != Role::Entry
        };
        let endpoints = self.endpoints.values().filter(|entry| entry.changed > cursor);
        let instances = self.instances.values().filter(|entry| entry.changed > cursor);
        let instances = instances.filter(|entry| is_needed(&entry.value));
        let limits = self.limits.values().filter(|entry| entry.changed > cursor);
        let departures = self.departures.values().filter(|entry| entry.changed > cursor);
        let is_later = |crash: &&Crash| {
            self.crash_changes.get(&crash.incarnation).is_some_and(|changed| *changed > cursor)
        };
        Changes {
            endpoints: endpoints.map(|entry| entry.value.clone()).collect(),
            instances: instances.map(|entry| entry.value.clone()).collect(),
            limits: limits.map(|entry| entry.value.clone()).collect(),
            departures: departures.map(|entry| entry.value.clone()).collect(),
            crashes: self.crashes.crashes().filter(is_later).cloned().collect(),
        }
    }
}

fn relay_of(presence: &Presence) -> Option<Relay> {
    let (name, data_centre) = (presence.name.clone(), presence.data_centre.clone());
    Some(Relay { name, address: presence.relay_address?, data_centre })
}

fn scope_of(role: Role) -> ChangeScope {
    match role {
        Role::Entry => ChangeScope::EntryInstance,
        Role::Core | Role::Journal | Role::Directory => ChangeScope::General,
    }
}
