use std::collections::BTreeMap;
use std::sync::atomic::AtomicUsize;
use std::sync::atomic::Ordering;

use rand::Rng;
use serde_json::json;

use super::candidates::MAX_FULL_GROUP;
use super::*;
use crate::catalogue::Entry;
use crate::catalogue::RawEntry;
use crate::dispatch::CallKind;
use crate::endpoints::Announcement;
use crate::endpoints::LoadReport;
use crate::placement::Candidate;
use crate::placement::ExpectedFinish;

/// The number of calls that each engine runs at once.
const CAPACITY: u32 = 4;

/// A scheduler with engines named e0, e1 and so on, on a clock that the test advances.
struct SchedulerFixture {
    scheduler: Scheduler,
    directory: Directory,
    entry: Arc<Entry>,
    capacity: u32,
    now: Timestamp,
}

impl SchedulerFixture {
    fn new(engines: usize, placement_policy: Arc<dyn PlacementPolicy>) -> Self {
        Self::with_capacity(engines, placement_policy, CAPACITY)
    }

    fn with_capacity(
        engines: usize,
        placement_policy: Arc<dyn PlacementPolicy>,
        capacity: u32,
    ) -> Self {
        let mut raw = RawEntry { name: "n".into(), owner: "o".into(), ..RawEntry::default() };
        raw.limits.calls_in_flight = 100;
        raw.limits.queue_ms = 2_000;
        let settings = SchedulerSettings {
            queue: QueueSettings::default(),
            placement_policy,
            data_centre: "dc-a".try_into().unwrap(),
            seed: 1,
        };
        let mut fixture = Self {
            scheduler: Scheduler::new(settings),
            directory: Directory::default(),
            entry: Arc::new(Entry::try_from(raw).unwrap()),
            capacity,
            now: Timestamp::from_millis(1),
        };
        fixture.announce(0..engines, LoadReport::default());
        fixture
    }

