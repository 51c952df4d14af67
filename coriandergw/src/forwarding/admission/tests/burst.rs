//! A burst of programs at too few engines, simulated with fixed seeds.
//!
//! Compares [`admit`] with trying all engines in three rounds, as is done for engines that state no
//! pace.

use std::cmp::Reverse;
use std::collections::BinaryHeap;
use std::collections::VecDeque;
use std::sync::Arc;
use std::time::Duration;

use rand::Rng;
use rand::SeedableRng;
use rand::seq::SliceRandom;
use rand_chacha::ChaCha8Rng;

use crate::clock::Timestamp;
use crate::forwarding::ReportedLoad;
use crate::forwarding::admission::Admission;
use crate::forwarding::admission::Engine;
use crate::forwarding::admission::Turn;
use crate::forwarding::admission::admit;
use crate::forwarding::admission::tests::QUEUE;
use crate::forwarding::admission::tests::SLOTS;
use crate::forwarding::admission::tests::name;
use crate::forwarding::loads::InFlightGuard;
use crate::forwarding::loads::Loads;

const INSTANCES: usize = 24;
const ENGINES: usize = 6;
const TURN_MEAN_MS: f64 = 400.0;
const ONE_WAY: Duration = Duration::from_millis(1);
const TURN_TIMEOUT: Duration = Duration::from_secs(5);
const TARGET: Duration = Duration::from_millis(500);
/// The end of the burst; from then on the load is half of the capacity.
const BURST_END: Timestamp = Timestamp(6_000_000);
const END: Timestamp = Timestamp(14_000_000);
/// How often a caller sends a turn before it gives its program up.
const TRIES_MAX: u32 = 3;
/// What is done without admission: the attempts, the rounds and the pause between them, and the time
/// after which callers come back.
const ATTEMPTS_MAX: u32 = 8;
const ROUNDS_MAX: u32 = 3;
const ROUND_PAUSE: Duration = Duration::from_millis(25);
const RETRY_AFTER: Duration = Duration::from_millis(200);

/// The priority of a kind of program and its number of turns.
const KINDS: [(u8, u32); 2] = [(0, 6), (2, 2)];

fn exponential(rng: &mut ChaCha8Rng, mean_ms: f64) -> Duration {
    Duration::from_secs_f64(-mean_ms / 1_000.0 * (1.0 - rng.random::<f64>()).ln())
}

#[derive(Debug, Clone, Copy, PartialEq)]
enum Policy {
    AllEngines,
    Admission,
}

struct Program {
    kind: usize,
    turns_done: u32,
    last_engine: Option<usize>,
}

/// One try of a turn at an entry instance.
struct Try {
    program: usize,
    number: u32,
    instance: usize,
    started: Timestamp,
    seed: u64,
    placed: usize,
    refused_sends: u32,
    waited: Duration,
    attempts: u32,
    rounds: u32,
    excluded: Vec<usize>,
    sent: Option<(usize, InFlightGuard, Timestamp, ReportedLoad)>,
}

enum Event {
    Program,
    Start { program: usize, number: u32 },
    Choose(Box<Try>),
    AtEngine(Box<Try>),
    Full(Box<Try>, ReportedLoad),
    Head { instance: usize, engine: usize, report: ReportedLoad },
    Done(Box<Try>),
    Answered(Box<Try>),
}

#[derive(Default)]
struct EngineQueue {
    running: u32,
    waiting: VecDeque<Box<Try>>,
    /// Turns that the journal placed here and that have not ended.
    placed: u32,
}

impl EngineQueue {
    fn report(&self) -> ReportedLoad {
        let waiting = self.waiting.len() as u32;
        ReportedLoad { running: self.running, waiting, slots: SLOTS, pace: Some(100) }
    }
}

/// Turns that were begun and answered.
#[derive(Debug, Clone, Copy, Default)]
struct Served {
    begun: f64,
    answered: f64,
}

impl Served {
    fn share(&self) -> f64 {
        self.answered / self.begun
    }
}

#[derive(Debug, Clone, Default)]
struct Outcome {
    sends: u32,
    refused_as_full: u32,
    executed: u32,
    programs_whole: u32,
    answered_late: u32,
    /// By kind of program: first turns, later turns.
    served: [[Served; 2]; 2],
}

impl Outcome {
    fn all(&self) -> Served {
        let parts = self.served.iter().flatten();
        parts.fold(Served::default(), |sum, part| Served {
            begun: sum.begun + part.begun,
            answered: sum.answered + part.answered,
        })
    }
}

struct Simulation {
    policy: Policy,
    /// The load of the burst, as a multiple of the capacity.
    load: f64,
    /// Separate, so that the same programs begin under each policy.
    arrivals: ChaCha8Rng,
    rng: ChaCha8Rng,
    loads: Vec<Arc<Loads>>,
    engines: Vec<EngineQueue>,
    programs: Vec<Program>,
    events: Vec<Option<Event>>,
    due: BinaryHeap<Reverse<(Timestamp, usize)>>,
    outcome: Outcome,
}

