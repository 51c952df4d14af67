//! Runs cores over a simulated network and simulated disks, and checks invariants after each step.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::time::Duration;

use bytes::Bytes;
use rand::Rng;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;

use crate::clock::Timestamp;
use crate::ids::InstanceName;
use crate::log_groups::core::Apply;
use crate::log_groups::core::Core;
use crate::log_groups::core::Entry;
use crate::log_groups::core::Members;
use crate::log_groups::core::Message;
use crate::log_groups::core::MessageLimits;
use crate::log_groups::core::Payload;
use crate::log_groups::core::Recovered;
use crate::log_groups::core::Snapshot;
use crate::log_groups::core::simulated_member::Member;
use crate::log_groups::core::simulated_member::PendingSync;

/// The simulated time between two rounds of message delivery.
const SLOT: Duration = Duration::from_millis(20);

/// Limits so low that entries and snapshots need several messages.
const SMALL_MESSAGES: MessageLimits = MessageLimits { append_bytes: 70, chunk_bytes: 3 };

/// The exclusive upper bound of the duration of a sync, in slots.
const SYNC_SLOTS_END: u32 = 6;

/// The rounds of proposals within which the members must agree after all faults have ended.
const SETTLE_ROUNDS: u32 = 40;

/// The members: the first three are voters, the others may replace them.
pub const NAMES: [&str; 5] = ["a", "b", "c", "d", "e"];

/// The rates of the members' clocks, in percent; they differ by at most the allowed drift.
const CLOCK_RATES: [u64; 5] = [100, 102, 98, 101, 99];

/// One step of a schedule. Members are given by their index in [`NAMES`].
#[derive(Debug, Clone)]
pub enum Action {
    /// Time passes.
    AdvanceTime { slots: u8 },
    /// A command is proposed on every member.
    Propose,
    /// One direction of a link loses all messages.
    Cut { from: usize, to: usize },
    /// All links from and to a member lose their messages.
    Isolate { member: usize },
    /// All links work again.
    Heal,
    /// Messages are lost and duplicated at these rates in percent, and delayed by up to this many
    /// slots.
    Network { loss: u8, duplicates: u8, delay_slots: u8 },
    /// A member stops; unsynced data may be lost.
    Crash { member: usize },
    /// A member starts again.
    Restart { member: usize },
    /// A member stops and loses its log.
    LoseLog { member: usize },
    /// A member takes a snapshot.
    Compact { member: usize, trailing: u8 },
    /// The leader is asked to replace a voter.
    Replace { old: usize, new: usize },
}

struct InFlight {
    due: Timestamp,
    from: usize,
    to: usize,
    message: Message,
}

/// A group of cores, and the history that the invariants are checked against.
pub struct Simulation {
    members: Vec<Member>,
    network: Vec<InFlight>,
    cut: BTreeSet<(usize, usize)>,
    loss: u8,
    duplicates: u8,
    delay_slots: u8,
    now: Timestamp,
    rng: ChaCha8Rng,
    next_command: u64,
    /// Whether members tick only at their deadlines, as with a real driver, and not in each slot.
    ticks_at_deadlines: bool,
    /// Whether leaders rely on a lease, which makes elections slower.
    has_leases: bool,
    /// The leader of each term.
    leaders: BTreeMap<u64, usize>,
    /// Each applied entry by its index, with the digest of the state after it.
    committed: BTreeMap<u64, (Entry, u64)>,
    /// The index and term of each acknowledged command.
    acknowledged: Vec<(u64, u64)>,
}

fn name(member: usize) -> InstanceName {
    InstanceName::try_from(NAMES[member]).expect("a valid name")
}

fn index_of(name: &InstanceName) -> usize {
    NAMES.iter().position(|known| *known == name.as_str()).expect("a known name")
}

fn digest(state: u64, entry: &Entry) -> u64 {
    let text = format!("{state} {entry:?}");
    let high = u64::from(crc32fast::hash(text.as_bytes()));
    high << 32 | u64::from(crc32fast::hash(format!("{text}.").as_bytes()))
}

impl Simulation {
    /// Starts three voters; the other members run as possible replacements.
    pub fn new(seed: u64) -> Self {
        Self::start(seed, true)
    }

