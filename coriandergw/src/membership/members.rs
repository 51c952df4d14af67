//! Decides who is probed and answers messages.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::time::Duration;

use rand::Rng;
use rand::seq::IteratorRandom;

use crate::clock::Timestamp;
use crate::ids::DataCentre;
use crate::ids::InstanceName;
use crate::membership::Member;
use crate::membership::MemberState;
use crate::membership::Message;
use crate::membership::MessageKind;
use crate::membership::Outgoing;
use crate::membership::Timing;
use crate::membership::Update;
use crate::membership::gossip::UpdateQueue;
use crate::membership::probes::Probes;
use crate::membership::suspicion::new_member;
use crate::membership::suspicion::update_of;

/// How late a tick may be before the probes under way are void.
const LATE_TICK_LIMIT: Duration = Duration::from_millis(400);

/// The instances that are asked to probe a silent member, or are told of it at once.
const HELPERS: usize = 3;

/// The most members of whose silence others spoke that are probed in one tick.
const CHECKS_PER_TICK: usize = 3;

/// The members of the cluster as one instance sees them.
#[derive(Debug)]
pub struct Members {
    pub(super) name: InstanceName,
    pub(super) data_centre: DataCentre,
    pub(super) timing: Timing,
    pub(super) incarnation: u64,
    pub(super) leaving: bool,
    pub(super) members: BTreeMap<InstanceName, Member>,
    pub(super) probes: Probes,
    pub(super) news: UpdateQueue,
    /// The members that others found silent and that this instance is to probe itself.
    pub(super) members_to_probe: BTreeSet<InstanceName>,
    /// The members of whose silence others are to be told at once.
    pub(super) members_to_notify: BTreeSet<InstanceName>,
    probe_at: Timestamp,
    ticked_at: Timestamp,
    pub(super) heard_at: Timestamp,
    pub(super) charged_at: Option<Timestamp>,
}

impl Members {
    /// Creates the view of an instance that knows no other yet.
    pub fn new(
        name: InstanceName,
        data_centre: DataCentre,
        incarnation: u64,
        timing: Timing,
        now: Timestamp,
    ) -> Self {
        let mut members = Self {
            name,
            data_centre,
            timing,
            incarnation,
            leaving: false,
            members: BTreeMap::new(),
            probes: Probes::new(timing),
            news: UpdateQueue::default(),
            members_to_probe: BTreeSet::new(),
            members_to_notify: BTreeSet::new(),
            probe_at: now,
            ticked_at: now,
            heard_at: now,
            charged_at: None,
        };
        members.announce_self();
        members
    }

    /// Adds a registered instance that is not known yet.
    pub fn add(&mut self, name: InstanceName, data_centre: DataCentre, now: Timestamp) {
        if name != self.name {
            self.members.entry(name).or_insert_with(|| new_member(data_centre, now));
        }
    }

    /// Removes the members that have been dead for longer than `limit`, unless `keep` says
    /// otherwise.
    pub fn forget_dead<F>(&mut self, limit: Duration, now: Timestamp, keep: F)
    where
        F: Fn(&InstanceName) -> bool,
    {
        self.members.retain(|name, member| {
            let is_old = member.state == MemberState::Dead && now.since(member.since) > limit;
            !is_old || keep(name)
        });
    }

    /// Returns what is known of the other instances.
    pub fn members(&self) -> &BTreeMap<InstanceName, Member> {
        &self.members
    }

    /// Tells the others that this instance is leaving.
    pub fn leave(&mut self) {
        self.leaving = true;
        self.incarnation += 1;
        self.announce_self();
        // The news goes out with the next tick.
        self.probe_at = Timestamp::default();
    }

    /// Returns whether anything was heard of another instance.
    pub fn has_joined(&self) -> bool {
        self.members.values().any(|member| member.incarnation > 0)
    }

    /// Returns the request for all members, for an instance that knows none.
    pub fn join(&self) -> Message {
        Message { kind: MessageKind::Join, updates: vec![self.own_update()] }
    }

    /// Voids a probe that could not be sent, which says nothing about its target.
    pub fn discard_probe(&mut self, sequence: u64) {
        self.probes.answered(sequence);
    }

