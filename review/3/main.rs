//! A planned stop of a front machine while callers' requests are at work.

#[path = "../standins/harness.rs"]
mod harness;

use std::net::TcpStream;
use std::sync::Arc;
use std::sync::Mutex;
use std::time::Duration;
use std::time::Instant;

use harness::BROKEN;
use harness::Connection;
use harness::Deployment;
use harness::HELD;
use harness::Received;
use harness::Record;
use harness::SIGKILL;
use harness::SIGTERM;
use harness::Worker;
use harness::has_trouble;
use harness::sleep_ms;
use harness::write_chunk;

/// The bounds of the deployment, in milliseconds.
const GRACE_MS: u64 = 8_000;

/// The pause between two events of a stream; the site allows 400 ms.
const PAUSE_MS: u64 = 390;

const HOST: &str = "drafts.example";

/// A request that is sent some time after the SIGTERM and takes a known time at its worker.
struct Planned {
    path: &'static str,
    /// The timeout of the route, in milliseconds.
    timeout_ms: u64,
    /// When it is sent, in milliseconds after the SIGTERM.
    sent_ms: u64,
    /// How long its worker works on it, in milliseconds.
    work_ms: u64,
}

/// What the client saw of a request.
struct Seen {
    attempt: String,
    sent_ms: u64,
    ended_ms: u64,
    work_ms: u64,
    timeout_ms: u64,
    outcome: String,
    is_complete: bool,
}

fn configuration() -> String {
    let route = |name: &str, prefix: &str, timeout_ms: u64| {
        format!(
            "{{\"name\":\"{name}\",\"host\":\"{HOST}\",\"path_prefix\":\"{prefix}\",\
             \"kind\":\"stream\",\"timeout_ms\":{timeout_ms},\"target_latency_ms\":250,\
             \"priority\":0,\"service\":\"models\",\"max_attempts\":1,\"retention_enabled\":false,\
             \"retention_s\":60.0,\"sticky\":true,\"resumable\":true,\"target_gap_ms\":400}}"
        )
    };
    format!(
        "{{\"version\":1,\"routes\":[{},{}],\"services\":[{{\"name\":\"models\",\
         \"health_path\":\"/healthz\",\"max_connections\":370,\"protocol\":\"h1\",\"tls\":false,\
         \"engine\":{{\"slots\":64,\"kv_cache_tokens\":206890,\"tokens_per_event\":3,\
         \"models\":[{{\"name\":\"m\"}}]}}}}],\"limits\":{{\"max_header_bytes\":16384,\
         \"max_body_bytes\":4194304,\"header_timeout_ms\":3000,\"idle_timeout_ms\":15000}}}}",
        route("short", "/short/", 5_000),
        route("long", "/long/", 6_000),
    )
}

/// Streams numbered events for as long as the request's body says, in milliseconds. The worker goes
/// on until the end, also if nobody reads.
fn stream(worker: &Worker, request: &Received, stream: &mut TcpStream) -> bool {
    let body = String::from_utf8_lossy(&request.body).into_owned();
    let work_ms: u64 = body.trim().parse().unwrap_or(0);
    let attempt = request.attempt();
    worker.record.note(format!("{} runs {attempt} for {work_ms} ms", worker.id));
    let start = Instant::now();
    let more = "Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n";
    let _ = stream.write_all_bytes(worker.head(request, more).as_bytes());
    let mut number = 0;
    let mut broken = None;
    loop {
        number += 1;
        let event = format!("id: {number}\ndata: piece {number}\n\n");
        if let Err(cause) = write_chunk(stream, &event) {
            broken.get_or_insert_with(|| (start.elapsed().as_millis() as u64, cause.to_string()));
        }
        let passed = start.elapsed().as_millis() as u64;
        if passed >= work_ms {
            break;
        }
        sleep_ms(PAUSE_MS.min(work_ms - passed));
    }
    let ended = write_chunk(stream, "");
    match broken {
        Some((at_ms, cause)) => worker.record.note(format!(
            "{} ends its run of {attempt}; its connection had failed {at_ms} ms after its start: \
             {cause}",
            worker.id
        )),
        None => worker.record.note(format!("{} ends its run of {attempt} whole", worker.id)),
    }
    ended.is_ok()
}

