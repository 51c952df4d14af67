//! The view of the roster that a process merges from the responses of the core instances.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;

use crate::clock::Timestamp;
use crate::crashes::Crash;
use crate::crashes::table::CrashTable;
use crate::endpoint_limits::StatedLimit;
use crate::ids::DataCentre;
use crate::ids::EndpointName;
use crate::ids::InstanceName;
use crate::rendezvous::hash_of;
use crate::roster::EndpointKey;
use crate::roster::EndpointRecord;
use crate::roster::EndpointState;
use crate::roster::Presence;
use crate::roster::Relay;
use crate::roster::Role;
use crate::roster::departure::Departure;
use crate::roster::state::GONE_RETENTION;
use crate::roster::state::POLL_WAIT;
use crate::roster::state::ReportedPresence;
use crate::transport::tcp::address_of;

/// A core instance that has not answered a poll for this long is considered unreachable.
pub const CORE_SILENCE_LIMIT: Duration = Duration::from_millis(2_000);

/// A voter of the control group that has not answered a poll for the longest wait of a poll and this
/// time does not count towards the quorum that an instance reaches. It covers two retransmissions
/// of a lost packet.
pub const QUORUM_SILENCE_MARGIN: Duration = Duration::from_millis(400);

/// How long a watcher's last report of an instance is valid. Core instances answer polls more often
/// than this, so a watcher that has not answered for longer has failed itself or is unreachable.
pub const WATCHER_SILENCE_LIMIT: Duration =
    Duration::from_millis(POLL_WAIT.as_millis() as u64 + 130);

/// How long an endpoint is kept without confirmation after the core instance that reported it was
/// lost. Endpoints repeat their announcement well within this time.
pub const CONFIRMATION_LIMIT: Duration = Duration::from_millis(5_000);

/// The parsed response of a core instance to a poll.
#[derive(Debug, Clone, Default)]
pub struct PollAnswer {
    /// The start of the core instance's process, which identifies the process that the cursor
    /// belongs to.
    pub core_start: u64,
    /// The number of the core instance's last change.
    pub cursor: u64,
    /// The endpoints that changed since the last poll.
    pub endpoints: Vec<EndpointRecord>,
    /// The processes that changed since the last poll.
    pub instances: Vec<ReportedPresence>,
    /// The version of the configuration that the core instance publishes.
    pub config_version: u64,
    /// The configuration, if it is newer than the version given in the poll; only core instances of an
    /// earlier build send it.
    pub config: Option<Bytes>,
    /// The initial voters of the journal group; empty until they are committed.
    pub first_journal_voters: Vec<InstanceName>,
    /// The journal instances to be emptied, by the operator's name for the machine.
    pub retiring: Vec<Arc<str>>,
    /// Whether a directory instance answered, which only names the core instances.
    pub is_directory: bool,
    /// How many entry instances accept callers' requests, as the core instance hears it.
    pub entry_instances: usize,
    /// The limits of endpoints that changed since the last poll.
    pub limits: Vec<StatedLimit>,
    /// The crashes of endpoints that are new or of which more is known.
    pub crashes: Vec<Crash>,
    /// The departures of endpoints that the control group has committed.
    pub departures: Vec<Departure>,
    /// The instances that relay connections to endpoints for this one, unless `relays_as_of` is the
    /// number given in the poll.
    pub relays: Vec<Relay>,
    /// The number of the change that the relays were chosen by.
    pub relays_as_of: u64,
}

#[derive(Debug, Default)]
struct CoreView {
    start: u64,
    cursor: u64,
    answered_at: Timestamp,
    config_version: u64,
    is_directory: bool,
    entry_instances: usize,
    instances: BTreeMap<InstanceName, ReportedPresence>,
    relays: Vec<Relay>,
    relays_as_of: u64,
}

