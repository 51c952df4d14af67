//! Compares orders of endpoints of uneven pace in a simulation of queues with fixed seeds.

use std::cmp::Reverse;
use std::collections::BinaryHeap;
use std::collections::VecDeque;
use std::net::SocketAddr;
use std::time::Duration;

use rand::Rng;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;

use crate::clock::Timestamp;
use crate::forwarding::ReportedLoad;
use crate::forwarding::choice::EndpointCandidate;
use crate::forwarding::choice::PREFERRED_ENDPOINTS;
use crate::forwarding::choice::order_by_load;
use crate::forwarding::loads::Load;
use crate::ids::EndpointName;
use crate::roster::EndpointRecord;
use crate::roster::EndpointState;

const SLOTS: u32 = 6;
const WORK_MEAN_MS: f64 = 20.0;
const ONE_WAY: Duration = Duration::from_millis(1);
/// Long enough that the p99 of two seeds differs by a few percent only.
const DURATION: Duration = Duration::from_secs(12);
/// Reports of the first second are not typical, since nothing is known at the start.
const MEASURED_FROM: Timestamp = Timestamp(1_000_000);
/// The paces that endpoints change between, in percent.
const PACES: [u32; 6] = [60, 80, 100, 100, 150, 300];

/// The way in which an endpoint is chosen.
#[derive(Debug, Clone, Copy, PartialEq)]
enum Policy {
    /// The order for endpoints that state no pace.
    LeastLoaded,
    /// The less loaded one of two random endpoints.
    TwoLessLoaded,
    /// The one of two random preferred endpoints with the lower expected time until done.
    TwoExpectedTime,
    /// The order for endpoints that state their pace.
    ExpectedTime,
}

/// Instances, endpoints and the share of the endpoints' capacity that is requested.
#[derive(Debug, Clone, Copy)]
struct Scenario {
    instances: usize,
    endpoints: usize,
    utilisation: f64,
}

/// A request on its way or in work.
#[derive(Debug, Clone, Copy)]
struct Request {
    instance: usize,
    endpoint: usize,
    started: Timestamp,
    work_ms: f64,
}

enum Event {
    Arrival,
    PaceChange(usize),
    AtEndpoint(Request),
    Done(Request),
    Answered(Request, ReportedLoad),
}

#[derive(Default)]
struct Endpoint {
    running: u32,
    queue: VecDeque<Request>,
    pace: u32,
}

/// What the callers see, and the load of the busiest endpoint as a multiple of the mean.
#[derive(Debug, Clone, Copy, Default)]
struct Outcome {
    mean_ms: f64,
    p99_ms: f64,
    herding: f64,
}

struct Simulation {
    scenario: Scenario,
    policy: Policy,
    rng: ChaCha8Rng,
    choices: ChaCha8Rng,
    endpoints: Vec<Endpoint>,
    /// What each instance knows of each endpoint.
    views: Vec<Vec<EndpointCandidate>>,
    events: Vec<Option<Event>>,
    due: BinaryHeap<Reverse<(Timestamp, usize)>>,
    times_ms: Vec<f64>,
    herding: Vec<f64>,
}

fn exponential(rng: &mut ChaCha8Rng, mean: f64) -> f64 {
    -mean * (1.0 - rng.random::<f64>()).ln()
}

fn millis(value: f64) -> Duration {
    Duration::from_secs_f64(value / 1_000.0)
}

fn candidate(number: usize, is_preferred: bool) -> EndpointCandidate {
    let record = EndpointRecord {
        id: EndpointName::try_from(format!("e{number}")).expect("a name"),
        service: "s".into(),
        address: SocketAddr::from(([10, 0, 0, number as u8], 8_000)),
        data_centre: "dc".into(),
        slots: SLOTS,
        state: EndpointState::Ready,
        started_ms: 1,
        sequence: 1,
        cold_ms: 0,
        version: "v1".into(),
    };
    EndpointCandidate { record, load: Load::default(), is_preferred }
}

impl Simulation {
    fn new(scenario: Scenario, policy: Policy, seed: u64) -> Self {
        let mut rng = ChaCha8Rng::seed_from_u64(seed);
        let view = |rng: &mut ChaCha8Rng| {
            let chosen = rand::seq::index::sample(rng, scenario.endpoints, PREFERRED_ENDPOINTS);
            let is_preferred = |number: usize| chosen.iter().any(|one| one == number);
            let numbers = 0..scenario.endpoints;
            numbers.map(|number| candidate(number, is_preferred(number))).collect()
        };
        let views = (0..scenario.instances).map(|_| view(&mut rng)).collect();
        let mut simulation = Self {
            scenario,
            policy,
            rng,
            choices: ChaCha8Rng::seed_from_u64(seed + 1),
            endpoints: (0..scenario.endpoints).map(|_| Endpoint::default()).collect(),
            views,
            events: Vec::new(),
            due: BinaryHeap::new(),
            times_ms: Vec::new(),
            herding: Vec::new(),
        };
        for number in 0..scenario.endpoints {
            simulation.schedule(Timestamp(0), Event::PaceChange(number));
        }
        simulation.schedule(Timestamp(0), Event::Arrival);
        simulation
    }

