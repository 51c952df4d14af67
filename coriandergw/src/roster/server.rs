//! Answers roster polls on a core instance.

use std::sync::Arc;
use std::sync::Mutex;
use std::time::Duration;

use async_trait::async_trait;
use bytes::Bytes;
use prost::Message as _;
use tokio::sync::watch;

use crate::clock::Timestamp;
use crate::config_fetch::generated::Piece;
use crate::config_fetch::generated::PieceRequest;
use crate::config_fetch::published::PublishedDocuments;
use crate::context::Context;
use crate::crashes::Crash;
use crate::crashes::RequestDigest;
use crate::crashes::table::CrashTable;
use crate::crashes::table::Standing;
use crate::endpoint_limits::StatedLimit;
use crate::events::EventNumber;
use crate::events::Subject;
use crate::ids::EndpointName;
use crate::ids::InstanceName;
use crate::roster::EndpointKey;
use crate::roster::EndpointRecord;
use crate::roster::EndpointState;
use crate::roster::Presence;
use crate::roster::Role;
use crate::roster::config_lag::LagChange;
use crate::roster::departure::Departure;
use crate::roster::generated as raw;
use crate::roster::state::Audience;
use crate::roster::state::ConfigState;
use crate::roster::state::ENTRY_POLL_WAIT;
use crate::roster::state::LastChanges;
use crate::roster::state::ReportedPresence;
use crate::roster::state::RosterState;
use crate::roster::state::SilentPeer;
use crate::roster::state::UnknownEndpoint;
use crate::transport::Handler;

/// How long changes are batched before waiting polls are answered.
const BATCH_DELAY: Duration = Duration::from_millis(3);

/// How often endpoints and instances are checked for silence.
const SILENCE_CHECK_INTERVAL: Duration = Duration::from_millis(50);

/// How long an acknowledgement waits for a copy at another core instance: several round trips
/// between data centres.
const COPY_TIMEOUT: Duration = Duration::from_millis(300);

/// The roster state of this core instance, with notification of polls that wait for changes.
pub struct RosterServer {
    cx: Context,
    start: u64,
    is_directory: bool,
    roster: Mutex<RosterState>,
    documents: Mutex<PublishedDocuments>,
    changed: watch::Sender<LastChanges>,
    /// The highest change number that any other core instance has received.
    copied: watch::Sender<u64>,
}

impl RosterServer {
    /// Creates the server of a core instance with an empty state. An endpoint that sends no
    /// announcement for `endpoint_silence` is considered silent.
    pub fn new(cx: Context, endpoint_silence: Duration) -> Arc<Self> {
        Self::create(cx, endpoint_silence, false)
    }

    /// Creates the server of a directory instance, which no endpoint announces itself to.
    pub fn of_directory(cx: Context) -> Arc<Self> {
        Self::create(cx, Duration::MAX, true)
    }

    fn create(cx: Context, endpoint_silence: Duration, is_directory: bool) -> Arc<Self> {
        let roster = Mutex::new(RosterState::new(endpoint_silence, cx.clock.now()));
        // The start time distinguishes successive processes at the same address.
        let start = cx.clock.wall().0.max(1);
        let (changed, copied) = (watch::Sender::default(), watch::Sender::default());
        let documents = Mutex::default();
        Arc::new(Self { cx, start, is_directory, roster, documents, changed, copied })
    }

    fn with_state<T, F>(&self, action: F) -> T
    where
        F: FnOnce(&mut RosterState) -> T,
    {
        let mut roster = self.roster.lock().expect("not poisoned");
        let result = action(&mut roster);
        let last = roster.last_changes();
        drop(roster);
        self.changed.send_if_modified(|known| std::mem::replace(known, last) != last);
        result
    }

    /// Records the announcement of an endpoint.
    pub fn announce(&self, record: EndpointRecord) {
        let now = self.cx.clock.now();
        let key = record.key();
        let detail = format!(
            "service={} address={} started_ms={} sequence={}",
            record.service, record.address, record.started_ms, record.sequence
        );
        let announced = self.with_state(|roster| {
            // A committed departure may have replaced the state that was announced.
            roster.announce(record, now).then(|| roster.endpoint_state(&key)).flatten()
        });
        if let Some(state) = announced {
            let number = match state {
                EndpointState::Ready => EventNumber::EndpointAnnounced,
                _ => EventNumber::EndpointLeaving,
            };
            let subject = Subject { peer: Some(key.id.to_string()), ..Subject::default() };
            self.cx.events.record(number, subject, format!("state={state:?} {detail}"));
        }
    }

