//! A small deployment with its operator and its clients.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::time::Duration;
use std::time::Instant;

use crate::cluster::Folder;
use crate::cluster::Network;
use crate::cluster::Node;
use crate::cluster::Role;
use crate::http::Call;
use crate::http::Message;
use crate::record::Record;
use crate::worker::Worker;
use crate::worker::WorkerOptions;

/// The events of one turn, each of one token.
pub const TURN_EVENTS: u64 = 4;

/// The host of all routes.
pub const HOST: &str = "agents.example";

/// How long an operator waits for an answer, as the pages say.
const OPERATOR_TIMEOUT: Duration = Duration::from_secs(1);

/// The deadline of a client's request, as on the sheet of the deployment.
pub const CLIENT_DEADLINE: Duration = Duration::from_secs(5);

/// How many processes of each role a deployment has.
#[derive(Debug, Clone, Copy)]
pub struct Shape {
    /// Machines that serve control; they are the seeds.
    pub core: usize,
    /// Storage machines.
    pub journal: usize,
    /// Machines that serve clients.
    pub entry: usize,
    /// `fault_tolerance.machines`.
    pub tolerated: usize,
}

/// A running deployment; its processes end when it is dropped.
pub struct System {
    /// The processes that serve control.
    pub core: Vec<Node>,
    /// The processes on storage machines.
    pub journal: Vec<Node>,
    /// The processes that serve clients.
    pub entry: Vec<Node>,
    /// The record of the case.
    pub record: Arc<Record>,
    network: Network,
    /// Ends last, after the processes that write to it.
    folder: Folder,
    next_host: u8,
}

impl System {
    /// Starts all processes for the first time and does not wait.
    pub fn start(shape: Shape, record: &Arc<Record>) -> Result<Self, String> {
        let network = Network::reserve().ok_or("no loopback network is free")?;
        let folder = Folder::create().map_err(|cause| cause.to_string())?;
        let mut system = Self {
            core: Vec::new(),
            journal: Vec::new(),
            entry: Vec::new(),
            record: record.clone(),
            network,
            folder,
            next_host: 1,
        };
        let Shape { core, journal, entry, tolerated } = shape;
        system.core = (1..=core).map(|n| system.describe(Role::Core, n, tolerated)).collect();
        system.journal =
            (1..=journal).map(|n| system.describe(Role::Journal, n, tolerated)).collect();
        system.entry = (1..=entry).map(|n| system.describe(Role::Entry, n, tolerated)).collect();
        let seeds = system.control();
        let System { core, journal, entry, .. } = &mut system;
        for node in core.iter_mut().chain(journal).chain(entry) {
            node.start(&seeds, true).map_err(|cause| format!("{} failed: {cause}", node.name))?;
        }
        record.note(&format!("started {shape:?}"));
        Ok(system)
    }

    /// Describes one more machine, with an address of its own.
    pub fn describe(&mut self, role: Role, number: usize, tolerated: usize) -> Node {
        let ip = self.network.address(self.next_host);
        self.next_host += 1;
        let class = if role == Role::Journal { "storage" } else { "front" };
        let place = if role == Role::Entry { "e" } else { "" };
        let name = format!("{class}-z-{number}-{place}{number}");
        Node::new(role, &name, ip, &format!("z-{number}"), &self.folder.0, tolerated)
    }

    /// Returns the nodes that serve control.
    pub fn control(&self) -> Vec<SocketAddr> {
        self.core.iter().map(Node::control).collect()
    }

    /// Returns where clients connect.
    pub fn fronts(&self) -> Vec<SocketAddr> {
        self.entry.iter().map(Node::front).collect()
    }

    /// Starts a worker with an address of its own, whose turns have [`TURN_EVENTS`].
    pub fn worker(&mut self, id: &str, service: &str, work_ms: u64) -> Result<Worker, String> {
        let options = self.worker_options(id, service, work_ms);
        self.start_worker(options)
    }

    /// Describes such a worker.
    pub fn worker_options(&mut self, id: &str, service: &str, work_ms: u64) -> WorkerOptions {
        let ip = self.network.address(self.next_host);
        self.next_host += 1;
        WorkerOptions {
            id: id.to_owned(),
            service: service.to_owned(),
            address: SocketAddr::from((ip, 8_080)),
            control: self.control(),
            work_ms,
            events: TURN_EVENTS,
            event_ms: 1,
        }
    }

    /// Starts a worker as a new incarnation.
    pub fn start_worker(&self, options: WorkerOptions) -> Result<Worker, String> {
        let WorkerOptions { id, address, .. } = &options;
        self.record.note(&format!("worker {id} starts at {address}"));
        Worker::start(options, &self.record).map_err(|cause| cause.to_string())
    }

