//! What a process knows from the roster states of the core instances.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;

use crate::clock::Timestamp;
use crate::ids::EndpointName;
use crate::ids::InstanceName;
use crate::roster::EndpointRecord;
use crate::roster::EndpointState;
use crate::roster::Presence;
use crate::roster::Role;
use crate::roster::state::GONE_RETENTION;
use crate::roster::state::POLL_WAIT;
use crate::roster::state::ReportedPresence;
use crate::transport::tcp::address_of;

/// A core instance that has not answered for this long does not count any more.
pub const CORE_SILENCE_LIMIT: Duration = Duration::from_millis(2_000);

/// A voter of the control group that has not answered a poll for this long does not count towards the
/// quorum that an instance reaches: three polls.
pub const QUORUM_SILENCE_LIMIT: Duration = Duration::from_millis(3 * POLL_WAIT.as_millis() as u64);

/// What a core instance last said of an instance that it watches counts for this long: it answers
/// polls more often, so it was lost itself or is out of reach afterwards.
pub const WATCHER_SILENCE_LIMIT: Duration =
    Duration::from_millis(POLL_WAIT.as_millis() as u64 + 130);

/// How long an endpoint may go unconfirmed after the core instance that reported it was lost.
/// Endpoints repeat their announcement well within this time.
pub const CONFIRMATION_LIMIT: Duration = Duration::from_millis(5_000);

/// One answer of a core instance, parsed.
#[derive(Debug, Clone, Default)]
pub struct PollAnswer {
    /// The start of the core instance's process.
    pub core_start: u64,
    /// The number of its last change.
    pub cursor: u64,
    /// The endpoints that changed.
    pub endpoints: Vec<EndpointRecord>,
    /// The processes that changed.
    pub instances: Vec<ReportedPresence>,
    /// The version of the configuration that it has.
    pub config_version: u64,
    /// The configuration, if it is newer than the one that was asked with.
    pub config: Option<Bytes>,
    /// The first voters of the journal group.
    pub first_journal_voters: Vec<InstanceName>,
    /// Journal instances to be emptied.
    pub retiring: Vec<Arc<str>>,
}

#[derive(Debug, Default)]
struct CoreView {
    start: u64,
    cursor: u64,
    answered_at: Timestamp,
    instances: BTreeMap<InstanceName, ReportedPresence>,
}

#[derive(Debug)]
struct Known {
    record: EndpointRecord,
    told_by: SocketAddr,
    updated_at: Timestamp,
    unconfirmed_since: Option<Timestamp>,
}

/// Merges the answers of all core instances.
#[derive(Debug, Default)]
pub struct RosterView {
    cores: BTreeMap<SocketAddr, CoreView>,
    endpoints: BTreeMap<EndpointName, Known>,
    config_version: u64,
    config: Bytes,
    first_journal_voters: Vec<InstanceName>,
    retiring: Vec<Arc<str>>,
}

impl RosterView {
    /// Returns the start and the cursor to ask a core instance with.
    pub fn position(&self, core: SocketAddr) -> (u64, u64) {
        self.cores.get(&core).map_or((0, 0), |view| (view.start, view.cursor))
    }

    /// Merges an answer of the core instance at `core`; returns whether anything changed.
    pub fn merge(&mut self, core: SocketAddr, answer: PollAnswer, now: Timestamp) -> bool {
        let is_news = !answer.endpoints.is_empty()
            || !answer.instances.is_empty()
            || answer.config_version > self.config_version
            || (!answer.first_journal_voters.is_empty() && self.first_journal_voters.is_empty())
            || answer.retiring.len() > self.retiring.len();
        let view = self.cores.entry(core).or_default();
        if view.start != answer.core_start {
            *view = CoreView { start: answer.core_start, ..CoreView::default() };
            self.unconfirm(core, now);
        }
        let view = self.cores.entry(core).or_default();
        view.cursor = answer.cursor;
        view.answered_at = now;
        for heard in answer.instances {
            view.instances.insert(heard.presence.name.clone(), heard);
        }
        for record in answer.endpoints {
            self.merge_endpoint(core, record, now);
        }
        if let Some(config) = answer.config
            && answer.config_version > self.config_version
        {
            self.config_version = answer.config_version;
            self.config = config;
        }
        if !answer.first_journal_voters.is_empty() {
            self.first_journal_voters = answer.first_journal_voters;
        }
        // The list only grows; a core instance that is cut off knows an older one.
        if answer.retiring.len() > self.retiring.len() {
            self.retiring = answer.retiring;
        }
        is_news
    }

