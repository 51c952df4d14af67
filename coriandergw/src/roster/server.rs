//! Answers polls on a core instance.

use std::sync::Arc;
use std::sync::Mutex;
use std::time::Duration;

use async_trait::async_trait;
use bytes::Bytes;
use prost::Message as _;
use tokio::sync::watch;

use crate::context::Context;
use crate::events::EventNumber;
use crate::events::Subject;
use crate::ids::EndpointName;
use crate::ids::InstanceName;
use crate::roster::EndpointRecord;
use crate::roster::EndpointState;
use crate::roster::Presence;
use crate::roster::generated as raw;
use crate::roster::state::ConfigState;
use crate::roster::state::POLL_WAIT;
use crate::roster::state::ReportedPresence;
use crate::roster::state::RosterState;
use crate::roster::state::SilentPeer;
use crate::transport::Handler;

/// How long changes are collected before polls are answered with them.
const COLLECT: Duration = Duration::from_millis(3);

/// How often silence is looked for.
const LOOK_EVERY: Duration = Duration::from_millis(50);

/// The roster state of this core instance and those who wait for its changes.
pub struct RosterServer {
    cx: Context,
    start: u64,
    board: Mutex<RosterState>,
    changed: watch::Sender<u64>,
}

impl RosterServer {
    /// Creates an empty roster state; an endpoint that says nothing for `endpoint_silence` is silent.
    pub fn new(cx: Context, endpoint_silence: Duration) -> Arc<Self> {
        let board = Mutex::new(RosterState::new(endpoint_silence, cx.clock.now()));
        // Two processes at one address are told apart by it.
        let start = cx.clock.wall().0.max(1);
        Arc::new(Self { cx, start, board, changed: watch::Sender::new(0) })
    }

    fn with_board<T, F>(&self, action: F) -> T
    where
        F: FnOnce(&mut RosterState) -> T,
    {
        let mut board = self.board.lock().expect("not poisoned");
        let result = action(&mut board);
        let last = board.last_change();
        drop(board);
        self.changed.send_if_modified(|known| std::mem::replace(known, last) != last);
        result
    }

    /// Records an endpoint's announcement.
    pub fn announce(&self, record: EndpointRecord) {
        let now = self.cx.clock.now();
        let (id, state) = (record.id.to_string(), record.state);
        let detail = format!(
            "state={state:?} service={} address={} started_ms={} sequence={}",
            record.service, record.address, record.started_ms, record.sequence
        );
        if self.with_board(|board| board.announce(record, now)) {
            let number = match state {
                EndpointState::Ready => EventNumber::EndpointAnnounced,
                _ => EventNumber::EndpointLeaving,
            };
            self.cx.events.record(number, Subject { peer: Some(id), ..Subject::default() }, detail);
        }
    }

    /// Records an endpoint's departure.
    pub fn depart(&self, id: &EndpointName, started_ms: Option<u64>) {
        let now = self.cx.clock.now();
        let known = self.with_board(|board| board.depart(id, started_ms, now));
        let subject = Subject { peer: Some(id.to_string()), ..Subject::default() };
        let detail = format!("state=Gone known={known} started_ms={started_ms:?}");
        self.cx.events.record(EventNumber::EndpointLeaving, subject, detail);
    }

    /// Applies the state of the control group; returns whether anything changed.
    pub fn apply_config_state(&self, fixed: ConfigState) -> bool {
        self.with_board(|board| board.apply_config_state(fixed))
    }

    /// Returns the version of the configuration that polls are answered with.
    pub fn config_version(&self) -> u64 {
        self.with_board(|board| board.config_state().config_version)
    }

    /// Looks for silence until the process ends.
    pub async fn expire_silent(self: Arc<Self>) {
        loop {
            tokio::time::sleep(LOOK_EVERY).await;
            let now = self.cx.clock.now();
            for silent in self.with_board(|board| board.expire_silent(now)) {
                let (number, name) = match silent {
                    SilentPeer::Endpoint(id) => (EventNumber::EndpointSilent, id.to_string()),
                    SilentPeer::Instance(name) => (EventNumber::InstanceSilent, name.to_string()),
                };
                let subject = Subject { peer: Some(name), ..Subject::default() };
                self.cx.events.record(number, subject, "not heard in time");
            }
        }
    }

    fn hear(&self, presence: Presence) {
        let now = self.cx.clock.now();
        let name = presence.name.to_string();
        if self.with_board(|board| board.note_presence(presence, now)) {
            let subject = Subject { peer: Some(name), ..Subject::default() };
            self.cx.events.record(EventNumber::InstanceRegistered, subject, "heard");
        }
    }

    /// Records a sign of life.
    pub(super) fn note_pulse(&self, from: &InstanceName) {
        let now = self.cx.clock.now();
        if self.with_board(|board| board.note_pulse(from, now)) {
            let subject = Subject { peer: Some(from.to_string()), ..Subject::default() };
            self.cx.events.record(EventNumber::InstanceRegistered, subject, "heard again");
        }
    }

    async fn wait_for_change(&self, poll: &raw::Poll) {
        let has_news = |last: &u64| *last > poll.cursor;
        if poll.core_start != self.start || has_news(&self.changed.borrow()) {
            return;
        }
        let wait = Duration::from_millis(poll.wait_ms.into()).min(POLL_WAIT);
        let mut changed = self.changed.subscribe();
        let news = async {
            // The sender lives as long as this server.
            let _ = changed.wait_for(has_news).await;
            tokio::time::sleep(COLLECT).await;
        };
        let _ = tokio::time::timeout(wait, news).await;
    }

    fn answer(&self, poll: &raw::Poll) -> raw::PollAnswer {
        let board = self.board.lock().expect("not poisoned");
        let cursor = if poll.core_start == self.start { poll.cursor } else { 0 };
        let changes = board.changes_after(cursor);
        let fixed = board.config_state();
        let is_newer = fixed.config_version > poll.config_version;
        let config = if is_newer { fixed.config.clone() } else { Bytes::new() };
        raw::PollAnswer {
            core_start: self.start,
            cursor: board.last_change(),
            endpoints: changes.endpoints.iter().map(Into::into).collect(),
            instances: changes.instances.iter().map(encode_heard).collect(),
            config_version: fixed.config_version,
            config,
            first_journal_voters: fixed
                .first_journal_voters
                .iter()
                .map(ToString::to_string)
                .collect(),
            retiring: fixed.retiring.iter().map(ToString::to_string).collect(),
            wants_presence: false,
        }
    }
}

fn encode_heard(heard: &ReportedPresence) -> raw::Presence {
    raw::Presence { heard: heard.heard, ..raw::Presence::from(&heard.presence) }
}

#[async_trait]
impl Handler for RosterServer {
    async fn handle(&self, from: &InstanceName, payload: Bytes) -> Result<Bytes, String> {
        let mut poll = raw::Poll::decode(payload).map_err(|cause| cause.to_string())?;
        let is_known = match poll.presence.take() {
            Some(presence) => {
                self.hear(Presence::try_from(presence).map_err(|cause| cause.to_string())?);
                true
            }
            None => {
                let now = self.cx.clock.now();
                self.with_board(|board| board.note_alive(from, now))
            }
        };
        if is_known {
            self.wait_for_change(&poll).await;
        }
        let answer = raw::PollAnswer { wants_presence: !is_known, ..self.answer(&poll) };
        Ok(answer.encode_to_vec().into())
    }
}