    /// Sends an order of the operator to one node; `None` without an answer.
    pub fn order(
        &self,
        to: SocketAddr,
        method: &'static str,
        path: &str,
        body: &str,
    ) -> Option<Message> {
        let call = Call::new(method, to, path, OPERATOR_TIMEOUT)
            .header("Content-Type", "application/json")
            .body(body);
        let answer = call.send().ok();
        let outcome = match &answer {
            Some(answer) => format!("{} {}", answer.status(), shortened(&answer.text())),
            None => "no answer".to_owned(),
        };
        self.record.detail(&format!("operator {method} {path} at {to}: {outcome}"));
        answer
    }

    /// Sends an order to the nodes that serve control in turn until one answers 200.
    pub fn order_until_done(
        &self,
        method: &'static str,
        path: &str,
        body: &str,
        limit: Duration,
    ) -> Result<Message, String> {
        let end = Instant::now() + limit;
        for to in self.control().into_iter().cycle() {
            if let Some(answer) =
                self.order(to, method, path, body).filter(|one| one.status() == 200)
            {
                return Ok(answer);
            }
            if Instant::now() >= end {
                break;
            }
            std::thread::sleep(Duration::from_millis(100));
        }
        Err(format!("{method} {path} was not answered with 200 in {limit:?}"))
    }
}

fn shortened(text: &str) -> String {
    text.chars().take(120).collect()
}

/// What became of one client attempt.
#[derive(Debug, Clone)]
pub struct Outcome {
    /// When it was sent, in seconds since the start of the case.
    pub sent: f64,
    /// The status of a whole answer; 0 without one.
    pub status: u16,
}

/// Clients that send requests one after the other until they are stopped.
pub struct Clients {
    record: Arc<Record>,
    outcomes: Arc<Mutex<Vec<Outcome>>>,
    stop: Arc<AtomicBool>,
    threads: Vec<std::thread::JoinHandle<()>>,
}

/// The number of client attempts and programs so far, which makes their ids unique.
static NUMBERS: AtomicU64 = AtomicU64::new(1);

/// Returns an id that no other client attempt or program has.
pub fn fresh_id() -> String {
    format!("{:016x}", NUMBERS.fetch_add(1, Ordering::Relaxed) + 0x5000_0000_0000_0000)
}

/// Sends a turn of a program.
pub fn turn_of(front: SocketAddr, program: &str, budget: u64, body: &str) -> Call {
    Call::new("POST", front, "/turns/next", CLIENT_DEADLINE)
        .header("Host", HOST)
        .header("X-Attempt-Id", &fresh_id())
        .header("X-Program-Id", program)
        .header("X-Session-Id", program)
        .header("X-Program-Deadline-Ms", "60000")
        .header("X-Deadline-Ms", &CLIENT_DEADLINE.as_millis().to_string())
        .header("X-Token-Budget", &budget.to_string())
        .header("X-Token-Usage", &format!("10,{TURN_EVENTS}"))
        .body(body)
}

/// Sends a lookup on the route of safe requests.
pub fn lookup(front: SocketAddr) -> Call {
    lookup_at(front, "/rates/current")
}

/// Sends a lookup of this path.
pub fn lookup_at(front: SocketAddr, path: &str) -> Call {
    Call::new("GET", front, path, CLIENT_DEADLINE)
        .header("Host", HOST)
        .header("X-Attempt-Id", &fresh_id())
        .header("X-Deadline-Ms", &CLIENT_DEADLINE.as_millis().to_string())
}

impl Clients {
    /// Starts `count` clients; each sends a request every `interval`, or as soon as the last one has ended
    /// if that is later, and goes from one front address to the next.
    pub fn start<F>(
        count: usize,
        fronts: &[SocketAddr],
        interval: Duration,
        record: &Arc<Record>,
        make: F,
    ) -> Self
    where
        F: Fn(SocketAddr) -> Call + Clone + Send + 'static,
    {
        let outcomes = Arc::<Mutex<Vec<Outcome>>>::default();
        let stop = Arc::<AtomicBool>::default();
        let spawn = |number: usize| {
            let (outcomes, stop, record) = (outcomes.clone(), stop.clone(), record.clone());
            let (fronts, make) = (fronts.to_vec(), make.clone());
            std::thread::spawn(move || {
                let mut due = Instant::now();
                for at in number.. {
                    std::thread::sleep(due.saturating_duration_since(Instant::now()));
                    due = Instant::now().max(due + interval);
                    if stop.load(Ordering::Relaxed) {
                        return;
                    }
                    let call = make(fronts[at % fronts.len()]);
                    let sent = record.seconds();
                    let answer = call.send();
                    let status = answer.as_ref().map_or(0, Message::status);
                    let attempt = &call.headers[1].1;
                    record.detail(&format!(
                        "client {attempt} {} at {} sent={sent:.3} status={status} {}",
                        call.path,
                        call.to,
                        match &answer {
                            Ok(answer) if status != 200 => shortened(&answer.text()),
                            Ok(_) => String::new(),
                            Err(cause) => cause.to_string(),
                        }
                    ));
                    outcomes.lock().expect("not poisoned").push(Outcome { sent, status });
                }
            })
        };
        let threads = (0..count).map(spawn).collect();
        Self { record: record.clone(), outcomes, stop, threads }
    }