#[derive(Debug)]
struct KnownEndpoint {
    record: EndpointRecord,
    /// The core instances that have heard the endpoint and not reported its silence. Each receives
    /// its announcements or did so once.
    reporters: BTreeSet<SocketAddr>,
    updated_at: Timestamp,
    unconfirmed_since: Option<Timestamp>,
}

/// The latest start of an endpoint, by its name and by its address.
#[derive(Debug, Default)]
struct LastStarts {
    by_id: HashMap<EndpointName, u64>,
    by_address: HashMap<SocketAddr, u64>,
}

impl LastStarts {
    fn note(&mut self, record: &EndpointRecord) {
        let EndpointRecord { id, address, started_ms, .. } = record;
        let of_id = self.by_id.entry(id.clone()).or_default();
        *of_id = (*of_id).max(*started_ms);
        let of_address = self.by_address.entry(*address).or_default();
        *of_address = (*of_address).max(*started_ms);
    }

    fn is_last(&self, record: &EndpointRecord) -> bool {
        self.by_id.get(&record.id) == Some(&record.started_ms)
            && self.by_address.get(&record.address) == Some(&record.started_ms)
    }

    fn has_claim(&self, record: &EndpointRecord) -> bool {
        self.by_id.contains_key(&record.id) || self.by_address.contains_key(&record.address)
    }
}

/// The merged responses of all core instances.
#[derive(Debug)]
pub struct RosterView {
    /// How long a voter of the control group may be silent and count as reached.
    quorum_silence: Duration,
    cores: BTreeMap<SocketAddr, CoreView>,
    endpoints: BTreeMap<EndpointKey, KnownEndpoint>,
    limits: BTreeMap<EndpointName, StatedLimit>,
    /// The committed departures, each with the time at which it became known.
    departures: BTreeMap<EndpointKey, (Departure, Timestamp)>,
    crashes: CrashTable,
    config_version: u64,
    config: Bytes,
    first_journal_voters: Vec<InstanceName>,
    retiring: Vec<Arc<str>>,
}

impl RosterView {
    /// Creates an empty view of a process whose polls wait for changes for at most `poll_wait`.
    pub fn new(poll_wait: Duration) -> Self {
        Self {
            quorum_silence: poll_wait + QUORUM_SILENCE_MARGIN,
            cores: BTreeMap::new(),
            endpoints: BTreeMap::new(),
            limits: BTreeMap::new(),
            departures: BTreeMap::new(),
            crashes: CrashTable::default(),
            config_version: 0,
            config: Bytes::new(),
            first_journal_voters: Vec::new(),
            retiring: Vec::new(),
        }
    }

    /// Returns the process start, the cursor and the number of the relays to send in the next poll of
    /// a core instance; all are 0 before its first response.
    pub fn position(&self, core: SocketAddr) -> (u64, u64, u64) {
        let position = |view: &CoreView| (view.start, view.cursor, view.relays_as_of);
        self.cores.get(&core).map(position).unwrap_or_default()
    }

    /// Merges a response of the core instance at `core`; returns whether it carried any change.
    pub fn merge(&mut self, core: SocketAddr, answer: PollAnswer, now: Timestamp) -> bool {
        let mut is_changed = !answer.instances.is_empty()
            || answer.config_version > self.config_named().max(self.config_version)
            || (!answer.first_journal_voters.is_empty() && self.first_journal_voters.is_empty())
            || answer.retiring.len() > self.retiring.len();
        let view = self.cores.entry(core).or_default();
        if view.start != answer.core_start {
            *view = CoreView { start: answer.core_start, ..CoreView::default() };
            self.forget_reporter(core, now);
        }
        let view = self.cores.entry(core).or_default();
        view.cursor = answer.cursor;
        view.answered_at = now;
        view.config_version = answer.config_version;
        view.is_directory = answer.is_directory;
        view.entry_instances = answer.entry_instances;
        if view.relays_as_of != answer.relays_as_of {
            view.relays = answer.relays;
            view.relays_as_of = answer.relays_as_of;
        }
        for reported in answer.instances {
            view.instances.insert(reported.presence.name.clone(), reported);
        }
        for departure in answer.departures {
            is_changed |= self.merge_departure(departure, now);
        }
        for record in answer.endpoints {
            is_changed |= self.merge_endpoint(core, record, now);
        }
        for stated in answer.limits {
            is_changed |= self.merge_limit(stated);
        }
        for crash in answer.crashes {
            is_changed |= self.crashes.merge(crash, now);
        }
        if let Some(config) = answer.config {
            self.receive_config(answer.config_version, config);
        }
        if !answer.first_journal_voters.is_empty() {
            self.first_journal_voters = answer.first_journal_voters;
        }
        // The list only grows; a partitioned core instance may send an older, shorter one.
        if answer.retiring.len() > self.retiring.len() {
            self.retiring = answer.retiring;
        }
        is_changed
    }

