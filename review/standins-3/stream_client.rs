//! A client that reads a stream event by event and takes it up again where it broke off.

use std::io::BufRead;
use std::io::BufReader;
use std::io::Read;
use std::io::Write;
use std::net::SocketAddr;
use std::net::TcpStream;
use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use crate::http;
use crate::record::Record;
use crate::system::HOST;
use crate::system::fresh_id;

/// The retries of a stream.
const RETRIES: usize = 3;

/// The pause before a retry, between the 0.1 and 0.4 s of the pages.
const RETRY_PAUSE: Duration = Duration::from_millis(200);

/// An event as the client got it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Event {
    /// The number of the event.
    pub id: u64,
    /// Its data.
    pub data: String,
}

/// A stream over all its client attempts.
#[derive(Debug, Clone, Default)]
pub struct Stream {
    /// The events in the order in which they came.
    pub events: Vec<Event>,
    /// Whether the last client attempt brought the end.
    pub is_whole: bool,
}

/// Reads one stream with its retries.
pub fn read(front: SocketAddr, deadline: Duration, record: &Arc<Record>) -> Stream {
    let end = Instant::now() + deadline;
    let mut stream = Stream::default();
    let mut first: Option<String> = None;
    for attempt_number in 0..=RETRIES {
        let left = end.saturating_duration_since(Instant::now());
        if left.is_zero() {
            break;
        }
        let attempt = fresh_id();
        let before = stream.events.len();
        let result = read_once(front, &attempt, first.as_deref(), left, &mut stream);
        let versions: Vec<&str> =
            stream.events[before..].iter().map(|event| event.data.as_str()).collect();
        record.detail(&format!(
            "client {attempt} number={attempt_number} resumes={first:?} at {front}: {result:?}, \
             events {versions:?}"
        ));
        if first.is_none() && stream.events.len() > before {
            first = Some(attempt);
        }
        if let Ok(200) = result {
            stream.is_whole = true;
            break;
        }
        std::thread::sleep(RETRY_PAUSE);
    }
    stream
}

/// Makes one client attempt; returns the status if the answer was whole.
fn read_once(
    front: SocketAddr,
    attempt: &str,
    resumes: Option<&str>,
    left: Duration,
    stream: &mut Stream,
) -> Result<u16, String> {
    let failed = |cause: std::io::Error| cause.to_string();
    let connection = TcpStream::connect_timeout(&front, Duration::from_secs(1)).map_err(failed)?;
    connection.set_read_timeout(Some(left)).map_err(failed)?;
    let resumption = match (resumes, stream.events.last()) {
        (Some(resumes), Some(last)) => {
            format!("Last-Event-Id: {}\r\nResumes: {resumes}\r\n", last.id)
        }
        _ => String::new(),
    };
    let head = format!(
        "POST /turns/next HTTP/1.1\r\nHost: {HOST}\r\nX-Attempt-Id: {attempt}\r\n\
         X-Deadline-Ms: {}\r\n{resumption}Content-Length: 5\r\nConnection: close\r\n\r\nhello",
        left.as_millis()
    );
    (&connection).write_all(head.as_bytes()).map_err(failed)?;
    let mut reader = BufReader::new(&connection);
    let head = http::read_head(&mut reader).map_err(failed)?;
    if head.status() != 200 {
        let mut body = String::new();
        let _ = reader.read_to_string(&mut body);
        return Err(format!("status {} {body}", head.status()));
    }
    let mut pending = String::new();
    loop {
        let mut line = String::new();
        reader.read_line(&mut line).map_err(failed)?;
        let size = usize::from_str_radix(line.trim(), 16).map_err(|cause| cause.to_string())?;
        let mut chunk = vec![0; size + 2];
        reader.read_exact(&mut chunk).map_err(failed)?;
        if size == 0 {
            return Ok(200);
        }
        pending.push_str(&String::from_utf8_lossy(&chunk[..size]));
        while let Some(length) = pending.find("\n\n") {
            let event: String = pending.drain(..length + 2).collect();
            let field = |name: &str| event.lines().find_map(|line| line.strip_prefix(name));
            let id = field("id: ").and_then(|id| id.parse().ok()).unwrap_or(0);
            let data = field("data: ").unwrap_or_default().to_owned();
            stream.events.push(Event { id, data });
        }
    }
}