impl Simulation {
    fn run(policy: Policy, load: f64, seed: u64) -> Outcome {
        let mut simulation = Self {
            policy,
            load,
            arrivals: ChaCha8Rng::seed_from_u64(seed),
            rng: ChaCha8Rng::seed_from_u64(seed + 1_000),
            loads: (0..INSTANCES).map(|_| Arc::default()).collect(),
            engines: (0..ENGINES).map(|_| EngineQueue::default()).collect(),
            programs: Vec::new(),
            events: Vec::new(),
            due: BinaryHeap::new(),
            outcome: Outcome::default(),
        };
        simulation.schedule(Timestamp(0), Event::Program);
        while let Some(Reverse((now, index))) = simulation.due.pop() {
            let event = simulation.events[index].take().expect("handled once");
            simulation.handle(event, now);
        }
        simulation.outcome
    }

    fn schedule(&mut self, at: Timestamp, event: Event) {
        self.due.push(Reverse((at, self.events.len())));
        self.events.push(Some(event));
    }

    fn handle(&mut self, event: Event, now: Timestamp) {
        match event {
            Event::Program => self.begin_program(now),
            Event::Start { program, number } => self.start(program, number, now),
            Event::Choose(one) => self.choose(one, now),
            Event::AtEngine(one) => self.arrive_at_engine(one, now),
            Event::Full(one, report) => self.note_full(one, report, now),
            Event::Head { instance, engine, report } => {
                self.loads[instance].note_accepted(&name(engine), Some(report), now);
            }
            Event::Done(one) => self.complete(one, now),
            Event::Answered(one) => self.answer(*one, now),
        }
    }

    fn begin_program(&mut self, now: Timestamp) {
        if now > END {
            return;
        }
        let capacity_per_ms = (ENGINES as u32 * SLOTS) as f64 / TURN_MEAN_MS;
        let load = if now < BURST_END { self.load } else { 0.5 };
        let turns_mean = KINDS.iter().map(|(_, turns)| f64::from(*turns)).sum::<f64>() / 2.0;
        let gap = exponential(&mut self.arrivals, turns_mean / (capacity_per_ms * load));
        self.schedule(now + gap, Event::Program);
        let kind = self.arrivals.random_range(0..KINDS.len());
        self.programs.push(Program { kind, turns_done: 0, last_engine: None });
        self.outcome.served[kind][0].begun += 1.0;
        self.schedule(now, Event::Start { program: self.programs.len() - 1, number: 0 });
    }

    /// Places a turn as the journal does, and lets an instance choose an engine.
    fn start(&mut self, program: usize, number: u32, now: Timestamp) {
        let mut proposed: Vec<usize> = (0..ENGINES).collect();
        proposed.shuffle(&mut self.rng);
        let turns = |engine: &usize| self.engines[*engine].placed;
        let best = proposed.into_iter().take(3).min_by_key(turns).expect("three");
        let placed = match self.programs[program].last_engine {
            Some(last) if turns(&last) <= turns(&best) + 6 => last,
            _ => best,
        };
        self.engines[placed].placed += 1;
        let one = Try {
            program,
            number,
            instance: self.rng.random_range(0..INSTANCES),
            started: now,
            seed: self.rng.random(),
            placed,
            refused_sends: 0,
            waited: Duration::ZERO,
            attempts: 0,
            rounds: 0,
            excluded: Vec::new(),
            sent: None,
        };
        self.schedule(now, Event::Choose(Box::new(one)));
    }

    fn choose(&mut self, mut one: Box<Try>, now: Timestamp) {
        let loads = self.loads[one.instance].clone();
        let mut order: Vec<usize> = (0..ENGINES).collect();
        order.shuffle(&mut self.rng);
        order.sort_by_key(|engine| {
            (now < loads.get(&name(*engine)).backoff_until, *engine != one.placed)
        });
        one.attempts += 1;
        if self.policy == Policy::Admission {
            let engine =
                |number| Engine { id: name(number), load: loads.get(&name(number)), slots: SLOTS };
            let program = &self.programs[one.program];
            let turn = Turn {
                is_first: program.turns_done == 0,
                priority: KINDS[program.kind].0,
                time_left: (one.started + TURN_TIMEOUT).since(now),
                target: TARGET,
                refused_sends: one.refused_sends,
                waited: one.waited,
                seed: one.seed,
            };
            let engines: Vec<Engine> = (0..ENGINES).map(engine).collect();
            match admit(&turn, &engines, now) {
                Admission::Send(worth) => order.retain(|one| worth.contains(&name(*one))),
                Admission::Wait(pause) => {
                    one.waited += pause;
                    return self.schedule(now + pause, Event::Choose(one));
                }
                Admission::Refuse { retry_after, .. } => {
                    return self.refuse(&one, retry_after, now);
                }
            }
        }
        order.retain(|engine| !one.excluded.contains(engine));
        if one.attempts > ATTEMPTS_MAX {
            return self.refuse(&one, RETRY_AFTER, now);
        }
        let Some(engine) = order.first().copied() else {
            one.rounds += 1;
            one.excluded.clear();
            return match one.rounds < ROUNDS_MAX {
                true => self.schedule(now + ROUND_PAUSE, Event::Choose(one)),
                false => self.refuse(&one, RETRY_AFTER, now),
            };
        };
        self.outcome.sends += 1;
        let guard = loads.begin(&name(engine));
        one.sent = Some((engine, guard, now, ReportedLoad::default()));
        self.schedule(now + ONE_WAY, Event::AtEngine(one));
    }

