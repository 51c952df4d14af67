//! Replicates endpoint announcements to the other instances.
//!
//! A sponsor sends changes at once to its data centre and to one relay of each other data centre,
//! which forwards them there. Renewals are not replicated: within the data centre the sponsor sends
//! small heartbeats, and other data centres get a summary with a digest of the live sponsors. A
//! receiver requests the list of sponsors only if the digest differs from its own.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::time::Duration;

use async_trait::async_trait;
use bytes::Bytes;
use prost::Message;

use crate::clock::Timestamp;
use crate::context::Context;
use crate::endpoints::Announcement;
use crate::endpoints::directory::Directory;
use crate::endpoints::directory::FAR_SPONSOR_LEASE;
use crate::endpoints::directory::LocalChange;
use crate::endpoints::directory::NEAR_SPONSOR_LEASE;
use crate::endpoints::generated::Delta;
use crate::endpoints::generated::Endpoint;
use crate::endpoints::generated::Envelope;
use crate::endpoints::generated::Heartbeat;
use crate::endpoints::generated::Summary;
use crate::endpoints::generated::envelope::Body;
use crate::endpoints::gossip::sponsors::SponsorState;
use crate::endpoints::gossip::sponsors::Sponsors;
use crate::endpoints::gossip::sponsors::digest;
use crate::events::EventNumber;
use crate::events::Subject;
use crate::ids::DataCentre;
use crate::ids::InstanceName;
use crate::ids::NameError;
use crate::supervision;
use crate::transport::Handler;
use crate::transport::Kind;
use crate::transport::Transport;

mod repair;
pub mod sponsors;

/// How often expired endpoints are removed and changes are sent.
const TICK: Duration = Duration::from_millis(100);

/// How many ticks pass between two heartbeats and between two summaries.
const TICKS_PER_HEARTBEAT: u64 = 6;

/// How many instances of a data centre send its summary: the first ones by name.
const SUMMARY_SENDERS: usize = 2;

/// The time-out of a request for a summary or a snapshot.
const PULL_TIMEOUT: Duration = Duration::from_millis(500);

/// Another live instance.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord)]
pub struct Peer {
    /// Its data centre.
    pub data_centre: DataCentre,
    /// Its name.
    pub name: InstanceName,
}

/// Lists the other live instances.
pub trait Peers: Send + Sync {
    /// Returns all live instances except this one.
    fn live(&self) -> Vec<Peer>;
}

/// An empty list of peers, for an instance that runs alone.
#[derive(Debug, Default)]
pub struct NoPeers;

impl Peers for NoPeers {
    fn live(&self) -> Vec<Peer> {
        Vec::new()
    }
}

/// Sends the announcements of local endpoints to the other instances and receives theirs.
pub struct Gossip {
    cx: Context,
    directory: Arc<Directory>,
    transport: Arc<dyn Transport>,
    peers: Arc<dyn Peers>,
    incarnation: u64,
    version: AtomicU64,
    sponsors: Mutex<Sponsors>,
}

impl Gossip {
    /// Registers the handler, starts the periodic task and returns.
    pub fn start(
        cx: Context,
        directory: Arc<Directory>,
        transport: Arc<dyn Transport>,
        peers: Arc<dyn Peers>,
    ) -> Arc<Self> {
        let gossip = Arc::new(Self {
            incarnation: cx.clock.wall().0,
            cx,
            directory,
            transport: transport.clone(),
            peers,
            version: AtomicU64::new(0),
            sponsors: Mutex::default(),
        });
        transport.register(Kind::Endpoints, Arc::new(GossipHandler(gossip.clone())));
        let gossiping = run(Arc::downgrade(&gossip));
        tokio::spawn(supervision::finite(gossip.cx.clone(), "gossip about endpoints", gossiping));
        gossip
    }

    fn tick(&self, tick: u64) {
        let now = self.cx.clock.now();
        for name in self.directory.expire(now) {
            let subject = Subject { peer: Some(name.to_string()), ..Subject::default() };
            self.cx.events.record(
                EventNumber::EndpointSilent,
                subject,
                "the announcement or the sponsor's lease expired without renewal",
            );
        }
        let changes = self.directory.take_changes();
        if !changes.is_empty() {
            self.version.fetch_add(1, Ordering::Relaxed);
            self.broadcast(Body::Delta(self.delta(changes)), tick);
        }
        if tick.is_multiple_of(TICKS_PER_HEARTBEAT) {
            self.send_heartbeats(now, tick);
        }
    }

    fn own_state(&self) -> SponsorState {
        SponsorState {
            sponsor: self.cx.instance.clone(),
            data_centre: self.cx.data_centre.clone(),
            incarnation: self.incarnation,
            version: self.version.load(Ordering::Relaxed),
        }
    }

