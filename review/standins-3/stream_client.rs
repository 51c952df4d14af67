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
const RETRIES: usize = 5;

/// The pause before a retry.
const RETRY_PAUSE: Duration = Duration::from_millis(300);

/// A stream as a client asks for it.
#[derive(Debug, Clone)]
pub struct Plan {
    /// Where the first client attempt goes; the others go to `then`.
    pub first: SocketAddr,
    /// Another front address.
    pub then: SocketAddr,
    /// How long the client waits in all.
    pub deadline: Duration,
    /// After how many events the client closes its first connection; `None` if it does not.
    pub closes_after: Option<usize>,
}

/// A stream over all its client attempts.
#[derive(Debug, Clone, Default)]
pub struct Stream {
    /// The numbers of the events in the order in which they came.
    pub events: Vec<u64>,
    /// How many of them the first client attempt brought.
    pub first_events: usize,
    /// The client attempts that took the stream up.
    pub taken_up: usize,
    /// Whether the last client attempt brought the end.
    pub is_whole: bool,
}

/// Reads one stream with its retries.
pub fn read(plan: &Plan, record: &Arc<Record>) -> Stream {
    let end = Instant::now() + plan.deadline;
    let mut stream = Stream::default();
    let mut first: Option<String> = None;
    for number in 0..=RETRIES {
        let left = end.saturating_duration_since(Instant::now());
        if left.is_zero() {
            break;
        }
        let attempt = fresh_id();
        let before = stream.events.len();
        let front = if number == 0 { plan.first } else { plan.then };
        let closes_after = plan.closes_after.filter(|_| number == 0);
        let sent = record.seconds();
        let result = read_once(front, &attempt, first.as_deref(), left, closes_after, &mut stream);
        record.detail(&format!(
            "client {attempt} number={number} resumes={first:?} at {front} sent={sent:.3}: {result:?}, \
             events {:?}",
            &stream.events[before..]
        ));
        if first.is_some() {
            stream.taken_up += 1;
        } else if stream.events.len() > before {
            first = Some(attempt);
            stream.first_events = stream.events.len();
        }
        if result == Ok(200) {
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
    closes_after: Option<usize>,
    stream: &mut Stream,
) -> Result<u16, String> {
    let failed = |cause: std::io::Error| cause.to_string();
    let connection = TcpStream::connect_timeout(&front, Duration::from_secs(1)).map_err(failed)?;
    connection.set_read_timeout(Some(left)).map_err(failed)?;
    let resumption = match (resumes, stream.events.last()) {
        (Some(resumes), Some(last)) => {
            format!("Last-Event-Id: {last}\r\nResumes: {resumes}\r\n")
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
            let id = event.lines().find_map(|line| line.strip_prefix("id: "));
            stream.events.push(id.and_then(|id| id.parse().ok()).unwrap_or(0));
            if closes_after.is_some_and(|count| stream.events.len() >= count) {
                return Err("closed by the client".to_owned());
            }
        }
    }
}
