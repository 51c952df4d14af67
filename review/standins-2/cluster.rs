//! The project's own programs as separate processes, each on a loopback address of its own.

use std::fs;
use std::fs::File;
use std::io;
use std::net::Ipv4Addr;
use std::net::SocketAddr;
use std::net::TcpListener;
use std::path::Path;
use std::path::PathBuf;
use std::process::Child;
use std::process::Command;
use std::process::Stdio;
use std::time::Duration;
use std::time::Instant;

use crate::http;

/// The ports of every machine, as the settings name them.
const INTERNAL_PORTS: (u16, u16) = (7_380, 7_395);
const READY_PORT: u16 = 8_141;
const DIRECTORY_PORT: u16 = 8_143;
const CONTROL_PORT: u16 = 8_144;
const FRONT_PORT: u16 = 8_149;

/// A port that is held at the first address of a network while the network is in use.
const GUARD_PORT: u16 = 7_379;

/// The variable that holds the path of the settings file.
const SETTINGS_VARIABLE: &str = "CORIANDERGW_SETTINGS";

/// What the settings of a deployment state; the sheet of the site has the figures.
#[derive(Debug, Clone, Copy)]
pub struct Sheet {
    /// The machines with a disk that may be lost at once.
    pub tolerated: usize,
    /// The memory of a machine of callers, in megabytes.
    pub front_memory_mb: u64,
    /// The memory of a store machine, in megabytes.
    pub store_memory_mb: u64,
    /// The disk of a store machine, in megabytes.
    pub store_disk_mb: u64,
}

/// One process, its settings, its data folder and its output.
pub struct Process {
    /// The name of the machine.
    pub node: String,
    role: &'static str,
    /// The address of the machine.
    pub ip: Ipv4Addr,
    zone: String,
    folder: PathBuf,
    child: Option<Child>,
}

impl Process {
    /// Returns where operators and workers call.
    pub fn control(&self) -> SocketAddr {
        SocketAddr::from((self.ip, CONTROL_PORT))
    }

    /// Returns where clients connect.
    pub fn front(&self) -> SocketAddr {
        SocketAddr::from((self.ip, FRONT_PORT))
    }

    fn data_folder(&self) -> PathBuf {
        self.folder.join(format!("{}-{}-data", self.node, self.role))
    }

    fn output_file(&self) -> PathBuf {
        self.folder.join(format!("{}-{}.out", self.node, self.role))
    }

    fn settings(&self, seeds: &[SocketAddr], is_first_start: bool, sheet: Sheet) -> String {
        let seeds: Vec<String> = seeds.iter().map(|seed| format!("\"{seed}\"")).collect();
        let (class, memory_mb, disk_mb) = match self.role {
            "journal" => ("storage", sheet.store_memory_mb, sheet.store_disk_mb),
            _ => ("front", sheet.front_memory_mb, 64),
        };
        let listen = match self.role {
            "entry" => format!(
                "front = \"{ip}:{FRONT_PORT}\"\nready = \"{ip}:{READY_PORT}\"\n",
                ip = self.ip
            ),
            "core" => format!(
                "control = \"{ip}:{CONTROL_PORT}\"\ndirectory = \"{ip}:{DIRECTORY_PORT}\"\n",
                ip = self.ip
            ),
            _ => String::new(),
        };
        let data = match self.role {
            "entry" => String::new(),
            _ => format!("data_dir = \"{}\"\n", self.data_folder().display()),
        };
        format!(
            "node_name = \"{node}\"\nrole = \"{role}\"\nmachine_class = \"{class}\"\nip = \"{ip}\"\n\
             zone = \"{zone}\"\nregion = \"region\"\ninternal_ports = [{first},{last}]\n\
             seeds = [{seeds}]\nbootstrap = {is_first_start}\nin_fault_budget = true\n{data}\
             discovery = \"register\"\nentry = \"directory\"\nheartbeat_ms = 1200\n\
             config_mode = \"highest\"\n[listen]\n{listen}[limits]\ncores = 1\n\
             memory_mb = {memory_mb}\nmax_fds = 4100\ndisk_mb = {disk_mb}\n[fault_tolerance]\n\
             machines = {tolerated}\nzones = 0\nregions = 0\n[bounds]\ncontact_ms = 3000\n\
             catch_up_s = 4\ndrain_ms = 2000\ngrace_s = 8\nrecover_s = 12\n",
            node = self.node,
            role = self.role,
            ip = self.ip,
            zone = self.zone,
            first = INTERNAL_PORTS.0,
            last = INTERNAL_PORTS.1,
            seeds = seeds.join(","),
            tolerated = sheet.tolerated,
        )
    }

    fn start(
        &mut self,
        seeds: &[SocketAddr],
        is_first_start: bool,
        sheet: Sheet,
    ) -> io::Result<()> {
        let settings = self.folder.join(format!("{}-{}.toml", self.node, self.role));
        fs::write(&settings, self.settings(seeds, is_first_start, sheet))?;
        let output = File::options().create(true).append(true).open(self.output_file())?;
        let mut command = Command::new("target/release/cgw-platform");
        let path = std::env::var_os("PATH").unwrap_or_default();
        command.arg(self.role).env_clear().env("PATH", path).env(SETTINGS_VARIABLE, settings);
        command.stdin(Stdio::null()).stderr(output.try_clone()?).stdout(output);
        self.child = Some(command.spawn()?);
        Ok(())
    }

    /// Returns whether the process has not ended by itself.
    pub fn is_running(&mut self) -> bool {
        self.child.as_mut().is_some_and(|child| matches!(child.try_wait(), Ok(None)))
    }