    /// Marks an endpoint as gone and returns its records, see [`RosterState::depart`].
    ///
    /// # Errors
    /// Fails if the endpoint is unknown.
    pub fn depart(
        &self,
        id: &EndpointName,
        started_ms: Option<u64>,
        published: Vec<EndpointRecord>,
    ) -> Result<Vec<EndpointRecord>, UnknownEndpoint> {
        let now = self.cx.clock.now();
        let recorded = self.with_state(|roster| roster.depart(id, started_ms, published, now));
        let outcome = match &recorded {
            Ok(gone) => {
                let describe = |one: &EndpointRecord| format!("{}/{}", one.service, one.started_ms);
                format!("gone={}", gone.iter().map(describe).collect::<Vec<_>>().join(","))
            }
            Err(cause) => cause.to_string(),
        };
        let detail = format!("departure, stated started_ms={started_ms:?}: {outcome}");
        let subject = Subject { peer: Some(id.to_string()), ..Subject::default() };
        self.cx.events.record(EventNumber::EndpointLeaving, subject, detail);
        recorded
    }

    /// Publishes a departure that the control group has committed.
    pub fn note_departure(&self, departure: Departure) {
        let now = self.cx.clock.now();
        let subject =
            Subject { peer: Some(departure.endpoint.id.to_string()), ..Subject::default() };
        let detail = format!(
            "committed departure, service={} state={:?} started_ms={} sequence={}",
            departure.endpoint.service, departure.state, departure.started_ms, departure.sequence
        );
        if self.with_state(|roster| roster.note_departure(departure, now)) {
            self.cx.events.record(EventNumber::EndpointLeaving, subject, detail);
        }
    }

    /// Returns the state of an endpoint; `None` if it is not listed.
    pub fn endpoint_state(&self, endpoint: &EndpointKey) -> Option<EndpointState> {
        self.with_state(|roster| roster.endpoint_state(endpoint))
    }

    /// Returns whether a departure is committed, see [`RosterState::has_committed`].
    pub fn has_committed(&self, departure: &Departure) -> bool {
        self.with_state(|roster| roster.has_committed(departure))
    }

    /// Publishes the limits that endpoints named to an entry instance.
    pub fn publish_limits(&self, stated: &[StatedLimit]) {
        let now = self.cx.clock.now();
        self.with_state(|roster| stated.iter().for_each(|one| roster.publish_limit(one, now)));
    }

    /// Publishes a crash that an entry instance reports.
    pub fn report_crash(&self, crash: Crash) {
        let now = self.cx.clock.now();
        self.with_state(|roster| roster.touch_crash(&crash.incarnation, now));
        self.publish_crash(crash);
    }

    /// Publishes what is known of a crash.
    pub fn publish_crash(&self, crash: Crash) {
        let now = self.cx.clock.now();
        let suspects = crash.suspects.clone();
        let blocked = self.with_state(|roster| {
            let is_blocked = |request: &RequestDigest, table: &CrashTable| {
                matches!(table.standing(request, now), Standing::Blocked { .. })
            };
            let before: Vec<RequestDigest> =
                suspects.into_iter().filter(|one| !is_blocked(one, roster.crashes())).collect();
            roster.publish_crash(crash, now);
            before.into_iter().filter(|one| is_blocked(one, roster.crashes())).collect::<Vec<_>>()
        });
        for request in blocked {
            let endpoints = self.with_state(|roster| roster.crashes().endpoints_of(&request));
            let names: Vec<&str> = endpoints.iter().map(EndpointName::as_str).collect();
            let detail = format!("digest={request} endpoints={}", names.join(","));
            self.cx.events.record(EventNumber::RequestBlocked, Subject::default(), detail);
        }
    }

