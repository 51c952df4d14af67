//! A worker leaves, all processes of the core are killed, and a heartbeat that the worker sent before
//! it left arrives late.

#[path = "../standins/harness.rs"]
mod harness;

use std::net::TcpStream;
use std::sync::Arc;
use std::sync::Mutex;

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

const HOST: &str = "portal.example";

/// The time that a worker takes for a request, in milliseconds; the site's mean is 104.
const WORK_MS: u64 = 100;

/// The bounds of the deployment, in milliseconds.
const DRAIN_MS: u64 = 2_000;
const CONTACT_MS: u64 = 3_000;

/// When the core is killed after the departure was acknowledged and how long it is down, when the late
/// heartbeat arrives, and when the worker exits, in milliseconds after the acknowledgement.
const KILLED_AFTER_MS: u64 = 500;
const DOWN_MS: u64 = 800;
const HEARTBEAT_AFTER_MS: u64 = 3_000;
const EXIT_AFTER_MS: u64 = 7_500;

fn configuration() -> String {
    format!(
        "{{\"version\":1,\"routes\":[{{\"name\":\"portal\",\"host\":\"{HOST}\",\
         \"path_prefix\":\"/portal/\",\"kind\":\"unsafe\",\"timeout_ms\":3000,\
         \"target_latency_ms\":500,\"priority\":2,\"service\":\"app\",\"max_attempts\":1}}],\
         \"services\":[{{\"name\":\"app\",\"health_path\":\"/healthz\",\"max_connections\":110,\
         \"protocol\":\"h1\",\"tls\":false}}],\"limits\":{{\"max_header_bytes\":16384,\
         \"max_body_bytes\":4194304,\"header_timeout_ms\":3000,\"idle_timeout_ms\":15000}}}}"
    )
}

/// A request that reached the worker that leaves, and when, in milliseconds since the start of the
/// script.
type Reached = Arc<Mutex<Vec<(String, u64)>>>;

/// Starts a worker; what reaches it is added to `reached`.
fn start_worker(deployment: &Deployment, host: u8, reached: Option<Reached>) -> Arc<Worker> {
    let work = move |worker: &Worker, request: &Received, stream: &mut TcpStream| {
        let attempt = request.attempt();
        worker.record.note(format!("{} runs {attempt}", worker.id));
        if let Some(reached) = &reached {
            reached.lock().unwrap().push((attempt, worker.record.now_ms()));
        }
        sleep_ms(WORK_MS);
        worker.answer(request, stream, "{\"submitted\":true}")
    };
    let address = (deployment.worker_ip(host), 8080).into();
    let id = format!("i-{host}");
    Worker::start(&deployment.record, &id, "app", "v1", address, Arc::new(work))
}

/// Sends one request that must not be repeated; returns when it was sent, in milliseconds since the
/// start of the script, and whether it was answered with success.
fn ask(record: &Record, front: &Machine, attempt: &str) -> (u64, bool) {
    let headers = [
        ("Host", HOST.to_owned()),
        ("X-Attempt-Id", attempt.to_owned()),
        ("X-Deadline-Ms", "3000".to_owned()),
    ];
    let sent_ms = record.now_ms();
    let answer = call(front.front(), "POST", "/portal/submit", &headers, attempt.as_bytes(), 4_000);
    let outcome = match &answer {
        Ok(answer) => format!("{} {}", answer.status, String::from_utf8_lossy(&answer.body)),
        Err(cause) => cause.clone(),
    };
    record.note(format!("{attempt}, sent at {sent_ms} ms, at {}: {outcome}", front.name));
    (sent_ms, answer.is_ok_and(|answer| answer.status == 200))
}

