use std::collections::BTreeMap;
use std::sync::atomic::AtomicUsize;
use std::sync::atomic::Ordering;

use rand::Rng;
use serde_json::json;

use super::candidates::WHOLE_GROUP_MAX;
use super::*;
use crate::catalogue::Entry;
use crate::catalogue::RawEntry;
use crate::dispatch::CallKind;
use crate::endpoints::Announcement;
use crate::endpoints::LoadReport;
use crate::placement::Candidate;
use crate::placement::ExpectedFinish;

/// The calls that each engine works on at once.
const CAPACITY: u32 = 4;

/// A scheduler over engines named e0, e1 and so on; time is set by the test.
struct World {
    scheduler: Scheduler,
    directory: Directory,
    entry: Arc<Entry>,
    capacity: u32,
    now: Timestamp,
}

impl World {
    fn new(engines: usize, placer: Arc<dyn PlacementPolicy>) -> Self {
        Self::with_capacity(engines, placer, CAPACITY)
    }

    fn with_capacity(engines: usize, placer: Arc<dyn PlacementPolicy>, capacity: u32) -> Self {
        let mut raw = RawEntry { name: "n".into(), owner: "o".into(), ..RawEntry::default() };
        raw.limits.calls_in_flight = 100;
        raw.limits.queue_ms = 2_000;
        let settings = SchedulerSettings {
            queue: QueueSettings::default(),
            placer,
            data_centre: "dc-a".try_into().unwrap(),
            seed: 1,
        };
        let mut world = Self {
            scheduler: Scheduler::new(settings),
            directory: Directory::default(),
            entry: Arc::new(Entry::try_from(raw).unwrap()),
            capacity,
            now: Timestamp::from_millis(1),
        };
        world.announce(0..engines, LoadReport::default());
        world
    }

    fn usual(engines: usize) -> Self {
        Self::new(engines, Arc::<ExpectedFinish>::default())
    }

    fn announce(&mut self, engines: std::ops::Range<usize>, load: LoadReport) {
        for number in engines {
            let announcement: Announcement = serde_json::from_value(json!({
                "name": format!("e{number}"), "kind": "model", "address": "127.0.0.1:9",
                "targets": ["m"], "data_centre": "dc-a", "capacity": self.capacity, "load": load,
            }))
            .unwrap();
            self.directory.announce(announcement, self.now);
        }
    }

    fn pass(&mut self, millis: u64) {
        self.now = self.now + Duration::from_millis(millis);
    }

    fn call(&self, program: &str) -> CallMetadata {
        let program = crate::ids::ProgramId::try_from(program).unwrap();
        CallMetadata {
            queue: (CallKind::Model, "m".try_into().unwrap()),
            prefixes: vec![(PrefixKey::Program(program.clone()), 4_000)],
            program,
            entry: self.entry.clone(),
            prompt_tokens: 4_000,
            history_tokens: 4_000,
            max_tokens: 50,
            under_way: true,
            attained_tokens: 0,
            deadline: None,
            excluded: Vec::new(),
        }
    }

    /// Queues a call and returns where it and others that waited are sent.
    fn send(&mut self, call: CallMetadata) -> Vec<(u64, String)> {
        let key = call.queue.clone();
        self.scheduler.enqueue(call, self.now);
        let assigned = self.scheduler.assign(&key, None, &self.directory, self.now);
        let name = |one: &Assignment| one.endpoint.announcement.name.to_string();
        assigned.iter().map(|one| (one.ticket, name(one))).collect()
    }

    fn send_many(&mut self, calls: usize) -> BTreeMap<String, usize> {
        let mut counts = BTreeMap::new();
        for number in 0..calls {
            for (_, name) in self.send(self.call(&format!("p{number}"))) {
                *counts.entry(name).or_default() += 1;
            }
        }
        counts
    }

