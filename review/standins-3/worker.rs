//! A worker: a process of its own that announces itself and answers requests.

use std::io::BufReader;
use std::io::Write;
use std::net::SocketAddr;
use std::net::TcpListener;
use std::net::TcpStream;
use std::process::Child;
use std::process::Command;
use std::process::Stdio;
use std::sync::Arc;
use std::sync::Mutex;
use std::time::Duration;
use std::time::SystemTime;
use std::time::UNIX_EPOCH;

use crate::cluster;
use crate::http;
use crate::http::Call;
use crate::http::Message;
use crate::record::Record;

/// The interval of announcements, as `heartbeat_ms` of the settings.
const BEAT_INTERVAL: Duration = Duration::from_millis(1_200);

/// How long a worker waits for an acknowledgement, as the pages say.
const BEAT_TIMEOUT: Duration = Duration::from_secs(1);

/// The path of a request that crashes each worker that begins to run it.
pub const CRASHING_PATH: &str = "/rates/crash";

/// How long a worker works on that request before it crashes.
const CRASHES_AFTER: Duration = Duration::from_millis(20);

/// The exit code of a worker that crashed.
const EXIT_CRASHED: i32 = 9;

/// How a worker is started.
#[derive(Debug, Clone)]
pub struct WorkerOptions {
    /// The name in announcements and `X-Instance-Id`.
    pub id: String,
    /// The service.
    pub service: String,
    /// Where it listens.
    pub address: SocketAddr,
    /// The nodes that serve control.
    pub control: Vec<SocketAddr>,
    /// How long it works on a request before its answer begins, in milliseconds.
    pub work_ms: u64,
    /// The events of a stream, each of one token.
    pub events: u64,
    /// The pause between two events, in milliseconds.
    pub event_ms: u64,
}

/// A running worker process; it is killed when this is dropped.
pub struct Worker {
    child: Option<Child>,
}

impl Worker {
    /// Starts a worker as a new incarnation. The lines that it prints go to the record.
    ///
    /// # Errors
    /// Fails if the process cannot be started.
    pub fn start(options: WorkerOptions, record: &Arc<Record>) -> std::io::Result<Self> {
        let control: Vec<String> = options.control.iter().map(ToString::to_string).collect();
        let mut command = Command::new(std::env::current_exe()?);
        command
            .arg("worker")
            .arg(&options.id)
            .arg(&options.service)
            .arg(options.address.to_string())
            .arg(control.join(","))
            .arg(options.work_ms.to_string())
            .arg(options.events.to_string())
            .arg(options.event_ms.to_string())
            .stdin(Stdio::null())
            .stdout(Stdio::piped());
        let mut child = cluster::spawn(&mut command)?;
        if let Some(stdout) = child.stdout.take() {
            let (record, id) = (record.clone(), options.id.clone());
            std::thread::spawn(move || {
                let lines = std::io::BufRead::lines(BufReader::new(stdout));
                lines.map_while(Result::ok).for_each(|line| record.detail(&format!("{id} {line}")));
            });
        }
        Ok(Self { child: Some(child) })
    }

    /// Returns whether the worker has ended by itself.
    pub fn has_crashed(&mut self) -> bool {
        let child = self.child.as_mut();
        child.is_some_and(|child| matches!(child.try_wait(), Ok(Some(_))))
    }

    /// Kills the worker: it crashes, and its port refuses connections.
    pub fn kill(&mut self) {
        if let Some(child) = self.child.take() {
            cluster::end(child);
        }
    }
}

impl Drop for Worker {
    fn drop(&mut self) {
        self.kill();
    }
}

/// Runs as a worker process until it is killed; `arguments` are those of [`Worker::start`].
pub fn run(arguments: &[String]) -> Option<()> {
    let [id, service, address, control, work_ms, events, event_ms] = arguments else {
        return None;
    };
    let address: SocketAddr = address.parse().ok()?;
    let options = WorkerOptions {
        id: id.clone(),
        service: service.clone(),
        address,
        control: control.split(',').filter_map(|one| one.parse().ok()).collect(),
        work_ms: work_ms.parse().ok()?,
        events: events.parse().ok()?,
        event_ms: event_ms.parse().ok()?,
    };
    let listener = TcpListener::bind(address).ok()?;
    let options = Arc::new(options);
    let announced = options.clone();
    std::thread::spawn(move || announce_forever(&announced));
    let output = Arc::new(Mutex::new(std::io::stdout()));
    for stream in listener.incoming().map_while(Result::ok) {
        let (options, output) = (options.clone(), output.clone());
        std::thread::spawn(move || serve(stream, &options, &output));
    }
    Some(())
}