    fn with_default_policy(engines: usize) -> Self {
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

    fn advance(&mut self, millis: u64) {
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

    /// Queues a call. Returns the ticket and endpoint of each call that is then assigned.
    fn send(&mut self, call: CallMetadata) -> Vec<(u64, String)> {
        let key = call.queue.clone();
        self.scheduler.enqueue(call, self.now);
        let assigned = self.scheduler.assign(&key, None, &self.directory, self.now);
        let name = |assignment: &Assignment| assignment.endpoint.announcement.name.to_string();
        assigned.iter().map(|assignment| (assignment.ticket, name(assignment))).collect()
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
        let outcome = AssignmentOutcome::Answered { usage, first_token, total };
        self.scheduler.finish(ticket, outcome, &self.directory, self.now)
    }
}

#[test]
fn calls_spread_evenly_when_all_load_reports_are_alike_or_stale() {
    for (running, age_ms) in [(0, 0), (3, 10_000), (0, 10_000)] {
        let mut fixture = SchedulerFixture::with_default_policy(4);
        let load = LoadReport { running, age_ms, ..LoadReport::default() };
        fixture.announce(0..4, load);
        let counts = fixture.send_many(8);
        assert_eq!(counts.into_values().collect::<Vec<_>>(), [2, 2, 2, 2], "{load:?}");
        let filled = fixture.send_many(20);
        assert_eq!(filled.into_values().sum::<usize>(), 8, "beyond capacity");
    }
}

#[test]
fn half_of_the_endpoints_lost_at_once_get_no_new_calls() {
    let mut fixture = SchedulerFixture::with_default_policy(8);
    fixture.send_many(8);
    fixture.advance(1_000);
    fixture.announce(0..4, LoadReport::default());
    fixture.advance(1_000);
    let counts = fixture.send_many(20);
    let names: Vec<&str> = counts.keys().map(String::as_str).collect();
    assert_eq!(names, ["e0", "e1", "e2", "e3"]);
    assert!(counts.values().all(|count| *count <= CAPACITY as usize));
}

#[test]
fn a_program_returns_to_the_engine_that_holds_its_prefix() {
    let mut fixture = SchedulerFixture::with_default_policy(4);
    let first = fixture.send(fixture.call("p")).remove(0);
    assert_eq!(fixture.answer(first.0, 0), PrefixReuse::default());
    for _ in 0..5 {
        let next = fixture.send(fixture.call("p")).remove(0);
        assert_eq!(next.1, first.1);
        fixture.answer(next.0, 4_000);
    }
    let excluded = vec![first.1.as_str().try_into().unwrap()];
    let elsewhere = fixture.send(CallMetadata { excluded, ..fixture.call("p") }).remove(0);
    assert_ne!(elsewhere.1, first.1);
    assert_eq!(
        fixture.answer(elsewhere.0, 1_000),
        PrefixReuse { reused: 1_000, recomputed: 3_000 }
    );
}

#[test]
fn an_endpoint_that_answers_nothing_is_avoided() {
    let mut fixture = SchedulerFixture::with_default_policy(2);
    let hung = fixture.send(fixture.call("p")).remove(0);
    for _ in 0..20 {
        fixture.advance(500);
        fixture.announce(0..2, LoadReport::default());
        for (ticket, _) in fixture.send(fixture.call("q")) {
            fixture.answer(ticket, 0);
        }
    }
    let counts = fixture.send_many(3);
    assert!(!counts.contains_key(&hung.1), "{counts:?}");
}

#[test]
fn calls_beyond_the_entry_limit_or_the_queue_bound_are_refused_at_once() {
    let mut fixture = SchedulerFixture::with_default_policy(1);
    let call = fixture.call("p");
    let admit = |fixture: &mut SchedulerFixture, instances| {
        fixture.scheduler.admit(&call, &fixture.directory, instances, fixture.now)
    };
    assert_eq!(admit(&mut fixture, 100), Ok(()));
    assert_eq!(admit(&mut fixture, 100).unwrap_err().code, ResultCode::LimitReached);
    let mut sent = std::collections::VecDeque::new();
    for _ in 0..200 {
        sent.extend(fixture.send(fixture.call("q")));
    }
    while let Some((ticket, _)) = sent.pop_front() {
        if fixture.scheduler.waiting.len() < 60 {
            break;
        }
        fixture.advance(100);
        fixture.announce(0..1, LoadReport::default());
        fixture.answer(ticket, 0);
        let key = call.queue.clone();
        let next = fixture.scheduler.assign(&key, None, &fixture.directory, fixture.now);
        sent.extend(next.iter().map(|assignment| (assignment.ticket, String::new())));
    }
    let refusal = admit(&mut fixture, 1).unwrap_err();
    assert_eq!((refusal.code, refusal.not_run), (ResultCode::Overloaded, true));
    assert!(refusal.retry_after.is_some());
}

#[derive(Default)]
struct CandidateCounter(AtomicUsize);

impl PlacementPolicy for CandidateCounter {
    fn place(&self, _demand: CallDemand, candidates: &[Candidate]) -> PlacementDecision {
        self.0.fetch_max(candidates.len(), Ordering::Relaxed);
        PlacementDecision::Send(0)
    }
}

#[test]
fn the_candidates_do_not_grow_with_the_endpoints() {
    let placement_policy = Arc::<CandidateCounter>::default();
    let mut fixture = SchedulerFixture::new(500, placement_policy.clone());
    assert_eq!(fixture.send_many(300).into_values().sum::<usize>(), 300);
    let most = placement_policy.0.load(Ordering::Relaxed);
    assert!((2..=MAX_FULL_GROUP).contains(&most), "{most}");
}

#[test]
fn the_times_of_services_do_not_count_for_engines() {
    let mut fixture = SchedulerFixture::with_default_policy(1);
    let service: Announcement = serde_json::from_value(json!({
        "name": "s0", "kind": "service", "address": "127.0.0.1:9",
        "targets": ["s"], "data_centre": "dc-a", "capacity": CAPACITY,
    }))
    .unwrap();
    fixture.directory.announce(service, fixture.now);
    let service_queue = (CallKind::Service, "s".try_into().unwrap());
    for _ in 0..20 {
        let call = CallMetadata { queue: service_queue.clone(), ..fixture.call("p") };
        let ticket = fixture.send(call).remove(0).0;
        fixture.answer(ticket, 4_000);
    }
    let key = fixture.call("p").queue;
    let engine = fixture.scheduler.sample(&key, None, &fixture.directory, fixture.now).remove(0);
    assert_eq!(engine.rates, crate::placement::Rates::default());
}

/// Runs programs that send each call when the previous one is answered. Returns the longest time
/// that a call waited in the queue.
///
/// Calls take 1 ms, except for 1 in 10, which takes 4 ms longer, as on a busy machine.
fn longest_wait(fixture: &mut SchedulerFixture, programs: usize, calls_each: usize) -> Duration {
    let mut rng = ChaCha8Rng::seed_from_u64(1);
    let mut remaining = vec![calls_each; programs];
    let mut queued = HashMap::new();
    let mut ends = BTreeMap::new();
    let mut ready: Vec<usize> = (0..programs).collect();
    let mut longest = Duration::ZERO;
    loop {
        for program in ready.drain(..) {
            let call = fixture.call(&format!("p{program}"));
            let under_way = remaining[program] < calls_each;
            let call = CallMetadata { under_way, prompt_tokens: 1, history_tokens: 0, ..call };
            let ticket = fixture.scheduler.enqueue(call, fixture.now);
            queued.insert(ticket, (program, fixture.now));
        }
        let key = fixture.call("p").queue;
        for assignment in fixture.scheduler.assign(&key, None, &fixture.directory, fixture.now) {
            longest = longest.max(fixture.now.since(queued[&assignment.ticket].1));
            let delay = if rng.random_bool(0.1) { 4 } else { 0 };
            let service = Duration::from_millis(1 + delay);
            ends.insert((fixture.now + service, assignment.ticket), service);
        }
        let Some(((now, ticket), total)) = ends.pop_first() else {
            return longest;
        };
        fixture.now = now;
        fixture.announce(0..1, LoadReport::default());
        let usage = Usage { prompt_tokens: 1, cached_tokens: 0, completion_tokens: 1 };
        let outcome = AssignmentOutcome::Answered { usage, first_token: total, total };
        fixture.scheduler.finish(ticket, outcome, &fixture.directory, now);
        let program = queued[&ticket].0;
        remaining[program] -= 1;
        if remaining[program] > 0 {
            ready.push(program);
        }
    }
}

#[test]
fn no_call_waits_for_an_endpoint_that_announces_room_when_durations_vary() {
    let mut fixture = SchedulerFixture::with_capacity(1, Arc::<ExpectedFinish>::default(), 64);
    assert_eq!(longest_wait(&mut fixture, 32, 250), Duration::ZERO);
}