    fn delta(&self, changes: Vec<LocalChange>) -> Delta {
        let state = self.own_state();
        let mut delta = Delta {
            sponsor: state.sponsor.to_string(),
            data_centre: state.data_centre.to_string(),
            incarnation: state.incarnation,
            version: state.version,
            ..Delta::default()
        };
        for change in changes {
            match change {
                LocalChange::Upsert(announcement) => {
                    delta.upserts.push(Endpoint::from(announcement.as_ref()));
                }
                LocalChange::Gone(name) => delta.gone.push(name.to_string()),
            }
        }
        delta
    }

    /// Sends to all peers in this data centre and to one relay in each other data centre.
    fn broadcast(&self, body: Body, turn: u64) {
        for peer in self.local_peers() {
            self.send(&peer, body.clone());
        }
        for relay in self.relays(turn) {
            self.send(&relay, with_relay_flag(body.clone()));
        }
    }

    fn send_heartbeats(&self, now: Timestamp, tick: u64) {
        let own = self.own_state();
        if own.version > 0 {
            for peer in self.local_peers() {
                self.send(&peer, Body::Heartbeat(Heartbeat::from(&own)));
            }
        }
        let local = self.local_peers();
        let rank = local.iter().filter(|peer| **peer < self.cx.instance).count();
        if rank >= SUMMARY_SENDERS {
            return;
        }
        let summary = Summary {
            data_centre: self.cx.data_centre.to_string(),
            digest: digest(&self.live_local_sponsors(now)),
            relay: true,
            ..Summary::default()
        };
        for relay in self.summary_relays(tick) {
            self.send(&relay, Body::Summary(summary.clone()));
        }
    }

    /// Returns the relays that get the summary that is sent at `tick`.
    fn summary_relays(&self, tick: u64) -> Vec<InstanceName> {
        // Turns are counted in summaries: steps of TICKS_PER_HEARTBEAT would skip some relays of a
        // data centre whose size shares a factor with it.
        self.relays(tick / TICKS_PER_HEARTBEAT)
    }

    /// Returns the live sponsors of this data centre, including this instance.
    fn live_local_sponsors(&self, now: Timestamp) -> Vec<SponsorState> {
        let sponsors = self.sponsors.lock().expect("not poisoned");
        let mut live = sponsors.live(&self.cx.data_centre, now);
        let own = self.own_state();
        if own.version > 0 {
            live.push(own);
        }
        live.sort_by(|a, b| a.sponsor.cmp(&b.sponsor));
        live
    }

    fn local_peers(&self) -> Vec<InstanceName> {
        let local = self.peers.live().into_iter();
        local.filter(|peer| peer.data_centre == self.cx.data_centre).map(|peer| peer.name).collect()
    }

    fn relays(&self, turn: u64) -> Vec<InstanceName> {
        let mut remote = BTreeMap::<DataCentre, Vec<InstanceName>>::new();
        for peer in self.peers.live() {
            if peer.data_centre != self.cx.data_centre {
                remote.entry(peer.data_centre).or_default().push(peer.name);
            }
        }
        // The start depends on the instance's name, so that a relay does not get the messages of
        // all instances at once.
        let start = u64::from(crc32fast::hash(self.cx.instance.as_str().as_bytes())) + turn;
        remote.into_values().map(|names| names[start as usize % names.len()].clone()).collect()
    }

    fn send(&self, to: &InstanceName, body: Body) {
        let payload = Envelope { body: Some(body) }.encode_to_vec();
        self.transport.send(to, Kind::Endpoints, payload.into());
    }

    async fn request(&self, to: &InstanceName, body: Body) -> Option<Body> {
        let payload = Envelope { body: Some(body) }.encode_to_vec();
        let answer =
            self.transport.call(to, Kind::Endpoints, payload.into(), PULL_TIMEOUT).await.ok()?;
        Envelope::decode(answer).ok()?.body
    }

    fn sponsor_lease(&self, data_centre: &DataCentre) -> Duration {
        match *data_centre == self.cx.data_centre {
            true => NEAR_SPONSOR_LEASE,
            false => FAR_SPONSOR_LEASE,
        }
    }

    fn record_heartbeat(&self, state: &SponsorState, now: Timestamp) -> bool {
        let lease = self.sponsor_lease(&state.data_centre);
        self.directory.renew_sponsor(&state.sponsor, lease, now);
        self.sponsors.lock().expect("not poisoned").record_heartbeat(state, lease, now)
    }

    fn forward_in_data_centre(&self, body: Body) {
        for peer in self.local_peers() {
            self.send(&peer, body.clone());
        }
    }

