//! A worker of the users' platform: serves requests on a loopback address and announces itself.

use std::hash::DefaultHasher;
use std::hash::Hash;
use std::hash::Hasher;
use std::io;
use std::io::BufReader;
use std::io::Write;
use std::net::Ipv4Addr;
use std::net::SocketAddr;
use std::net::TcpListener;
use std::net::TcpStream;
use std::sync::Arc;
use std::sync::Condvar;
use std::sync::Mutex;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::thread;
use std::time::Duration;
use std::time::Instant;
use std::time::SystemTime;
use std::time::UNIX_EPOCH;

use crate::http;
use crate::http::Message;
use crate::record::Record;

/// How long the worker keeps an idle connection.
const IDLE: Duration = Duration::from_secs(5);

/// The interval of the announcements.
const BEAT: Duration = Duration::from_millis(600);

/// What a worker does with its requests.
#[derive(Debug, Clone, Copy)]
pub enum Work {
    /// Works for a time between these two, then answers with a body of 800 bytes.
    Plain(Duration, Duration),
    /// Answers with a stream of so many events, with this pause before each.
    Stream(u32, Duration),
}

/// What a worker is.
#[derive(Debug, Clone)]
pub struct Options {
    /// Its id.
    pub id: String,
    /// Its service.
    pub service: String,
    /// Its address; the port is free.
    pub ip: Ipv4Addr,
    /// The requests that it works on at once.
    pub slots: u32,
    /// The requests that wait beside.
    pub queue: u32,
    /// What it does.
    pub work: Work,
}

/// Sends a second copy of some answers, late.
#[derive(Debug, Default)]
pub struct LateCopies {
    /// Whether copies are sent at the moment.
    pub is_on: AtomicBool,
    /// One answer in so many is sent twice; 0 for none.
    pub one_in: u64,
    answers: AtomicU64,
    /// The copies that were sent.
    pub sent: AtomicU64,
}

impl LateCopies {
    /// Creates copies of one answer in `one_in`, off at first.
    pub fn new(one_in: u64) -> Self {
        Self { one_in, ..Self::default() }
    }

    fn takes(&self) -> bool {
        self.is_on.load(Ordering::Relaxed)
            && self.one_in > 0
            && self.answers.fetch_add(1, Ordering::Relaxed) % self.one_in == 0
    }
}

/// What is wrong with a worker at times.
#[derive(Debug, Clone, Default)]
pub struct Faults {
    /// Late copies of its answers.
    pub copies: Arc<LateCopies>,
    /// Failures of its requests.
    pub failures: Arc<Failures>,
}

/// Lets some requests fail after they ran, with a status of 503 that does not say that they have not.
#[derive(Debug, Default)]
pub struct Failures {
    /// Whether requests fail at the moment.
    pub is_on: AtomicBool,
    /// So many of each five requests fail.
    pub of_five: u64,
    ran: AtomicU64,
}

impl Failures {
    /// Creates failures of `of_five` in five requests, off at first.
    pub fn new(of_five: u64) -> Self {
        Self { of_five, ..Self::default() }
    }

    fn takes(&self) -> bool {
        self.is_on.load(Ordering::Relaxed)
            && self.ran.fetch_add(1, Ordering::Relaxed) % 5 < self.of_five
    }
}

#[derive(Default)]
struct Load {
    running: u32,
    waiting: u32,
}

/// A running worker; its threads end with the process.
pub struct Worker {
    options: Options,
    load: Mutex<Load>,
    freed: Condvar,
    record: Arc<Record>,
    faults: Faults,
}

fn now_ms() -> u64 {
    let since = SystemTime::now().duration_since(UNIX_EPOCH);
    since.map_or(0, |since| since.as_millis() as u64)
}