    /// Starts a group in which nothing relies on a lease.
    pub fn without_leases(seed: u64) -> Self {
        Self::start(seed, false)
    }

    fn start(seed: u64, has_leases: bool) -> Self {
        let member = |index: usize| Member {
            name: name(index),
            core: None,
            records: Vec::new(),
            stored: None,
            log_lost: false,
            pending: None,
            state: (0, 0),
            commit: 0,
            clock_rate: CLOCK_RATES[index],
        };
        let mut simulation = Self {
            members: (0..NAMES.len()).map(member).collect(),
            network: Vec::new(),
            cut: BTreeSet::new(),
            loss: 0,
            duplicates: 0,
            delay_slots: 1,
            now: Timestamp::from_millis(1_000),
            rng: ChaCha8Rng::seed_from_u64(seed),
            next_command: 0,
            ticks_at_deadlines: seed.is_multiple_of(2),
            has_leases,
            leaders: BTreeMap::new(),
            committed: BTreeMap::new(),
            acknowledged: Vec::new(),
        };
        (0..NAMES.len()).for_each(|member| simulation.restart(member));
        simulation
    }

    /// Executes one action and checks all invariants.
    pub fn run(&mut self, action: &Action) {
        match *action {
            Action::AdvanceTime { slots } => (0..slots).for_each(|_| self.advance_slot()),
            Action::Propose => self.propose(),
            Action::Cut { from, to } => drop(self.cut.insert((from, to))),
            Action::Isolate { member } => {
                let others = (0..NAMES.len()).filter(|other| *other != member);
                self.cut.extend(others.flat_map(|other| [(member, other), (other, member)]));
            }
            Action::Heal => self.cut.clear(),
            Action::Network { loss, duplicates, delay_slots } => {
                (self.loss, self.duplicates, self.delay_slots) = (loss, duplicates, delay_slots);
            }
            Action::Crash { member } => self.crash(member),
            Action::Restart { member } => self.restart(member),
            Action::LoseLog { member } => self.lose_log(member),
            Action::Compact { member, trailing } => self.compact(member, trailing),
            Action::Replace { old, new } => self.replace(old, new),
        }
        (0..NAMES.len()).for_each(|member| self.process_output(member));
        self.check();
    }

    /// Ends all faults and checks that the members finally agree, unless a log was lost.
    pub fn settle(&mut self) {
        self.run(&Action::Heal);
        self.run(&Action::Network { loss: 0, duplicates: 0, delay_slots: 1 });
        for member in 0..NAMES.len() {
            self.run(&Action::Restart { member });
        }
        let can_settle = self.members.iter().all(|member| !member.log_lost);
        for _ in 0..SETTLE_ROUNDS {
            self.run(&Action::Propose);
            self.run(&Action::AdvanceTime { slots: 10 });
            if self.has_settled() {
                return;
            }
        }
        assert!(!can_settle, "the members do not agree after all faults ended");
    }

    fn has_settled(&self) -> bool {
        let Some(leader) = self.leader() else {
            return false;
        };
        let leader = &self.members[leader];
        let voters = leader.core.iter().flat_map(|core| &core.members().voters);
        let agree = voters.map(index_of).all(|voter| self.members[voter].state == leader.state);
        let last_acknowledged = self.acknowledged.iter().map(|(index, _)| *index).max();
        agree && Some(leader.state.0) == last_acknowledged
    }

    /// Returns the member that leads and knows which entries are committed.
    pub fn leader(&self) -> Option<usize> {
        let leads = |member: &Member| member.core.as_ref().is_some_and(Core::is_ready_leader);
        self.members.iter().position(leads)
    }

    /// Returns whether a member is a voter in the leader's membership.
    pub fn is_voter(&self, member: usize) -> bool {
        let leader = self.leader().and_then(|leader| self.members[leader].core.as_ref());
        leader.is_some_and(|core| core.members().voters.contains(&name(member)))
    }

    /// Returns the number of acknowledged commands.
    pub fn acknowledged(&self) -> usize {
        self.acknowledged.len()
    }

    fn local_time(&self, member: usize) -> Timestamp {
        Timestamp(self.now.0 * self.members[member].clock_rate / 100)
    }