    fn schedule(&mut self, at: Timestamp, event: Event) {
        self.due.push(Reverse((at, self.events.len())));
        self.events.push(Some(event));
    }

    fn run(mut self) -> Outcome {
        while let Some(Reverse((now, index))) = self.due.pop() {
            if now > Timestamp(0) + DURATION {
                break;
            }
            match self.events[index].take().expect("handled once") {
                Event::Arrival => self.arrive(now),
                Event::PaceChange(number) => self.change_pace(number, now),
                Event::AtEndpoint(request) => self.accept(request, now),
                Event::Done(request) => self.complete(request, now),
                Event::Answered(request, report) => self.learn(request, report, now),
            }
        }
        self.times_ms.sort_by(f64::total_cmp);
        let mean = |values: &[f64]| values.iter().sum::<f64>() / values.len() as f64;
        Outcome {
            mean_ms: mean(&self.times_ms),
            p99_ms: self.times_ms[self.times_ms.len() * 99 / 100],
            herding: mean(&self.herding),
        }
    }

    fn arrive(&mut self, now: Timestamp) {
        let capacity_per_ms = self.scenario.endpoints as f64 * f64::from(SLOTS) / WORK_MEAN_MS;
        let gap = exponential(&mut self.rng, 1.0 / (capacity_per_ms * self.scenario.utilisation));
        self.schedule(now + millis(gap), Event::Arrival);
        let instance = self.rng.random_range(0..self.scenario.instances);
        let work_ms = WORK_MEAN_MS * 0.3 + exponential(&mut self.rng, WORK_MEAN_MS * 0.7);
        let endpoint = self.choose(instance, now);
        let load = &mut self.views[instance][endpoint].load;
        load.in_flight += 1;
        load.sent_since_report += 1;
        let request = Request { instance, endpoint, started: now, work_ms };
        self.schedule(now + ONE_WAY, Event::AtEndpoint(request));
    }

    fn choose(&mut self, instance: usize, now: Timestamp) -> usize {
        let view = &self.views[instance];
        let number = |candidate: &EndpointCandidate| {
            view.iter().position(|one| one.record.id == candidate.record.id).expect("known")
        };
        if matches!(self.policy, Policy::LeastLoaded | Policy::ExpectedTime) {
            let mut candidates = view.clone();
            order_by_load(&mut candidates, None, self.choices.random(), now);
            return number(&candidates[0]);
        }
        let is_possible =
            |one: &&EndpointCandidate| self.policy == Policy::TwoLessLoaded || one.is_preferred;
        let possible: Vec<&EndpointCandidate> = view.iter().filter(is_possible).collect();
        let two = rand::seq::index::sample(&mut self.choices, possible.len(), 2);
        let cost = |one: &EndpointCandidate| match self.policy {
            Policy::TwoLessLoaded => one.estimated(now),
            _ => one.time_until_done(0.0, now),
        };
        let two = two.iter().map(|index| possible[index]);
        number(two.min_by(|a, b| cost(a).total_cmp(&cost(b))).expect("two"))
    }

    fn change_pace(&mut self, number: usize, now: Timestamp) {
        // The paces must not depend on the policy, so they have a sequence of their own.
        let seed = now.0 * 1_000 + number as u64;
        let mut rng = ChaCha8Rng::seed_from_u64(seed);
        self.endpoints[number].pace = PACES[rng.random_range(0..PACES.len())];
        let period = millis(rng.random_range(20.0..200.0));
        self.schedule(now + period, Event::PaceChange(number));
        let loads = self.endpoints.iter().map(|one| one.running as usize + one.queue.len());
        let (most, sum) = (loads.clone().max().unwrap_or_default(), loads.sum::<usize>());
        if sum > 0 && now > MEASURED_FROM {
            self.herding.push((most * self.endpoints.len()) as f64 / sum as f64);
        }
    }

    fn accept(&mut self, request: Request, now: Timestamp) {
        match self.endpoints[request.endpoint].running < SLOTS {
            true => self.begin(request, now),
            false => self.endpoints[request.endpoint].queue.push_back(request),
        }
    }

