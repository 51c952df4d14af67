//! Stand-ins for the platform, its operator, its clients and its workers, and the start of the
//! project's own programs on loopback addresses.
//!
//! Uses the standard library only. Times are in milliseconds since the start of the script unless a
//! name says otherwise. A step that cannot be carried out ends the script with [`COULD_NOT_RUN`].

#![allow(dead_code)]

use std::collections::BTreeMap;
use std::fs::File;
use std::io::Read;
use std::io::Write;
use std::net::Ipv4Addr;
use std::net::SocketAddr;
use std::net::TcpListener;
use std::net::TcpStream;
use std::path::PathBuf;
use std::process::Child;
use std::process::Command;
use std::process::Stdio;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::time::Duration;
use std::time::Instant;
use std::time::SystemTime;
use std::time::UNIX_EPOCH;

/// The exit status of a script whose rule held.
pub const HELD: i32 = 0;

/// The exit status of a script whose rule was broken.
pub const BROKEN: i32 = 1;

/// The exit status of a script that could not run.
pub const COULD_NOT_RUN: i32 = 2;

/// The longest time a script may take; the watchdog ends it then.
const SCRIPT_LIMIT: Duration = Duration::from_secs(115);

/// The ports of every machine.
const FRONT_PORT: u16 = 8149;
const READY_PORT: u16 = 8141;
const CONTROL_PORT: u16 = 8144;
const DIRECTORY_PORT: u16 = 8143;
const FIRST_INTERNAL_PORT: u16 = 7380;

pub const SIGTERM: i32 = 15;
pub const SIGKILL: i32 = 9;
pub const SIGSTOP: i32 = 19;
pub const SIGCONT: i32 = 18;

unsafe extern "C" {
    fn kill(pid: i32, signal: i32) -> i32;
}

/// Returns whether the script is to cause the disruption: unless `TROUBLE` is 0.
pub fn has_trouble() -> bool {
    std::env::var("TROUBLE").map_or(true, |value| value != "0")
}

/// Sleeps for a number of milliseconds.
pub fn sleep_ms(millis: u64) {
    std::thread::sleep(Duration::from_millis(millis));
}

/// The processes that the script started and that have not been waited for.
static PIDS: Mutex<Vec<i32>> = Mutex::new(Vec::new());

/// The temporary folder of the deployment.
static ROOT: Mutex<Option<PathBuf>> = Mutex::new(None);

/// Kills every process that the script started and removes the temporary folder.
fn clean_up() {
    for pid in PIDS.lock().unwrap().drain(..) {
        unsafe { kill(pid, SIGKILL) };
    }
    if let Some(root) = ROOT.lock().unwrap().take() {
        let _ = std::fs::remove_dir_all(root);
    }
}

fn wall_ms() -> u64 {
    SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default().as_millis() as u64
}

/// The record of what was sent, answered and run: `record.txt` in the folder of the case.
#[derive(Clone)]
pub struct Record {
    file: Arc<Mutex<File>>,
    start: Instant,
}

impl Record {
    /// Creates the record in the folder that `CASE_DIR` names.
    pub fn create() -> Self {
        let folder = std::env::var("CASE_DIR").unwrap_or_else(|_| ".".to_owned());
        let file = File::create(PathBuf::from(folder).join("record.txt"));
        let file = file.unwrap_or_else(|cause| {
            eprintln!("record.txt cannot be created: {cause}");
            std::process::exit(COULD_NOT_RUN)
        });
        Self { file: Arc::new(Mutex::new(file)), start: Instant::now() }
    }

    /// Returns the milliseconds since the start of the script.
    pub fn now_ms(&self) -> u64 {
        self.start.elapsed().as_millis() as u64
    }

    /// Writes one line with the time.
    pub fn note<T>(&self, text: T)
    where
        T: AsRef<str>,
    {
        let line = format!("{:9.3} s  {}\n", self.start.elapsed().as_secs_f64(), text.as_ref());
        let mut file = self.file.lock().unwrap();
        let _ = file.write_all(line.as_bytes());
    }
}

