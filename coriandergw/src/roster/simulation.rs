//! Runs the roster states of core instances and the views of many processes over a simulated
//! network, and checks after each step what every view must show.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use rand::Rng;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;

use crate::clock::Timestamp;
use crate::ids::EndpointName;
use crate::ids::InstanceName;
use crate::roster::EndpointRecord;
use crate::roster::EndpointState;
use crate::roster::Role;
use crate::roster::state::Audience;
use crate::roster::state::ConfigState;
use crate::roster::state::RosterState;
use crate::roster::state::poll_wait;
use crate::roster::view::PollAnswer;
use crate::roster::view::RosterView;
use crate::test_support::presence;

/// The simulated time of one step, in milliseconds; an answer takes one step.
const STEP_MS: u64 = 10;

/// How often an endpoint announces itself, in milliseconds.
const HEARTBEAT_MS: u64 = 1_200;

/// After this time without an announcement an endpoint counts as silent.
const ENDPOINT_SILENCE: Duration = Duration::from_millis(4 * HEARTBEAT_MS);

/// How long a process and all core instances must have been undisturbed before the view of the
/// process is checked, in milliseconds.
const CONTACT_MS: u64 = 3_000;

/// The time after the acknowledgement of a departure from which no view may list the endpoint, in
/// milliseconds.
const DRAIN_MS: u64 = 2_000;

/// The time after the acknowledgement of a configuration from which every view must have it, in
/// milliseconds.
const CONFIG_APPLY_MS: u64 = 2_000;

/// How long everything must have been undisturbed until each live endpoint must be listed, in
/// milliseconds: an endpoint finds another core instance, and a lost report is forgotten.
const CALM_MS: u64 = 8_000;

/// The longest delay of an announcement, in milliseconds.
const DELAY_MAX_MS: u64 = 6_000;

/// The time after the crash of an endpoint from which no view may list it, in milliseconds: a delayed
/// announcement may arrive, and its silence is noticed after that.
const CRASH_MS: u64 = DELAY_MAX_MS + 4 * HEARTBEAT_MS + 1_000;

/// How long an endpoint serves after the acknowledgement of its departure, in milliseconds.
const LEAVING_MS: u64 = 3_000;

/// The size of a simulated site.
#[derive(Debug, Clone, Copy)]
pub struct Size {
    pub cores: usize,
    pub processes: usize,
    pub endpoints: usize,
}

struct CoreSim {
    start: u64,
    state: RosterState,
    view: RosterView,
    /// The last configuration that it applied; kept on its disk.
    config_version: u64,
    down_until: u64,
    frozen_until: u64,
}

struct ProcessSim {
    name: InstanceName,
    view: RosterView,
    highest_version: u64,
    frozen_until: u64,
    /// The cores that it cannot reach, and until when.
    cut: BTreeMap<usize, u64>,
    disturbed_at: u64,
    /// Answers that were on their way when the process froze.
    late_answers: Vec<(usize, PollAnswer)>,
    answers: u64,
}

struct EndpointSim {
    number: usize,
    started_ms: u64,
    sequence: u64,
    sponsor: usize,
    next_heartbeat: u64,
    state: EndpointState,
    /// When a core instance acknowledged its departure.
    departed_at: Option<u64>,
    /// When it ended without a word.
    crashed_at: Option<u64>,
    ready_since: u64,
}

/// A site with its faults and the history that is checked.
pub struct Simulation {
    size: Size,
    rng: ChaCha8Rng,
    now_ms: u64,
    cores: Vec<CoreSim>,
    processes: Vec<ProcessSim>,
    endpoints: Vec<EndpointSim>,
    polled_at: BTreeMap<(usize, usize), u64>,
    delayed: Vec<(u64, usize, EndpointRecord)>,
    /// The departed incarnations with the time of the acknowledgement.
    departures: Vec<(EndpointName, u64, u64)>,
    committed: u64,
    committed_at: u64,
    core_disturbed_at: u64,
}

fn core_address(core: usize) -> SocketAddr {
    SocketAddr::from(([10, 0, 0, core as u8 + 1], 7_000))
}