    fn begin(&mut self, request: Request, now: Timestamp) {
        let endpoint = &mut self.endpoints[request.endpoint];
        endpoint.running += 1;
        let work = millis(request.work_ms * f64::from(endpoint.pace) / 100.0);
        self.schedule(now + work, Event::Done(request));
    }

    fn complete(&mut self, request: Request, now: Timestamp) {
        self.endpoints[request.endpoint].running -= 1;
        if let Some(next) = self.endpoints[request.endpoint].queue.pop_front() {
            self.begin(next, now);
        }
        let endpoint = &self.endpoints[request.endpoint];
        let report = ReportedLoad {
            running: endpoint.running,
            waiting: endpoint.queue.len() as u32,
            slots: SLOTS,
            pace: (self.policy != Policy::LeastLoaded).then_some(endpoint.pace),
        };
        self.schedule(now + ONE_WAY, Event::Answered(request, report));
    }

    fn learn(&mut self, request: Request, report: ReportedLoad, now: Timestamp) {
        let load = &mut self.views[request.instance][request.endpoint].load;
        load.in_flight -= 1;
        load.sent_since_report = 0;
        load.reported = Some((report, now));
        if request.started > MEASURED_FROM {
            self.times_ms.push(now.since(request.started).as_secs_f64() * 1_000.0);
        }
    }
}

/// Returns the mean outcome over fixed seeds.
fn simulate(scenario: Scenario, policy: Policy) -> Outcome {
    const SEEDS: [u64; 2] = [4_001, 4_002];
    let sum = SEEDS.iter().fold(Outcome::default(), |sum, seed| {
        let one = Simulation::new(scenario, policy, *seed).run();
        Outcome {
            mean_ms: sum.mean_ms + one.mean_ms,
            p99_ms: sum.p99_ms + one.p99_ms,
            herding: sum.herding + one.herding,
        }
    });
    let count = SEEDS.len() as f64;
    let outcome = Outcome {
        mean_ms: sum.mean_ms / count,
        p99_ms: sum.p99_ms / count,
        herding: sum.herding / count,
    };
    println!("{scenario:?} {policy:?}: {outcome:.2?}");
    outcome
}

fn assert_expected_time_is_best(scenario: Scenario) {
    let least_loaded = simulate(scenario, Policy::LeastLoaded);
    let two_less_loaded = simulate(scenario, Policy::TwoLessLoaded);
    let two_expected = simulate(scenario, Policy::TwoExpectedTime);
    let expected = simulate(scenario, Policy::ExpectedTime);
    assert!(expected.mean_ms < least_loaded.mean_ms * 0.95, "mean against least loaded");
    assert!(expected.p99_ms < least_loaded.p99_ms, "p99 against least loaded");
    assert!(expected.mean_ms < two_less_loaded.mean_ms * 0.95, "mean against two random choices");
    assert!(expected.mean_ms < two_expected.mean_ms * 1.02, "mean against two expected times");
    assert!(expected.herding < least_loaded.herding * 1.2, "the busiest endpoint");
}

// Few instances: a report is usually younger than the pace that it states.
#[test]
fn with_fresh_reports_the_expected_time_until_done_beats_the_least_load() {
    assert_expected_time_is_best(Scenario { instances: 12, endpoints: 10, utilisation: 0.5 });
}

// Many instances: most reports are older than the pace that they state, and all instances that know
// the same fastest endpoint must not send to it at once.
#[test]
fn with_aged_reports_of_many_instances_the_expected_time_does_not_herd() {
    assert_expected_time_is_best(Scenario { instances: 70, endpoints: 20, utilisation: 0.4 });
}

// Near the capacity, long queues count more than the pace.
#[test]
fn in_a_burst_at_few_endpoints_the_expected_time_until_done_beats_the_least_load() {
    assert_expected_time_is_best(Scenario { instances: 40, endpoints: 10, utilisation: 0.65 });
}

// Guards against another order for endpoints that state no pace, whose deployments must be served as
// before.
#[test]
fn endpoints_that_state_no_pace_are_ordered_by_their_load_alone() {
    let now = Timestamp(60_000_000);
    let with_report = |number, running, pace| {
        let report = ReportedLoad { running, waiting: 0, slots: SLOTS, pace };
        let load = Load { reported: Some((report, now)), ..Load::default() };
        EndpointCandidate { load, ..candidate(number, true) }
    };
    let first = |mut candidates: Vec<EndpointCandidate>| {
        order_by_load(&mut candidates, None, 1, now);
        candidates[0].record.id.to_string()
    };
    assert_eq!(first(vec![with_report(0, 2, None), with_report(1, 1, None)]), "e1");
    assert_eq!(first(vec![with_report(0, 2, Some(100)), with_report(1, 1, Some(300))]), "e0");
}