    fn advance_slot(&mut self) {
        self.now = self.now + SLOT;
        let mut woken = BTreeSet::new();
        woken.extend((0..NAMES.len()).filter(|member| self.finish_sync(*member)));
        let now = self.now;
        let (due, later) = std::mem::take(&mut self.network)
            .into_iter()
            .partition::<Vec<_>, _>(|in_flight| in_flight.due <= now);
        self.network = later;
        for InFlight { from, to, message, .. } in due {
            let local = self.local_time(to);
            if let Some(core) = &mut self.members[to].core {
                core.step(&name(from), message, local);
                woken.insert(to);
            }
        }
        for member in 0..NAMES.len() {
            let local = self.local_time(member);
            let waits = self.ticks_at_deadlines && !woken.contains(&member);
            if let Some(core) = &mut self.members[member].core {
                if waits && local < core.next_deadline(local) {
                    continue;
                }
                core.tick(local);
            }
            self.process_output(member);
        }
        self.check();
    }

    /// Completes the write in progress if it is due; returns whether it was.
    fn finish_sync(&mut self, at: usize) -> bool {
        let (now, local) = (self.now, self.local_time(at));
        let member = &mut self.members[at];
        let Some(pending) = member.pending.take_if(|pending| pending.due <= now) else {
            return false;
        };
        member.persist(pending.records, pending.replaces_all);
        if let Some(core) = &mut member.core {
            core.synced(local);
        }
        self.send(at, pending.messages);
        true
    }

    fn send(&mut self, from: usize, messages: Vec<(InstanceName, Message)>) {
        for (to, message) in messages {
            let to = index_of(&to);
            if self.cut.contains(&(from, to)) {
                continue;
            }
            let mut copies = u8::from(self.rng.random_range(0..100) >= self.loss);
            copies += u8::from(self.rng.random_range(0..100) < self.duplicates);
            for _ in 0..copies {
                let delay = SLOT * u32::from(self.rng.random_range(0..=self.delay_slots));
                let due = self.now + delay;
                self.network.push(InFlight { due, from, to, message: message.clone() });
            }
        }
    }

    /// Executes the work that a core returns.
    fn process_output(&mut self, at: usize) {
        let local = self.local_time(at);
        let Some(core) = &mut self.members[at].core else {
            return;
        };
        let messages = core.take_messages(local);
        let steps = core.take_apply();
        self.send(at, messages);
        steps.into_iter().for_each(|step| self.apply(at, step));
        let sync_time = SLOT * self.rng.random_range(0..SYNC_SLOTS_END);
        let replaces_all = self.rng.random_range(0..16) == 0;
        let due = self.now + sync_time;
        let member = &mut self.members[at];
        let Some(core) = member.core.as_mut().filter(|_| member.pending.is_none()) else {
            return;
        };
        let batch = core.take_batch();
        if batch.records.is_empty() {
            return self.send(at, batch.messages);
        }
        let records = if replaces_all { core.live_records() } else { batch.records };
        member.pending = Some(PendingSync { due, records, replaces_all, messages: batch.messages });
    }

    fn apply(&mut self, at: usize, step: Apply) {
        let entry = match step {
            Apply::Restore(snapshot) => {
                let state = u64::from_le_bytes(snapshot.data[..].try_into().expect("a digest"));
                let known = &self.committed[&snapshot.index];
                assert_eq!(state, known.1, "the snapshot at {} differs", snapshot.index);
                self.members[at].state = (snapshot.index, state);
                return;
            }
            Apply::Entry(entry) => entry,
        };
        let (last, state) = self.members[at].state;
        assert_eq!(entry.index, last + 1, "{} skipped entries", NAMES[at]);
        let state = digest(state, &entry);
        self.members[at].state = (entry.index, state);
        let core = self.members[at].core.as_ref().expect("the member runs");
        let answers = core.is_leader() && core.term() == entry.term;
        if answers && matches!(entry.payload, Payload::Command(_)) {
            self.acknowledged.push((entry.index, entry.term));
        }
        let known = self.committed.entry(entry.index).or_insert_with(|| (entry.clone(), state));
        assert_eq!(known, &(entry, state), "a committed entry changed");
    }