    fn arrive_at_engine(&mut self, one: Box<Try>, now: Timestamp) {
        let engine = one.sent.as_ref().expect("sent").0;
        if self.engines[engine].running < SLOTS {
            self.begin(one, now);
        } else if self.engines[engine].waiting.len() < QUEUE as usize {
            self.engines[engine].waiting.push_back(one);
        } else {
            let report = self.engines[engine].report();
            self.schedule(now + ONE_WAY, Event::Full(one, report));
        }
    }

    fn begin(&mut self, mut one: Box<Try>, now: Timestamp) {
        let sent = one.sent.as_mut().expect("sent");
        let (instance, engine) = (one.instance, sent.0);
        self.engines[engine].running += 1;
        sent.3 = self.engines[engine].report();
        let head = Event::Head { instance, engine, report: sent.3 };
        self.schedule(now + ONE_WAY, head);
        let work = exponential(&mut self.rng, TURN_MEAN_MS);
        self.schedule(now + work, Event::Done(one));
    }

    fn note_full(&mut self, mut one: Box<Try>, report: ReportedLoad, now: Timestamp) {
        let (engine, guard, ..) = one.sent.take().expect("sent");
        drop(guard);
        self.outcome.refused_as_full += 1;
        self.loads[one.instance].note_saturated(&name(engine), Some(report), now);
        one.refused_sends += 1;
        one.excluded.push(engine);
        self.schedule(now, Event::Choose(one));
    }

    fn complete(&mut self, one: Box<Try>, now: Timestamp) {
        let engine = one.sent.as_ref().expect("sent").0;
        self.engines[engine].running -= 1;
        self.outcome.executed += 1;
        while let Some(next) = self.engines[engine].waiting.pop_front() {
            if now.since(next.started) < TURN_TIMEOUT {
                self.begin(next, now);
                break;
            }
            // Its caller has gone.
            self.engines[next.placed].placed -= 1;
            self.outcome.answered_late += 1;
        }
        self.schedule(now + ONE_WAY, Event::Answered(one));
    }

    fn answer(&mut self, mut one: Try, now: Timestamp) {
        let (engine, guard, sent_at, report) = one.sent.take().expect("sent");
        drop(guard);
        let duration = now.since(sent_at);
        self.loads[one.instance].note_ended(&name(engine), Some(report), duration, now);
        self.engines[one.placed].placed -= 1;
        if now.since(one.started) > TURN_TIMEOUT {
            self.outcome.answered_late += 1;
            return;
        }
        let program = &mut self.programs[one.program];
        let kind = program.kind;
        self.outcome.served[kind][usize::from(program.turns_done > 0)].answered += 1.0;
        program.turns_done += 1;
        program.last_engine = Some(engine);
        if program.turns_done == KINDS[kind].1 {
            self.outcome.programs_whole += 1;
            return;
        }
        self.outcome.served[kind][1].begun += 1.0;
        self.schedule(now, Event::Start { program: one.program, number: 0 });
    }

    fn refuse(&mut self, one: &Try, retry_after: Duration, now: Timestamp) {
        self.engines[one.placed].placed -= 1;
        if one.number + 1 < TRIES_MAX {
            let retry = Event::Start { program: one.program, number: one.number + 1 };
            self.schedule(now + retry_after, retry);
        }
    }
}

// Guards against engines that are flooded with sends that they refuse, against programs that are cut
// off in the middle, and against a kind of turn that is hardly served.
#[test]
fn in_a_burst_of_twice_the_capacity_few_sends_are_refused_and_no_fewer_programs_are_whole() {
    assert_burst_is_served_better(2.0);
}

#[test]
fn in_a_burst_of_four_times_the_capacity_few_sends_are_refused_and_no_fewer_programs_are_whole() {
    assert_burst_is_served_better(4.0);
}

fn assert_burst_is_served_better(load: f64) {
    let (mut whole_before, mut whole_after) = (0, 0);
    for seed in [71, 72, 73] {
        let before = Simulation::run(Policy::AllEngines, load, seed);
        let after = Simulation::run(Policy::Admission, load, seed);
        println!("load {load} seed {seed}\n  {before:?}\n  {after:?}");
        let refused =
            |outcome: &Outcome| f64::from(outcome.refused_as_full) / f64::from(outcome.sends);
        assert!(refused(&after) < refused(&before) / 2.0);
        assert!(refused(&after) < 0.25, "{} of the sends", refused(&after));
        let all = after.all().share();
        for part in after.served.iter().flatten() {
            assert!(part.share() >= all / 4.0, "{part:?} of {all}");
        }
        whole_before += before.programs_whole;
        whole_after += after.programs_whole;
    }
    assert!(whole_after >= whole_before, "{whole_after} whole programs, {whole_before} before");
}
