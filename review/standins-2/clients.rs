//! Clients that send requests which must not run twice, and what is judged of them.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;
use std::thread;
use std::thread::JoinHandle;
use std::time::Duration;

use crate::Outcome;
use crate::cluster::Cluster;
use crate::http;
use crate::record::Record;

/// One route of the kind `unsafe`.
pub const CONFIGURATION: &str = r#"{"version":1,"routes":[{"name":"submit","host":"app.example",
"path_prefix":"/submit/","kind":"unsafe","timeout_ms":3000,"target_latency_ms":500,"priority":2,
"service":"app","max_attempts":2}],"services":[{"name":"app","health_path":"/healthz",
"max_connections":110,"protocol":"h1","tls":false}],"limits":{"max_header_bytes":16384,
"max_body_bytes":4194304,"header_timeout_ms":3000,"idle_timeout_ms":15000}}"#;

/// Starts `count` clients, each with one request at a time, until `stop` is set.
pub fn start(
    cluster: &Cluster,
    count: usize,
    record: &Arc<Record>,
    stop: &Arc<AtomicBool>,
) -> Vec<JoinHandle<()>> {
    let client = |number: usize| {
        let front = cluster.entry[number % cluster.entry.len()].front();
        let (record, stop) = (record.clone(), stop.clone());
        thread::spawn(move || send(front, number, &record, &stop))
    };
    (0..count).map(client).collect()
}

/// Sends requests one after the other. A refusal is followed by another attempt when it says so.
fn send(front: SocketAddr, client: usize, record: &Record, stop: &AtomicBool) {
    for number in 0.. {
        if stop.load(Ordering::Relaxed) {
            return;
        }
        let attempt = format!("{client:04x}{number:012x}");
        let headers = [
            ("Host", "app.example"),
            ("X-Attempt-Id", attempt.as_str()),
            ("X-Deadline-Ms", "3000"),
        ];
        record.sent(&attempt, "POST /submit/one");
        let timeout = Duration::from_secs(4);
        let answer = http::call(front, "POST /submit/one", &headers, b"invoice", timeout);
        let answer = answer.ok();
        record.answered(&attempt, answer.as_ref().map(http::Message::status));
        let pause = answer.and_then(|answer| answer.header("retry-after")?.parse().ok());
        thread::sleep(Duration::from_secs_f64(pause.unwrap_or(0.01)));
    }
}

/// Judges the rules TWICE and REFUSED by what the workers ran and the clients got.
pub fn judge(record: &Record) -> Outcome {
    // What was refused may still run.
    thread::sleep(Duration::from_secs(3));
    let attempts = record.attempts();
    let (mut twice, mut refused) = (Vec::new(), Vec::new());
    for (id, attempt) in &attempts {
        if attempt.runs.len() > 1 {
            twice.push(id.clone());
        }
        if matches!(attempt.status, Some(408 | 421 | 429 | 503)) && !attempt.runs.is_empty() {
            refused.push(id.clone());
        }
    }
    let count = |status| attempts.values().filter(|one| one.status == status).count();
    record.note(&format!(
        "attempts={} 200={} 502={} 503={} none={}",
        attempts.len(),
        count(Some(200)),
        count(Some(502)),
        count(Some(503)),
        count(None),
    ));
    record.note(&format!("TWICE: {} attempts ran more than once: {twice:?}", twice.len()));
    record.note(&format!("REFUSED: {} attempts were refused and ran: {refused:?}", refused.len()));
    if count(Some(200)) == 0 {
        return Outcome::CouldNotRun("no request was served".to_owned());
    }
    match twice.is_empty() && refused.is_empty() {
        true => Outcome::Held,
        false => Outcome::Broken,
    }
}