/// A machine of the deployment, at an address of its own.
#[derive(Clone, Debug)]
pub struct Machine {
    pub name: String,
    pub zone: String,
    pub ip: Ipv4Addr,
    pub has_disk: bool,
    pub is_storage: bool,
}

impl Machine {
    pub fn front(&self) -> SocketAddr {
        SocketAddr::from((self.ip, FRONT_PORT))
    }

    pub fn control(&self) -> SocketAddr {
        SocketAddr::from((self.ip, CONTROL_PORT))
    }

    pub fn directory(&self) -> SocketAddr {
        SocketAddr::from((self.ip, DIRECTORY_PORT))
    }

    pub fn ready(&self) -> SocketAddr {
        SocketAddr::from((self.ip, READY_PORT))
    }
}

struct Process {
    child: Child,
    machine: String,
    role: String,
}

/// A running deployment. Dropping it kills every process that it started and removes its folder.
pub struct Deployment {
    pub record: Record,
    pub machines: Vec<Machine>,
    root: PathBuf,
    network: u8,
    seeds: Vec<Ipv4Addr>,
    processes: Mutex<Vec<Process>>,
}

impl Deployment {
    /// Creates a deployment without machines, on a free loopback network.
    pub fn new(record: Record) -> Self {
        let root = std::env::temp_dir().join(format!("cgw-review-{}", std::process::id()));
        let created = std::fs::create_dir_all(&root);
        created.unwrap_or_else(|cause| give_up(&record, &format!("temporary folder: {cause}")));
        let first = 20 + (std::process::id() % 180) as u8;
        let is_free = |network: &u8| {
            TcpListener::bind((Ipv4Addr::new(127, *network, 1, 1), CONTROL_PORT)).is_ok()
        };
        let network = (first..=250).find(is_free);
        let network = network.unwrap_or_else(|| give_up(&record, "no free loopback network"));
        *ROOT.lock().unwrap() = Some(root.clone());
        let noted = record.clone();
        std::thread::spawn(move || {
            std::thread::sleep(SCRIPT_LIMIT);
            give_up(&noted, "the script took too long");
        });
        Self {
            record,
            machines: Vec::new(),
            root,
            network,
            seeds: Vec::new(),
            processes: Mutex::default(),
        }
    }

    /// Returns the loopback address `host` of the network of workers.
    pub fn worker_ip(&self, host: u8) -> Ipv4Addr {
        Ipv4Addr::new(127, self.network, 200, host)
    }

    /// Adds front machines with a disk, one in each zone, which are the seeds, then front machines
    /// without a disk and storage machines, zone by zone.
    pub fn lay_out(&mut self, zones: u8, diskless_fronts: u8, storages: u8) {
        let add = |machines: &mut Vec<Machine>, class: &str, zone: u8, number: u8, disk: bool| {
            let letter = (b'a' + zone) as char;
            let is_storage = class == "storage";
            let last = number + if is_storage { 100 } else { 0 };
            machines.push(Machine {
                name: format!("{class}-zone-{letter}-{number}"),
                zone: format!("zone-{letter}"),
                ip: Ipv4Addr::new(127, self.network, zone + 1, last),
                has_disk: disk,
                is_storage,
            });
        };
        let mut machines = Vec::new();
        for zone in 0..zones {
            add(&mut machines, "front", zone, 1, true);
        }
        self.seeds = machines.iter().take(3).map(|machine| machine.ip).collect();
        for index in 0..diskless_fronts {
            add(&mut machines, "front", index % zones, 2 + index / zones, false);
        }
        for index in 0..storages {
            add(&mut machines, "storage", index % zones, 1 + index / zones, true);
        }
        self.machines.extend(machines);
    }

    /// Returns the machine with this name.
    pub fn machine(&self, name: &str) -> Machine {
        let found = self.machines.iter().find(|machine| machine.name == name).cloned();
        found.unwrap_or_else(|| give_up(&self.record, &format!("there is no machine {name}")))
    }

    /// Returns the machines with a disk that take callers' requests and serve control.
    pub fn cores(&self) -> Vec<Machine> {
        let is_core = |machine: &&Machine| machine.has_disk && !machine.is_storage;
        self.machines.iter().filter(is_core).cloned().collect()
    }