impl Worker {
    /// Starts a worker that announces itself to `controls`.
    ///
    /// # Errors
    /// Fails if its address cannot be bound.
    pub fn start(
        options: Options,
        controls: Vec<SocketAddr>,
        record: Arc<Record>,
        faults: Faults,
    ) -> io::Result<Arc<Self>> {
        let listener = TcpListener::bind((options.ip, 0))?;
        let address = listener.local_addr()?;
        let (load, freed) = (Mutex::default(), Condvar::new());
        let worker = Arc::new(Self { options, load, freed, record, faults });
        let accepting = worker.clone();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let worker = accepting.clone();
                // A connection that fails concerns its peer only.
                thread::spawn(move || worker.serve(stream));
            }
        });
        let announcing = worker.clone();
        thread::spawn(move || announcing.announce(address, &controls));
        Ok(worker)
    }

    fn announce(&self, address: SocketAddr, controls: &[SocketAddr]) {
        let Options { id, service, slots, .. } = &self.options;
        let (born, mut at) = (now_ms(), 0);
        for sequence in 1_u64.. {
            let body = format!(
                "{{\"service\":\"{service}\",\"address\":\"{address}\",\"zone\":\"zone-0\",\
                 \"version\":\"v1\",\"slots\":{slots},\"state\":\"ready\",\"cold_remaining_ms\":0,\
                 \"sequence\":{sequence},\"born\":{born}}}"
            );
            let control = controls[at % controls.len()];
            let start = format!("POST /Instances.Heartbeat/{id}");
            let answer = http::call(control, &start, &[], body.as_bytes(), Duration::from_secs(1));
            if !answer.is_ok_and(|answer| answer.status() == 200) {
                at += 1;
                thread::sleep(Duration::from_millis(50));
                continue;
            }
            thread::sleep(BEAT);
        }
    }

    fn serve(&self, mut stream: TcpStream) -> io::Result<()> {
        stream.set_nodelay(true)?;
        stream.set_read_timeout(Some(IDLE))?;
        let mut reader = BufReader::new(stream.try_clone()?);
        // The copy of an earlier answer that is still to be sent.
        let mut late: Option<Vec<u8>> = None;
        while let Some(req) = http::read_message(&mut reader)? {
            if let Some(copy) = late.take() {
                self.faults.copies.sent.fetch_add(1, Ordering::Relaxed);
                let attempt = req.header("x-attempt-id").unwrap_or("-");
                let id = &self.options.id;
                let copied = copy_attempt(&copy);
                self.record.about(attempt, &format!("{id} sends a late copy for {copied} first"));
                stream.write_all(&copy)?;
            }
            let answer = self.answer(&req, &mut stream)?;
            if let Some(answer) = answer {
                stream.write_all(&answer)?;
                if self.faults.copies.takes() {
                    late = Some(answer);
                }
            }
        }
        Ok(())
    }

    /// Takes a place; returns whether there was one.
    fn begin(&self) -> bool {
        let Options { slots, queue, .. } = self.options;
        let mut load = self.load.lock().expect("not poisoned");
        if load.running + load.waiting >= slots + queue {
            return false;
        }
        load.waiting += 1;
        let is_full = |load: &mut Load| load.running >= slots;
        let mut load = self.freed.wait_while(load, is_full).expect("not poisoned");
        load.waiting -= 1;
        load.running += 1;
        true
    }

    fn end(&self) {
        self.load.lock().expect("not poisoned").running -= 1;
        self.freed.notify_one();
    }

    fn load_header(&self) -> String {
        let load = self.load.lock().expect("not poisoned");
        format!("{},{},{}", load.running, load.waiting, self.options.slots)
    }

    /// Works on a request; returns the answer unless it was streamed.
    fn answer(&self, req: &Message, stream: &mut TcpStream) -> io::Result<Option<Vec<u8>>> {
        let id = &self.options.id;
        let attempt = req.header("x-attempt-id").unwrap_or_default().to_owned();
        let head = |status: &str, more: &str| {
            format!(
                "HTTP/1.1 {status}\r\nX-Attempt-Id: {attempt}\r\nX-Server-Load: {}\r\n\
                 Keep-Alive: timeout=5\r\n{more}",
                self.load_header()
            )
        };
        if req.path() == "/healthz" {
            let text =
                format!("HTTP/1.1 200 OK\r\nX-Instance-Id: {id}\r\nContent-Length: 0\r\n\r\n");
            return Ok(Some(text.into_bytes()));
        }
        let not_run = "X-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n";
        if req.header("x-expect-instance").is_some_and(|expected| expected != id) {
            return Ok(Some(head("421 Misdirected Request", not_run).into_bytes()));
        }
        if !self.begin() {
            self.record.about(&attempt, &format!("refused by {id}, which is full"));
            return Ok(Some(head("503 Service Unavailable", not_run).into_bytes()));
        }
        self.record.run(&attempt, id);
        let worked = self.work(&attempt, &head, stream);
        self.end();
        worked
    }

    fn work<H>(
        &self,
        attempt: &str,
        head: &H,
        stream: &mut TcpStream,
    ) -> io::Result<Option<Vec<u8>>>
    where
        H: Fn(&str, &str) -> String,
    {
        let signature = format!("X-Response-Signature: {attempt}.{}\r\n", self.options.id);
        match self.options.work {
            Work::Plain(shortest, longest) => {
                thread::sleep(shortest + (longest - shortest).mul_f64(fraction_of(attempt)));
                if self.faults.failures.takes() {
                    let more = format!("{signature}Content-Length: 0\r\n\r\n");
                    return Ok(Some(head("503 Service Unavailable", &more).into_bytes()));
                }
                let more = format!("{signature}Content-Length: 800\r\n\r\n");
                let mut answer = head("200 OK", &more).into_bytes();
                answer.extend(std::iter::repeat_n(b'x', 800));
                Ok(Some(answer))
            }
            Work::Stream(events, pause) => {
                let more = format!(
                    "{signature}Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n"
                );
                stream.write_all(head("200 OK", &more).as_bytes())?;
                for number in 1..=events {
                    thread::sleep(pause);
                    let event = format!("id: {number}\ndata: token {number}\n\n");
                    let chunk = format!("{:x}\r\n{event}\r\n", event.len());
                    stream.write_all(chunk.as_bytes())?;
                }
                stream.write_all(b"0\r\n\r\n")?;
                Ok(None)
            }
        }
    }
}

/// Returns a number from 0 to 1 that differs from attempt to attempt.
fn fraction_of(attempt: &str) -> f64 {
    let mut hasher = DefaultHasher::new();
    attempt.hash(&mut hasher);
    (hasher.finish() % 1_000) as f64 / 1_000.0
}

/// Returns the attempt that an answer belongs to.
fn copy_attempt(answer: &[u8]) -> String {
    let text = String::from_utf8_lossy(answer);
    let line = text.lines().find_map(|line| line.strip_prefix("X-Attempt-Id: "));
    line.unwrap_or("-").to_owned()
}

/// Waits until `at` seconds after `started`.
pub fn wait_until(started: Instant, at: f64) {
    let due = started + Duration::from_secs_f64(at);
    thread::sleep(due.saturating_duration_since(Instant::now()));
}