    /// Stores a configuration; returns whether it is newer than the one before.
    pub fn receive_config(&mut self, version: u64, config: Bytes) -> bool {
        let is_newer = version > self.config_version;
        if is_newer {
            self.config_version = version;
            self.config = config;
        }
        is_newer
    }

    /// Merges a record; returns whether it changed more than the sequence number and the remaining
    /// warm-up time.
    fn merge_endpoint(
        &mut self,
        core: SocketAddr,
        mut record: EndpointRecord,
        now: Timestamp,
    ) -> bool {
        // A core instance that has not caught up with the control group may list it as ready.
        let key = record.key();
        if let Some((departure, _)) = self.departures.get(&key) {
            departure.apply_to(&mut record);
        }
        let Some(known) = self.endpoints.get_mut(&key) else {
            let reporters = BTreeSet::from([core]);
            let known =
                KnownEndpoint { reporters, updated_at: now, unconfirmed_since: None, record };
            self.endpoints.insert(key, known);
            return true;
        };
        let is_same_incarnation = record.started_ms == known.record.started_ms;
        if is_same_incarnation && record.state == EndpointState::Silent {
            // An endpoint is silent once every core instance that heard it says so: it may announce
            // itself to another one, and a delayed announcement may have reached one of them.
            known.reporters.remove(&core);
            if !known.reporters.is_empty() {
                return false;
            }
        }
        let is_repeated = is_same_incarnation && record.is_equivalent(&known.record);
        if !is_repeated && !record.supersedes(&known.record) {
            return false;
        }
        if !is_repeated {
            known.reporters.clear();
        }
        known.reporters.insert(core);
        known.unconfirmed_since = None;
        if !is_repeated || record.sequence > known.record.sequence {
            known.record = record;
            known.updated_at = now;
        }
        !is_repeated
    }

    /// Merges a committed departure; returns whether it changed the record of the endpoint.
    fn merge_departure(&mut self, departure: Departure, now: Timestamp) -> bool {
        let known = self.departures.get(&departure.endpoint);
        if known.is_some_and(|(known, _)| !departure.supersedes(known)) {
            return false;
        }
        let is_changed = match self.endpoints.get_mut(&departure.endpoint) {
            Some(known) => departure.apply_to(&mut known.record),
            None => false,
        };
        self.departures.insert(departure.endpoint.clone(), (departure, now));
        is_changed
    }

    fn merge_limit(&mut self, stated: StatedLimit) -> bool {
        let known = self.limits.get(&stated.endpoint);
        let is_newer = known.is_none_or(|known| stated.supersedes(known));
        if is_newer {
            self.limits.insert(stated.endpoint.clone(), stated);
        }
        is_newer
    }

    /// Returns the software versions of all listed endpoints of a service, also of those that have
    /// departed lately.
    pub fn versions(&self, service: &str) -> BTreeSet<Arc<str>> {
        let of_service = self.records().filter(|record| &*record.service == service);
        of_service.map(|record| record.version.clone()).collect()
    }