    /// Returns the machines that store data.
    pub fn storages(&self) -> Vec<Machine> {
        self.machines.iter().filter(|machine| machine.is_storage).cloned().collect()
    }

    /// Starts all processes for the first time.
    pub fn start_all(&self) {
        for machine in &self.machines {
            self.start_machine(machine, true);
        }
    }

    /// Starts the processes of a machine.
    pub fn start_machine(&self, machine: &Machine, is_bootstrap: bool) {
        let roles: &[&str] = match (machine.is_storage, machine.has_disk) {
            (true, _) => &["journal"],
            (false, true) => &["core", "entry"],
            (false, false) => &["entry"],
        };
        for role in roles {
            self.start_process(machine, role, is_bootstrap);
        }
    }

    fn data_dir(&self, machine: &Machine, role: &str) -> PathBuf {
        self.root.join(&machine.name).join(role)
    }

    fn start_process(&self, machine: &Machine, role: &str, is_bootstrap: bool) {
        let folder = self.root.join(&machine.name);
        let fail = |what: &str, cause: std::io::Error| -> ! {
            give_up(&self.record, &format!("{what} of {} {role}: {cause}", machine.name))
        };
        std::fs::create_dir_all(&folder).unwrap_or_else(|cause| fail("folder", cause));
        let settings = folder.join(format!("{role}.toml"));
        std::fs::write(&settings, self.settings(machine, role, is_bootstrap))
            .unwrap_or_else(|cause| fail("settings", cause));
        let log =
            File::options().create(true).append(true).open(folder.join(format!("{role}.log")));
        let log = log.unwrap_or_else(|cause| fail("log", cause));
        let errors = log.try_clone().unwrap_or_else(|cause| fail("log", cause));
        // The command of `deploy/system.toml`.
        let child = Command::new("target/release/cgw-platform")
            .arg(role)
            .env_clear()
            .env("CORIANDERGW_SETTINGS", &settings)
            .env("PATH", std::env::var_os("PATH").unwrap_or_default())
            .stdin(Stdio::null())
            .stdout(log)
            .stderr(errors)
            .spawn();
        let child = child.unwrap_or_else(|cause| fail("program", cause));
        PIDS.lock().unwrap().push(child.id() as i32);
        let (machine, role) = (machine.name.clone(), role.to_owned());
        self.processes.lock().unwrap().push(Process { child, machine, role });
    }

    fn settings(&self, machine: &Machine, role: &str, is_bootstrap: bool) -> String {
        let ip = machine.ip;
        let seeds: Vec<String> =
            self.seeds.iter().map(|seed| format!("\"{seed}:{CONTROL_PORT}\"")).collect();
        let serves = match role {
            "entry" => "\"front\"",
            "core" => "\"control\",\"directory\"",
            _ => "\"storage\"",
        };
        let data_dir = match machine.has_disk && role != "entry" {
            true => self.data_dir(machine, role).display().to_string(),
            false => String::new(),
        };
        let mut zones: Vec<String> =
            self.machines.iter().map(|machine| format!("{} = \"region\"", machine.zone)).collect();
        zones.sort();
        zones.dedup();
        let listen = match role {
            "entry" => format!("front = \"{}\"\nready = \"{}\"", machine.front(), machine.ready()),
            "core" => {
                format!(
                    "control = \"{}\"\ndirectory = \"{}\"",
                    machine.control(),
                    machine.directory()
                )
            }
            _ => String::new(),
        };
        format!(
            "node_name = \"{}\"\nrole = \"{role}\"\nmachine_class = \"{}\"\nserves = [{serves}]\n\
             ip = \"{ip}\"\nzone = \"{}\"\nregion = \"region\"\ninternal_ports = [{}, {}]\n\
             seeds = [{}]\nbootstrap = {is_bootstrap}\nin_fault_budget = {}\n\
             data_dir = \"{data_dir}\"\ndiscovery = \"register\"\nentry = \"directory\"\n\
             heartbeat_ms = 1200\n\
             contracts = [\"base\",\"drain\",\"config\",\"cost\",\"recover\",\"agent\",\"stream\",\"engine\"]\n\
             config_mode = \"highest\"\n[zones]\n{}\n[listen]\n{listen}\n\
             [limits]\ncpu_share = 0.45\ncores = 1\nmemory_mb = 110\nmax_fds = 4100\n\
             link_mbps = 1000.0\ndisk_mb = 64\n\
             [fault_tolerance]\nmachines = 1\nzones = 0\nregions = 0\n\
             [bounds]\nseed_lag_s = 3\naddr_reuse_s = 2\ncontact_ms = 3000\nack_ms = 4000\n\
             catch_up_s = 4\ndrain_ms = 2000\ngrace_s = 8\nloss_slack_ms = 200\n\
             config_apply_ms = 2000\ndowngrade_slack_ms = 250\nmax_stretch_ms = 5000\n\
             recover_s = 12\npass_ms = 120\nretry_after_s = 0\ndeadline_s = 10\nsettle_ms = 1000\n\
             ttl_max_s = 5\n",
            machine.name,
            if machine.is_storage { "storage" } else { "front" },
            machine.zone,
            FIRST_INTERNAL_PORT,
            FIRST_INTERNAL_PORT + 15,
            seeds.join(","),
            machine.has_disk,
            zones.join("\n"),
        )
    }