    fn merge_endpoint(&mut self, core: SocketAddr, record: EndpointRecord, now: Timestamp) {
        let known = self.endpoints.get(&record.id);
        // Only the core instance that an endpoint talks to can tell that it fell silent.
        let is_hearsay = |known: &Known| {
            record.state == EndpointState::Silent
                && known.told_by != core
                && record.sequence <= known.record.sequence
        };
        let is_newer = |known: &Known| {
            (record.supersedes(&known.record) || record == known.record) && !is_hearsay(known)
        };
        if known.is_none_or(is_newer) {
            let known = Known { told_by: core, updated_at: now, unconfirmed_since: None, record };
            self.endpoints.insert(known.record.id.clone(), known);
        }
    }

    fn unconfirm(&mut self, core: SocketAddr, now: Timestamp) {
        for known in self.endpoints.values_mut().filter(|known| known.told_by == core) {
            known.unconfirmed_since.get_or_insert(now);
        }
    }

    /// Drops what nobody vouches for any more; returns the endpoints that were dropped.
    pub fn expire(&mut self, now: Timestamp) -> Vec<EndpointName> {
        let reachable: Vec<SocketAddr> = self.reachable_cores(now).collect();
        if reachable.is_empty() {
            // An instance without any core instance keeps what it knew.
            return Vec::new();
        }
        let mut dropped = Vec::new();
        self.endpoints.retain(|id, known| {
            if !reachable.contains(&known.told_by) {
                known.unconfirmed_since.get_or_insert(now);
            }
            let is_lost =
                known.unconfirmed_since.is_some_and(|since| now.since(since) > CONFIRMATION_LIMIT);
            let is_over = known.record.state >= EndpointState::Silent
                && now.since(known.updated_at) > GONE_RETENTION;
            if is_lost && known.record.state < EndpointState::Silent {
                dropped.push(id.clone());
            }
            !is_lost && !is_over
        });
        dropped
    }

    fn reachable_cores(&self, now: Timestamp) -> impl Iterator<Item = SocketAddr> {
        let is_reachable = move |view: &CoreView| now.since(view.answered_at) < CORE_SILENCE_LIMIT;
        self.cores.iter().filter(move |(_, view)| is_reachable(view)).map(|(core, _)| *core)
    }

    /// Returns the endpoints of a service that may get work.
    ///
    /// Of two that claim one address only the later incarnation counts.
    pub fn usable_endpoints(&self, service: &str) -> Vec<EndpointRecord> {
        let ready = |known: &&Known| known.record.state == EndpointState::Ready;
        let is_latest = |known: &&Known| {
            let same_address = |other: &Known| {
                other.record.address == known.record.address
                    && other.record.started_ms > known.record.started_ms
            };
            !self.endpoints.values().any(same_address)
        };
        let of_service = |known: &&Known| &*known.record.service == service;
        let usable = self.endpoints.values().filter(of_service).filter(ready).filter(is_latest);
        usable.map(|known| known.record.clone()).collect()
    }

    /// Returns what is known of an endpoint.
    pub fn endpoint(&self, id: &EndpointName) -> Option<&EndpointRecord> {
        self.endpoints.get(id).map(|known| &known.record)
    }

    /// Returns the names of all services that endpoints belong to.
    pub fn services(&self) -> Vec<Arc<str>> {
        let mut names: Vec<Arc<str>> =
            self.endpoints.values().map(|known| known.record.service.clone()).collect();
        names.sort_unstable();
        names.dedup();
        names
    }

    /// Returns whether a watcher hears an instance; `None` if none of its watchers was heard lately.
    fn watchers_hear(&self, presence: &Presence, now: Timestamp) -> Option<bool> {
        let says = |view: &CoreView| {
            let heard = view.instances.get(&presence.name)?.heard;
            (now.since(view.answered_at) < WATCHER_SILENCE_LIMIT).then_some(heard)
        };
        let watchers = presence.watchers.iter().filter_map(address_of);
        let said = watchers.filter_map(|watcher| says(self.cores.get(&watcher)?));
        said.reduce(|some_hears, hears| some_hears || hears)
    }