    /// Waits until another core instance has received all changes up to now. Returns at once if this
    /// one hears no other, and after [`COPY_TIMEOUT`] in any case.
    ///
    /// What is acknowledged without a copy is lost with this instance.
    pub async fn wait_for_copy(&self) {
        let own = &self.cx.instance;
        let (number, has_others) =
            self.with_state(|roster| (roster.last_change(), roster.hears_other_cores(own)));
        if !has_others {
            return;
        }
        let mut copied = self.copied.subscribe();
        let is_copied = copied.wait_for(|highest| *highest >= number);
        if tokio::time::timeout(COPY_TIMEOUT, is_copied).await.is_err() {
            let detail =
                format!("acknowledged before another core instance received change {number}");
            self.cx.events.record(EventNumber::EndpointLeaving, Subject::default(), detail);
        }
    }

    fn note_copy(&self, from: &InstanceName, role: Option<Role>, poll: &raw::Poll) {
        if role == Some(Role::Core) && *from != self.cx.instance && poll.core_start == self.start {
            self.copied.send_if_modified(|highest| {
                let is_higher = poll.cursor > *highest;
                *highest = poll.cursor.max(*highest);
                is_higher
            });
        }
    }

    /// Applies the configuration state of the control group; returns whether anything changed.
    pub fn apply_config_state(&self, config_state: ConfigState) -> bool {
        let now = self.cx.clock.now();
        let version = config_state.config_version;
        self.publish_document(&config_state, now);
        let is_changed = self.with_state(|roster| roster.apply_config_state(config_state, now));
        if is_changed {
            let state = self.cx.metrics.states.with_label_values(&["config_version"]);
            state.set(version as i64);
        }
        is_changed
    }

    /// Offers the document before the polls name its version.
    fn publish_document(&self, config_state: &ConfigState, now: Timestamp) {
        let ConfigState { config_version, config, .. } = config_state;
        let mut documents = self.documents.lock().expect("not poisoned");
        if let Err(cause) = documents.publish(*config_version, config, now) {
            log::error!("version {config_version} of the configuration is not offered: {cause}");
        }
    }

    /// Returns the piece of the configuration that was asked for.
    pub(crate) fn config_piece(&self, req: &PieceRequest) -> Piece {
        let now = self.cx.clock.now();
        self.documents.lock().expect("not poisoned").piece(req, now)
    }

    /// Notes the version of the configuration that an entry instance states in a poll, and reports when
    /// it lags and when it has caught up.
    fn note_config_held(&self, instance: &InstanceName, held: u64) {
        let now = self.cx.clock.now();
        let (change, behind) = self.with_state(|roster| {
            (roster.note_config_held(instance, held, now), roster.instances_behind())
        });
        let (number, detail) = match change {
            None => return,
            Some(LagChange::Behind { published, lag }) => {
                let lag_ms = lag.as_millis();
                let detail = format!("held={held} published={published} lag_ms={lag_ms}");
                (EventNumber::InstanceBehind, detail)
            }
            Some(LagChange::CaughtUp { published }) => {
                (EventNumber::InstanceCaughtUp, format!("held={held} published={published}"))
            }
        };
        let subject = Subject { peer: Some(instance.to_string()), ..Subject::default() };
        self.cx.events.record(number, subject, detail);
        self.cx.metrics.states.with_label_values(&["instances_behind"]).set(behind as i64);
    }

    /// Returns the version of the configuration that is sent in responses to polls.
    pub fn config_version(&self) -> u64 {
        self.with_state(|roster| roster.config_state().config_version)
    }

    /// Checks for silent endpoints and instances until the process exits.
    pub async fn expire_silent(self: Arc<Self>) {
        loop {
            tokio::time::sleep(SILENCE_CHECK_INTERVAL).await;
            let now = self.cx.clock.now();
            for silent in self.with_state(|roster| roster.expire_silent(now)) {
                let (number, name) = match silent {
                    SilentPeer::Endpoint(id) => (EventNumber::EndpointSilent, id.to_string()),
                    SilentPeer::Instance(name) => (EventNumber::InstanceSilent, name.to_string()),
                };
                let subject = Subject { peer: Some(name), ..Subject::default() };
                self.cx.events.record(number, subject, "not heard in time");
            }
        }
    }

    /// Records the presence of a process, which counts as heard now.
    pub fn record_presence(&self, presence: Presence) {
        let now = self.cx.clock.now();
        let name = presence.name.to_string();
        if self.with_state(|roster| roster.note_presence(presence, now)) {
            let subject = Subject { peer: Some(name), ..Subject::default() };
            self.cx.events.record(EventNumber::InstanceRegistered, subject, "heard");
        }
    }