impl EndpointSim {
    fn record(&self) -> EndpointRecord {
        EndpointRecord {
            id: EndpointName::try_from(format!("e{}", self.number)).expect("a name"),
            service: "models".into(),
            address: SocketAddr::from(([10, 1, 0, self.number as u8], 8_000)),
            data_centre: "dc".into(),
            slots: 4,
            state: self.state,
            started_ms: self.started_ms,
            sequence: self.sequence,
            cold_ms: 0,
            version: "v1".into(),
        }
    }
}

impl Simulation {
    pub fn new(size: Size, seed: u64) -> Self {
        let now = Timestamp::from_millis(0);
        let core = |number: usize| CoreSim {
            start: number as u64 + 1,
            state: RosterState::new(ENDPOINT_SILENCE, now),
            view: RosterView::new(poll_wait(Role::Core)),
            config_version: 0,
            down_until: 0,
            frozen_until: 0,
        };
        let mut rng = ChaCha8Rng::seed_from_u64(seed);
        let endpoint = |number: usize| EndpointSim {
            number,
            started_ms: 1,
            sequence: 0,
            sponsor: number % size.cores,
            next_heartbeat: rng.random_range(0..HEARTBEAT_MS),
            state: EndpointState::Ready,
            departed_at: None,
            crashed_at: None,
            ready_since: 0,
        };
        let endpoints = (0..size.endpoints).map(endpoint).collect();
        let mut simulation = Self {
            size,
            rng,
            now_ms: 0,
            cores: (0..size.cores).map(core).collect(),
            processes: Vec::new(),
            endpoints,
            polled_at: BTreeMap::new(),
            delayed: Vec::new(),
            departures: Vec::new(),
            committed: 0,
            committed_at: 0,
            core_disturbed_at: 0,
        };
        for number in 0..size.processes {
            let process = simulation.start_process(number);
            simulation.processes.push(process);
        }
        simulation
    }

    fn start_process(&mut self, number: usize) -> ProcessSim {
        let (high, low) = (number / 250, number % 250);
        let name = format!("10.2.{high}.{low}:7001/{:08x}", self.rng.random::<u32>());
        self.polled_at.retain(|(process, _), _| *process != number);
        ProcessSim {
            name: InstanceName::try_from(name).expect("a name"),
            view: RosterView::new(poll_wait(Role::Entry)),
            highest_version: 0,
            frozen_until: 0,
            cut: BTreeMap::new(),
            disturbed_at: self.now_ms,
            late_answers: Vec::new(),
            answers: 0,
        }
    }

    fn now(&self) -> Timestamp {
        Timestamp::from_millis(self.now_ms)
    }

    fn runs(&self, core: usize) -> bool {
        let core = &self.cores[core];
        core.down_until <= self.now_ms && core.frozen_until <= self.now_ms
    }

    /// Writes what happens to standard output if `SIMULATION_TRACE` is set.
    fn trace(&self, what: &str) {
        if std::env::var_os("SIMULATION_TRACE").is_some() {
            println!("{} ms: {what}", self.now_ms);
        }
    }

    /// Lets time pass without new faults.
    pub fn run_calm(&mut self, millis: u64) {
        for _ in 0..millis / STEP_MS {
            self.step();
        }
    }

    /// Lets time pass with random faults, each of which ends by itself.
    pub fn run_with_faults(&mut self, millis: u64) {
        for _ in 0..millis / STEP_MS {
            if self.rng.random_bool(0.01) {
                self.inject_fault();
            }
            self.step();
        }
    }

    fn inject_fault(&mut self) {
        let core = self.rng.random_range(0..self.size.cores);
        let number = self.rng.random_range(0..self.size.processes);
        let duration = self.rng.random_range(200..3_000);
        let end = self.now_ms + duration;
        let fault = self.rng.random_range(0..7);
        self.trace(&format!("fault {fault}: core {core}, process {number}, until {end} ms"));
        match fault {
            0 => {
                let disk = self.cores[core].config_version;
                self.cores[core] = CoreSim {
                    start: 1_000 + self.now_ms,
                    state: RosterState::new(ENDPOINT_SILENCE, Timestamp::from_millis(end)),
                    view: RosterView::new(poll_wait(Role::Core)),
                    config_version: 0,
                    down_until: end,
                    frozen_until: 0,
                };
                self.apply_config(core, disk);
                self.core_disturbed_at = end;
            }
            1 => {
                self.cores[core].frozen_until = end;
                self.core_disturbed_at = end;
            }
            2 => self.processes[number] = self.start_process(number),
            3 => {
                // The last answer before the freeze carries a configuration that is replaced
                // meanwhile.
                self.commit(core);
                for core in 0..self.size.cores {
                    let answer = self.answer(core, &self.processes[number].view, Audience::Other);
                    self.processes[number].late_answers.push((core, answer));
                }
                self.processes[number].frozen_until = end;
                self.processes[number].disturbed_at = end;
            }
            4 => {
                self.processes[number].cut.insert(core, end);
                self.processes[number].disturbed_at = end;
            }
            5 => {
                let number = self.rng.random_range(0..self.size.endpoints);
                self.leave_or_restart(number);
            }
            _ => {
                let number = self.rng.random_range(0..self.size.endpoints);
                self.endpoints[number].crashed_at.get_or_insert(self.now_ms);
            }
        }
    }