    /// Returns the limits that endpoints named to any instance, as last published.
    pub fn limits(&self) -> impl Iterator<Item = &StatedLimit> {
        self.limits.values()
    }

    /// Returns the crashes of endpoints, as published and as this process observed them.
    pub fn crashes(&self) -> &CrashTable {
        &self.crashes
    }

    /// Returns the crashes of endpoints, to add what this process observes.
    pub fn crashes_mut(&mut self) -> &mut CrashTable {
        &mut self.crashes
    }

    /// Removes a core instance that restarted from the reporters of all endpoints.
    fn forget_reporter(&mut self, core: SocketAddr, now: Timestamp) {
        for known in self.endpoints.values_mut() {
            if known.reporters.remove(&core) && known.reporters.is_empty() {
                known.unconfirmed_since.get_or_insert(now);
            }
        }
    }

    /// Removes endpoints that no core instance confirms any more, and departed or silent ones after
    /// [`GONE_RETENTION`]; returns the removed endpoints that were neither silent nor gone.
    pub fn expire(&mut self, now: Timestamp) -> Vec<EndpointName> {
        self.crashes.expire(now);
        self.departures.retain(|_, (_, known_at)| now.since(*known_at) < GONE_RETENTION);
        let reachable: Vec<SocketAddr> = self.reachable_cores(now).collect();
        if reachable.is_empty() {
            // Without any reachable core instance, the last known state is kept.
            return Vec::new();
        }
        let mut dropped = Vec::new();
        self.endpoints.retain(|key, known| {
            match reachable.iter().any(|core| known.reporters.contains(core)) {
                true => known.unconfirmed_since = None,
                false => {
                    known.unconfirmed_since.get_or_insert(now);
                }
            }
            let is_lost =
                known.unconfirmed_since.is_some_and(|since| now.since(since) > CONFIRMATION_LIMIT);
            let is_expired = known.record.state >= EndpointState::Silent
                && now.since(known.updated_at) > GONE_RETENTION;
            if is_lost && known.record.state < EndpointState::Silent {
                dropped.push(key.id.clone());
            }
            !is_lost && !is_expired
        });
        let listed: BTreeSet<&EndpointName> = self.endpoints.keys().map(|key| &key.id).collect();
        self.limits.retain(|id, _| listed.contains(id));
        dropped
    }

    fn reachable_cores(&self, now: Timestamp) -> impl Iterator<Item = SocketAddr> {
        let is_reachable = move |view: &CoreView| {
            !view.is_directory && now.since(view.answered_at) < CORE_SILENCE_LIMIT
        };
        self.cores.iter().filter(move |(_, view)| is_reachable(view)).map(|(core, _)| *core)
    }

    /// Returns the endpoints that requests may be sent to, by service; `is_configured` tells which
    /// services the configuration names.
    ///
    /// If several of them claim the same name or the same address, only the one that started last is
    /// returned. A record that states another service takes no part in that: it may come from a writer
    /// that is no endpoint of this system.
    pub fn usable_endpoints<F>(&self, is_configured: F) -> BTreeMap<Arc<str>, Vec<EndpointRecord>>
    where
        F: Fn(&str) -> bool,
    {
        let configured = || self.records().filter(|record| is_configured(&record.service));
        let mut last_starts = LastStarts::default();
        for record in configured() {
            last_starts.note(record);
        }
        let mut usable: BTreeMap<Arc<str>, Vec<EndpointRecord>> = BTreeMap::new();
        for record in configured() {
            if record.state == EndpointState::Ready && last_starts.is_last(record) {
                usable.entry(record.service.clone()).or_default().push(record.clone());
            }
        }
        usable
    }

