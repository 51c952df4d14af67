//! Polls the core instances and maintains this process's view of the roster.

use std::collections::BTreeMap;
use std::fmt::Display;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::time::Duration;

use bytes::Bytes;
use prost::Message as _;
use tokio::sync::watch;
use tokio_util::task::AbortOnDropHandle;

use crate::context::Context;
use crate::crashes::Crash;
use crate::crashes::table::CrashTable;
use crate::endpoint_limits::StatedLimit;
use crate::events::EventNumber;
use crate::events::Subject;
use crate::ids::InstanceName;
use crate::roster::EndpointRecord;
use crate::roster::Presence;
use crate::roster::Relay;
use crate::roster::RosterError;
use crate::roster::departure::Departure;
use crate::roster::generated as raw;
use crate::roster::state::ReportedPresence;
use crate::roster::state::poll_wait;
use crate::roster::view::PollAnswer;
use crate::roster::view::RosterView;
use crate::roster::wire;
use crate::supervision;
use crate::transport::Kind;
use crate::transport::Transport;
use crate::transport::tcp::address_of;

/// How long a response may take beyond the requested wait.
const RESPONSE_MARGIN: Duration = Duration::from_millis(600);

/// The initial and the maximum delay after a failed poll; the delay doubles with each further
/// failure. It starts short so that instances that start together discover each other quickly, and
/// grows so that polling an instance that stays unreachable is cheap.
const RETRY_DELAY: (Duration, Duration) = (Duration::from_millis(25), Duration::from_millis(100));

/// How often the set of polled core instances is updated and lost endpoints are removed.
const REFRESH_INTERVAL: Duration = Duration::from_millis(250);

/// The roster view of this process and the presence that it reports to the core instances.
pub struct Roster {
    cx: Context,
    view: Mutex<RosterView>,
    presence: watch::Sender<Presence>,
    /// How long a poll waits for a change.
    poll_wait: Duration,
    version: watch::Sender<u64>,
}

impl Roster {
    /// Creates a roster with an empty view for a process that reports `presence`.
    pub fn new(cx: Context, presence: Presence) -> Arc<Self> {
        let poll_wait = poll_wait(presence.role);
        Arc::new(Self {
            cx,
            view: Mutex::new(RosterView::new(poll_wait)),
            poll_wait,
            presence: watch::Sender::new(presence),
            version: watch::Sender::new(0),
        })
    }

    /// Calls `action` with the current view, which stays locked during the call.
    pub fn with_view<T, F>(&self, action: F) -> T
    where
        F: FnOnce(&RosterView) -> T,
    {
        action(&self.view.lock().expect("not poisoned"))
    }

    /// Calls `action` with the known crashes of endpoints, to add what this process observes.
    pub fn with_crashes<T, F>(&self, action: F) -> T
    where
        F: FnOnce(&mut CrashTable) -> T,
    {
        action(self.view.lock().expect("not poisoned").crashes_mut())
    }

    /// Subscribes to changes of the view; the value is a counter that each change increments.
    pub fn changes(&self) -> watch::Receiver<u64> {
        self.version.subscribe()
    }

    /// Changes the presence of this process; a change is sent to the core instances immediately.
    pub fn update_presence<F>(&self, change: F)
    where
        F: FnOnce(&mut Presence),
    {
        self.presence.send_if_modified(|presence| {
            let before = presence.clone();
            change(presence);
            *presence != before
        });
    }

    /// Returns the presence that this process reports.
    pub fn presence(&self) -> Presence {
        self.presence.borrow().clone()
    }

    fn increment_version(&self) {
        self.version.send_modify(|version| *version += 1);
    }

    /// Polls the seeds and all core instances discovered through them until the process exits.
    ///
    /// The seeds and the discovered core instances are not filtered, so a core process polls itself
    /// too.
    pub async fn run(self: Arc<Self>, transport: Arc<dyn Transport>, seeds: Vec<SocketAddr>) {
        let mut polls: BTreeMap<SocketAddr, AbortOnDropHandle<()>> = BTreeMap::new();
        loop {
            let mut wanted = seeds.clone();
            let discovered = self.with_view(RosterView::core_names);
            wanted.extend(discovered.iter().filter_map(address_of));
            wanted.sort_unstable();
            wanted.dedup();
            polls.retain(|core, _| wanted.contains(core));
            for core in wanted {
                polls.entry(core).or_insert_with(|| {
                    let poll = self.clone().poll_core(transport.clone(), core);
                    let cx = self.cx.clone();
                    let poll = supervision::essential(cx, "poll a core instance", poll);
                    AbortOnDropHandle::new(tokio::spawn(poll))
                });
            }
            tokio::time::sleep(REFRESH_INTERVAL).await;
            self.expire();
        }
    }

    fn expire(&self) {
        let now = self.cx.clock.now();
        let dropped = self.view.lock().expect("not poisoned").expire(now);
        for endpoint in &dropped {
            let subject = Subject { peer: Some(endpoint.to_string()), ..Subject::default() };
            self.cx.events.record(
                EventNumber::EndpointSilent,
                subject,
                "no core instance confirms it any more",
            );
        }
        if !dropped.is_empty() {
            self.increment_version();
        }
    }