    /// Makes an endpoint announce its departure, or start again after it has left.
    fn leave_or_restart(&mut self, number: usize) {
        let now_ms = self.now_ms;
        let leaves_at_once = self.rng.random_bool(0.5);
        let endpoint = &mut self.endpoints[number];
        match endpoint.state {
            _ if endpoint.crashed_at.is_some() => {}
            EndpointState::Ready if leaves_at_once => self.depart(number),
            EndpointState::Ready => {
                endpoint.state = EndpointState::Draining;
                endpoint.next_heartbeat = now_ms;
            }
            EndpointState::Gone => {
                endpoint.state = EndpointState::Ready;
                endpoint.started_ms = now_ms + 1;
                endpoint.sequence = 0;
                endpoint.departed_at = None;
                endpoint.next_heartbeat = now_ms;
                endpoint.ready_since = now_ms;
            }
            _ => {}
        }
    }

    /// Makes an endpoint depart by its name alone, without draining first, at any core instance
    /// that records it; the endpoint sends nothing more then.
    fn depart(&mut self, number: usize) {
        let (now, now_ms) = (self.now(), self.now_ms);
        let EndpointRecord { id, started_ms, .. } = self.endpoints[number].record();
        let first = self.rng.random_range(0..self.size.cores);
        for core in (0..self.size.cores).map(|at| (first + at) % self.size.cores) {
            if !self.runs(core) {
                continue;
            }
            let core = &mut self.cores[core];
            let published = core.view.endpoint(&id).cloned();
            if core.state.depart(&id, None, published, now).is_ok() {
                let endpoint = &mut self.endpoints[number];
                endpoint.state = EndpointState::Gone;
                endpoint.departed_at = Some(now_ms);
                self.departures.push((id, started_ms, now_ms));
                return;
            }
        }
    }

    fn apply_config(&mut self, core: usize, version: u64) {
        let now = self.now();
        let core = &mut self.cores[core];
        core.config_version = core.config_version.max(version);
        let config_state = ConfigState {
            config_version: core.config_version,
            config: Bytes::from(core.config_version.to_string()),
            ..ConfigState::default()
        };
        core.state.apply_config_state(config_state, now);
    }

    fn step(&mut self) {
        self.now_ms += STEP_MS;
        self.commit_configurations();
        self.send_heartbeats();
        self.poll_all();
        for core in 0..self.size.cores {
            if self.now_ms.is_multiple_of(50) && self.runs(core) {
                let now = self.now();
                self.cores[core].state.expire_silent(now);
            }
        }
        self.check();
    }

    /// Commits a configuration, which the core instance `first` applies at once if it runs.
    fn commit(&mut self, first: usize) {
        self.committed += 1;
        self.committed_at = self.now_ms;
        if self.runs(first) {
            self.apply_config(first, self.committed);
        }
    }

    /// Commits a configuration now and then; a running core instance applies it after a short time.
    fn commit_configurations(&mut self) {
        if self.rng.random_bool(0.01) {
            let first = self.rng.random_range(0..self.size.cores);
            self.commit(first);
        }
        for core in 0..self.size.cores {
            if self.runs(core) && self.rng.random_bool(0.2) {
                self.apply_config(core, self.committed);
            }
        }
    }