    fn answer(&mut self, ticket: u64, cached_tokens: u64) -> PrefixReuse {
        let usage = Usage { prompt_tokens: 4_000, cached_tokens, completion_tokens: 50 };
        let (first_token, total) = (Duration::from_millis(500), Duration::from_millis(1_500));
        let finish = AssignmentOutcome::Answered { usage, first_token, total };
        self.scheduler.finish(ticket, finish, &self.directory, self.now)
    }
}

#[test]
fn calls_spread_evenly_when_all_load_reports_are_alike_or_stale() {
    for (running, age_ms) in [(0, 0), (3, 10_000), (0, 10_000)] {
        let mut world = World::usual(4);
        let load = LoadReport { running, age_ms, ..LoadReport::default() };
        world.announce(0..4, load);
        let counts = world.send_many(8);
        assert_eq!(counts.into_values().collect::<Vec<_>>(), [2, 2, 2, 2], "{load:?}");
        let filled = world.send_many(20);
        assert_eq!(filled.into_values().sum::<usize>(), 8, "beyond capacity");
    }
}

#[test]
fn half_of_the_endpoints_lost_at_once_get_no_new_calls() {
    let mut world = World::usual(8);
    world.send_many(8);
    world.pass(1_000);
    world.announce(0..4, LoadReport::default());
    world.pass(1_000);
    let counts = world.send_many(20);
    let names: Vec<&str> = counts.keys().map(String::as_str).collect();
    assert_eq!(names, ["e0", "e1", "e2", "e3"]);
    assert!(counts.values().all(|count| *count <= CAPACITY as usize));
}

#[test]
fn a_program_returns_to_the_engine_that_holds_its_prefix() {
    let mut world = World::usual(4);
    let first = world.send(world.call("p")).remove(0);
    assert_eq!(world.answer(first.0, 0), PrefixReuse::default());
    for _ in 0..5 {
        let next = world.send(world.call("p")).remove(0);
        assert_eq!(next.1, first.1);
        world.answer(next.0, 4_000);
    }
    let excluded = vec![first.1.as_str().try_into().unwrap()];
    let elsewhere = world.send(CallMetadata { excluded, ..world.call("p") }).remove(0);
    assert_ne!(elsewhere.1, first.1);
    assert_eq!(world.answer(elsewhere.0, 1_000), PrefixReuse { reused: 1_000, recomputed: 3_000 });
}

#[test]
fn an_endpoint_that_answers_nothing_is_avoided() {
    let mut world = World::usual(2);
    let hung = world.send(world.call("p")).remove(0);
    for _ in 0..20 {
        world.pass(500);
        world.announce(0..2, LoadReport::default());
        for (ticket, _) in world.send(world.call("q")) {
            world.answer(ticket, 0);
        }
    }
    let counts = world.send_many(3);
    assert!(!counts.contains_key(&hung.1), "{counts:?}");
}

#[test]
fn calls_beyond_the_entry_limit_or_the_queue_bound_are_refused_at_once() {
    let mut world = World::usual(1);
    let call = world.call("p");
    let enter = |world: &mut World, instances| {
        world.scheduler.enter(&call, &world.directory, instances, world.now)
    };
    assert_eq!(enter(&mut world, 100), Ok(()));
    assert_eq!(enter(&mut world, 100).unwrap_err().code, ResultCode::LimitReached);
    let mut sent = std::collections::VecDeque::new();
    for _ in 0..200 {
        sent.extend(world.send(world.call("q")));
    }
    while let Some((ticket, _)) = sent.pop_front() {
        if world.scheduler.waiting.len() < 60 {
            break;
        }
        world.pass(100);
        world.announce(0..1, LoadReport::default());
        world.answer(ticket, 0);
        let key = call.queue.clone();
        let next = world.scheduler.assign(&key, None, &world.directory, world.now);
        sent.extend(next.iter().map(|one| (one.ticket, String::new())));
    }
    let refusal = enter(&mut world, 1).unwrap_err();
    assert_eq!((refusal.code, refusal.not_run), (ResultCode::Overloaded, true));
    assert!(refusal.retry_after.is_some());
}

