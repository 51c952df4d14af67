//! Polls the core instances and keeps the view of this process.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::time::Duration;

use bytes::Bytes;
use prost::Message as _;
use tokio::sync::watch;
use tokio_util::task::AbortOnDropHandle;

use crate::context::Context;
use crate::events::EventNumber;
use crate::events::Subject;
use crate::ids::InstanceName;
use crate::roster::EndpointRecord;
use crate::roster::Presence;
use crate::roster::RosterError;
use crate::roster::generated as raw;
use crate::roster::state::POLL_WAIT;
use crate::roster::state::ReportedPresence;
use crate::roster::view::PollAnswer;
use crate::roster::view::RosterView;
use crate::roster::wire;
use crate::transport::Kind;
use crate::transport::Transport;
use crate::transport::tcp::address_of;

/// How long an answer may take beyond the wait that was asked for.
const ANSWER_SLACK: Duration = Duration::from_millis(600);

/// The wait after a poll that failed, doubled with each further one up to the longest: instances that
/// start together find each other soon, and one that is lost for long costs little.
const FAILURE_PAUSE: (Duration, Duration) = (Duration::from_millis(25), Duration::from_millis(100));

/// How often the list of core instances is looked at and what is lost is dropped.
const REVIEW_EVERY: Duration = Duration::from_millis(250);

/// What a process knows, and what it says of itself.
pub struct Roster {
    cx: Context,
    view: Mutex<RosterView>,
    presence: watch::Sender<Presence>,
    version: watch::Sender<u64>,
}

impl Roster {
    /// Creates the roster of a process that has heard nothing yet.
    pub fn new(cx: Context, presence: Presence) -> Arc<Self> {
        Arc::new(Self {
            cx,
            view: Mutex::default(),
            presence: watch::Sender::new(presence),
            version: watch::Sender::new(0),
        })
    }

    /// Reads the view.
    pub fn with_view<T, F>(&self, action: F) -> T
    where
        F: FnOnce(&RosterView) -> T,
    {
        action(&self.view.lock().expect("not poisoned"))
    }

    /// Returns where changes of the view can be watched; the number counts them.
    pub fn changes(&self) -> watch::Receiver<u64> {
        self.version.subscribe()
    }

    /// Changes what this process says of itself; core instances learn it at once.
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

    /// Returns what this process says of itself.
    pub fn presence(&self) -> Presence {
        self.presence.borrow().clone()
    }

    fn note_change(&self) {
        self.version.send_modify(|version| *version += 1);
    }

    /// Polls the seeds and all core instances that they tell of, until the process ends.
    ///
    /// A core process leaves itself out: what it heard, it tells itself through `own`.
    pub async fn run(self: Arc<Self>, transport: Arc<dyn Transport>, seeds: Vec<SocketAddr>) {
        let mut polls: BTreeMap<SocketAddr, AbortOnDropHandle<()>> = BTreeMap::new();
        loop {
            let mut wanted = seeds.clone();
            let told = self.with_view(RosterView::core_names);
            wanted.extend(told.iter().filter_map(address_of));
            wanted.sort_unstable();
            wanted.dedup();
            polls.retain(|core, _| wanted.contains(core));
            for core in wanted {
                polls.entry(core).or_insert_with(|| {
                    let poll = self.clone().poll_forever(transport.clone(), core);
                    AbortOnDropHandle::new(tokio::spawn(poll))
                });
            }
            tokio::time::sleep(REVIEW_EVERY).await;
            self.expire();
        }
    }

    fn expire(&self) {
        let now = self.cx.clock.now();
        let dropped = self.view.lock().expect("not poisoned").expire(now);
        for endpoint in &dropped {
            let subject = Subject { peer: Some(endpoint.to_string()), ..Subject::default() };
            self.cx.events.record(EventNumber::EndpointSilent, subject, "no core vouches for it");
        }
        if !dropped.is_empty() {
            self.note_change();
        }
    }

    async fn poll_forever(self: Arc<Self>, transport: Arc<dyn Transport>, core: SocketAddr) {
        let Ok(peer) = InstanceName::try_from(core.to_string()) else {
            return;
        };
        let mut presence = self.presence.subscribe();
        let mut is_lost = true;
        // What the core instance knows of this process.
        let mut told = None;
        let mut pause = FAILURE_PAUSE.0;
        loop {
            let latest = presence.borrow_and_update().clone();
            let news = (told.as_ref() != Some(&latest)).then(|| latest.clone());
            let poll = self.poll_message(core, news);
            let timeout = POLL_WAIT + ANSWER_SLACK;
            let call = transport.call(&peer, Kind::Roster, poll, timeout);
            let answered = tokio::select! {
                answered = call => answered.map_err(|cause| cause.to_string()),
                // What changed here is told at once; an answer under way is asked for again.
                _ = presence.changed() => {
                    told = None;
                    continue;
                }
            };
            let merged = answered.and_then(|bytes| self.merge(core, bytes));
            if is_lost != merged.is_err() {
                is_lost = merged.is_err();
                self.report(&peer, merged.as_ref().err());
            }
            told = merged.as_ref().ok().filter(|known| **known).map(|_| latest);
            if merged.is_ok() {
                pause = FAILURE_PAUSE.0;
                continue;
            }
            transport.reconnect(&peer);
            tokio::time::sleep(pause).await;
            pause = (pause * 2).min(FAILURE_PAUSE.1);
        }
    }

    fn report(&self, peer: &InstanceName, failure: Option<&String>) {
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
        let (core_start, cursor) = view.position(core);
        let poll = raw::Poll {
            presence: presence.as_ref().map(raw::Presence::from),
            core_start,
            cursor,
            config_version: view.config().0,
            wait_ms: POLL_WAIT.as_millis() as u32,
        };
        poll.encode_to_vec().into()
    }

    /// Merges an answer; returns whether the core instance knows this process.
    fn merge(&self, core: SocketAddr, bytes: Bytes) -> Result<bool, String> {
        let raw = raw::PollAnswer::decode(bytes).map_err(|cause| cause.to_string())?;
        let is_known = !raw.wants_presence;
        let answer = PollAnswer::try_from(raw).map_err(|cause| cause.to_string())?;
        let now = self.cx.clock.now();
        if self.view.lock().expect("not poisoned").merge(core, answer, now) {
            self.note_change();
        }
        Ok(is_known)
    }
}

impl TryFrom<raw::PollAnswer> for PollAnswer {
    type Error = RosterError;

    fn try_from(raw: raw::PollAnswer) -> Result<Self, RosterError> {
        let endpoints: Result<Vec<EndpointRecord>, _> =
            raw.endpoints.into_iter().map(EndpointRecord::try_from).collect();
        let heard = |raw: raw::Presence| {
            let heard = raw.heard;
            Presence::try_from(raw).map(|presence| ReportedPresence { presence, heard })
        };
        let instances: Result<Vec<ReportedPresence>, _> =
            raw.instances.into_iter().map(heard).collect();
        Ok(Self {
            core_start: raw.core_start,
            cursor: raw.cursor,
            endpoints: endpoints?,
            instances: instances?,
            config_version: raw.config_version,
            config: (!raw.config.is_empty()).then_some(raw.config),
            first_journal_voters: wire::names(raw.first_journal_voters)?,
            retiring: raw.retiring.into_iter().map(Into::into).collect(),
        })
    }
}
