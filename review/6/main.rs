//! A request that crashes workers is stopped, all machines lose power, and the request comes again.

#[path = "../standins/harness.rs"]
mod harness;

use std::net::SocketAddr;
use std::net::TcpStream;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;

use harness::BROKEN;
use harness::Deployment;
use harness::HELD;
use harness::Machine;
use harness::Received;
use harness::Record;
use harness::Worker;
use harness::call;
use harness::has_trouble;
use harness::sleep_ms;

const HOST: &str = "rates.example";

/// The workers of the service, and how long one is down after a crash in milliseconds.
const WORKERS: u8 = 12;
const DOWN_MS: u64 = 2_500;

/// How long all machines are dark, in milliseconds.
const DARK_MS: u64 = 1_000;

/// The bound after which calm machines are in touch, in milliseconds; twice that if a fault took most
/// of the core.
const CONTACT_MS: u64 = 3_000;

/// The clients that send the request again at the same time.
const CLIENTS: usize = 4;

/// The path of the request that crashes workers.
const DEADLY: &str = "/rates/deadly";

fn configuration() -> String {
    format!(
        "{{\"version\":1,\"routes\":[{{\"name\":\"rates\",\"host\":\"{HOST}\",\
         \"path_prefix\":\"/rates/\",\"kind\":\"safe\",\"timeout_ms\":1200,\
         \"target_latency_ms\":150,\"priority\":2,\"service\":\"app\",\"max_attempts\":2}}],\
         \"services\":[{{\"name\":\"app\",\"health_path\":\"/healthz\",\"max_connections\":110,\
         \"protocol\":\"h1\",\"tls\":false}}],\"limits\":{{\"max_header_bytes\":16384,\
         \"max_body_bytes\":4194304,\"header_timeout_ms\":3000,\"idle_timeout_ms\":15000}}}}"
    )
}

/// The workers of the service, each of which crashes when it begins to run the deadly request and
/// starts again later.
struct Service {
    record: Record,
    controls: Vec<SocketAddr>,
    running: Mutex<Vec<Arc<Worker>>>,
    starts: AtomicU64,
    /// When the deadly request reached a worker, in milliseconds since the start of the script.
    reached: Mutex<Vec<u64>>,
}

impl Service {
    fn start_worker(self: &Arc<Self>, address: SocketAddr) {
        let service = self.clone();
        let id = format!("i-{}", self.starts.fetch_add(1, Ordering::SeqCst));
        let work = move |worker: &Worker, request: &Received, stream: &mut TcpStream| {
            let attempt = request.attempt();
            service.record.note(format!("{} runs {attempt} {}", worker.id, request.path));
            if request.path != DEADLY {
                sleep_ms(20);
                return worker.answer(request, stream, "{\"rate\":25}");
            }
            service.reached.lock().unwrap().push(service.record.now_ms());
            service.crash(worker);
            false
        };
        let worker = Worker::start(&self.record, &id, "app", "v1", address, Arc::new(work));
        worker.keep_announcing(self.controls.clone());
        self.running.lock().unwrap().push(worker);
    }

    fn crash(self: &Arc<Self>, worker: &Worker) {
        let mut running = self.running.lock().unwrap();
        let before = running.len();
        running.retain(|known| known.id != worker.id);
        if running.len() == before {
            // It has crashed already, with another copy of the request.
            return;
        }
        drop(running);
        worker.crash();
        let (service, address) = (self.clone(), worker.address);
        std::thread::spawn(move || {
            sleep_ms(DOWN_MS);
            service.start_worker(address);
        });
    }
}

/// Sends one request; returns the status.
fn ask(record: &Record, front: &Machine, path: &str, attempt: &str) -> Option<u16> {
    let headers = [
        ("Host", HOST.to_owned()),
        ("X-Attempt-Id", attempt.to_owned()),
        ("X-Deadline-Ms", "1200".to_owned()),
    ];
    let answer = call(front.front(), "GET", path, &headers, b"", 2_500);
    let outcome = match &answer {
        Ok(answer) => format!("{} {}", answer.status, String::from_utf8_lossy(&answer.body)),
        Err(cause) => cause.clone(),
    };
    record.note(format!("{attempt} GET {path} at {}: {outcome}", front.name));
    answer.ok().map(|answer| answer.status)
}

fn main() {
    let record = Record::create();
    let mut deployment = Deployment::new(record.clone());
    deployment.lay_out(4, 0, 4);
    deployment.start_all();
    let fronts = deployment.cores();
    deployment.configure(&configuration());
    let service = Arc::new(Service {
        record: record.clone(),
        controls: fronts.iter().map(|core| core.control()).collect(),
        running: Mutex::default(),
        starts: AtomicU64::new(1),
        reached: Mutex::default(),
    });
    for host in 1..=WORKERS {
        service.start_worker((deployment.worker_ip(host), 8080).into());
    }
    for front in &fronts {
        deployment.wait_ready(front, 20_000);
    }
    sleep_ms(2_000);

    // The request comes, and comes again, until it is stopped.
    for number in 0..6 {
        ask(&record, &fronts[number % fronts.len()], DEADLY, &format!("first-{number}"));
        sleep_ms(1_500);
    }
    let crashed = service.reached.lock().unwrap().clone();
    record.note(format!("the request has crashed {} workers", crashed.len()));
    let Some(third) = crashed.get(2).copied() else {
        harness::give_up(&record, "the request has not crashed three workers")
    };
    if has_trouble() {
        record.note("all machines lose power");
        for machine in &deployment.machines {
            deployment.kill_machine(machine);
        }
        sleep_ms(DARK_MS);
        for machine in &deployment.machines {
            deployment.start_machine(machine, false);
        }
        for front in &fronts {
            deployment.wait_ready(front, 20_000);
        }
    }
    sleep_ms(2 * CONTACT_MS + 1_000);
    for number in 0..8 {
        ask(&record, &fronts[number % fronts.len()], "/rates/table", &format!("sound-{number}"));
    }

    let mut clients = Vec::new();
    for client in 0..CLIENTS {
        let (record, front) = (record.clone(), fronts[client % fronts.len()].clone());
        clients.push(std::thread::spawn(move || {
            for number in 0..2 {
                ask(&record, &front, DEADLY, &format!("again-{client}-{number}"));
                sleep_ms(500);
            }
        }));
    }
    clients.into_iter().for_each(|client| client.join().unwrap_or_default());
    sleep_ms(1_000);
    let reached = service.reached.lock().unwrap().clone();
    let late = reached.iter().filter(|at| **at > third + CONTACT_MS).count();
    let text = format!(
        "the request reached {} workers, {late} of them later than contact_ms after it had crashed \
         the third (the rule allows 3)",
        reached.len()
    );
    deployment.finish(if late > 3 { BROKEN } else { HELD }, &text)
}