    fn send_heartbeats(&mut self) {
        for number in 0..self.size.endpoints {
            if self.endpoints[number].next_heartbeat <= self.now_ms {
                self.send_heartbeat(number);
            }
        }
        let (now, now_ms) = (self.now(), self.now_ms);
        let delayed = std::mem::take(&mut self.delayed);
        for (due, core, record) in delayed {
            match due <= now_ms && self.runs(core) {
                true => {
                    self.cores[core].state.announce(record, now);
                }
                false => self.delayed.push((due, core, record)),
            }
        }
    }

    fn send_heartbeat(&mut self, number: usize) {
        let (now, now_ms) = (self.now(), self.now_ms);
        let sponsor = self.endpoints[number].sponsor;
        let endpoint = &self.endpoints[number];
        if endpoint.state == EndpointState::Gone || endpoint.crashed_at.is_some() {
            return;
        }
        if !self.runs(sponsor) {
            let endpoint = &mut self.endpoints[number];
            endpoint.sponsor = (sponsor + 1) % self.size.cores;
            endpoint.next_heartbeat = now_ms + 1_000;
            return;
        }
        let is_delayed = self.rng.random_bool(0.03);
        let delay = self.rng.random_range(500..DELAY_MAX_MS);
        let other = self.rng.random_range(0..self.size.cores);
        let endpoint = &mut self.endpoints[number];
        endpoint.sequence += 1;
        endpoint.next_heartbeat = now_ms + HEARTBEAT_MS;
        if endpoint.departed_at.is_some_and(|at| now_ms >= at + LEAVING_MS) {
            endpoint.state = EndpointState::Gone;
        }
        let record = endpoint.record();
        if record.state != EndpointState::Ready && endpoint.departed_at.is_none() {
            endpoint.departed_at = Some(now_ms);
            self.departures.push((record.id.clone(), record.started_ms, now_ms));
        }
        self.trace(&format!("heartbeat at core {sponsor}: {record:?}, delayed too: {is_delayed}"));
        self.cores[sponsor].state.announce(record.clone(), now);
        if is_delayed {
            self.delayed.push((now_ms + delay, other, record));
        }
    }

    fn answer(&self, core: usize, view: &RosterView, audience: Audience) -> PollAnswer {
        let core_sim = &self.cores[core];
        let (start, cursor, _) = view.position(core_address(core));
        let cursor = if start == core_sim.start { cursor } else { 0 };
        let changes = core_sim.state.changes_after(cursor, audience);
        let config_state = core_sim.state.config_state();
        let is_newer = config_state.config_version > view.config().0;
        PollAnswer {
            core_start: core_sim.start,
            cursor: core_sim.state.last_change(),
            endpoints: changes.endpoints,
            instances: changes.instances,
            config_version: config_state.config_version,
            config: is_newer.then(|| config_state.config.clone()),
            ..PollAnswer::default()
        }
    }

    /// Returns whether a poll that was sent at `polled_at` is answered now.
    fn is_due(&self, core: usize, view: &RosterView, audience: Audience, polled_at: u64) -> bool {
        let core_sim = &self.cores[core];
        let (start, cursor, _) = view.position(core_address(core));
        let wait = match audience {
            Audience::AddressSource => poll_wait(Role::Core),
            Audience::Other => poll_wait(Role::Entry),
        };
        start != core_sim.start
            || core_sim.state.last_changes().relevant_to(audience) > cursor
            || self.now_ms >= polled_at + wait.as_millis() as u64
    }

    fn poll_all(&mut self) {
        let now = self.now();
        for number in 0..self.size.processes {
            if self.processes[number].frozen_until > self.now_ms {
                continue;
            }
            // An answer from before the freeze may be read after a newer one of another core.
            let mut late = std::mem::take(&mut self.processes[number].late_answers);
            for core in 0..self.size.cores {
                self.poll_from_process(number, core);
                self.check_version(number);
                if let Some((core, answer)) = late.pop() {
                    self.processes[number].view.merge(core_address(core), answer, now);
                    self.check_version(number);
                }
            }
            if self.now_ms.is_multiple_of(250) {
                self.processes[number].view.expire(now);
            }
        }
        for poller in 0..self.size.cores {
            if self.runs(poller) {
                self.poll_from_core(poller);
            }
        }
    }