    async fn handle_delta(&self, mut delta: Delta) -> Result<(), NameError> {
        if std::mem::take(&mut delta.relay) {
            self.forward_in_data_centre(Body::Delta(delta.clone()));
        }
        let state = SponsorState {
            sponsor: delta.sponsor.try_into()?,
            data_centre: delta.data_centre.try_into()?,
            incarnation: delta.incarnation,
            version: delta.version,
        };
        let now = self.cx.clock.now();
        let outdated = self.record_heartbeat(&state, now);
        if !outdated {
            return Ok(());
        }
        let is_next = self.sponsors.lock().expect("not poisoned").advance(&state);
        if !is_next {
            self.pull_snapshot(&state.sponsor).await;
            return Ok(());
        }
        for announcement in announcements(delta.upserts) {
            self.directory.upsert_sponsored(&state.sponsor, announcement, now);
        }
        for name in delta.gone {
            self.directory.remove_sponsored(&state.sponsor, &name.try_into()?, now);
        }
        Ok(())
    }

    async fn handle_heartbeat(&self, state: SponsorState) {
        if self.record_heartbeat(&state, self.cx.clock.now()) {
            self.pull_snapshot(&state.sponsor).await;
        }
    }

    async fn handle_summary(
        &self,
        from: &InstanceName,
        mut summary: Summary,
    ) -> Result<(), NameError> {
        if std::mem::take(&mut summary.relay) {
            self.forward_in_data_centre(Body::Summary(summary.clone()));
        }
        let data_centre = DataCentre::try_from(summary.data_centre)?;
        let held = self.sponsors.lock().expect("not poisoned").held(&data_centre);
        if digest(&held) == summary.digest {
            let now = self.cx.clock.now();
            let mut expired = held;
            expired.retain(|state| self.record_heartbeat(state, now));
            for state in expired {
                self.pull_snapshot(&state.sponsor).await;
            }
            return Ok(());
        }
        self.pull_summary(from, &data_centre).await;
        Ok(())
    }
}

async fn run(gossip: std::sync::Weak<Gossip>) {
    let mut count = 0;
    loop {
        tokio::time::sleep(TICK).await;
        let Some(gossip) = gossip.upgrade() else {
            return;
        };
        gossip.tick(count);
        count += 1;
    }
}

struct GossipHandler(Arc<Gossip>);

#[async_trait]
impl Handler for GossipHandler {
    async fn handle(&self, from: &InstanceName, payload: Bytes) -> Result<Bytes, String> {
        let envelope = Envelope::decode(payload).map_err(|cause| cause.to_string())?;
        let text = |cause: NameError| cause.to_string();
        let gossip = &self.0;
        let answer = match envelope.body.ok_or("the message is empty")? {
            Body::Delta(delta) => gossip.handle_delta(delta).await.map(|()| None).map_err(text)?,
            Body::Heartbeat(raw) => {
                gossip.handle_heartbeat(raw.try_into().map_err(text)?).await;
                None
            }
            Body::Summary(summary) => {
                gossip.handle_summary(from, summary).await.map(|()| None).map_err(text)?
            }
            Body::SummaryRequest(request) => Some(gossip.answer_summary(request).map_err(text)?),
            Body::SnapshotRequest(_) => Some(gossip.answer_snapshot()),
            Body::Snapshot(_) => return Err("unrequested snapshot".to_owned()),
        };
        let answer = answer.map(|body| Envelope { body: Some(body) }.encode_to_vec());
        Ok(answer.unwrap_or_default().into())
    }
}

fn with_relay_flag(body: Body) -> Body {
    match body {
        Body::Delta(delta) => Body::Delta(Delta { relay: true, ..delta }),
        other => other,
    }
}

fn announcements(raw: Vec<Endpoint>) -> Vec<Announcement> {
    // Skips endpoints that this version cannot parse, as a newer version may send them.
    raw.into_iter().filter_map(|one| Announcement::try_from(one).ok()).collect()
}

impl From<&SponsorState> for Heartbeat {
    fn from(state: &SponsorState) -> Self {
        Self {
            sponsor: state.sponsor.to_string(),
            data_centre: state.data_centre.to_string(),
            incarnation: state.incarnation,
            version: state.version,
        }
    }
}

impl TryFrom<Heartbeat> for SponsorState {
    type Error = NameError;

    fn try_from(raw: Heartbeat) -> Result<Self, NameError> {
        Ok(Self {
            sponsor: raw.sponsor.try_into()?,
            data_centre: raw.data_centre.try_into()?,
            incarnation: raw.incarnation,
            version: raw.version,
        })
    }
}

#[cfg(test)]
mod tests;