fn announce_forever(options: &WorkerOptions) {
    let now = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
    let born = now.as_millis();
    let mut at = 0;
    for sequence in 1_u64.. {
        let body = format!(
            "{{\"service\":\"{}\",\"address\":\"{}\",\"zone\":\"z-1\",\"version\":\"v1\",\
             \"slots\":64,\"state\":\"ready\",\"cold_remaining_ms\":0,\"sequence\":{sequence},\
             \"born\":{born}}}",
            options.service, options.address
        );
        let path = format!("/Instances.Heartbeat/{}", options.id);
        let to = options.control[at % options.control.len()];
        let call = Call::new("POST", to, &path, BEAT_TIMEOUT)
            .header("Content-Type", "application/json")
            .body(&body);
        match call.send() {
            Ok(answer) if answer.status() / 100 == 2 => std::thread::sleep(BEAT_INTERVAL),
            _ => {
                at += 1;
                std::thread::sleep(Duration::from_millis(50));
            }
        }
    }
}

fn serve(stream: TcpStream, options: &WorkerOptions, output: &Mutex<std::io::Stdout>) {
    let _ = stream.set_nodelay(true);
    let Ok(reading) = stream.try_clone() else {
        return;
    };
    let mut reader = BufReader::new(reading);
    loop {
        let Ok(mut request) = http::read_head(&mut reader) else {
            return;
        };
        if http::read_body(&mut reader, &mut request, false).is_err() {
            return;
        }
        if answer(&stream, &request, options, output).is_err() {
            return;
        }
    }
}

/// Works on a request and writes the answer: a stream on paths that begin with `/turns/`.
fn answer(
    mut stream: &TcpStream,
    request: &Message,
    options: &WorkerOptions,
    output: &Mutex<std::io::Stdout>,
) -> std::io::Result<()> {
    let attempt = request.header("x-attempt-id").unwrap_or_default();
    let id = &options.id;
    let expected = request.header("x-expect-instance");
    if expected.is_some_and(|expected| expected != id) {
        let refusal = format!(
            "HTTP/1.1 421 Misdirected Request\r\nX-Attempt-Id: {attempt}\r\nX-Not-Executed: 1\r\n\
             X-Instance-Id: {id}\r\nContent-Length: 0\r\n\r\n"
        );
        return stream.write_all(refusal.as_bytes());
    }
    let last = request.header("last-event-id").and_then(|last| last.parse::<u64>().ok());
    if let Ok(mut output) = output.lock() {
        writeln!(output, "runs {attempt} {} last_event={last:?}", request.start)?;
        output.flush()?;
    }
    let path = request.start.split(' ').nth(1).unwrap_or_default();
    if path == CRASHING_PATH {
        std::thread::sleep(CRASHES_AFTER);
        std::process::exit(EXIT_CRASHED);
    }
    std::thread::sleep(Duration::from_millis(options.work_ms));
    let head = format!(
        "HTTP/1.1 200 OK\r\nX-Attempt-Id: {attempt}\r\nX-Response-Signature: {id}.{attempt}\r\n\
         X-Instance-Id: {id}\r\n"
    );
    if !path.starts_with("/turns/") {
        let plain = "Content-Type: text/plain\r\nContent-Length: 5\r\n\r\ndone\n";
        return stream.write_all(format!("{head}{plain}").as_bytes());
    }
    let stream_head = "Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n";
    stream.write_all(format!("{head}{stream_head}").as_bytes())?;
    for number in last.unwrap_or(0) + 1..=options.events {
        let event = format!("id: {number}\ndata: token\n\n");
        stream.write_all(format!("{:x}\r\n{event}\r\n", event.len()).as_bytes())?;
        std::thread::sleep(Duration::from_millis(options.event_ms));
    }
    stream.write_all(b"0\r\n\r\n")
}
