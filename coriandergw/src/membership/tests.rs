use std::collections::BTreeMap;
use std::time::Duration;

use proptest::prelude::*;
use rand::Rng;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;

use super::*;
use crate::clock::Timestamp;
use crate::ids::DataCentre;
use crate::ids::InstanceName;

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
    InstanceName::try_from(format!("i{number:02}")).unwrap()
}

fn data_centre(number: usize) -> DataCentre {
    DataCentre::try_from(format!("dc{number}")).unwrap()
}

impl Bench {
    /// Starts instances that know instance 1 only, spread over the data centres.
    fn new(count: usize, data_centres: usize, seed: u64) -> Self {
        let start = Timestamp(1);
        let build = |number: usize| {
            let mut members =
                Members::new(name(number), data_centre(number % data_centres), 1, start);
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
            let Some(to) = (0..self.members.len()).find(|number| name(*number) == to) else {
                continue;
            };
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
            while let Some(((at, _), _)) = self.queue.first_key_value() {
                if *at > self.now_ms {
                    break;
                }
                let (_, (from, to, message)) = self.queue.pop_first().unwrap();
                let answers = self.members[to].receive(&name(from), message, now);
                self.post(to, answers, fault);
            }
            for number in 0..self.members.len() {
                let outgoing = self.members[number].tick(now, &mut self.rng);
                self.post(number, outgoing, fault);
            }
            check(self);
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

    /// Checks that nobody holds an instance other than 0 for dead.
    fn assert_others_live(&self) {
        for at in 0..self.members.len() {
            for of in (1..self.members.len()).filter(|of| *of != at) {
                assert_ne!(self.state(at, of), Some(MemberState::Dead), "{of} at {at}");
            }
        }
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
    let alive = bench.members[0].members().values().all(Member::takes_work);
    assert!(alive);
}