    fn propose(&mut self) {
        for member in 0..NAMES.len() {
            let local = self.local_time(member);
            self.next_command += 1;
            let command = Bytes::from(self.next_command.to_string());
            if let Some(core) = &mut self.members[member].core {
                let _ = core.propose(command, local);
            }
        }
    }

    fn crash(&mut self, at: usize) {
        let (is_written, is_stored) = (self.rng.random(), self.rng.random());
        let member = &mut self.members[at];
        member.core = None;
        let Some(PendingSync { records, replaces_all, .. }) = member.pending.take() else {
            return;
        };
        if is_written {
            member.persist(records, replaces_all);
        } else if is_stored {
            // The file of a snapshot is written before the record that refers to it.
            records.iter().for_each(|record| member.store_snapshot(record));
        }
    }

    fn lose_log(&mut self, at: usize) {
        self.crash(at);
        let member = &mut self.members[at];
        member.records.clear();
        member.stored = None;
        member.log_lost = true;
    }

    /// Stops a member and deletes its log without a trace, as when its data folder is deleted.
    pub fn forget_log(&mut self, at: usize) {
        self.lose_log(at);
        self.members[at].log_lost = false;
    }

    fn restart(&mut self, at: usize) {
        let (local, seed) = (self.local_time(at), self.rng.random());
        let member = &mut self.members[at];
        if member.core.is_some() {
            return;
        }
        let members = Members::of_voters([0, 1, 2].map(name));
        let mut recovered = Recovered::new(Snapshot { members, ..Snapshot::default() });
        recovered.log_lost = member.log_lost;
        for record in &member.records {
            recovered.replay(record.clone()).expect("the records are valid");
        }
        recovered.finish(member.stored.clone()).expect("the snapshot is stored");
        member.state = (0, 0);
        member.commit = 0;
        let core = Core::new(member.name.clone(), recovered, seed, local);
        let core = if self.has_leases { core } else { core.without_lease(local) };
        member.core = Some(core.with_limits(SMALL_MESSAGES));
    }

    fn compact(&mut self, at: usize, trailing: u8) {
        let (index, state) = self.members[at].state;
        let data = Bytes::copy_from_slice(&state.to_le_bytes());
        if let Some(core) = &mut self.members[at].core {
            core.compact(index, data, u64::from(trailing));
        }
    }

    fn replace(&mut self, old: usize, new: usize) {
        for member in 0..NAMES.len() {
            let local = self.local_time(member);
            if let Some(core) = &mut self.members[member].core {
                let _ = core.replace_voter(name(old), name(new), local);
            }
        }
    }

    fn check(&mut self) {
        let mut leases = Vec::new();
        for (at, name) in NAMES.iter().enumerate() {
            let local = self.local_time(at);
            let member = &mut self.members[at];
            let Some(core) = &member.core else {
                continue;
            };
            assert!(core.commit_index() >= member.commit, "the commit index of {name} went back");
            member.commit = core.commit_index();
            if self.has_leases && local < core.lease_until(local) {
                leases.push(name);
            }
            if !core.is_leader() {
                continue;
            }
            let is_new = !self.leaders.contains_key(&core.term());
            let first = *self.leaders.entry(core.term()).or_insert(at);
            assert_eq!(first, at, "two leaders in term {}", core.term());
            if is_new {
                assert!(
                    holds_all(core, &self.acknowledged),
                    "a leader lacks an acknowledged command"
                );
            }
            if core.is_ready_leader() {
                let earlier = self.acknowledged.iter().filter(|(_, term)| *term < core.term());
                let last = earlier.map(|(index, _)| *index).max().unwrap_or_default();
                assert!(
                    core.commit_index() >= last,
                    "an acknowledged command is not committed on the leader"
                );
            }
        }
        assert!(leases.len() <= 1, "leases held at once by {leases:?}");
    }
}

/// Returns whether a leader holds all commands that earlier leaders acknowledged.
fn holds_all(leader: &Core, acknowledged: &[(u64, u64)]) -> bool {
    let mut earlier = acknowledged.iter().filter(|(_, term)| *term < leader.term());
    earlier.all(|(index, term)| {
        *index <= leader.commit_index() || leader.log.term_at(*index) == Some(*term)
    })
}
