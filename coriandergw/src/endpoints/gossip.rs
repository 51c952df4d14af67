//! Spreads what endpoints announce to the other instances.
//!
//! A sponsor sends changes at once to its data centre and to one relay of each other data centre,
//! which passes them on. Renewals do not spread: within the data centre the sponsor sends small
//! heartbeats, and other data centres get a digest of the live sponsors, which is answered by a
//! request for the list only if it differs from what is held there.

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
use crate::endpoints::gossip::sponsors::Beat;
use crate::endpoints::gossip::sponsors::Sponsors;
use crate::endpoints::gossip::sponsors::digest;
use crate::events::EventNumber;
use crate::events::Subject;
use crate::ids::DataCentre;
use crate::ids::InstanceName;
use crate::ids::NameError;
use crate::transport::Handler;
use crate::transport::Kind;
use crate::transport::Transport;

mod repair;
pub mod sponsors;

/// How often expired endpoints are removed and changes are sent.
const TICK: Duration = Duration::from_millis(100);

/// How many ticks pass between two heartbeats and between two summaries.
const TICKS_PER_BEAT: u64 = 6;

/// How many instances of a data centre send its summary.
const SUMMARY_SENDERS: usize = 2;

/// How long an answer with a summary or a snapshot may take.
const PULL_TIMEOUT: Duration = Duration::from_millis(500);

/// Another live instance.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord)]
pub struct Peer {
    /// Its data centre.
    pub data_centre: DataCentre,
    /// Its name.
    pub name: InstanceName,
}

/// Knows the other live instances.
pub trait Peers: Send + Sync {
    /// Returns the live instances without this one.
    fn live(&self) -> Vec<Peer>;
}

/// The peers of an instance that is alone.
#[derive(Debug, Default)]
pub struct NoPeers;

impl Peers for NoPeers {
    fn live(&self) -> Vec<Peer> {
        Vec::new()
    }
}

