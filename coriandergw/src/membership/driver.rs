//! Runs the membership protocol of one instance over the transport.

use std::collections::BTreeSet;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::Weak;
use std::time::Duration;

use arc_swap::ArcSwap;
use async_trait::async_trait;
use bytes::Bytes;
use rand::seq::IndexedRandom;

use crate::clock::Timestamp;
use crate::context::Context;
use crate::endpoints::gossip::Peers;
use crate::events::EventNumber;
use crate::events::Subject;
use crate::ids::InstanceName;
use crate::membership::Liveness;
use crate::membership::MemberStatus;
use crate::membership::Members;
use crate::membership::Message;
use crate::membership::MessageKind;
use crate::membership::Outgoing;
use crate::membership::Timing;
use crate::membership::wire;
use crate::supervision;
use crate::transport::Handler;
use crate::transport::Kind;
use crate::transport::Transport;
use crate::transport::TransportError;

/// The time between two ticks of [`Members`].
const TICK_INTERVAL: Duration = Duration::from_millis(50);

/// The number of ticks between two reads of the registered instances.
const TICKS_PER_SYNC: u64 = 20;

/// The number of ticks between two join requests, until an update of another instance arrives.
const TICKS_PER_JOIN: u64 = 10;

/// The number of seeds that one join request is sent to.
const SEEDS_ASKED: usize = 3;

/// How long a dead member is kept if it is not registered.
const FORGET_AFTER: Duration = Duration::from_secs(60);

/// The label value of the gauge that counts the avoided instances.
const AVOIDED_STATE: &str = "members_avoided";

/// Probes other instances and answers their probes.
pub struct Membership {
    cx: Context,
    transport: Arc<dyn Transport>,
    seeds: Vec<InstanceName>,
    registered: Arc<dyn Peers>,
    timing: Timing,
    members: Mutex<Members>,
    avoided: ArcSwap<BTreeSet<InstanceName>>,
}

impl Membership {
    /// Registers the message handler and starts the probes in the background.
    ///
    /// The instance joins through `seeds`. The transport must know the addresses of the seeds and
    /// of the `registered` instances.
    pub fn start(
        cx: Context,
        transport: Arc<dyn Transport>,
        seeds: Vec<InstanceName>,
        registered: Arc<dyn Peers>,
        timing: Timing,
    ) -> Arc<Self> {
        let incarnation = cx.clock.wall().0;
        let name = cx.instance.clone();
        let now = cx.clock.now();
        let members = Members::new(name, cx.data_centre.clone(), incarnation, timing, now);
        let membership = Arc::new(Self {
            cx,
            transport: transport.clone(),
            seeds,
            registered,
            timing,
            members: Mutex::new(members),
            avoided: ArcSwap::default(),
        });
        transport.register(Kind::Membership, Arc::new(ProbeHandler(membership.clone())));
        let probing = run(Arc::downgrade(&membership));
        tokio::spawn(supervision::finite(membership.cx.clone(), "probe members", probing));
        membership
    }

    /// Tells the others that this instance is leaving.
    pub fn leave(&self) {
        self.members.lock().expect("not poisoned").leave();
    }

    /// Returns the status of the other instances as this one sees them.
    pub fn status(&self) -> Vec<MemberStatus> {
        let now = self.cx.clock.now();
        let members = self.members.lock().expect("not poisoned");
        let avoided = self.avoided.load();
        let status = |(name, member)| MemberStatus::new(name, member, avoided.contains(name), now);
        members.members().iter().map(status).collect()
    }

    fn tick(self: &Arc<Self>, count: u64) {
        let now = self.cx.clock.now();
        if count.is_multiple_of(TICKS_PER_SYNC) {
            self.add_registered(now);
        }
        let mut members = self.members.lock().expect("not poisoned");
        let outgoing = members.tick(now, &mut rand::rng());
        let avoided = members.avoided(now);
        let must_join = count.is_multiple_of(TICKS_PER_JOIN) && !members.has_joined();
        let join = must_join.then(|| members.join());
        drop(members);
        self.update_avoided(avoided);
        self.send_all(outgoing);
        if let Some(join) = join {
            self.ask_seeds(&join);
        }
    }

    fn add_registered(&self, now: Timestamp) {
        let registered = self.registered.live();
        let names: BTreeSet<_> = registered.iter().map(|peer| peer.name.clone()).collect();
        let mut members = self.members.lock().expect("not poisoned");
        for peer in registered {
            members.add(peer.name, peer.data_centre, now);
        }
        members.forget_dead(FORGET_AFTER, now, |name| names.contains(name));
    }

