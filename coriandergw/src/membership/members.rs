//! Decides who is probed, suspected and declared dead.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::time::Duration;

use rand::Rng;
use rand::seq::IndexedRandom;

use crate::clock::Timestamp;
use crate::ids::DataCentre;
use crate::ids::InstanceName;
use crate::membership::Member;
use crate::membership::MemberState;
use crate::membership::Update;
use crate::membership::gossip::News;
use crate::membership::probes::Probes;

/// The time between two probes.
const PROBE_INTERVAL: Duration = Duration::from_millis(500);

/// How long a suspected member has to refute the suspicion.
const SUSPICION_LIMIT: Duration = Duration::from_secs(3);

/// How long an instance that hears nothing at all still trusts its own suspicions.
const ISOLATION_LIMIT: Duration = Duration::from_millis(1_500);

/// How long an instance that others find silent trusts none of its own suspicions.
const CHARGE_LIMIT: Duration = Duration::from_secs(5);

/// How late a tick may be before the probes under way are void.
const LATE_TICK_LIMIT: Duration = Duration::from_millis(400);

/// The instances that are asked to probe a silent member.
const HELPERS: usize = 3;

/// The instances that must find a member silent before it is declared dead, where there are as many.
const ACCUSERS_MIN: usize = 2;

/// What a message asks or answers.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum MessageKind {
    /// Asks for an answer.
    Ping {
        /// Numbers the probe.
        sequence: u64,
    },
    /// Asks a helper to probe another instance.
    PingRequest {
        /// Numbers the probe.
        sequence: u64,
        /// The instance to probe.
        target: InstanceName,
    },
    /// A helper's probe for `origin`.
    RelayedPing {
        /// Numbers the probe.
        sequence: u64,
        /// The instance that started the probe.
        origin: InstanceName,
    },
    /// The answer to a helper's probe.
    RelayedAck {
        /// Numbers the probe.
        sequence: u64,
        /// The instance that started the probe.
        origin: InstanceName,
    },
    /// Answers a probe.
    Ack {
        /// Numbers the probe.
        sequence: u64,
    },
}

/// A message between instances.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Message {
    /// What it asks or answers.
    pub kind: MessageKind,
    /// News of members.
    pub updates: Vec<Update>,
}

/// A message to send.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Outgoing {
    /// The receiver.
    pub to: InstanceName,
    /// The message.
    pub message: Message,
}

/// The members of the cluster as one instance sees them.
#[derive(Debug)]
pub struct Members {
    name: InstanceName,
    data_centre: DataCentre,
    incarnation: u64,
    leaving: bool,
    members: BTreeMap<InstanceName, Member>,
    probes: Probes,
    news: News,
    probe_at: Timestamp,
    ticked_at: Timestamp,
    heard_at: Timestamp,
    charged_at: Option<Timestamp>,
}

impl Members {
    /// Creates the view of an instance that knows no other yet.
    pub fn new(
        name: InstanceName,
        data_centre: DataCentre,
        incarnation: u64,
        now: Timestamp,
    ) -> Self {
        let mut members = Self {
            name,
            data_centre,
            incarnation,
            leaving: false,
            members: BTreeMap::new(),
            probes: Probes::default(),
            news: News::default(),
            probe_at: now,
            ticked_at: now,
            heard_at: now,
            charged_at: None,
        };
        members.announce_self();
        members
    }

    /// Adds a seed or a registered instance that is not known yet.
    pub fn add(&mut self, name: InstanceName, data_centre: DataCentre, now: Timestamp) {
        if name != self.name {
            self.members.entry(name).or_insert_with(|| new_member(data_centre, now));
        }
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
    }