trait WriteAllBytes {
    fn write_all_bytes(&mut self, bytes: &[u8]) -> std::io::Result<()>;
}

impl WriteAllBytes for TcpStream {
    fn write_all_bytes(&mut self, bytes: &[u8]) -> std::io::Result<()> {
        std::io::Write::write_all(self, bytes)
    }
}

fn planned() -> Vec<Planned> {
    let mut all = Vec::new();
    // Within the time for which a client may keep the address: three times `ttl_s` (0.5 s).
    for sent_ms in [1_400, 1_420, 1_440, 1_460, 1_480] {
        all.push(Planned { path: "/short/draft", timeout_ms: 5_000, sent_ms, work_ms: 4_950 });
    }
    // The same on a route with a longer timeout; all would end 6.5 s after the SIGTERM.
    for sent_ms in [600, 800, 1_000, 1_200, 1_400] {
        let work_ms = 6_500 - sent_ms;
        all.push(Planned { path: "/long/draft", timeout_ms: 6_000, sent_ms, work_ms });
    }
    all
}

/// Sends one request on a kept connection and watches it until its end.
fn ask(
    connection: &mut Connection,
    record: &Record,
    attempt: &str,
    planned: &Planned,
    stopped_at: Instant,
) -> Seen {
    let since_stop = || stopped_at.elapsed().as_millis() as u64;
    let (sent_ms, work_ms) = (since_stop(), planned.work_ms);
    let headers = [
        ("Host", HOST.to_owned()),
        ("X-Attempt-Id", attempt.to_owned()),
        ("X-Deadline-Ms", planned.timeout_ms.to_string()),
    ];
    let sent = connection.send("POST", planned.path, &headers, work_ms.to_string().as_bytes());
    record.note(format!("the client sends {attempt} {sent_ms} ms after the SIGTERM: {sent:?}"));
    let limit = Some(Duration::from_millis(planned.timeout_ms + 2_000));
    let _ = connection.stream.set_read_timeout(limit);
    let mut events = 0;
    let received = sent.and_then(|()| {
        connection.receive(|part| {
            events += String::from_utf8_lossy(part).matches("id: ").count();
        })
    });
    let ended_ms = since_stop();
    let (outcome, is_complete) = match received {
        Ok(answer) => (
            format!("status {}, {events} events, complete: {}", answer.status, answer.is_complete),
            answer.is_complete && answer.status == 200,
        ),
        Err(cause) => (cause, false),
    };
    record.note(format!("the client's {attempt} ends {ended_ms} ms after the SIGTERM: {outcome}"));
    let attempt = attempt.to_owned();
    let timeout_ms = planned.timeout_ms;
    Seen { attempt, sent_ms, ended_ms, work_ms, timeout_ms, outcome, is_complete }
}

/// Returns whether a request breaks LOST: it was read and passed on, and its connection ended without
/// a complete answer, though neither its timeout was reached nor its worker still at work in the last
/// sixth of the grace.
fn is_lost(seen: &Seen, has_run: bool) -> bool {
    let last_sixth_ms = GRACE_MS - GRACE_MS / 6;
    let would_end_ms = seen.sent_ms + seen.work_ms;
    let has_timed_out = seen.ended_ms - seen.sent_ms >= seen.timeout_ms;
    has_run && !seen.is_complete && !has_timed_out && would_end_ms + 50 < last_sixth_ms
}