/// Spreads and receives what endpoints announce.
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
    /// Registers the handler, starts the periodic work and returns.
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
        tokio::spawn(run(Arc::downgrade(&gossip)));
        gossip
    }

    fn tick(&self, count: u64) {
        let now = self.cx.clock.now();
        for name in self.directory.expire(now) {
            let subject = Subject { peer: Some(name.to_string()), ..Subject::default() };
            self.cx.events.record(EventNumber::EndpointSilent, subject, "no renewal came");
        }
        let changes = self.directory.take_changes();
        if !changes.is_empty() {
            self.version.fetch_add(1, Ordering::Relaxed);
            self.spread(Body::Delta(self.delta(changes)), count);
        }
        if count.is_multiple_of(TICKS_PER_BEAT) {
            self.beat(now, count);
        }
    }

    fn own_beat(&self) -> Beat {
        Beat {
            sponsor: self.cx.instance.clone(),
            data_centre: self.cx.data_centre.clone(),
            incarnation: self.incarnation,
            version: self.version.load(Ordering::Relaxed),
        }
    }

    fn delta(&self, changes: Vec<LocalChange>) -> Delta {
        let beat = self.own_beat();
        let mut delta = Delta {
            sponsor: beat.sponsor.to_string(),
            data_centre: beat.data_centre.to_string(),
            incarnation: beat.incarnation,
            version: beat.version,
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

    /// Sends to the own data centre and to one relay of each other one.
    fn spread(&self, body: Body, turn: u64) {
        for peer in self.near_peers() {
            self.send(&peer, body.clone());
        }
        for relay in self.relays(turn) {
            self.send(&relay, for_relay(body.clone()));
        }
    }

    fn beat(&self, now: Timestamp, count: u64) {
        let own = self.own_beat();
        if own.version > 0 {
            for peer in self.near_peers() {
                self.send(&peer, Body::Heartbeat(Heartbeat::from(&own)));
            }
        }
        let near = self.near_peers();
        let rank = near.iter().filter(|peer| **peer < self.cx.instance).count();
        if rank >= SUMMARY_SENDERS {
            return;
        }
        let summary = Summary {
            data_centre: self.cx.data_centre.to_string(),
            digest: digest(&self.live_here(now)),
            relay: true,
            ..Summary::default()
        };
        for relay in self.summary_relays(count) {
            self.send(&relay, Body::Summary(summary.clone()));
        }
    }

    /// Returns the relays that get the summary of tick `count`.
    fn summary_relays(&self, count: u64) -> Vec<InstanceName> {
        // Counted in summaries: steps of several ticks would meet the same relay of some again.
        self.relays(count / TICKS_PER_BEAT)
    }

    /// Returns the live sponsors of this data centre, this instance among them.
    fn live_here(&self, now: Timestamp) -> Vec<Beat> {
        let sponsors = self.sponsors.lock().expect("not poisoned");
        let mut live = sponsors.live(&self.cx.data_centre, now);
        let own = self.own_beat();
        if own.version > 0 {
            live.push(own);
        }
        live.sort_by(|a, b| a.sponsor.cmp(&b.sponsor));
        live
    }

    fn near_peers(&self) -> Vec<InstanceName> {
        let near = self.peers.live().into_iter();
        near.filter(|peer| peer.data_centre == self.cx.data_centre).map(|peer| peer.name).collect()
    }

    fn relays(&self, turn: u64) -> Vec<InstanceName> {
        let mut far = BTreeMap::<DataCentre, Vec<InstanceName>>::new();
        for peer in self.peers.live() {
            if peer.data_centre != self.cx.data_centre {
                far.entry(peer.data_centre).or_default().push(peer.name);
            }
        }
        // The start differs between instances so that no relay gets all messages at once.
        let start = u64::from(crc32fast::hash(self.cx.instance.as_str().as_bytes())) + turn;
        far.into_values().map(|names| names[start as usize % names.len()].clone()).collect()
    }

    fn send(&self, to: &InstanceName, body: Body) {
        let payload = Envelope { body: Some(body) }.encode_to_vec();
        self.transport.send(to, Kind::Endpoints, payload.into());
    }

    async fn ask(&self, to: &InstanceName, body: Body) -> Option<Body> {
        let payload = Envelope { body: Some(body) }.encode_to_vec();
        let answer =
            self.transport.call(to, Kind::Endpoints, payload.into(), PULL_TIMEOUT).await.ok()?;
        Envelope::decode(answer).ok()?.body
    }

    fn lease_of(&self, data_centre: &DataCentre) -> Duration {
        match *data_centre == self.cx.data_centre {
            true => NEAR_SPONSOR_LEASE,
            false => FAR_SPONSOR_LEASE,
        }
    }

    fn hear(&self, beat: &Beat, now: Timestamp) -> bool {
        let lease = self.lease_of(&beat.data_centre);
        self.directory.renew_sponsor(&beat.sponsor, lease, now);
        self.sponsors.lock().expect("not poisoned").hear(beat, lease, now)
    }

    fn pass_on(&self, body: Body) {
        for peer in self.near_peers() {
            self.send(&peer, body.clone());
        }
    }

    async fn take_delta(&self, mut delta: Delta) -> Result<(), NameError> {
        if std::mem::take(&mut delta.relay) {
            self.pass_on(Body::Delta(delta.clone()));
        }
        let beat = Beat {
            sponsor: delta.sponsor.try_into()?,
            data_centre: delta.data_centre.try_into()?,
            incarnation: delta.incarnation,
            version: delta.version,
        };
        let now = self.cx.clock.now();
        let behind = self.hear(&beat, now);
        if !behind {
            return Ok(());
        }
        let follows = self.sponsors.lock().expect("not poisoned").advance(&beat);
        if !follows {
            self.pull_snapshot(&beat.sponsor).await;
            return Ok(());
        }
        for announcement in announcements(delta.upserts) {
            self.directory.vouch(&beat.sponsor, announcement, now);
        }
        for name in delta.gone {
            self.directory.retract(&beat.sponsor, &name.try_into()?);
        }
        Ok(())
    }

    async fn take_beat(&self, beat: Beat) {
        if self.hear(&beat, self.cx.clock.now()) {
            self.pull_snapshot(&beat.sponsor).await;
        }
    }

    async fn take_summary(
        &self,
        from: &InstanceName,
        mut summary: Summary,
    ) -> Result<(), NameError> {
        if std::mem::take(&mut summary.relay) {
            self.pass_on(Body::Summary(summary.clone()));
        }
        let data_centre = DataCentre::try_from(summary.data_centre)?;
        let held = self.sponsors.lock().expect("not poisoned").held(&data_centre);
        if digest(&held) == summary.digest {
            let now = self.cx.clock.now();
            let mut expired = held;
            expired.retain(|beat| self.hear(beat, now));
            for beat in expired {
                self.pull_snapshot(&beat.sponsor).await;
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
            Body::Delta(delta) => gossip.take_delta(delta).await.map(|()| None).map_err(text)?,
            Body::Heartbeat(raw) => {
                gossip.take_beat(raw.try_into().map_err(text)?).await;
                None
            }
            Body::Summary(summary) => {
                gossip.take_summary(from, summary).await.map(|()| None).map_err(text)?
            }
            Body::SummaryRequest(request) => Some(gossip.answer_summary(request).map_err(text)?),
            Body::SnapshotRequest(_) => Some(gossip.answer_snapshot()),
            Body::Snapshot(_) => return Err("a snapshot was not asked for".to_owned()),
        };
        let answer = answer.map(|body| Envelope { body: Some(body) }.encode_to_vec());
        Ok(answer.unwrap_or_default().into())
    }
}

fn for_relay(body: Body) -> Body {
    match body {
        Body::Delta(delta) => Body::Delta(Delta { relay: true, ..delta }),
        other => other,
    }
}

fn announcements(raw: Vec<Endpoint>) -> Vec<Announcement> {
    // What a newer version of the project sends and this one cannot read is left out.
    raw.into_iter().filter_map(|one| Announcement::try_from(one).ok()).collect()
}

impl From<&Beat> for Heartbeat {
    fn from(beat: &Beat) -> Self {
        Self {
            sponsor: beat.sponsor.to_string(),
            data_centre: beat.data_centre.to_string(),
            incarnation: beat.incarnation,
            version: beat.version,
        }
    }
}

impl TryFrom<Heartbeat> for Beat {
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