    /// Records a heartbeat.
    pub(super) fn note_pulse(&self, from: &InstanceName) {
        let now = self.cx.clock.now();
        if self.with_state(|roster| roster.note_pulse(from, now)) {
            let subject = Subject { peer: Some(from.to_string()), ..Subject::default() };
            self.cx.events.record(
                EventNumber::InstanceRegistered,
                subject,
                "heartbeat received after silence",
            );
        }
    }

    async fn wait_for_change(&self, poll: &raw::Poll, audience: Audience) {
        let has_changes = |last: &LastChanges| last.relevant_to(audience) > poll.cursor;
        if poll.core_start != self.start || has_changes(&self.changed.borrow()) {
            return;
        }
        let wait = Duration::from_millis(poll.wait_ms.into()).min(ENTRY_POLL_WAIT);
        let mut changed = self.changed.subscribe();
        let batch = async {
            // Cannot fail: the sender lives as long as this server.
            let _ = changed.wait_for(has_changes).await;
            tokio::time::sleep(BATCH_DELAY).await;
        };
        let _ = tokio::time::timeout(wait, batch).await;
    }

    fn answer(&self, from: &InstanceName, poll: &raw::Poll, audience: Audience) -> raw::PollAnswer {
        let now = self.cx.clock.now();
        let roster = self.roster.lock().expect("not poisoned");
        let cursor = if poll.core_start == self.start { poll.cursor } else { 0 };
        let changes = roster.changes_after(cursor, audience);
        let config_state = roster.config_state();
        let has_newer_config = config_state.config_version > poll.config_version;
        let needs_config = has_newer_config && !poll.fetches_config;
        let config = if needs_config { config_state.config.clone() } else { Bytes::new() };
        let relays_as_of = roster.last_entry_change();
        let has_relays = poll.core_start == self.start && poll.relays_as_of == relays_as_of;
        // Processes that answer address look-ups send nothing to endpoints.
        let relays = match has_relays || audience == Audience::AddressSource {
            true => Vec::new(),
            false => roster.relays_for(from),
        };
        raw::PollAnswer {
            core_start: self.start,
            cursor: roster.last_change(),
            endpoints: changes.endpoints.iter().map(Into::into).collect(),
            instances: changes.instances.iter().map(encode_presence).collect(),
            config_version: config_state.config_version,
            config,
            first_journal_voters: config_state
                .first_journal_voters
                .iter()
                .map(ToString::to_string)
                .collect(),
            retiring: config_state.retiring.iter().map(ToString::to_string).collect(),
            wants_presence: false,
            is_directory: self.is_directory,
            entry_instances: roster.entry_instances() as u32,
            limits: changes.limits.iter().map(|one| one.encode(now)).collect(),
            crashes: changes.crashes.iter().map(Crash::encode).collect(),
            departures: changes.departures.iter().map(Into::into).collect(),
            relays: relays.iter().map(Into::into).collect(),
            relays_as_of,
        }
    }
}

fn encode_presence(reported: &ReportedPresence) -> raw::Presence {
    raw::Presence { heard: reported.heard, ..raw::Presence::from(&reported.presence) }
}

#[async_trait]
impl Handler for RosterServer {
    async fn handle(&self, from: &InstanceName, payload: Bytes) -> Result<Bytes, String> {
        let mut poll = raw::Poll::decode(payload).map_err(|cause| cause.to_string())?;
        let mut wants_relays = false;
        let role = match poll.presence.take() {
            Some(presence) => {
                let presence = Presence::try_from(presence).map_err(|cause| cause.to_string())?;
                let role = presence.role;
                wants_relays = presence.lost_endpoints;
                self.record_presence(presence);
                Some(role)
            }
            None => {
                let now = self.cx.clock.now();
                self.with_state(|roster| roster.note_alive(from, now))
            }
        };
        self.note_copy(from, role, &poll);
        if role == Some(Role::Entry) {
            self.note_config_held(from, poll.config_version);
        }
        // A process of unknown role gets everything, since its cursor advances with this response.
        let audience = role.map_or(Audience::AddressSource, Audience::from);
        if role.is_some() && !wants_relays {
            self.wait_for_change(&poll, audience).await;
        }
        let answer = raw::PollAnswer {
            wants_presence: role.is_none(),
            ..self.answer(from, &poll, audience)
        };
        Ok(answer.encode_to_vec().into())
    }
}

#[cfg(test)]
mod tests;