fn main() {
    let record = Record::create();
    let mut deployment = Deployment::new(record.clone());
    deployment.lay_out(3, 0, 3);
    deployment.start_all();
    deployment.configure(&configuration());
    let controls = deployment.cores().iter().map(|core| core.control()).collect::<Vec<_>>();
    let ran: Arc<Mutex<Vec<String>>> = Arc::default();
    let noted = ran.clone();
    for host in [1, 2] {
        let ran = noted.clone();
        let address = (deployment.worker_ip(host), 8080).into();
        let id = format!("i-{host}");
        let work = move |worker: &Worker, request: &Received, out: &mut TcpStream| {
            ran.lock().unwrap().push(request.attempt());
            stream(worker, request, out)
        };
        let worker = Worker::start(&record, &id, "models", "v1", address, Arc::new(work));
        worker.keep_announcing(controls.clone());
    }
    for machine in deployment.cores() {
        deployment.wait_ready(&machine, 20_000);
    }
    sleep_ms(1_500);

    let stopped = deployment.cores()[1].clone();
    // Each client has a kept connection that was used before.
    let mut clients = Vec::new();
    for (number, planned) in planned().into_iter().enumerate() {
        let opened = Connection::open(stopped.front());
        let mut connection =
            opened.unwrap_or_else(|cause| harness::give_up(&record, &format!("client: {cause}")));
        let attempt = format!("before-{number}");
        let quick = Planned { path: planned.path, timeout_ms: 5_000, sent_ms: 0, work_ms: 20 };
        let seen = ask(&mut connection, &record, &attempt, &quick, Instant::now());
        if !seen.is_complete {
            harness::give_up(&record, &format!("a quiet request failed: {}", seen.outcome));
        }
        clients.push((number, planned, connection));
    }
    let asked = harness::call(
        deployment.cores()[0].directory(),
        "GET",
        &format!("/resolve?name={HOST}&region=region&zone=zone-a"),
        &[],
        b"",
        1_000,
    );
    let addresses = asked.map(|answer| String::from_utf8_lossy(&answer.body).into_owned());
    record.note(format!("the clients resolve the name: {addresses:?}"));

    let stopped_at = Instant::now();
    if has_trouble() {
        deployment.signal(&stopped, SIGTERM);
    }
    let mut waiting = Vec::new();
    for (number, planned, mut connection) in clients {
        let record = record.clone();
        waiting.push(std::thread::spawn(move || {
            let due = Duration::from_millis(planned.sent_ms);
            std::thread::sleep(due.saturating_sub(stopped_at.elapsed()));
            ask(&mut connection, &record, &format!("r-{number}"), &planned, stopped_at)
        }));
    }
    let all: Vec<Seen> = waiting.into_iter().filter_map(|thread| thread.join().ok()).collect();
    for text in deployment.ended(&stopped) {
        record.note(format!("{}: {text}", stopped.name));
    }
    std::thread::sleep(Duration::from_millis(GRACE_MS).saturating_sub(stopped_at.elapsed()));
    if has_trouble() {
        deployment.signal(&stopped, SIGKILL);
    }
    let ran = ran.lock().unwrap().clone();
    let lost: Vec<&Seen> =
        all.iter().filter(|seen| is_lost(seen, ran.contains(&seen.attempt))).collect();
    for seen in &lost {
        record.note(format!(
            "LOST: {} was sent {} ms after the SIGTERM, ran, would have ended at {} ms, and was cut at \
             {} ms: {}",
            seen.attempt,
            seen.sent_ms,
            seen.sent_ms + seen.work_ms,
            seen.ended_ms,
            seen.outcome
        ));
    }
    let whole = all.iter().filter(|seen| seen.is_complete).count();
    if !has_trouble() && whole < all.len() {
        harness::give_up(&record, &format!("without a stop only {whole} of {} ended", all.len()));
    }
    let text = format!("{} of {} requests were lost, {whole} were answered", lost.len(), all.len());
    deployment.finish(if lost.is_empty() { HELD } else { BROKEN }, &text)
}