    async fn poll_core(self: Arc<Self>, transport: Arc<dyn Transport>, core: SocketAddr) {
        let Ok(peer) = InstanceName::try_from(core.to_string()) else {
            return;
        };
        let mut presence = self.presence.subscribe();
        let mut is_unreachable = true;
        // The presence that the core instance has acknowledged.
        let mut acknowledged = None;
        let mut delay = RETRY_DELAY.0;
        loop {
            let latest = presence.borrow_and_update().clone();
            let unsent = (acknowledged.as_ref() != Some(&latest)).then(|| latest.clone());
            let poll = self.poll_message(core, unsent);
            let timeout = self.poll_wait + RESPONSE_MARGIN;
            let call = transport.call(&peer, Kind::Roster, poll, timeout);
            let response = tokio::select! {
                response = call => response.map_err(|cause| cause.to_string()),
                // A changed presence is sent immediately; the poll in progress is abandoned and
                // repeated.
                _ = presence.changed() => {
                    acknowledged = None;
                    continue;
                }
            };
            let result = response.and_then(|bytes| self.merge(core, bytes));
            if is_unreachable != result.is_err() {
                is_unreachable = result.is_err();
                self.record_reachability(&peer, result.as_ref().err());
            }
            acknowledged = result.as_ref().ok().filter(|known| **known).map(|_| latest);
            if result.is_ok() {
                delay = RETRY_DELAY.0;
                continue;
            }
            transport.reconnect(&peer);
            tokio::time::sleep(delay).await;
            delay = (delay * 2).min(RETRY_DELAY.1);
        }
    }

    fn record_reachability(&self, peer: &InstanceName, failure: Option<&String>) {
        let subject = Subject { peer: Some(peer.to_string()), ..Subject::default() };
        match failure {
            Some(cause) => {
                self.cx.events.record(EventNumber::CoreLost, subject, cause.as_str());
            }
            None => self.cx.events.record(EventNumber::CoreRegained, subject, "answers"),
        }
    }

    fn poll_message(&self, core: SocketAddr, presence: Option<Presence>) -> Bytes {
        let view = self.view.lock().expect("not poisoned");
        let (core_start, cursor, relays_as_of) = view.position(core);
        let poll = raw::Poll {
            presence: presence.as_ref().map(raw::Presence::from),
            core_start,
            cursor,
            config_version: view.config().0,
            wait_ms: self.poll_wait.as_millis() as u32,
            relays_as_of,
            fetches_config: true,
        };
        poll.encode_to_vec().into()
    }

    /// Merges a response into the view; returns whether the core instance knows this process.
    fn merge(&self, core: SocketAddr, bytes: Bytes) -> Result<bool, String> {
        let now = self.cx.clock.now();
        let mut raw = raw::PollAnswer::decode(bytes).map_err(|cause| cause.to_string())?;
        let is_known = !raw.wants_presence;
        let limits = std::mem::take(&mut raw.limits).into_iter();
        let limits: Result<Vec<StatedLimit>, _> =
            limits.map(|limit| StatedLimit::decode(limit, now)).collect();
        let mut answer = PollAnswer::try_from(raw).map_err(|cause| cause.to_string())?;
        answer.limits = limits.map_err(|cause| cause.to_string())?;
        let config = answer.config.take();
        let version = answer.config_version;
        if self.view.lock().expect("not poisoned").merge(core, answer, now) {
            self.increment_version();
        }
        if let Some(config) = config {
            self.receive_config(&core, version, config);
        }
        Ok(is_known)
    }

    /// Stores a configuration that came from a core instance, unless it is not newer than the one known.
    pub fn receive_config<S>(&self, source: &S, version: u64, config: Bytes)
    where
        S: Display,
    {
        let detail = format!("version={version} bytes={}", config.len());
        if !self.view.lock().expect("not poisoned").receive_config(version, config) {
            return;
        }
        let states = &self.cx.metrics.states;
        states.with_label_values(&["config_version_received"]).set(version as i64);
        let subject = Subject { peer: Some(source.to_string()), ..Subject::default() };
        self.cx.events.record(EventNumber::ConfigReceived, subject, detail);
        self.increment_version();
    }
}

impl TryFrom<raw::PollAnswer> for PollAnswer {
    type Error = RosterError;

    fn try_from(raw: raw::PollAnswer) -> Result<Self, RosterError> {
        // One record that cannot be read must not hide all others.
        let endpoints = raw.endpoints.into_iter().filter_map(|raw| {
            let id = raw.id.clone();
            let report = |cause: &RosterError| {
                log::warn!(
                    "the record of endpoint {id:?} from a core instance is ignored: {cause}"
                );
            };
            EndpointRecord::try_from(raw).inspect_err(report).ok()
        });
        let endpoints: Vec<EndpointRecord> = endpoints.collect();
        let crashes: Result<Vec<Crash>, _> = raw.crashes.into_iter().map(Crash::decode).collect();
        let departures: Result<Vec<Departure>, _> =
            raw.departures.into_iter().map(Departure::try_from).collect();
        let relays: Result<Vec<Relay>, _> = raw.relays.into_iter().map(Relay::try_from).collect();
        let parse_presence = |raw: raw::Presence| {
            let heard = raw.heard;
            Presence::try_from(raw).map(|presence| ReportedPresence { presence, heard })
        };
        let instances: Result<Vec<ReportedPresence>, _> =
            raw.instances.into_iter().map(parse_presence).collect();
        Ok(Self {
            core_start: raw.core_start,
            cursor: raw.cursor,
            endpoints,
            instances: instances?,
            config_version: raw.config_version,
            config: (!raw.config.is_empty()).then_some(raw.config),
            first_journal_voters: wire::parse_names(raw.first_journal_voters)?,
            retiring: raw.retiring.into_iter().map(Into::into).collect(),
            is_directory: raw.is_directory,
            entry_instances: raw.entry_instances as usize,
            // Decoded with the time at which the response arrived.
            limits: Vec::new(),
            crashes: crashes.map_err(|_| RosterError { field: "crash" })?,
            departures: departures?,
            relays: relays?,
            relays_as_of: raw.relays_as_of,
        })
    }
}

#[cfg(test)]
mod tests;