    /// Returns the records that state a service that the configuration does not name, and the name or
    /// the address of an endpoint of one that it names.
    pub fn foreign_claims<F>(&self, is_configured: F) -> Vec<EndpointRecord>
    where
        F: Fn(&str) -> bool,
    {
        let mut last_starts = LastStarts::default();
        let (configured, others): (Vec<&EndpointRecord>, Vec<&EndpointRecord>) =
            self.records().partition(|record| is_configured(&record.service));
        configured.into_iter().for_each(|record| last_starts.note(record));
        others.into_iter().filter(|record| last_starts.has_claim(record)).cloned().collect()
    }

    /// Returns the endpoints that announced their departure.
    pub fn departing_endpoints(&self) -> Vec<EndpointRecord> {
        let is_departing = |state| matches!(state, EndpointState::Draining | EndpointState::Gone);
        self.records().filter(|record| is_departing(record.state)).cloned().collect()
    }

    fn records(&self) -> impl Iterator<Item = &EndpointRecord> {
        self.endpoints.values().map(|known| &known.record)
    }

    /// Returns the current records of an endpoint, one for each service that was stated, whatever their
    /// state.
    pub fn endpoints_named(&self, id: &EndpointName) -> impl Iterator<Item = &EndpointRecord> {
        let first = EndpointKey { id: id.clone(), service: "".into() };
        let from_first = self.endpoints.range(first..).map(|(_, known)| &known.record);
        from_first.take_while(move |record| record.id == *id)
    }

    /// Returns the record of an endpoint that started last, whatever its state.
    pub fn endpoint(&self, id: &EndpointName) -> Option<&EndpointRecord> {
        self.endpoints_named(id).max_by_key(|record| record.started_ms)
    }

    /// Returns whether any watcher of an instance hears it; `None` if none of its watchers has
    /// answered within [`WATCHER_SILENCE_LIMIT`].
    fn watchers_hear(&self, presence: &Presence, now: Timestamp) -> Option<bool> {
        let report_of = |view: &CoreView| {
            let heard = view.instances.get(&presence.name)?.heard;
            (now.since(view.answered_at) < WATCHER_SILENCE_LIMIT).then_some(heard)
        };
        let watchers = presence.watchers.iter().filter_map(address_of);
        let reports = watchers.filter_map(|watcher| report_of(self.cores.get(&watcher)?));
        reports.reduce(|any_hears, hears| any_hears || hears)
    }

    /// Returns the live processes of a role.
    ///
    /// A process is live if a reachable core instance hears it, unless at least one of its watchers
    /// has answered within [`WATCHER_SILENCE_LIMIT`] and none of these hears it. While no core
    /// instance is reachable, the last reports of all core instances are used.
    pub fn living(&self, role: Role, now: Timestamp) -> Vec<Presence> {
        let reachable: Vec<SocketAddr> = self.reachable_cores(now).collect();
        let is_counted = |core: &SocketAddr| reachable.is_empty() || reachable.contains(core);
        let cores = self.cores.iter().filter(|(_, view)| !view.is_directory);
        let mut found: BTreeMap<InstanceName, Presence> = BTreeMap::new();
        for (_, view) in cores.filter(|(core, _)| is_counted(core)) {
            let heard = view.instances.values().filter(|reported| reported.heard);
            for ReportedPresence { presence, .. } in
                heard.filter(|reported| reported.presence.role == role)
            {
                let is_newer = |known: &Presence| {
                    (presence.group.term, presence.leaving) > (known.group.term, known.leaving)
                };
                if found.get(&presence.name).is_none_or(is_newer) {
                    found.insert(presence.name.clone(), presence.clone());
                }
            }
        }
        let is_silent = |presence: &Presence| self.watchers_hear(presence, now) == Some(false);
        found.into_values().filter(|presence| !is_silent(presence)).collect()
    }

