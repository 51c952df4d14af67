//! Case 15: connections that were open before a configuration go on with the limits of the one before.

use std::io::BufReader;
use std::io::Write;
use std::net::SocketAddr;
use std::net::TcpStream;
use std::sync::Arc;
use std::time::Duration;

use crate::http;
use crate::http::Message;
use crate::record::Record;
use crate::system::CLIENT_DEADLINE;
use crate::system::HOST;
use crate::system::Shape;
use crate::system::System;
use crate::system::document_with_heads;
use crate::system::fresh_id;

/// The clients, each with one connection that it keeps.
const CLIENTS: usize = 20;

/// `max_header_bytes` of the first configuration and of the second one.
const SMALL_HEAD_BYTES: usize = 8_192;
const LARGE_HEAD_BYTES: usize = 16_384;

/// The bytes of the large header: between the two limits, with all other headers.
const HEADER_BYTES: usize = 12_000;

/// The requests that each client sends every [`INTERVAL`] after the second configuration holds.
const REQUESTS: usize = 5;

/// The pause between two requests; far below `idle_timeout_ms`.
const INTERVAL: Duration = Duration::from_millis(500);

/// `config_apply_ms` and a second more.
const APPLIED_AFTER: Duration = Duration::from_millis(3_000);

/// How many proper requests may be ended with a 4xx: 5 + one in 500.
fn denied_max(requests: usize) -> usize {
    5 + requests / 500
}

struct Kept {
    front: SocketAddr,
    reader: Option<BufReader<TcpStream>>,
}

impl Kept {
    /// Sends a request on the kept connection, or on a new one if the last one was closed.
    fn send(&mut self, header_bytes: usize, record: &Record) -> u16 {
        let is_kept = self.reader.is_some();
        let attempt = fresh_id();
        let result = self.try_send(&attempt, header_bytes);
        let status = result.as_ref().map_or(0, Message::status);
        record.detail(&format!(
            "client {attempt} at {} kept={is_kept} header_bytes={header_bytes}: {}",
            self.front,
            match &result {
                Ok(answer) => answer.start.clone(),
                Err(cause) => cause.to_string(),
            }
        ));
        let closes = |answer: &Message| answer.header("connection") == Some("close");
        if result.as_ref().map_or(true, closes) {
            self.reader = None;
        }
        status
    }

    fn try_send(&mut self, attempt: &str, header_bytes: usize) -> std::io::Result<Message> {
        let reader = match &mut self.reader {
            Some(reader) => reader,
            None => {
                let stream = TcpStream::connect_timeout(&self.front, Duration::from_secs(1))?;
                stream.set_nodelay(true)?;
                stream.set_read_timeout(Some(CLIENT_DEADLINE))?;
                self.reader.insert(BufReader::new(stream))
            }
        };
        let head = format!(
            "GET /rates/current HTTP/1.1\r\nHost: {HOST}\r\nX-Attempt-Id: {attempt}\r\n\
             X-Deadline-Ms: {}\r\nX-Note: {}\r\n\r\n",
            CLIENT_DEADLINE.as_millis(),
            "n".repeat(header_bytes)
        );
        reader.get_ref().write_all(head.as_bytes())?;
        let mut answer = http::read_head(reader)?;
        http::read_body(reader, &mut answer, true)?;
        Ok(answer)
    }
}

/// Runs the case; returns whether the rule held.
pub fn run(record: &Arc<Record>, has_trouble: bool) -> Result<bool, String> {
    let shape = Shape { core: 3, journal: 3, entry: 2, tolerated: 1 };
    let mut system = System::start(shape, record)?;
    let limit = Duration::from_secs(20);
    // Without the change, the second configuration is in force before the connections are opened.
    let first = if has_trouble { SMALL_HEAD_BYTES } else { LARGE_HEAD_BYTES };
    let path = "/Config.Replace";
    system.order_until_done("POST", path, &document_with_heads(1, first), limit)?;
    let _worker = system.worker("a-1", "app", 5)?;
    std::thread::sleep(Duration::from_secs(4));
    let fronts = system.fronts();
    let open = |number: usize| Kept { front: fronts[number % fronts.len()], reader: None };
    let mut clients: Vec<Kept> = (0..CLIENTS).map(open).collect();
    let served =
        clients.iter_mut().filter_map(|one| Some(one.send(10, record)).filter(|s| *s == 200));
    if served.count() < CLIENTS {
        return Err("small requests are not served".to_owned());
    }
    record.note(&format!("{CLIENTS} clients keep a connection, with max_header_bytes {first}"));
    if has_trouble {
        let second = document_with_heads(2, LARGE_HEAD_BYTES);
        system.order_until_done("POST", path, &second, limit)?;
        record.note(&format!("version 2 with max_header_bytes {LARGE_HEAD_BYTES} is acknowledged"));
    }
    // The connections stay in use meanwhile.
    for _ in 0..APPLIED_AFTER.as_millis() / INTERVAL.as_millis() {
        std::thread::sleep(INTERVAL);
        clients.iter_mut().for_each(|one| {
            one.send(10, record);
        });
    }
    let (mut sent, mut ended, mut other) = (0, 0, 0);
    for _ in 0..REQUESTS {
        for client in &mut clients {
            sent += 1;
            match client.send(HEADER_BYTES, record) {
                200 => {}
                400..500 => ended += 1,
                _ => other += 1,
            }
        }
        std::thread::sleep(INTERVAL);
    }
    record.note(&format!(
        "{sent} requests with a head of some {HEADER_BYTES} bytes: {ended} ended with a 4xx, {other} not \
         answered with 200 otherwise"
    ));
    Ok(ended <= denied_max(sent))
}