#[derive(Default)]
struct CountsCandidates(AtomicUsize);

impl PlacementPolicy for CountsCandidates {
    fn place(&self, _need: CallDemand, candidates: &[Candidate]) -> PlacementDecision {
        self.0.fetch_max(candidates.len(), Ordering::Relaxed);
        PlacementDecision::Send(0)
    }
}

#[test]
fn the_candidates_do_not_grow_with_the_endpoints() {
    let placer = Arc::<CountsCandidates>::default();
    let mut world = World::new(500, placer.clone());
    assert_eq!(world.send_many(300).into_values().sum::<usize>(), 300);
    let most = placer.0.load(Ordering::Relaxed);
    assert!((2..=WHOLE_GROUP_MAX).contains(&most), "{most}");
}

#[test]
fn the_times_of_services_do_not_count_for_engines() {
    let mut world = World::usual(1);
    let service: Announcement = serde_json::from_value(json!({
        "name": "s0", "kind": "service", "address": "127.0.0.1:9",
        "targets": ["s"], "data_centre": "dc-a", "capacity": CAPACITY,
    }))
    .unwrap();
    world.directory.announce(service, world.now);
    let at_service = (CallKind::Service, "s".try_into().unwrap());
    for _ in 0..20 {
        let call = CallMetadata { queue: at_service.clone(), ..world.call("p") };
        let ticket = world.send(call).remove(0).0;
        world.answer(ticket, 4_000);
    }
    let key = world.call("p").queue;
    let engine = world.scheduler.sample(&key, None, &world.directory, world.now).remove(0);
    assert_eq!(engine.rates, crate::placement::Rates::default());
}

/// Lets programs send each next call when the last one is answered, and returns the longest wait.
///
/// The calls take 1 ms, but for 1 in 10 that the machine delays by 4 ms.
fn longest_wait(world: &mut World, programs: usize, calls_each: usize) -> Duration {
    let mut rng = ChaCha8Rng::seed_from_u64(1);
    let mut left = vec![calls_each; programs];
    let mut queued = HashMap::new();
    let mut ends = BTreeMap::new();
    let mut ready: Vec<usize> = (0..programs).collect();
    let mut longest = Duration::ZERO;
    loop {
        for program in ready.drain(..) {
            let call = world.call(&format!("p{program}"));
            let under_way = left[program] < calls_each;
            let call = CallMetadata { under_way, prompt_tokens: 1, history_tokens: 0, ..call };
            let ticket = world.scheduler.enqueue(call, world.now);
            queued.insert(ticket, (program, world.now));
        }
        let key = world.call("p").queue;
        for one in world.scheduler.assign(&key, None, &world.directory, world.now) {
            longest = longest.max(world.now.since(queued[&one.ticket].1));
            let delay = if rng.random_bool(0.1) { 4 } else { 0 };
            let service = Duration::from_millis(1 + delay);
            ends.insert((world.now + service, one.ticket), service);
        }
        let Some(((now, ticket), total)) = ends.pop_first() else {
            return longest;
        };
        world.now = now;
        world.announce(0..1, LoadReport::default());
        let usage = Usage { prompt_tokens: 1, cached_tokens: 0, completion_tokens: 1 };
        let finish = AssignmentOutcome::Answered { usage, first_token: total, total };
        world.scheduler.finish(ticket, finish, &world.directory, now);
        let program = queued[&ticket].0;
        left[program] -= 1;
        if left[program] > 0 {
            ready.push(program);
        }
    }
}

#[test]
fn no_call_waits_for_an_endpoint_that_announces_room_when_durations_vary() {
    let mut world = World::with_capacity(1, Arc::<ExpectedFinish>::default(), 64);
    assert_eq!(longest_wait(&mut world, 32, 250), Duration::ZERO);
}