    /// Returns whether a journal instance of a node, live or not, last reported that its disk is needed
    /// for kept turns. While no core instance is reachable, the last reports of all of them are used.
    pub fn holds_turns(&self, node: &str, now: Timestamp) -> bool {
        let reachable: Vec<SocketAddr> = self.reachable_cores(now).collect();
        let is_counted = |core: &SocketAddr| reachable.is_empty() || reachable.contains(core);
        let views = self.cores.iter().filter(|(core, _)| is_counted(core)).map(|(_, view)| view);
        let mut presences = views.flat_map(|view| view.instances.values()).map(|one| &one.presence);
        presences.any(|one| one.role == Role::Journal && &*one.node == node && one.holds_turns)
    }

    /// Returns the processes of a role that any core instance lists, also those that are not heard.
    pub fn listed(&self, role: Role) -> Vec<Presence> {
        let all = self.cores.values().flat_map(|view| view.instances.values());
        let of_role = all.filter(|reported| reported.presence.role == role);
        of_role.map(|reported| reported.presence.clone()).collect()
    }

    /// Returns since when a reachable core instance has listed all processes that it hears, in
    /// milliseconds since the Unix epoch: since it started, or always if it has run since the first
    /// start of the whole system. `None` if no core instance is reachable.
    pub fn listed_since_ms(&self, now: Timestamp) -> Option<u64> {
        let since = |core: SocketAddr| {
            let view = self.cores.get(&core)?;
            let of_core = |reported: &&ReportedPresence| {
                let ReportedPresence { presence, heard } = reported;
                *heard && presence.role == Role::Core && address_of(&presence.name) == Some(core)
            };
            let own = view.instances.values().find(of_core);
            let is_founder = own.is_some_and(|reported| reported.presence.is_founder);
            Some(if is_founder { 0 } else { view.start })
        };
        self.reachable_cores(now).filter_map(since).min()
    }

    /// Returns whether a majority of the voters of the control group answers; also `true` while no
    /// leader is known.
    pub fn reaches_quorum(&self, now: Timestamp) -> bool {
        let Some(leader) = self.find_leader(Role::Core) else {
            return true;
        };
        let voters = &leader.group.voters;
        let answers = |voter: &InstanceName| {
            let view = address_of(voter).and_then(|address| self.cores.get(&address));
            view.is_some_and(|view| now.since(view.answered_at) < self.quorum_silence)
        };
        voters.iter().filter(|voter| answers(voter)).count() * 2 > voters.len()
    }

    /// Returns the addresses that may be published to callers: those of the entry instances that
    /// are live, ready and not leaving.
    ///
    /// Returns `None` on a partitioned instance, which reaches neither a majority of the control
    /// group nor half of the entry instances: the entry instances that it still hears are
    /// partitioned too.
    pub fn caller_addresses(&self, now: Timestamp) -> Option<BTreeSet<SocketAddr>> {
        let usable = |presence: &Presence| {
            presence.caller_address.filter(|_| presence.ready && !presence.leaving)
        };
        let living = self.living(Role::Entry, now);
        let addresses: BTreeSet<SocketAddr> = living.iter().filter_map(usable).collect();
        let all = self.cores.values().flat_map(|view| view.instances.values());
        let entries = all.filter(|reported| reported.presence.role == Role::Entry);
        let known: BTreeSet<SocketAddr> =
            entries.filter_map(|reported| usable(&reported.presence)).collect();
        let hears_minority = addresses.len() * 2 < known.len();
        (!hears_minority || self.reaches_quorum(now)).then_some(addresses)
    }

    /// Returns the instances that relay connections to endpoints for this one, those first that most
    /// reachable core instances name. While no core instance is reachable, their last answers are
    /// used.
    pub fn relays(&self, now: Timestamp) -> Vec<Relay> {
        let reachable: Vec<SocketAddr> = self.reachable_cores(now).collect();
        let is_used = |core: &SocketAddr| reachable.is_empty() || reachable.contains(core);
        let mut named: Vec<(usize, &Relay)> = Vec::new();
        let views = self.cores.iter().filter(|(core, _)| is_used(core)).map(|(_, view)| view);
        for relay in views.flat_map(|view| &view.relays) {
            match named.iter_mut().find(|(_, known)| *known == relay) {
                Some((count, _)) => *count += 1,
                None => named.push((1, relay)),
            }
        }
        named.sort_by_key(|(count, _)| std::cmp::Reverse(*count));
        named.into_iter().map(|(_, relay)| relay.clone()).collect()
    }