    /// Sends a signal to every process of a machine.
    pub fn signal(&self, machine: &Machine, signal: i32) {
        self.record.note(format!("signal {signal} to the processes of {}", machine.name));
        let mut processes = self.processes.lock().unwrap();
        for process in processes.iter_mut().filter(|process| process.machine == machine.name) {
            // The identifier of a process that was waited for may belong to another one.
            if matches!(process.child.try_wait(), Ok(None)) {
                unsafe { kill(process.child.id() as i32, signal) };
            }
        }
    }

    /// Kills every process of a machine and waits until they are gone.
    pub fn kill_machine(&self, machine: &Machine) {
        self.signal(machine, SIGKILL);
        let mut processes = self.processes.lock().unwrap();
        for process in processes.iter_mut().filter(|process| process.machine == machine.name) {
            let _ = process.child.wait();
            let pid = process.child.id() as i32;
            PIDS.lock().unwrap().retain(|known| *known != pid);
        }
        processes.retain(|process| process.machine != machine.name);
    }

    /// Removes the disk of a machine whose processes have ended.
    pub fn wipe(&self, machine: &Machine) {
        self.record.note(format!("the disk of {} is lost", machine.name));
        for role in ["core", "journal"] {
            let _ = std::fs::remove_dir_all(self.data_dir(machine, role));
        }
    }

    /// Returns a file in the data folder of a process.
    pub fn read_data(&self, machine: &Machine, role: &str, file: &str) -> Option<String> {
        std::fs::read_to_string(self.data_dir(machine, role).join(file)).ok()
    }

    /// Returns the processes of a machine that have ended by themselves.
    pub fn ended(&self, machine: &Machine) -> Vec<String> {
        let mut processes = self.processes.lock().unwrap();
        let mut ended = Vec::new();
        for process in processes.iter_mut().filter(|process| process.machine == machine.name) {
            if let Ok(Some(status)) = process.child.try_wait() {
                ended.push(format!("{} ended with {status}", process.role));
            }
        }
        ended
    }

    /// Returns the log of a process.
    pub fn log(&self, machine: &Machine, role: &str) -> String {
        let file = self.root.join(&machine.name).join(format!("{role}.log"));
        std::fs::read_to_string(file).unwrap_or_default()
    }

    /// Copies the logs of all processes into the folder that `KEEP_LOGS` names, if it is set.
    pub fn keep_logs(&self) {
        let Some(folder) = std::env::var_os("KEEP_LOGS").map(PathBuf::from) else {
            return;
        };
        let _ = std::fs::create_dir_all(&folder);
        for machine in &self.machines {
            for role in ["core", "entry", "journal"] {
                let log = self.log(machine, role);
                if !log.is_empty() {
                    let _ =
                        std::fs::write(folder.join(format!("{}-{role}.log", machine.name)), log);
                }
            }
        }
    }

