//! Turns of programs on a route that keeps them.

use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::thread;
use std::time::Duration;

use crate::cluster::Cluster;
use crate::http;
use crate::record::Record;
use crate::worker::Faults;
use crate::worker::Options;
use crate::worker::Work;
use crate::worker::Worker;

/// The body of an ordinary turn, in bytes.
pub const ORDINARY_BYTES: usize = 5_000;

const CONFIGURATION: &str = r#"{"version":1,"routes":[{"name":"turn","host":"app.example",
"path_prefix":"/turn/","kind":"stream","timeout_ms":5000,"target_latency_ms":250,"priority":0,
"service":"models","max_attempts":1,"retention_enabled":true,"retention_s":60.0,"sticky":true,
"resumable":false,"target_gap_ms":400}],"services":[{"name":"models","health_path":"/healthz",
"max_connections":370,"protocol":"h1","tls":false,"engine":{"slots":64,"tokens_per_event":3}}],
"limits":{"max_header_bytes":16384,"max_body_bytes":4194304,"header_timeout_ms":3000,
"idle_timeout_ms":15000}}"#;

/// One turn.
pub struct Turn<'a> {
    /// The id of the attempt.
    pub attempt: &'a str,
    /// The turn that it continues from.
    pub previous: Option<&'a str>,
    /// The size of its body, in bytes.
    pub bytes: usize,
}

/// Configures a route that keeps turns and starts two workers for it.
///
/// # Errors
/// Fails if the deployment does not get ready in time.
pub fn prepare(cluster: &Cluster, record: &Arc<Record>) -> io::Result<()> {
    cluster.configure(CONFIGURATION, Duration::from_secs(15))?;
    cluster.wait_ready(Duration::from_secs(15))?;
    for number in 0..2 {
        let options = Options {
            id: format!("i-{number}"),
            service: "models".to_owned(),
            ip: cluster.stand_in_ip(number),
            slots: 64,
            queue: 64,
            work: Work::Stream(4, Duration::from_millis(5)),
        };
        Worker::start(options, cluster.controls(), record.clone(), Faults::default())?;
    }
    thread::sleep(Duration::from_secs(5));
    Ok(())
}

/// Sends a turn; returns the status of a whole answer.
pub fn send(front: SocketAddr, record: &Record, turn: &Turn<'_>) -> Option<u16> {
    let Turn { attempt, previous, bytes } = turn;
    let mut headers = vec![
        ("Host", "app.example"),
        ("X-Attempt-Id", *attempt),
        ("X-Deadline-Ms", "5000"),
        ("X-Program-Id", attempt),
        ("X-Session-Id", attempt),
        ("X-Program-Deadline-Ms", "5000"),
        ("X-Token-Budget", "1200"),
        ("X-Token-Usage", "100,12"),
        ("X-Model", "m"),
    ];
    headers.extend(previous.map(|previous| ("X-Previous-Turn", previous)));
    record.sent(attempt, &format!("POST /turn/next with {bytes} bytes after {previous:?}"));
    let body = vec![b'a'; *bytes];
    let answer = http::call(front, "POST /turn/next", &headers, &body, Duration::from_secs(7)).ok();
    let status = answer.as_ref().map(http::Message::status);
    record.answered(attempt, status);
    status
}
