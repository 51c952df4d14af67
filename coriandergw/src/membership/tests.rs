use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::time::Duration;

use proptest::prelude::*;
use rand::Rng;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;

use super::*;
use crate::clock::Timestamp;
use crate::ids::DataCentre;
use crate::ids::InstanceName;

mod driver;
mod wire;

const STEP_MS: u64 = 50;

/// What is wrong with instance 0.
#[derive(Debug, Clone, Copy, PartialEq)]
enum Fault {
    None,
    LosesIncoming,
    LosesOutgoing,
    LosesOneLink,
    Slow(u64),
    Flapping(u64),
    Gone,
}

/// A simulated network of instances, driven step by step.
struct Bench {
    members: Vec<Members>,
    queue: BTreeMap<(u64, u64), (usize, usize, Message)>,
    sent: u64,
    now_ms: u64,
    rng: ChaCha8Rng,
}

fn name(number: usize) -> InstanceName {
    InstanceName::try_from(format!("i{number:03}")).unwrap()
}

fn number(name: &InstanceName) -> usize {
    name.as_str()[1..].parse().unwrap()
}

fn data_centre(number: usize) -> DataCentre {
    DataCentre::try_from(format!("dc{number}")).unwrap()
}

impl Bench {
    /// Starts instances that know instance 1 only, spread over the data centres.
    fn new(count: usize, data_centres: usize, seed: u64) -> Self {
        let start = Timestamp(1);
        let timing = Timing::default();
        let build = |number: usize| {
            let mut members =
                Members::new(name(number), data_centre(number % data_centres), 1, timing, start);
            members.add(name(1), data_centre(1 % data_centres), start);
            members
        };
        let members = (0..count).map(build).collect();
        let rng = ChaCha8Rng::seed_from_u64(seed);
        let mut bench = Self { members, queue: BTreeMap::new(), sent: 0, now_ms: 0, rng };
        bench.run(Fault::None, 20_000, |_| {});
        bench
    }

    fn is_lost(&self, fault: Fault, from: usize, to: usize) -> bool {
        match fault {
            Fault::LosesIncoming => to == 0,
            Fault::LosesOutgoing => from == 0,
            Fault::LosesOneLink => (from, to) == (0, 2),
            Fault::Gone => from == 0 || to == 0,
            Fault::Flapping(period) => {
                (from == 0 || to == 0) && (self.now_ms / period).is_multiple_of(2)
            }
            Fault::None | Fault::Slow(_) => false,
        }
    }

    fn post(&mut self, from: usize, outgoing: Vec<Outgoing>, fault: Fault) {
        for Outgoing { to, message } in outgoing {
            let to = number(&to);
            if self.is_lost(fault, from, to) {
                continue;
            }
            let slow = match fault {
                Fault::Slow(millis) if to == 0 || from == 0 => millis,
                _ => 0,
            };
            self.sent += 1;
            let at = self.now_ms + self.rng.random_range(1..40) + slow;
            self.queue.insert((at, self.sent), (from, to, message));
        }
    }

    fn run<F>(&mut self, fault: Fault, millis: u64, mut check: F)
    where
        F: FnMut(&Bench),
    {
        let end = self.now_ms + millis;
        while self.now_ms < end {
            self.now_ms += STEP_MS;
            let now = Timestamp::from_millis(self.now_ms);
            self.deliver(fault);
            for number in 0..self.members.len() {
                let outgoing = self.members[number].tick(now, &mut self.rng);
                self.post(number, outgoing, fault);
            }
            check(self);
        }
    }

    /// Delivers what is due.
    fn deliver(&mut self, fault: Fault) {
        let now = Timestamp::from_millis(self.now_ms);
        while let Some(((at, _), _)) = self.queue.first_key_value() {
            if *at > self.now_ms {
                break;
            }
            let (_, (from, to, message)) = self.queue.pop_first().unwrap();
            let answers = self.members[to].receive(&name(from), message, now);
            self.post(to, answers, fault);
        }
    }

    fn state(&self, at: usize, of: usize) -> Option<MemberState> {
        self.members[at].members().get(&name(of)).map(|member| member.state)
    }

    /// Returns the state that all others see of an instance, if they agree.
    fn agreed(&self, of: usize) -> Option<MemberState> {
        let mut seen = (0..self.members.len()).filter(|at| *at != of).map(|at| self.state(at, of));
        let first = seen.next()??;
        seen.all(|state| state == Some(first)).then_some(first)
    }

    /// Returns whether an instance avoids another.
    fn avoids(&self, at: usize, of: usize) -> bool {
        self.members[at].avoided(Timestamp::from_millis(self.now_ms)).contains(&name(of))
    }

    /// Checks that nobody holds an instance other than 0 for dead or avoids it.
    fn assert_others_live(&self) {
        for at in 0..self.members.len() {
            let avoided = self.members[at].avoided(Timestamp::from_millis(self.now_ms));
            assert!(avoided.iter().all(|of| *of == name(0)), "{avoided:?} at {at}");
            for (of, member) in self.members[at].members().iter().filter(|(of, _)| **of != name(0))
            {
                assert_ne!(member.state, MemberState::Dead, "{of} at {at}");
            }
        }
    }