    /// Sends an operator's call to the core machines in turn until one answers with one of the
    /// expected statuses; returns the status and the body.
    ///
    /// Ends the script after `limit_ms`.
    pub fn operator(
        &self,
        method: &str,
        path: &str,
        body: &str,
        expected: &[u16],
        limit_ms: u64,
    ) -> (u16, String) {
        let end = self.record.now_ms() + limit_ms;
        let cores = self.cores();
        let mut last = "no answer".to_owned();
        for core in cores.iter().cycle() {
            if self.record.now_ms() > end {
                break;
            }
            match call(core.control(), method, path, &[], body.as_bytes(), 1_000) {
                Ok(answer) if expected.contains(&answer.status) => {
                    return (answer.status, String::from_utf8_lossy(&answer.body).into_owned());
                }
                Ok(answer) => last = format!("status {}", answer.status),
                Err(cause) => last = cause,
            }
            sleep_ms(50);
        }
        give_up(&self.record, &format!("{method} {path} failed: {last}"))
    }

    /// Stores a configuration.
    pub fn configure(&self, document: &str) {
        self.operator("POST", "/Config.Replace", document, &[200], 20_000);
        self.record.note(format!("the operator's configuration is acknowledged: {document}"));
    }

    /// Waits until an entry machine answers 200 at its readiness address.
    pub fn wait_ready(&self, machine: &Machine, limit_ms: u64) {
        let end = self.record.now_ms() + limit_ms;
        while self.record.now_ms() < end {
            let answer = call(machine.ready(), "GET", "/readyz", &[], b"", 1_000);
            if answer.is_ok_and(|answer| answer.status == 200) {
                return;
            }
            sleep_ms(50);
        }
        give_up(&self.record, &format!("{} is not ready", machine.name))
    }

    /// Ends the script with a status, after all processes have been killed.
    pub fn finish(self, status: i32, text: &str) -> ! {
        self.record.note(text);
        println!("{text}");
        self.keep_logs();
        drop(self);
        std::process::exit(status)
    }
}

impl Drop for Deployment {
    fn drop(&mut self) {
        for process in self.processes.lock().unwrap().iter_mut() {
            let _ = process.child.kill();
            let _ = process.child.wait();
        }
        clean_up();
    }
}

/// Ends the script because a step could not be carried out, after all processes have been killed.
pub fn give_up(record: &Record, text: &str) -> ! {
    record.note(format!("could not run: {text}"));
    eprintln!("could not run: {text}");
    clean_up();
    std::process::exit(COULD_NOT_RUN)
}

/// A message head and what followed it.
#[derive(Debug, Default, Clone)]
pub struct Answer {
    pub status: u16,
    pub headers: BTreeMap<String, String>,
    pub body: Vec<u8>,
    /// Whether the body ended as its framing says.
    pub is_complete: bool,
}

/// A connection with the bytes that were read and not used yet.
pub struct Connection {
    pub stream: TcpStream,
    buf: Vec<u8>,
}

impl Connection {
    /// Opens a connection within a second.
    ///
    /// # Errors
    /// Says why it could not be opened.
    pub fn open(address: SocketAddr) -> Result<Self, String> {
        let stream = TcpStream::connect_timeout(&address, Duration::from_secs(1));
        let stream = stream.map_err(|cause| format!("no connection: {cause}"))?;
        let _ = stream.set_nodelay(true);
        Ok(Self { stream, buf: Vec::new() })
    }

    pub fn accepted(stream: TcpStream) -> Self {
        let _ = stream.set_nodelay(true);
        Self { stream, buf: Vec::new() }
    }

    fn fill(&mut self) -> Result<usize, String> {
        let mut part = [0; 16_384];
        let count = self.stream.read(&mut part).map_err(|cause| cause.to_string())?;
        self.buf.extend_from_slice(&part[..count]);
        Ok(count)
    }

    /// Reads the first line and the headers of a message; `None` at the end of the connection.
    ///
    /// # Errors
    /// Says why nothing more could be read.
    pub fn read_head(&mut self) -> Result<Option<(String, BTreeMap<String, String>)>, String> {
        loop {
            if let Some(end) = find(&self.buf, b"\r\n\r\n") {
                let head: Vec<u8> = self.buf.drain(..end + 4).collect();
                let head = String::from_utf8_lossy(&head).into_owned();
                let mut lines = head.lines();
                let first = lines.next().unwrap_or_default().to_owned();
                let headers = lines.filter_map(|line| {
                    let (name, value) = line.split_once(':')?;
                    Some((name.trim().to_ascii_lowercase(), value.trim().to_owned()))
                });
                return Ok(Some((first, headers.collect())));
            }
            if self.fill()? == 0 {
                return Ok(None);
            }
        }
    }