    /// Returns the relay of a data centre: the instance that answers and has the lowest name.
    pub fn relay(&self, data_centre: &DataCentre) -> Option<&InstanceName> {
        let is_fit = |(_, member): &(&InstanceName, &Member)| {
            member.takes_work() && member.data_centre == *data_centre
        };
        let other = self.members.iter().find(is_fit).map(|(name, _)| name);
        let own = Some(&self.name).filter(|_| self.data_centre == *data_centre && !self.leaving);
        other.into_iter().chain(own).min()
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
        let mut kinds = Vec::new();
        for (sequence, target) in self.probes.due_for_helpers(now) {
            for helper in self.helpers(&target, rng) {
                let target = target.clone();
                kinds.push((helper, MessageKind::PingRequest { sequence, target }));
            }
        }
        let failed = self.probes.take_failed(now);
        if self.is_doubtful(now) {
            self.restart_suspicions(now);
        } else {
            failed.into_iter().for_each(|target| self.accuse(&target, now));
            self.declare_dead(now);
        }
        if now >= self.probe_at {
            self.probe_at = now + PROBE_INTERVAL;
            let targets = self.targets();
            if let Some(target) = self.probes.next_target(&targets, rng) {
                let sequence = self.probes.start(target.clone(), now);
                kinds.push((target, MessageKind::Ping { sequence }));
            }
        }
        kinds.into_iter().map(|(to, kind)| self.outgoing(to, kind)).collect()
    }

