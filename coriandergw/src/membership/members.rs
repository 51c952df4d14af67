//! Sends probes and answers messages.

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

/// The time since the last tick above which the probes in flight are discarded, because this
/// instance was stalled and may have missed the answers.
const LATE_TICK_LIMIT: Duration = Duration::from_millis(400);

/// The number of members that are asked to probe a member that has not answered, or that are told
/// of a suspicion at once.
const HELPERS: usize = 3;

/// The maximum number of members probed in one tick because other instances suspect them.
const SUSPECT_PROBES_PER_TICK: usize = 3;

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
    pub(super) update_queue: UpdateQueue,
    /// The members that others suspect and that this instance is to probe itself.
    pub(super) members_to_probe: BTreeSet<InstanceName>,
    /// The suspected members of which others are to be told at once.
    pub(super) members_to_notify: BTreeSet<InstanceName>,
    next_probe_at: Timestamp,
    last_tick_at: Timestamp,
    pub(super) last_received_at: Timestamp,
    pub(super) accused_at: Option<Timestamp>,
}

impl Members {
    /// Creates the view of an instance that knows no other instance yet.
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
            update_queue: UpdateQueue::default(),
            members_to_probe: BTreeSet::new(),
            members_to_notify: BTreeSet::new(),
            next_probe_at: now,
            last_tick_at: now,
            last_received_at: now,
            accused_at: None,
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

    /// Removes the members that have been dead for longer than `limit`, except those for which
    /// `keep` returns `true`.
    pub fn forget_dead<F>(&mut self, limit: Duration, now: Timestamp, keep: F)
    where
        F: Fn(&InstanceName) -> bool,
    {
        self.members.retain(|name, member| {
            let is_old = member.state == MemberState::Dead && now.since(member.since) > limit;
            !is_old || keep(name)
        });
    }

    /// Returns the records of the other instances.
    pub fn members(&self) -> &BTreeMap<InstanceName, Member> {
        &self.members
    }

    /// Tells the others that this instance is leaving.
    pub fn leave(&mut self) {
        self.leaving = true;
        self.incarnation += 1;
        self.announce_self();
        // The next tick sends a probe, which carries the update.
        self.next_probe_at = Timestamp::default();
    }

    /// Returns whether an update of any other instance has been received.
    pub fn has_joined(&self) -> bool {
        self.members.values().any(|member| member.incarnation > 0)
    }

    /// Returns the request for the full list of members, to be sent to a seed.
    pub fn join(&self) -> Message {
        Message { kind: MessageKind::Join, updates: vec![self.own_update()] }
    }

    /// Removes a probe that could not be sent and so says nothing about its target.
    pub fn discard_probe(&mut self, sequence: u64) {
        self.probes.remove(sequence);
    }

    /// Processes time-outs, starts the probes due at `now` and returns the messages to send.
    pub fn tick<R>(&mut self, now: Timestamp, rng: &mut R) -> Vec<Outgoing>
    where
        R: Rng,
    {
        if now.since(self.last_tick_at) > LATE_TICK_LIMIT {
            self.probes.clear();
            self.last_received_at = self.last_received_at.max(self.last_tick_at);
        }
        self.last_tick_at = now;
        let mut messages = self.ask_helpers(now, rng);
        let timed_out = self.probes.take_timed_out(now);
        if self.may_be_faulty(now) {
            self.restart_suspicions(now);
        } else {
            timed_out.into_iter().for_each(|target| self.accuse(&target, now));
            self.declare_dead(now);
        }
        messages.extend(self.probe_suspects(now));
        if let Some(suspect) = self.members_to_notify.pop_first() {
            messages.extend(self.spread_suspicion(&suspect, now, rng));
        }
        if now >= self.next_probe_at {
            self.next_probe_at = now + self.timing.probe_interval;
            let targets = self.targets(rng);
            if let Some(target) = self.probes.next_target(&targets, rng) {
                messages.push(self.ping(target, now));
            }
        }
        messages.into_iter().map(|(to, kind)| self.outgoing(to, kind)).collect()
    }

    fn ping(&mut self, target: InstanceName, now: Timestamp) -> (InstanceName, MessageKind) {
        let sequence = self.probes.start(target.clone(), now);
        (target, MessageKind::Ping { sequence })
    }

    fn ask_helpers<R>(&mut self, now: Timestamp, rng: &mut R) -> Vec<(InstanceName, MessageKind)>
    where
        R: Rng,
    {
        let mut messages = Vec::new();
        for (sequence, target) in self.probes.due_for_helpers(now) {
            for helper in self.helpers(&target, HELPERS, rng) {
                let target = target.clone();
                messages.push((helper, MessageKind::PingRequest { sequence, target }));
            }
        }
        messages
    }

    /// Probes some members at once, so that the suspicion of `suspect` is piggybacked on the
    /// probes.
    fn spread_suspicion<R>(
        &mut self,
        suspect: &InstanceName,
        now: Timestamp,
        rng: &mut R,
    ) -> Vec<(InstanceName, MessageKind)>
    where
        R: Rng,
    {
        let targets = self.targets(rng).into_iter();
        let is_receiver =
            |name: &InstanceName| name != suspect && self.members[name].state == MemberState::Alive;
        let chosen = targets.filter(is_receiver).choose_multiple(rng, HELPERS);
        chosen.into_iter().map(|target| self.ping(target, now)).collect()
    }

    /// Probes some of the members that other instances suspect.
    fn probe_suspects(&mut self, now: Timestamp) -> Vec<(InstanceName, MessageKind)> {
        let mut messages = Vec::new();
        while messages.len() < SUSPECT_PROBES_PER_TICK
            && let Some(target) = self.members_to_probe.pop_first()
        {
            if !self.probes.has_target(&target) {
                messages.push(self.ping(target, now));
            }
        }
        messages
    }

    /// Processes a message and returns the messages to send in response.
    pub fn receive(
        &mut self,
        from: &InstanceName,
        message: Message,
        now: Timestamp,
    ) -> Vec<Outgoing> {
        self.last_received_at = now;
        self.record_contact(from, now);
        for update in message.updates {
            self.apply_update(update, now);
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
                self.probes.remove(sequence);
                return Vec::new();
            }
            MessageKind::Join => return vec![self.welcome(from)],
            MessageKind::Welcome => return Vec::new(),
        };
        vec![self.outgoing(to, kind)]
    }

    fn outgoing(&mut self, to: InstanceName, kind: MessageKind) -> Outgoing {
        let mut updates = self.update_queue.take(self.members.len());
        // A receiver that is recorded as suspect, leaving or dead is told so and can refute it.
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
        self.update_queue.add(self.own_update());
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