    /// Returns how many requests were sent from `from` until `to` seconds, and how many of these
    /// were served; notes the statuses.
    pub fn served(&self, what: &str, from: f64, to: f64) -> (usize, usize) {
        let outcomes = self.outcomes.lock().expect("not poisoned");
        let within: Vec<&Outcome> =
            outcomes.iter().filter(|one| one.sent >= from && one.sent < to).collect();
        let mut statuses: BTreeMap<u16, usize> = BTreeMap::new();
        within.iter().for_each(|one| *statuses.entry(one.status).or_default() += 1);
        let served = statuses.get(&200).copied().unwrap_or(0);
        let (sent, range) = (within.len(), format!("{from:.1} s to {to:.1} s"));
        drop(outcomes);
        self.record.note(&format!("{what}, {range}: {sent} sent, {served} served, {statuses:?}"));
        (sent, served)
    }

    /// Stops the clients and waits until their last requests have ended.
    pub fn stop(&mut self) {
        self.stop.store(true, Ordering::Relaxed);
        for thread in self.threads.drain(..) {
            let _ = thread.join();
        }
    }
}

impl Drop for Clients {
    fn drop(&mut self) {
        self.stop.store(true, Ordering::Relaxed);
    }
}

/// Returns a configuration with a route of turns and one of safe lookups.
pub fn document(version: u64) -> String {
    format!(
        "{{\"version\":{version},\"routes\":[\
         {{\"name\":\"turns\",\"host\":\"{HOST}\",\"path_prefix\":\"/turns/\",\"kind\":\"stream\",\
         \"timeout_ms\":5000,\"target_latency_ms\":250,\"priority\":0,\"service\":\"engines\",\
         \"max_attempts\":1,\"retention_enabled\":false,\"retention_s\":60.0,\"sticky\":true,\
         \"resumable\":true,\"target_gap_ms\":400}},\
         {{\"name\":\"rates\",\"host\":\"{HOST}\",\"path_prefix\":\"/rates/\",\"kind\":\"safe\",\
         \"timeout_ms\":5000,\"target_latency_ms\":500,\"priority\":1,\"service\":\"app\",\
         \"max_attempts\":2}}],\"services\":[\
         {{\"name\":\"engines\",\"health_path\":\"/healthz\",\"max_connections\":370,\
         \"engine\":{{\"slots\":64,\"tokens_per_event\":1}}}},\
         {{\"name\":\"app\",\"health_path\":\"/healthz\",\"max_connections\":110}}],\
         \"limits\":{{\"max_header_bytes\":16384,\"max_body_bytes\":4194304,\
         \"header_timeout_ms\":3000,\"idle_timeout_ms\":15000}}}}"
    )
}

/// Returns the same with a route of turns that keeps them.
pub fn document_that_keeps(version: u64) -> String {
    document(version).replacen("\"retention_enabled\":false", "\"retention_enabled\":true", 1)
}

/// Returns the same with a limit on the heads of requests, in bytes.
pub fn document_with_heads(version: u64, max_header_bytes: usize) -> String {
    let limit = format!("\"max_header_bytes\":{max_header_bytes}");
    document(version).replacen("\"max_header_bytes\":16384", &limit, 1)
}

/// Returns the same with a client account for each of these keys.
pub fn document_with_tenants(version: u64, keys: &[&str]) -> String {
    let tenant = |(number, key): (usize, &&str)| {
        format!("{{\"name\":\"t-{number}\",\"api_keys\":[\"{key}\"],\"rate_per_s\":0,\"burst\":0}}")
    };
    let tenants: Vec<String> = keys.iter().enumerate().map(tenant).collect();
    let document = document(version);
    let open = document.trim_end_matches('}');
    format!("{open}}},\"tenants\":[{}]}}", tenants.join(","))
}
