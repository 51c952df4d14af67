//! Heartbeats of another writer name the addresses of the workers of a service, under a service that
//! no configuration names.

#[path = "../standins/harness.rs"]
mod harness;

use std::net::TcpStream;
use std::sync::Arc;
use std::time::SystemTime;
use std::time::UNIX_EPOCH;

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

/// The time that a worker takes for a request, in milliseconds; the site's longest is 107.
const WORK_MS: u64 = 80;

/// How long after the last foreign heartbeat the steady state is judged, in milliseconds.
const SETTLE_MS: u64 = 15_000;

/// The requests of each route whose answers are judged.
const JUDGED: usize = 60;

fn configuration(version: u64, has_rates: bool) -> String {
    let route = |name: &str| {
        format!(
            "{{\"name\":\"{name}\",\"host\":\"{HOST}\",\"path_prefix\":\"/{name}/\",\
             \"kind\":\"safe\",\"timeout_ms\":1200,\"target_latency_ms\":150,\"priority\":2,\
             \"service\":\"{name}-app\",\"max_attempts\":2}}"
        )
    };
    let service = |name: &str| {
        format!(
            "{{\"name\":\"{name}-app\",\"health_path\":\"/healthz\",\"max_connections\":110,\
             \"protocol\":\"h1\",\"tls\":false}}"
        )
    };
    let names: &[&str] = if has_rates { &["base", "rates"] } else { &["base"] };
    let routes: Vec<String> = names.iter().map(|name| route(name)).collect();
    let services: Vec<String> = names.iter().map(|name| service(name)).collect();
    format!(
        "{{\"version\":{version},\"routes\":[{}],\"services\":[{}],\"limits\":{{\
         \"max_header_bytes\":16384,\"max_body_bytes\":4194304,\"header_timeout_ms\":3000,\
         \"idle_timeout_ms\":15000}}}}",
        routes.join(","),
        services.join(",")
    )
}

fn work(worker: &Worker, request: &Received, stream: &mut TcpStream) -> bool {
    worker.record.note(format!("{} runs {} {}", worker.id, request.attempt(), request.path));
    sleep_ms(WORK_MS);
    worker.answer(request, stream, "{\"rate\":25}")
}

/// Starts the four workers of a service.
fn start_workers(deployment: &Deployment, service: &str, first_host: u8) -> Vec<Arc<Worker>> {
    let controls: Vec<_> = deployment.cores().iter().map(|core| core.control()).collect();
    (0..4)
        .map(|number| {
            let address = (deployment.worker_ip(first_host + number), 8080).into();
            let id = format!("i-{service}-{number}");
            let service = format!("{service}-app");
            let record = &deployment.record;
            let worker = Worker::start(record, &id, &service, "v1", address, Arc::new(work));
            worker.keep_announcing(controls.clone());
            worker
        })
        .collect()
}

/// Sends one heartbeat of another writer: its own name, a service that is not named here, and the
/// address of a worker.
fn announce_as_another(deployment: &Deployment, number: usize, worker: &Worker) {
    let born = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default().as_millis();
    let body = format!(
        "{{\"service\":\"node-metrics\",\"address\":\"{}\",\"zone\":\"zone-a\",\
         \"version\":\"v1\",\"slots\":1,\"state\":\"ready\",\"cold_remaining_ms\":0,\
         \"sequence\":1,\"born\":{born}}}",
        worker.address
    );
    let control = deployment.cores()[number % 3].control();
    let path = format!("/Instances.Heartbeat/metrics-agent-{number}");
    let answer = call(control, "POST", &path, &[], body.as_bytes(), 1_000);
    let status = answer.map(|answer| answer.status);
    deployment.record.note(format!("another writer sends POST {path} {body}: {status:?}"));
}

/// Sends one request to a front machine; returns whether it was served.
fn ask(record: &Record, front: &Machine, path: &str, attempt: &str) -> bool {
    let headers = [
        ("Host", HOST.to_owned()),
        ("X-Attempt-Id", attempt.to_owned()),
        ("X-Deadline-Ms", "1200".to_owned()),
    ];
    let answer = call(front.front(), "GET", path, &headers, b"", 2_000);
    let outcome = match &answer {
        Ok(answer) => format!(
            "status {}, signed: {}, {}",
            answer.status,
            answer.headers.contains_key("x-response-signature"),
            match answer.status {
                200 => String::new(),
                _ => String::from_utf8_lossy(&answer.body).into_owned(),
            }
        ),
        Err(cause) => cause.clone(),
    };
    record.note(format!("{attempt} GET {path} at {}: {outcome}", front.name));
    answer.is_ok_and(|answer| answer.status == 200)
}

fn main() {
    let record = Record::create();
    let mut deployment = Deployment::new(record.clone());
    deployment.lay_out(3, 1, 3);
    deployment.start_all();
    let fronts: Vec<Machine> =
        deployment.machines.iter().filter(|machine| !machine.is_storage).cloned().collect();
    deployment.configure(&configuration(1, false));
    let _base = start_workers(&deployment, "base", 1);
    let rates = start_workers(&deployment, "rates", 11);
    for front in &fronts {
        deployment.wait_ready(front, 20_000);
    }
    sleep_ms(1_500);
    deployment.configure(&configuration(2, true));
    sleep_ms(2_500);

    for number in 0..8 {
        let front = &fronts[number % fronts.len()];
        if !ask(&record, front, "/rates/table", &format!("before-{number}")) {
            harness::give_up(&record, "a quiet request was not served");
        }
    }
    if has_trouble() {
        for (number, worker) in rates.iter().enumerate() {
            announce_as_another(&deployment, number, worker);
        }
    }
    sleep_ms(SETTLE_MS);

    record.note("the steady state is judged from here");
    let (mut base_served, mut rates_served) = (0, 0);
    for number in 0..JUDGED {
        let front = &fronts[number % fronts.len()];
        base_served += usize::from(ask(&record, front, "/base/table", &format!("base-{number}")));
        let attempt = format!("rates-{number}");
        rates_served += usize::from(ask(&record, front, "/rates/table", &attempt));
        sleep_ms(100);
    }
    let text = format!(
        "on the first route {base_served} of {JUDGED} requests were served, on the route added later \
         {rates_served} of {JUDGED}"
    );
    let is_broken = rates_served * 4 < base_served;
    deployment.finish(if is_broken { BROKEN } else { HELD }, &text)
}