    /// Does what is due at `now` and returns the messages to send.
    pub fn tick<R>(&mut self, now: Timestamp, rng: &mut R) -> Vec<Outgoing>
    where
        R: Rng,
    {
        if now.since(self.ticked_at) > LATE_TICK_LIMIT {
            self.probes.clear();
            self.heard_at = self.heard_at.max(self.ticked_at);
        }
        self.ticked_at = now;
        let mut kinds = self.ask_helpers(now, rng);
        let failed = self.probes.take_failed(now);
        if self.is_doubtful(now) {
            self.restart_suspicions(now);
        } else {
            failed.into_iter().for_each(|target| self.accuse(&target, now));
            self.declare_dead(now);
        }
        kinds.extend(self.check_some(now));
        if let Some(silent) = self.members_to_notify.pop_first() {
            kinds.extend(self.tell_some(&silent, now, rng));
        }
        if now >= self.probe_at {
            self.probe_at = now + self.timing.probe_interval;
            let targets = self.targets(rng);
            if let Some(target) = self.probes.next_target(&targets, rng) {
                kinds.push(self.ping(target, now));
            }
        }
        kinds.into_iter().map(|(to, kind)| self.outgoing(to, kind)).collect()
    }

    fn ping(&mut self, target: InstanceName, now: Timestamp) -> (InstanceName, MessageKind) {
        let sequence = self.probes.start(target.clone(), now);
        (target, MessageKind::Ping { sequence })
    }

    fn ask_helpers<R>(&mut self, now: Timestamp, rng: &mut R) -> Vec<(InstanceName, MessageKind)>
    where
        R: Rng,
    {
        let mut kinds = Vec::new();
        for (sequence, target) in self.probes.due_for_helpers(now) {
            for helper in self.helpers(&target, HELPERS, rng) {
                let target = target.clone();
                kinds.push((helper, MessageKind::PingRequest { sequence, target }));
            }
        }
        kinds
    }

    /// Probes some members at once, so that the news of a silent one travels with it.
    fn tell_some<R>(
        &mut self,
        silent: &InstanceName,
        now: Timestamp,
        rng: &mut R,
    ) -> Vec<(InstanceName, MessageKind)>
    where
        R: Rng,
    {
        let targets = self.targets(rng).into_iter();
        let takes_news =
            |name: &InstanceName| name != silent && self.members[name].state == MemberState::Alive;
        let chosen = targets.filter(takes_news).choose_multiple(rng, HELPERS);
        chosen.into_iter().map(|target| self.ping(target, now)).collect()
    }

    /// Probes some of the members that others found silent.
    fn check_some(&mut self, now: Timestamp) -> Vec<(InstanceName, MessageKind)> {
        let mut kinds = Vec::new();
        while kinds.len() < CHECKS_PER_TICK
            && let Some(target) = self.members_to_probe.pop_first()
        {
            if !self.probes.has_target(&target) {
                kinds.push(self.ping(target, now));
            }
        }
        kinds
    }

    /// Takes a message and returns the messages to send.
    pub fn receive(
        &mut self,
        from: &InstanceName,
        message: Message,
        now: Timestamp,
    ) -> Vec<Outgoing> {
        self.heard_at = now;
        self.record_contact(from, now);
        for update in message.updates {
            self.learn(update, now);
        }
        let (to, kind) = match message.kind {
            MessageKind::Ping { sequence } => (from.clone(), MessageKind::Ack { sequence }),
            MessageKind::PingRequest { sequence, target } => {
                (target, MessageKind::RelayedPing { sequence, origin: from.clone() })
            }
            MessageKind::RelayedPing { sequence, origin } => {
                (from.clone(), MessageKind::RelayedAck { sequence, origin })
            }
            MessageKind::RelayedAck { sequence, origin } => (origin, MessageKind::Ack { sequence }),
            MessageKind::Ack { sequence } => {
                self.probes.answered(sequence);
                return Vec::new();
            }
            MessageKind::Join => return vec![self.welcome(from)],
            MessageKind::Welcome => return Vec::new(),
        };
        vec![self.outgoing(to, kind)]
    }

    fn outgoing(&mut self, to: InstanceName, kind: MessageKind) -> Outgoing {
        let mut updates = self.news.take(self.members.len());
        // A suspected receiver must hear of it, or it could not refute.
        if let Some(member) = self.members.get(&to).filter(|m| m.state != MemberState::Alive) {
            updates.push(update_of(&to, member, None));
        }
        Outgoing { to, message: Message { kind, updates } }
    }

    fn welcome(&self, to: &InstanceName) -> Outgoing {
        let others = self.members.iter().filter(|(name, _)| *name != to);
        let live = others.filter(|(_, member)| member.state != MemberState::Dead);
        let updates = live.map(|(name, member)| update_of(name, member, None));
        let updates = updates.chain([self.own_update()]).collect();
        Outgoing { to: to.clone(), message: Message { kind: MessageKind::Welcome, updates } }
    }

    pub(super) fn announce_self(&mut self) {
        self.news.add(self.own_update());
    }

    fn own_update(&self) -> Update {
        let state = if self.leaving { MemberState::Leaving } else { MemberState::Alive };
        Update {
            name: self.name.clone(),
            data_centre: self.data_centre.clone(),
            state,
            incarnation: self.incarnation,
            accuser: None,
        }
    }
}