    /// Loses instance 0 and returns after how long all others avoid it, in milliseconds.
    fn lose_and_time(&mut self) -> u64 {
        let lost_at = self.now_ms;
        while !(1..self.members.len()).all(|at| self.avoids(at, 0)) {
            self.run(Fault::Gone, STEP_MS, Bench::assert_others_live);
            assert!(self.now_ms < lost_at + 60_000, "instance 0 is never avoided");
        }
        self.now_ms - lost_at
    }
}

fn faults() -> impl Strategy<Value = Fault> {
    prop_oneof![
        Just(Fault::LosesIncoming),
        Just(Fault::LosesOutgoing),
        Just(Fault::LosesOneLink),
        (100_u64..3_000).prop_map(Fault::Slow),
        (300_u64..5_000).prop_map(Fault::Flapping),
    ]
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(48))]
    #[test]
    fn one_faulty_instance_does_not_make_others_be_declared_dead(
        seed: u64, count in 3_usize..9, data_centres in 1_usize..3, fault in faults()
    ) {
        let mut bench = Bench::new(count, data_centres, seed);
        bench.run(fault, 40_000, Bench::assert_others_live);
        bench.run(Fault::None, 20_000, Bench::assert_others_live);
        prop_assert!((0..count).all(|of| bench.agreed(of) == Some(MemberState::Alive)));
    }
}

#[test]
fn a_dead_instance_is_found_and_one_that_returns_is_alive_again() {
    for (count, data_centres) in [(3, 1), (8, 1), (9, 3)] {
        let mut bench = Bench::new(count, data_centres, 7);
        bench.run(Fault::Gone, 40_000, Bench::assert_others_live);
        assert_eq!(bench.agreed(0), Some(MemberState::Dead), "{count} instances");
        bench.run(Fault::None, 30_000, |_| {});
        assert_eq!(bench.agreed(0), Some(MemberState::Alive), "{count} instances");
    }
}

#[test]
fn a_silent_instance_is_avoided_by_all_others_and_used_again_when_it_returns() {
    for (count, data_centres) in [(3, 1), (3, 3), (9, 3), (12, 4), (24, 2)] {
        let mut bench = Bench::new(count, data_centres, 17);
        let mut millis = Vec::new();
        for _ in 0..3 {
            millis.push(bench.lose_and_time());
            bench.run(Fault::None, 30_000, |_| {});
            assert!((1..count).all(|at| !bench.avoids(at, 0)), "{count} instances");
        }
        println!("{count} instances in {data_centres} data centres: avoided after {millis:?} ms");
    }
}

#[test]
fn an_instance_probes_few_others_of_a_large_data_centre() {
    let mut bench = Bench::new(40, 1, 5);
    let mut receivers = BTreeMap::<usize, BTreeSet<InstanceName>>::new();
    for _ in 0..200 {
        bench.now_ms += STEP_MS;
        let now = Timestamp::from_millis(bench.now_ms);
        for number in 0..40 {
            let outgoing = bench.members[number].tick(now, &mut bench.rng);
            receivers.entry(number).or_default().extend(outgoing.iter().map(|one| one.to.clone()));
            bench.post(number, outgoing, Fault::None);
        }
        bench.deliver(Fault::None);
    }
    assert!(receivers.values().all(|names| names.len() <= 4), "{receivers:?}");
}

#[test]
fn an_instance_that_left_under_a_clock_that_was_ahead_is_alive_when_it_returns() {
    let mut bench = Bench::new(3, 1, 9);
    bench.members[0].leave();
    bench.run(Fault::None, 5_000, |_| {});
    assert_eq!(bench.agreed(0), Some(MemberState::Leaving));
    let now = Timestamp::from_millis(bench.now_ms);
    bench.members[0] = Members::new(name(0), data_centre(0), 1, Timing::default(), now);
    bench.members[0].add(name(1), data_centre(0), now);
    bench.run(Fault::None, 10_000, |_| {});
    assert_eq!(bench.agreed(0), Some(MemberState::Alive));
}

#[test]
fn all_hear_of_an_instance_that_leaves_and_choose_another_relay() {
    let mut bench = Bench::new(6, 1, 3);
    assert_eq!(bench.members[4].relay(&data_centre(0)), Some(&name(0)));
    bench.members[0].leave();
    bench.run(Fault::None, 10_000, |_| {});
    assert_eq!(bench.agreed(0), Some(MemberState::Leaving));
    assert_eq!(bench.members[4].relay(&data_centre(0)), Some(&name(1)));
}

#[test]
fn messages_stay_bounded_as_the_data_centre_grows() {
    let per_instance = |count: usize| {
        let mut bench = Bench::new(count, 1, 5);
        let before = bench.sent;
        bench.run(Fault::None, 10_000, |_| {});
        (bench.sent - before) / count as u64
    };
    let (few, many) = (per_instance(5), per_instance(25));
    assert!(many <= few + 2, "{few} and {many} messages an instance in ten seconds");
}

#[test]
fn a_stopped_instance_accuses_nobody_when_it_goes_on() {
    let mut bench = Bench::new(4, 1, 11);
    let later = Timestamp::from_millis(bench.now_ms) + Duration::from_secs(10);
    bench.members[0].tick(later, &mut bench.rng);
    let alive = bench.members[0].members().values().all(Member::accepts_work);
    assert!(alive);
}