    fn poll_from_process(&mut self, number: usize, core: usize) {
        let now = self.now();
        let process = &self.processes[number];
        let is_cut = process.cut.get(&core).is_some_and(|until| *until > self.now_ms);
        let polled_at = self.polled_at.get(&(number, core)).copied().unwrap_or_default();
        if is_cut
            || !self.runs(core)
            || !self.is_due(core, &process.view, Audience::Other, polled_at)
        {
            return;
        }
        // One answer in twenty is lost; the poll is repeated with the next step.
        if self.rng.random_bool(0.05) {
            return;
        }
        let answer = self.answer(core, &self.processes[number].view, Audience::Other);
        let process = &mut self.processes[number];
        process.view.merge(core_address(core), answer, now);
        process.answers += 1;
        self.polled_at.insert((number, core), self.now_ms);
        let state = &mut self.cores[core].state;
        if state.note_alive(&process.name, now).is_none() {
            state.note_presence(presence(process.name.as_str()), now);
        }
    }

    fn poll_from_core(&mut self, poller: usize) {
        let now = self.now();
        for core in 0..self.size.cores {
            let view = &self.cores[poller].view;
            if self.runs(core) && self.is_due(core, view, Audience::AddressSource, self.now_ms) {
                let answer = self.answer(core, view, Audience::AddressSource);
                self.cores[poller].view.merge(core_address(core), answer, now);
            }
        }
        if self.now_ms.is_multiple_of(250) {
            self.cores[poller].view.expire(now);
        }
        for record in self.cores[poller].view.departing_endpoints() {
            self.cores[poller].state.announce(record, now);
        }
    }

    fn is_in_touch(&self, process: &ProcessSim) -> bool {
        let calm_since = process.disturbed_at.max(self.core_disturbed_at);
        self.now_ms >= calm_since + CONTACT_MS
    }

    fn check(&mut self) {
        for number in 0..self.size.processes {
            if self.processes[number].frozen_until > self.now_ms {
                continue;
            }
            self.check_version(number);
            let process = &self.processes[number];
            if self.now_ms.is_multiple_of(100) && self.is_in_touch(process) {
                self.check_view(process);
            }
        }
    }

    fn check_version(&mut self, number: usize) {
        let process = &mut self.processes[number];
        let (version, highest) = (process.view.config().0, process.highest_version);
        assert!(version >= highest, "{} has version {version} after {highest}", process.name);
        process.highest_version = version;
    }

    fn check_view(&self, process: &ProcessSim) {
        let usable = process.view.usable_endpoints(|_| true);
        let usable: BTreeMap<&EndpointName, u64> =
            usable.values().flatten().map(|record| (&record.id, record.started_ms)).collect();
        for (id, started_ms, at) in &self.departures {
            let is_listed = usable.get(id) == Some(started_ms);
            assert!(
                !is_listed || self.now_ms <= at + DRAIN_MS,
                "{} lists {id}, which left at {at} ms, at {} ms",
                process.name,
                self.now_ms
            );
        }
        if self.now_ms > self.committed_at + CONFIG_APPLY_MS {
            assert_eq!(process.view.config().0, self.committed, "configuration in force");
        }
        let calm_since = process.disturbed_at.max(self.core_disturbed_at);
        for endpoint in &self.endpoints {
            let is_settled = self.now_ms > calm_since.max(endpoint.ready_since) + CALM_MS;
            let id = endpoint.record().id;
            if let Some(crashed_at) = endpoint.crashed_at {
                let is_late = self.now_ms > calm_since.max(crashed_at) + CRASH_MS;
                let is_listed = usable.get(&id) == Some(&endpoint.started_ms);
                assert!(!is_late || !is_listed, "{} lists {id}, which crashed", process.name);
                continue;
            }
            assert!(
                endpoint.state != EndpointState::Ready || !is_settled || usable.contains_key(&id),
                "{} does not list {id} at {} ms: it knows {:?}; the core instances know {:?}",
                process.name,
                self.now_ms,
                process.view.endpoint(&id),
                self.records_of(&id)
            );
        }
    }

    /// Returns what each core instance holds of an endpoint.
    fn records_of(&self, id: &EndpointName) -> Vec<Option<EndpointRecord>> {
        let record_at = |core: &CoreSim| {
            let all = core.state.changes_after(0, Audience::Other).endpoints;
            all.into_iter().find(|record| record.id == *id)
        };
        self.cores.iter().map(record_at).collect()
    }

    /// Returns the number of answers that a process has received.
    pub fn answers(&self, process: usize) -> u64 {
        self.processes[process].answers
    }
}