    fn update_avoided(&self, avoided: BTreeSet<InstanceName>) {
        let before = self.avoided.load_full();
        if *before == avoided {
            return;
        }
        let record = |number, name: &InstanceName, message: &str| {
            let subject = Subject { peer: Some(name.to_string()), ..Subject::default() };
            self.cx.events.record(number, subject, message);
        };
        for name in avoided.difference(&before) {
            record(EventNumber::MemberAvoided, name, "the instance does not answer or is leaving");
        }
        for name in before.difference(&avoided) {
            record(
                EventNumber::MemberUsedAgain,
                name,
                "the instance answers again or was removed, or this instance may be faulty itself",
            );
        }
        let gauge = self.cx.metrics.states.with_label_values(&[AVOIDED_STATE]);
        gauge.set(avoided.len() as i64);
        self.avoided.store(Arc::new(avoided));
    }

    fn ask_seeds(self: &Arc<Self>, join: &Message) {
        let others: Vec<_> = self.seeds.iter().filter(|seed| **seed != self.cx.instance).collect();
        for seed in others.choose_multiple(&mut rand::rng(), SEEDS_ASKED) {
            let to = InstanceName::clone(seed);
            self.send_all(vec![Outgoing { to, message: join.clone() }]);
        }
    }

    fn send_all(self: &Arc<Self>, outgoing: Vec<Outgoing>) {
        for Outgoing { to, message } in outgoing {
            if expects_answer(&message.kind) {
                let exchanging = self.clone().exchange(to, message);
                tokio::spawn(supervision::isolated("probe a member", exchanging));
            } else {
                self.transport.send(&to, Kind::Membership, wire::encode(message));
            }
        }
    }

    /// Sends a request and processes its answer.
    async fn exchange(self: Arc<Self>, to: InstanceName, message: Message) {
        let kind = message.kind.clone();
        let payload = wire::encode(message);
        let timeout = self.timing.probe_timeout;
        match self.transport.call(&to, Kind::Membership, payload, timeout).await {
            Ok(answer) => match wire::decode(answer) {
                Ok(answer) => self.send_all(self.receive(&to, answer)),
                Err(cause) => self.record_refusal(&to, cause),
            },
            Err(TransportError::UnknownPeer { .. }) => self.discard_probe(&kind),
            // `Members` detects the time-out of the probe itself.
            Err(_) => self.transport.reconnect(&to),
        }
    }

    /// Discards a probe that could not be sent and so says nothing about its target.
    fn discard_probe(&self, kind: &MessageKind) {
        if let MessageKind::Ping { sequence } = kind {
            self.members.lock().expect("not poisoned").discard_probe(*sequence);
        }
    }

    fn receive(&self, from: &InstanceName, message: Message) -> Vec<Outgoing> {
        let now = self.cx.clock.now();
        self.members.lock().expect("not poisoned").receive(from, message, now)
    }

    fn record_refusal(&self, from: &InstanceName, cause: String) {
        let subject = Subject { peer: Some(from.to_string()), ..Subject::default() };
        self.cx.events.record(EventNumber::MembershipMessageRefused, subject, cause);
    }
}

impl Liveness for Membership {
    fn is_avoided(&self, name: &InstanceName) -> bool {
        self.avoided.load().contains(name)
    }
}

/// Returns whether the receiver answers within the same call.
fn expects_answer(kind: &MessageKind) -> bool {
    matches!(kind, MessageKind::Ping { .. } | MessageKind::RelayedPing { .. } | MessageKind::Join)
}

async fn run(membership: Weak<Membership>) {
    let mut count = 0;
    loop {
        tokio::time::sleep(TICK_INTERVAL).await;
        let Some(membership) = membership.upgrade() else {
            return;
        };
        membership.tick(count);
        count += 1;
    }
}

struct ProbeHandler(Arc<Membership>);

#[async_trait]
impl Handler for ProbeHandler {
    async fn handle(&self, from: &InstanceName, payload: Bytes) -> Result<Bytes, String> {
        let message = wire::decode(payload).inspect_err(|cause| {
            self.0.record_refusal(from, cause.clone());
        })?;
        let outgoing = self.0.receive(from, message).into_iter();
        // The message to the sender is returned as the answer of its call.
        let (answers, others): (Vec<_>, Vec<_>) = outgoing.partition(|one| one.to == *from);
        self.0.send_all(others);
        let answer = answers.into_iter().next();
        Ok(answer.map_or_else(Bytes::new, |answer| wire::encode(answer.message)))
    }
}