    /// Takes a message and returns the messages to send.
    pub fn receive(
        &mut self,
        from: &InstanceName,
        message: Message,
        now: Timestamp,
    ) -> Vec<Outgoing> {
        self.heard_at = now;
        self.heard_from(from, now);
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

    /// Returns the members that this instance probes.
    fn targets(&self) -> Vec<InstanceName> {
        let is_relay = self.relay(&self.data_centre) == Some(&self.name);
        let is_target = |(name, member): &(&InstanceName, &Member)| {
            let is_near = member.data_centre == self.data_centre;
            // Whoever holds a member for suspect finds out itself, also across data centres.
            let is_suspect = member.state == MemberState::Suspect;
            is_near || is_suspect || (is_relay && self.relay_or_lost(name, member))
        };
        self.members.iter().filter(is_target).map(|(name, _)| name.clone()).collect()
    }

    /// Returns whether a member elsewhere is the relay there, or none there is.
    fn relay_or_lost(&self, name: &InstanceName, member: &Member) -> bool {
        self.relay(&member.data_centre).is_none_or(|relay| relay == name)
    }

    fn helpers<R>(&self, target: &InstanceName, rng: &mut R) -> Vec<InstanceName>
    where
        R: Rng,
    {
        let is_helper = |(name, member): &(&InstanceName, &Member)| {
            *name != target && member.takes_work() && member.data_centre == self.data_centre
        };
        let fit: Vec<_> = self.members.iter().filter(is_helper).map(|(name, _)| name).collect();
        fit.choose_multiple(rng, HELPERS).map(|name| (*name).clone()).collect()
    }

    /// Returns whether the fault may be this instance's own: it hears nothing, or others find it
    /// silent.
    fn is_doubtful(&self, now: Timestamp) -> bool {
        let is_charged = self.charged_at.is_some_and(|at| now.since(at) < CHARGE_LIMIT);
        is_charged || now.since(self.heard_at) > ISOLATION_LIMIT
    }

    /// Withdraws what this instance itself held against a member that it now hears from.
    fn heard_from(&mut self, from: &InstanceName, now: Timestamp) {
        let Some(member) = self.members.get_mut(from) else {
            return;
        };
        if matches!(member.state, MemberState::Suspect | MemberState::Dead) {
            member.accusers.remove(&self.name);
            member.since = now;
            member.state = match member.accusers.is_empty() {
                true => MemberState::Alive,
                false => MemberState::Suspect,
            };
        }
    }

    /// Gives all suspected members their full time again, after refutations may have been missed.
    fn restart_suspicions(&mut self, now: Timestamp) {
        for member in self.members.values_mut().filter(|m| m.state == MemberState::Suspect) {
            member.since = now;
        }
    }

    fn accuse(&mut self, target: &InstanceName, now: Timestamp) {
        let accuser = self.name.clone();
        let Some(member) = self.members.get(target).filter(|m| m.state != MemberState::Dead) else {
            return;
        };
        let mut update = update_of(target, member, Some(accuser));
        update.state = MemberState::Suspect;
        self.learn(update, now);
    }

    /// Returns how many instances of each data centre are not dead, this one included.
    fn neighbours(&self) -> BTreeMap<DataCentre, usize> {
        let mut neighbours = BTreeMap::from([(self.data_centre.clone(), 1)]);
        for member in self.members.values().filter(|m| m.state != MemberState::Dead) {
            *neighbours.entry(member.data_centre.clone()).or_default() += 1;
        }
        neighbours
    }

    /// Declares members dead that did not refute the suspicion of enough instances in time.
    fn declare_dead(&mut self, now: Timestamp) {
        let neighbours = self.neighbours();
        for (name, member) in &mut self.members {
            // Those of its data centre probe a member; itself is no witness.
            let witnesses = neighbours.get(&member.data_centre).copied().unwrap_or(0);
            let needed = ACCUSERS_MIN.min(witnesses.saturating_sub(1)).max(1);
            let is_due = member.state == MemberState::Suspect
                && now.since(member.since) >= SUSPICION_LIMIT
                && member.accusers.len() >= needed;
            if is_due {
                member.state = MemberState::Dead;
                member.since = now;
                self.news.add(update_of(name, member, None));
            }
        }
    }

    /// Takes news of a member, which a higher incarnation number or a worse state makes news.
    fn learn(&mut self, mut update: Update, now: Timestamp) {
        if update.name == self.name {
            self.refute(&update, now);
            return;
        }
        if update.state == MemberState::Dead {
            // Each instance declares death itself, so that one that errs cannot spread it.
            update.state = MemberState::Suspect;
        }
        let name = update.name.clone();
        let data_centre = update.data_centre.clone();
        let member = self.members.entry(name).or_insert_with(|| new_member(data_centre, now));
        if update.incarnation < member.incarnation {
            // The sender missed what is known here.
            let current = update_of(&update.name, member, None);
            self.news.add(current);
            return;
        }
        let is_newer = update.incarnation > member.incarnation;
        let is_accusation = update.state == MemberState::Suspect;
        let is_first =
            is_accusation && matches!(member.state, MemberState::Alive | MemberState::Leaving);
        let accuser = update.accuser.clone().filter(|_| is_accusation);
        let is_another = accuser.as_ref().is_some_and(|name| !member.accusers.contains(name));
        if is_newer {
            member.accusers.clear();
            member.incarnation = update.incarnation;
        }
        if is_newer || is_first {
            member.state = update.state;
            member.since = now;
        }
        member.accusers.extend(accuser);
        if is_newer || is_first || is_another {
            self.news.add(update);
        }
    }

    fn refute(&mut self, update: &Update, now: Timestamp) {
        let is_charge = matches!(update.state, MemberState::Suspect | MemberState::Dead);
        if is_charge {
            self.charged_at = Some(now);
            // An old charge shows that its sender missed the refutation.
            self.incarnation = self.incarnation.max(update.incarnation + 1);
            self.announce_self();
        }
    }

    fn announce_self(&mut self) {
        let state = if self.leaving { MemberState::Leaving } else { MemberState::Alive };
        self.news.add(Update {
            name: self.name.clone(),
            data_centre: self.data_centre.clone(),
            state,
            incarnation: self.incarnation,
            accuser: None,
        });
    }
}

/// Returns a member of which nothing was heard yet, so that any news of it is newer.
fn new_member(data_centre: DataCentre, now: Timestamp) -> Member {
    let state = MemberState::Alive;
    Member { data_centre, state, incarnation: 0, since: now, accusers: BTreeSet::new() }
}

fn update_of(name: &InstanceName, member: &Member, accuser: Option<InstanceName>) -> Update {
    Update {
        name: name.clone(),
        data_centre: member.data_centre.clone(),
        state: member.state,
        incarnation: member.incarnation,
        accuser,
    }
}