    /// Returns the processes of a role that are heard: by a watcher, where it has any that are
    /// reachable, or else by some reachable core instance.
    pub fn living(&self, role: Role, now: Timestamp) -> Vec<Presence> {
        let reachable: Vec<SocketAddr> = self.reachable_cores(now).collect();
        let counts = |core: &SocketAddr| reachable.is_empty() || reachable.contains(core);
        let mut found: BTreeMap<InstanceName, Presence> = BTreeMap::new();
        for (_, view) in self.cores.iter().filter(|(core, _)| counts(core)) {
            let heard = view.instances.values().filter(|heard| heard.heard);
            for ReportedPresence { presence, .. } in
                heard.filter(|heard| heard.presence.role == role)
            {
                let newer = |known: &Presence| {
                    (presence.group.term, presence.leaving) > (known.group.term, known.leaving)
                };
                if found.get(&presence.name).is_none_or(newer) {
                    found.insert(presence.name.clone(), presence.clone());
                }
            }
        }
        let is_silent = |presence: &Presence| self.watchers_hear(presence, now) == Some(false);
        found.into_values().filter(|presence| !is_silent(presence)).collect()
    }

    /// Returns whether most voters of the control group answer; also while no leader was heard of.
    pub fn reaches_quorum(&self, now: Timestamp) -> bool {
        let Some(leader) = self.find_leader(Role::Core) else {
            return true;
        };
        let voters = &leader.group.voters;
        let answers = |voter: &InstanceName| {
            let view = address_of(voter).and_then(|address| self.cores.get(&address));
            view.is_some_and(|view| now.since(view.answered_at) < QUORUM_SILENCE_LIMIT)
        };
        voters.iter().filter(|voter| answers(voter)).count() * 2 > voters.len()
    }

    /// Returns the addresses that callers may be told of: entry instances that are heard, ready and
    /// not leaving.
    ///
    /// `None` at an instance that is cut off: it reaches neither most of the control group nor half
    /// of the entry instances, so that those it hears are cut off as well.
    pub fn caller_addresses(&self, now: Timestamp) -> Option<BTreeSet<SocketAddr>> {
        let usable = |presence: &Presence| {
            presence.caller_address.filter(|_| presence.ready && !presence.leaving)
        };
        let living = self.living(Role::Entry, now);
        let addresses: BTreeSet<SocketAddr> = living.iter().filter_map(usable).collect();
        let all = self.cores.values().flat_map(|view| view.instances.values());
        let entries = all.filter(|heard| heard.presence.role == Role::Entry);
        let known: BTreeSet<SocketAddr> =
            entries.filter_map(|heard| usable(&heard.presence)).collect();
        let hears_few = addresses.len() * 2 < known.len();
        (!hears_few || self.reaches_quorum(now)).then_some(addresses)
    }

    /// Returns the leader of a role's group with the highest reported term.
    pub fn leader(&self, role: Role) -> Option<Presence> {
        self.find_leader(role).cloned()
    }

    fn find_leader(&self, role: Role) -> Option<&Presence> {
        let all = self.cores.values().flat_map(|view| view.instances.values());
        let leaders = all.filter(|heard| heard.presence.role == role && heard.presence.group.leads);
        leaders.max_by_key(|heard| heard.presence.group.term).map(|heard| &heard.presence)
    }

    /// Returns the addresses of all core instances that were ever reported.
    pub fn core_names(&self) -> Vec<InstanceName> {
        let all = self.cores.values().flat_map(|view| view.instances.values());
        let cores = all.filter(|heard| heard.presence.role == Role::Core && heard.heard);
        let mut names: Vec<InstanceName> = cores.map(|heard| heard.presence.name.clone()).collect();
        names.sort_unstable();
        names.dedup();
        names
    }

    /// Returns the version of the configuration and the configuration.
    pub fn config(&self) -> (u64, &Bytes) {
        (self.config_version, &self.config)
    }

    /// Returns the first voters of the journal group; empty until they are fixed.
    pub fn first_journal_voters(&self) -> &[InstanceName] {
        &self.first_journal_voters
    }

    /// Returns the journal instances to be emptied.
    pub fn retiring(&self) -> &[Arc<str>] {
        &self.retiring
    }
}