fn main() {
    let record = Record::create();
    let mut deployment = Deployment::new(record.clone());
    deployment.lay_out(4, 0, 4);
    deployment.start_all();
    let fronts = deployment.cores();
    deployment.configure(&configuration());
    let controls: Vec<_> = fronts.iter().map(|core| core.control()).collect();
    let reached = Reached::default();
    let leaving = start_worker(&deployment, 1, Some(reached.clone()));
    let mut others = Vec::new();
    for host in 2..=7 {
        let worker = start_worker(&deployment, host, None);
        worker.keep_announcing(controls.clone());
        others.push(worker);
    }
    leaving.announce(&controls, "ready");
    for front in &fronts {
        deployment.wait_ready(front, 20_000);
    }
    sleep_ms(1_000);
    leaving.announce(&controls, "ready");
    sleep_ms(CONTACT_MS);
    leaving.announce(&controls, "ready");
    for number in 0..8 {
        if !ask(&record, &fronts[number % fronts.len()], &format!("before-{number}")).1 {
            harness::give_up(&record, "a quiet request was not served");
        }
    }

    // The heartbeat before the departure is sent now and arrives later.
    record.note("i-1 sends a heartbeat, which is held up on its way, and then deregisters");
    let heartbeat = leaving.next_announcement("ready");
    let body = format!("{{\"born\":{}}}", leaving.born);
    let path = "/Instances.Deregister/i-1";
    let answer = call(controls[0], "POST", path, &[], body.as_bytes(), 1_000);
    if !answer.is_ok_and(|answer| answer.status == 200) {
        harness::give_up(&record, "the departure was not acknowledged");
    }
    let acknowledged_ms = record.now_ms();
    record.note(format!("the departure of i-1 is acknowledged at {acknowledged_ms} ms"));
    let wait_until =
        |after_ms: u64| sleep_ms((acknowledged_ms + after_ms).saturating_sub(record.now_ms()));
    wait_until(KILLED_AFTER_MS);
    if has_trouble() {
        for front in &fronts {
            deployment.kill_machine(front);
        }
        sleep_ms(DOWN_MS);
        for front in &fronts {
            deployment.start_machine(front, false);
        }
        for front in &fronts {
            deployment.wait_ready(front, 20_000);
        }
        record.note("all processes of the core are back");
    }
    let in_touch_ms = record.now_ms() + CONTACT_MS + 100;
    wait_until(HEARTBEAT_AFTER_MS);
    let is_answered = leaving.send_announcement(&controls, &heartbeat);
    record.note(format!("the late heartbeat arrives; answered with success: {is_answered}"));

    let mut clients = Vec::new();
    for (client, front) in fronts.iter().cloned().enumerate() {
        let record = record.clone();
        clients.push(std::thread::spawn(move || {
            let mut all = Vec::new();
            while record.now_ms() < acknowledged_ms + EXIT_AFTER_MS + 500 {
                let attempt = format!("r-{client}-{}", all.len());
                let (sent_ms, is_served) = ask(&record, &front, &attempt);
                all.push((attempt, sent_ms, is_served));
            }
            all
        }));
    }
    wait_until(EXIT_AFTER_MS);
    record.note("i-1 exits");
    leaving.crash();
    let all: Vec<(String, u64, bool)> =
        clients.into_iter().filter_map(|client| client.join().ok()).flatten().collect();

    let reached = reached.lock().unwrap().clone();
    let first_ms = in_touch_ms.max(acknowledged_ms + DRAIN_MS);
    let is_late = |(attempt, sent_ms, _): &&(String, u64, bool)| {
        *sent_ms > first_ms && reached.iter().any(|(known, _)| known == attempt)
    };
    let late: Vec<&(String, u64, bool)> = all.iter().filter(is_late).collect();
    for (attempt, sent_ms, is_served) in late.iter().copied() {
        record.note(format!(
            "DRAIN: {attempt} was sent {} ms after the acknowledgement and reached i-1; served: \
             {is_served}",
            sent_ms - acknowledged_ms
        ));
    }
    let cut = late.iter().filter(|(_, _, is_served)| !is_served).count();
    let text = format!(
        "{} requests sent later than drain_ms after the acknowledgement reached the worker that had \
         left, by way of machines in touch; {cut} of them were not served",
        late.len()
    );
    deployment.finish(if late.is_empty() { HELD } else { BROKEN }, &text)
}