    /// Returns how many entry instances accept callers' requests: the highest count that a
    /// reachable core instance reports. Returns `None` on a partitioned instance, which reaches no
    /// majority of the control group and so hears of few instances.
    pub fn entry_instances(&self, now: Timestamp) -> Option<usize> {
        let reachable = self.reachable_cores(now).filter_map(|core| self.cores.get(&core));
        let highest = reachable.map(|view| view.entry_instances).max();
        highest.filter(|_| self.reaches_quorum(now))
    }

    /// Returns the process with the highest term among those of a role that report themselves as
    /// leader of their group.
    pub fn leader(&self, role: Role) -> Option<Presence> {
        self.find_leader(role).cloned()
    }

    fn find_leader(&self, role: Role) -> Option<&Presence> {
        let all = self.cores.values().flat_map(|view| view.instances.values());
        let leaders =
            all.filter(|reported| reported.presence.role == role && reported.presence.group.leads);
        leaders
            .max_by_key(|reported| reported.presence.group.term)
            .map(|reported| &reported.presence)
    }

    /// Returns the names of all core instances that some core instance, reachable or not, last
    /// reported as heard, sorted.
    pub fn core_names(&self) -> Vec<InstanceName> {
        let all = self.cores.values().flat_map(|view| view.instances.values());
        let cores = all.filter(|reported| reported.presence.role == Role::Core && reported.heard);
        let mut names: Vec<InstanceName> =
            cores.map(|reported| reported.presence.name.clone()).collect();
        names.sort_unstable();
        names.dedup();
        names
    }

    /// Returns the newest version of the configuration that a core instance last named.
    pub fn config_named(&self) -> u64 {
        self.cores.values().map(|view| view.config_version).max().unwrap_or_default()
    }

    /// Returns the reachable core instances that have a newer configuration than this process, in the
    /// order in which the instance `own` asks them: those of its data centre first.
    pub fn config_sources(
        &self,
        own: &InstanceName,
        data_centre: &DataCentre,
        now: Timestamp,
    ) -> Vec<InstanceName> {
        let has_newer = |core: &SocketAddr| {
            self.cores.get(core).is_some_and(|view| view.config_version > self.config_version)
        };
        let mut sources: Vec<&Presence> = self
            .reachable_cores(now)
            .filter(has_newer)
            .filter_map(|core| self.core_presence(core))
            .collect();
        sources.sort_by_cached_key(|presence| {
            let weight = hash_of(own.as_str(), presence.name.as_str());
            (presence.data_centre != *data_centre, std::cmp::Reverse(weight))
        });
        sources.into_iter().map(|presence| presence.name.clone()).collect()
    }

    /// Returns the presence that the core instance at an address reports of itself.
    fn core_presence(&self, core: SocketAddr) -> Option<&Presence> {
        let mut reported = self.cores.get(&core)?.instances.values();
        let is_own = |presence: &&Presence| {
            presence.role == Role::Core && address_of(&presence.name) == Some(core)
        };
        reported.by_ref().filter(|one| one.heard).map(|one| &one.presence).find(is_own)
    }

    /// Returns the version and the content of the newest known configuration; the version is 0
    /// before the first configuration.
    pub fn config(&self) -> (u64, &Bytes) {
        (self.config_version, &self.config)
    }

    /// Returns the initial voters of the journal group; empty until they are committed.
    pub fn first_journal_voters(&self) -> &[InstanceName] {
        &self.first_journal_voters
    }

    /// Returns the journal instances to be emptied, by the operator's name for the machine.
    pub fn retiring(&self) -> &[Arc<str>] {
        &self.retiring
    }
}