    /// Reads `count` bytes.
    ///
    /// # Errors
    /// Says why they did not arrive.
    fn take(&mut self, count: usize) -> Result<Vec<u8>, String> {
        while self.buf.len() < count {
            if self.fill()? == 0 {
                return Err("the connection ended early".to_owned());
            }
        }
        Ok(self.buf.drain(..count).collect())
    }

    fn take_line(&mut self) -> Result<String, String> {
        loop {
            if let Some(end) = find(&self.buf, b"\r\n") {
                let line: Vec<u8> = self.buf.drain(..end + 2).collect();
                return Ok(String::from_utf8_lossy(&line).trim().to_owned());
            }
            if self.fill()? == 0 {
                return Err("the connection ended early".to_owned());
            }
        }
    }

    /// Reads a body by its framing and passes each part to `seen`.
    ///
    /// # Errors
    /// Says why it is not complete.
    pub fn read_body<F>(
        &mut self,
        headers: &BTreeMap<String, String>,
        mut seen: F,
    ) -> Result<(), String>
    where
        F: FnMut(&[u8]),
    {
        if headers.get("transfer-encoding").is_some_and(|value| value.contains("chunked")) {
            loop {
                let line = self.take_line()?;
                let size = usize::from_str_radix(line.split(';').next().unwrap_or_default(), 16);
                let size = size.map_err(|_| format!("bad chunk size {line:?}"))?;
                if size == 0 {
                    while !self.take_line()?.is_empty() {}
                    return Ok(());
                }
                let part = self.take(size)?;
                seen(&part);
                self.take(2)?;
            }
        }
        let length = headers.get("content-length").and_then(|value| value.parse().ok());
        let part = self.take(length.unwrap_or(0))?;
        seen(&part);
        Ok(())
    }

    /// Sends a request.
    ///
    /// # Errors
    /// Says why it could not be sent.
    pub fn send(
        &mut self,
        method: &str,
        path: &str,
        headers: &[(&str, String)],
        body: &[u8],
    ) -> Result<(), String> {
        let mut head = format!("{method} {path} HTTP/1.1\r\n");
        if !headers.iter().any(|(name, _)| name.eq_ignore_ascii_case("host")) {
            head.push_str("Host: platform\r\n");
        }
        for (name, value) in headers {
            head.push_str(&format!("{name}: {value}\r\n"));
        }
        if !body.is_empty() || method == "POST" {
            head.push_str(&format!("Content-Length: {}\r\n", body.len()));
        }
        head.push_str("\r\n");
        let mut message = head.into_bytes();
        message.extend_from_slice(body);
        self.stream.write_all(&message).map_err(|cause| cause.to_string())
    }

    /// Reads an answer; each part of its body is passed to `seen` as it arrives.
    ///
    /// # Errors
    /// Says why not even its head arrived.
    pub fn receive<F>(&mut self, mut seen: F) -> Result<Answer, String>
    where
        F: FnMut(&[u8]),
    {
        let head = self.read_head()?;
        let (first, headers) = head.ok_or("the connection ended without an answer")?;
        let status = first.split(' ').nth(1).and_then(|status| status.parse().ok());
        let status = status.ok_or_else(|| format!("not an answer: {first:?}"))?;
        let mut body = Vec::new();
        let read = self.read_body(&headers, |part| {
            seen(part);
            body.extend_from_slice(part);
        });
        Ok(Answer { status, headers, body, is_complete: read.is_ok() })
    }
}

fn find(bytes: &[u8], wanted: &[u8]) -> Option<usize> {
    bytes.windows(wanted.len()).position(|window| window == wanted)
}