    /// Kills the process with SIGKILL and waits for its end.
    pub fn kill(&mut self) {
        if let Some(mut child) = self.child.take() {
            let _ = child.kill();
            let _ = child.wait();
        }
    }

    /// Returns the most memory that the running process has had resident, in bytes.
    pub fn peak_memory(&self) -> Option<u64> {
        let id = self.child.as_ref()?.id();
        let status = fs::read_to_string(format!("/proc/{id}/status")).ok()?;
        let line = status.lines().find_map(|line| line.strip_prefix("VmHWM:"))?;
        let kilobytes: u64 = line.trim().trim_end_matches("kB").trim().parse().ok()?;
        Some(kilobytes * 1024)
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        self.kill();
    }
}

/// A deployment; dropping it ends its processes and removes its files.
pub struct Cluster {
    /// The core processes; the first three are the seeds.
    pub core: Vec<Process>,
    /// The journal processes.
    pub journal: Vec<Process>,
    /// The entry processes.
    pub entry: Vec<Process>,
    /// The first two numbers of the network after 127.
    octets: [u8; 2],
    seeds: Vec<SocketAddr>,
    folder: PathBuf,
    _guard: TcpListener,
}

fn reserve_network() -> io::Result<([u8; 2], TcpListener)> {
    let first = std::process::id() as u16;
    for n in 0..=u16::MAX {
        let octets = first.wrapping_add(n).to_be_bytes();
        if octets[0] == 0 {
            continue;
        }
        let ip = Ipv4Addr::new(127, octets[0], octets[1], 1);
        if let Ok(guard) = TcpListener::bind((ip, GUARD_PORT)) {
            return Ok((octets, guard));
        }
    }
    Err(io::Error::other("no network is free"))
}

impl Cluster {
    /// Starts all processes at once; `counts` are those of core, journal and entry. Files are kept in
    /// a folder of its own below `base`.
    ///
    /// # Errors
    /// Fails if a process cannot be started.
    pub fn start(base: &Path, counts: [usize; 3], sheet: Sheet) -> io::Result<Self> {
        let (octets, guard) = reserve_network()?;
        let folder = base.join(format!("cgw-review-{}", std::process::id()));
        fs::create_dir_all(&folder)?;
        let mut host = 1;
        let mut prepare = |role: &'static str, class: &str, count: usize| -> Vec<Process> {
            let one = |number: usize| {
                host += 1;
                Process {
                    node: format!("{class}-{number}"),
                    role,
                    ip: Ipv4Addr::new(127, octets[0], octets[1], host),
                    zone: format!("zone-{}", number % 3),
                    folder: folder.clone(),
                    child: None,
                }
            };
            (0..count).map(one).collect()
        };
        let core = prepare("core", "front-core", counts[0]);
        let journal = prepare("journal", "storage", counts[1]);
        let entry = prepare("entry", "front", counts[2]);
        let seeds = core.iter().take(3).map(Process::control).collect();
        let mut cluster = Self { core, journal, entry, octets, seeds, folder, _guard: guard };
        let all = cluster.core.iter_mut().chain(&mut cluster.journal).chain(&mut cluster.entry);
        for process in all {
            process.start(&cluster.seeds, true, sheet)?;
        }
        Ok(cluster)
    }

    /// Returns an address of this network for a stand-in.
    pub fn stand_in_ip(&self, number: u8) -> Ipv4Addr {
        Ipv4Addr::new(127, self.octets[0], self.octets[1], 100 + number)
    }

    /// Returns where operators and workers call.
    pub fn controls(&self) -> Vec<SocketAddr> {
        self.core.iter().map(Process::control).collect()
    }

    /// Sends a configuration until it is acknowledged.
    ///
    /// # Errors
    /// Fails if that takes longer than `limit`.
    pub fn configure(&self, document: &str, limit: Duration) -> io::Result<()> {
        let started = Instant::now();
        for control in self.controls().iter().cycle() {
            let timeout = Duration::from_secs(1);
            let sent =
                http::call(*control, "POST /Config.Replace", &[], document.as_bytes(), timeout);
            match sent {
                Ok(answer) if answer.status() == 200 => return Ok(()),
                Ok(answer) if answer.status() == 400 => {
                    return Err(io::Error::other(String::from_utf8_lossy(&answer.body)));
                }
                _ if started.elapsed() > limit => break,
                _ => std::thread::sleep(Duration::from_millis(100)),
            }
        }
        Err(io::Error::other("no configuration was acknowledged in time"))
    }

    /// Waits until every entry process says that it is ready.
    ///
    /// # Errors
    /// Fails if that takes longer than `limit`.
    pub fn wait_ready(&self, limit: Duration) -> io::Result<()> {
        let started = Instant::now();
        for entry in &self.entry {
            let ready = SocketAddr::from((entry.ip, READY_PORT));
            let is_ready = || {
                let answer = http::call(ready, "GET /readyz", &[], &[], Duration::from_secs(1));
                answer.is_ok_and(|answer| answer.status() == 200)
            };
            while !is_ready() {
                if started.elapsed() > limit {
                    return Err(io::Error::other(format!("{} is not ready in time", entry.node)));
                }
                std::thread::sleep(Duration::from_millis(100));
            }
        }
        Ok(())
    }
}

impl Drop for Cluster {
    fn drop(&mut self) {
        for process in self.core.iter_mut().chain(&mut self.journal).chain(&mut self.entry) {
            process.kill();
        }
        if std::env::var_os("KEEP_FILES").is_none() {
            let _ = fs::remove_dir_all(&self.folder);
        }
    }
}