/// Sends one request on a connection of its own and reads the whole answer, each read within
/// `limit_ms`.
///
/// # Errors
/// Says why there is no complete answer.
pub fn call(
    address: SocketAddr,
    method: &str,
    path: &str,
    headers: &[(&str, String)],
    body: &[u8],
    limit_ms: u64,
) -> Result<Answer, String> {
    let mut connection = Connection::open(address)?;
    let limit = Some(Duration::from_millis(limit_ms));
    connection.stream.set_read_timeout(limit).map_err(|cause| cause.to_string())?;
    connection.send(method, path, headers, body)?;
    let answer = connection.receive(|_| {})?;
    match answer.is_complete {
        true => Ok(answer),
        false => Err("the answer is not complete".to_owned()),
    }
}

/// A request as a worker received it.
#[derive(Debug, Clone)]
pub struct Received {
    pub method: String,
    pub path: String,
    pub headers: BTreeMap<String, String>,
    pub body: Vec<u8>,
    pub from: Option<SocketAddr>,
}

impl Received {
    /// Returns the caller's attempt.
    pub fn attempt(&self) -> String {
        self.headers.get("x-attempt-id").cloned().unwrap_or_default()
    }
}

/// What a worker does with a request, on the connection that it came on. Returns whether the
/// connection may be used again.
pub type Work = dyn Fn(&Worker, &Received, &mut TcpStream) -> bool + Send + Sync;

/// A worker of a service, which announces itself and serves requests until it is stopped.
pub struct Worker {
    pub id: String,
    pub service: String,
    pub version: String,
    pub address: SocketAddr,
    pub record: Record,
    /// The Unix millisecond of its start.
    pub born: u64,
    sequence: AtomicU64,
    is_stopped: AtomicBool,
    announces: AtomicBool,
    streams: Mutex<Vec<TcpStream>>,
    accepting: Mutex<Option<std::thread::JoinHandle<()>>>,
}

impl Worker {
    /// Starts a worker that listens at `address`.
    pub fn start(
        record: &Record,
        id: &str,
        service: &str,
        version: &str,
        address: SocketAddr,
        work: Arc<Work>,
    ) -> Arc<Self> {
        let listener = TcpListener::bind(address);
        let listener =
            listener.unwrap_or_else(|cause| give_up(record, &format!("worker {id}: {cause}")));
        let worker = Arc::new(Self {
            id: id.to_owned(),
            service: service.to_owned(),
            version: version.to_owned(),
            address: listener.local_addr().unwrap_or(address),
            record: record.clone(),
            born: wall_ms(),
            sequence: AtomicU64::new(0),
            is_stopped: AtomicBool::new(false),
            announces: AtomicBool::new(true),
            streams: Mutex::default(),
            accepting: Mutex::default(),
        });
        record.note(format!("worker {id} of {service} starts at {}", worker.address));
        let accepting = worker.clone();
        let thread = std::thread::spawn(move || {
            for stream in listener.incoming() {
                if accepting.is_stopped.load(Ordering::SeqCst) {
                    return;
                }
                let Ok(stream) = stream else { continue };
                if let Ok(copy) = stream.try_clone() {
                    accepting.streams.lock().unwrap().push(copy);
                }
                let (worker, work) = (accepting.clone(), work.clone());
                std::thread::spawn(move || worker.serve(stream, work));
            }
        });
        *worker.accepting.lock().unwrap() = Some(thread);
        worker
    }

    fn serve(self: Arc<Self>, stream: TcpStream, work: Arc<Work>) {
        let from = stream.peer_addr().ok();
        let mut connection = Connection::accepted(stream);
        while let Ok(Some((first, headers))) = connection.read_head() {
            let mut body = Vec::new();
            if connection.read_body(&headers, |part| body.extend_from_slice(part)).is_err() {
                return;
            }
            let mut words = first.split(' ');
            let method = words.next().unwrap_or_default().to_owned();
            let path = words.next().unwrap_or_default().to_owned();
            let request = Received { method, path, headers, body, from };
            let Ok(mut stream) = connection.stream.try_clone() else { return };
            let keeps = match self.refuses(&request) {
                Some(answer) => stream.write_all(answer.as_bytes()).is_ok(),
                None => work(&self, &request, &mut stream),
            };
            if !keeps || self.is_stopped.load(Ordering::SeqCst) {
                let _ = connection.stream.shutdown(std::net::Shutdown::Both);
                return;
            }
        }
    }

    /// Returns the answer to a request that is not run: a health check, or one for another worker.
    fn refuses(&self, request: &Received) -> Option<String> {
        if request.path == "/healthz" {
            return Some(format!(
                "HTTP/1.1 200 OK\r\nX-Instance-Id: {}\r\nContent-Length: 0\r\n\r\n",
                self.id
            ));
        }
        let expected = request.headers.get("x-expect-instance")?;
        (*expected != self.id).then(|| {
            format!(
                "HTTP/1.1 421 Misdirected Request\r\nX-Not-Executed: 1\r\nX-Attempt-Id: {}\r\n\
                 Content-Length: 0\r\n\r\n",
                request.attempt()
            )
        })
    }

    /// Returns the body of the next heartbeat.
    pub fn next_announcement(&self, state: &str) -> String {
        let sequence = self.sequence.fetch_add(1, Ordering::SeqCst) + 1;
        format!(
            "{{\"service\":\"{}\",\"address\":\"{}\",\"zone\":\"zone-a\",\"version\":\"{}\",\
             \"slots\":64,\"state\":\"{state}\",\"cold_remaining_ms\":0,\"sequence\":{sequence},\
             \"born\":{}}}",
            self.service, self.address, self.version, self.born
        )
    }

    /// Sends a heartbeat to the control machines in turn until one acknowledges it.
    pub fn send_announcement(&self, controls: &[SocketAddr], body: &str) -> bool {
        let path = format!("/Instances.Heartbeat/{}", self.id);
        controls.iter().any(|control| {
            let answer = call(*control, "POST", &path, &[], body.as_bytes(), 1_000);
            answer.is_ok_and(|answer| answer.status == 200)
        })
    }

    /// Sends the next heartbeat in the same way.
    pub fn announce(&self, controls: &[SocketAddr], state: &str) -> bool {
        self.send_announcement(controls, &self.next_announcement(state))
    }

    /// Announces itself now and every 1.2 s until it is stopped.
    pub fn keep_announcing(self: &Arc<Self>, controls: Vec<SocketAddr>) {
        let worker = self.clone();
        std::thread::spawn(move || {
            while !worker.is_stopped.load(Ordering::SeqCst) {
                if worker.announces.load(Ordering::SeqCst) {
                    worker.announce(&controls, "ready");
                }
                sleep_ms(1_200);
            }
        });
    }

    /// Crashes: its connections end and new ones are refused.
    pub fn crash(&self) {
        self.is_stopped.store(true, Ordering::SeqCst);
        // Wakes the accepting thread, which drops the listener: new connections are refused.
        let _ = TcpStream::connect_timeout(&self.address, Duration::from_millis(200));
        if let Some(thread) = self.accepting.lock().unwrap().take() {
            let _ = thread.join();
        }
        for stream in self.streams.lock().unwrap().drain(..) {
            let _ = stream.shutdown(std::net::Shutdown::Both);
        }
        self.record.note(format!("worker {} crashes", self.id));
    }

    /// Returns the beginning of a successful answer: status, attempt and signature.
    pub fn head(&self, request: &Received, more: &str) -> String {
        format!(
            "HTTP/1.1 200 OK\r\nX-Attempt-Id: {}\r\nX-Response-Signature: {}.{}\r\n{more}\r\n",
            request.attempt(),
            self.id,
            request.attempt()
        )
    }

    /// Writes a whole answer with a length; returns whether it could be written.
    pub fn answer(&self, request: &Received, stream: &mut TcpStream, body: &str) -> bool {
        let head = self.head(request, &format!("Content-Length: {}\r\n", body.len()));
        stream.write_all(format!("{head}{body}").as_bytes()).is_ok()
    }
}

/// Writes one chunk of a body.
///
/// # Errors
/// Says why it could not be written.
pub fn write_chunk(stream: &mut TcpStream, data: &str) -> std::io::Result<()> {
    stream.write_all(format!("{:x}\r\n{data}\r\n", data.len()).as_bytes())
}
