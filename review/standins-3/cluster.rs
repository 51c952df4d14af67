//! The project's own processes on loopback addresses, started with the commands of the deploy file.

use std::fs::File;
use std::net::Ipv4Addr;
use std::net::SocketAddr;
use std::net::TcpListener;
use std::path::Path;
use std::path::PathBuf;
use std::process::Child;
use std::process::Command;
use std::process::Stdio;
use std::sync::Mutex;

/// The processes that this case started and has not seen end.
static RUNNING: Mutex<Vec<u32>> = Mutex::new(Vec::new());

/// Starts a process and notes it, so that [`end_all`] ends it if nothing else does.
///
/// # Errors
/// Fails if the program is missing.
pub fn spawn(command: &mut Command) -> std::io::Result<Child> {
    let mut running = RUNNING.lock().expect("not poisoned");
    let child = command.spawn()?;
    running.push(child.id());
    Ok(child)
}

/// Kills a process that was started by [`spawn`] and waits for its end.
pub fn end(mut child: Child) {
    let mut running = RUNNING.lock().expect("not poisoned");
    let _ = child.kill();
    let _ = child.wait();
    running.retain(|one| *one != child.id());
}

/// Kills all processes that were started by [`spawn`] and not ended.
pub fn end_all() {
    let running = std::mem::take(&mut *RUNNING.lock().expect("not poisoned"));
    for process in running {
        // Each of them was started by this case and is still its child.
        let _ = Command::new("sh").arg("-c").arg(format!("kill -KILL {process}")).status();
    }
}

/// Bound at the first address of a network while the network is used.
const GUARD_PORT: u16 = 7_379;

/// The first port between nodes.
const FIRST_PORT: u16 = 7_380;

/// Where operators and workers connect.
pub const CONTROL_PORT: u16 = 8_144;

/// Where clients ask for addresses.
const DIRECTORY_PORT: u16 = 8_143;

/// Where clients connect.
pub const FRONT_PORT: u16 = 8_149;

/// Where the platform asks whether a process is ready.
const READY_PORT: u16 = 8_141;

/// The roles of the deploy file.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Role {
    /// Takes clients' requests.
    Entry,
    /// Serves control and directory.
    Core,
    /// Runs on storage machines.
    Journal,
}

impl Role {
    fn word(self) -> &'static str {
        match self {
            Self::Entry => "entry",
            Self::Core => "core",
            Self::Journal => "journal",
        }
    }
}

/// A network `127.a.b.0/24` that no other case on this machine uses.
pub struct Network {
    octets: [u8; 2],
    _guard: TcpListener,
}

impl Network {
    /// Reserves a network; `None` if none is free.
    pub fn reserve() -> Option<Self> {
        let first = std::process::id() as u16;
        let mut candidates = (0..=u16::MAX).map(|n| first.wrapping_add(n).to_be_bytes());
        candidates.find_map(|octets| {
            if octets[0] == 0 {
                return None;
            }
            let ip = Ipv4Addr::new(127, octets[0], octets[1], 1);
            let guard = TcpListener::bind((ip, GUARD_PORT)).ok()?;
            Some(Self { octets, _guard: guard })
        })
    }

    /// Returns an address of the network.
    pub fn address(&self, host: u8) -> Ipv4Addr {
        Ipv4Addr::new(127, self.octets[0], self.octets[1], host)
    }
}

/// One process of the system, with its settings, its data folder and its log.
pub struct Node {
    /// The role that it runs.
    pub role: Role,
    /// The name of the machine in the settings.
    pub name: String,
    /// The address of the machine.
    pub ip: Ipv4Addr,
    zone: String,
    folder: PathBuf,
    tolerated: usize,
    child: Option<Child>,
}

impl Node {
    /// Describes a process that does not run yet. `tolerated` is `fault_tolerance.machines`.
    pub fn new(
        role: Role,
        name: &str,
        ip: Ipv4Addr,
        zone: &str,
        folder: &Path,
        tolerated: usize,
    ) -> Self {
        let (name, zone, folder) = (name.to_owned(), zone.to_owned(), folder.to_owned());
        Self { role, name, ip, zone, folder, tolerated, child: None }
    }

    fn data_dir(&self) -> PathBuf {
        self.folder.join(format!("{}-{}-data", self.name, self.role.word()))
    }

    fn log_file(&self) -> PathBuf {
        self.folder.join(format!("{}-{}.log", self.name, self.role.word()))
    }

    /// Returns where operators and workers connect.
    pub fn control(&self) -> SocketAddr {
        SocketAddr::from((self.ip, CONTROL_PORT))
    }

    /// Returns where clients connect.
    pub fn front(&self) -> SocketAddr {
        SocketAddr::from((self.ip, FRONT_PORT))
    }

    fn settings(&self, seeds: &[SocketAddr], bootstrap: bool) -> String {
        let at = |port: u16| format!("\"{}\"", SocketAddr::from((self.ip, port)));
        let (class, serves, listen) = match self.role {
            Role::Entry => (
                "front",
                "[\"front\"]",
                format!("front = {}\nready = {}\n", at(FRONT_PORT), at(READY_PORT)),
            ),
            Role::Core => (
                "front",
                "[\"control\",\"directory\"]",
                format!("control = {}\ndirectory = {}\n", at(CONTROL_PORT), at(DIRECTORY_PORT)),
            ),
            Role::Journal => ("storage", "[\"storage\"]", String::new()),
        };
        let data = match self.role {
            Role::Entry => String::new(),
            _ => format!("data_dir = \"{}\"\n", self.data_dir().display()),
        };
        let seeds: Vec<String> = seeds.iter().map(|seed| format!("\"{seed}\"")).collect();
        format!(
            "node_name = \"{name}\"\nrole = \"{role}\"\nmachine_class = \"{class}\"\n\
             serves = {serves}\nip = \"{ip}\"\nzone = \"{zone}\"\nregion = \"r\"\n\
             internal_ports = [{first},{last}]\nseeds = [{seeds}]\nbootstrap = {bootstrap}\n\
             in_fault_budget = true\n{data}discovery = \"register\"\nentry = \"directory\"\n\
             heartbeat_ms = 1200\nconfig_mode = \"highest\"\n[listen]\n{listen}\
             [limits]\ncpu_share = 0.45\ncores = 1\nmemory_mb = 110\nmax_fds = 4100\n\
             link_mbps = 1000.0\ndisk_mb = 260\n[fault_tolerance]\nmachines = {tolerated}\n\
             zones = 0\nregions = 0\n[bounds]\nseed_lag_s = 3\naddr_reuse_s = 2\n\
             contact_ms = 3000\nack_ms = 4000\ncatch_up_s = 4\ndrain_ms = 2000\ngrace_s = 8\n\
             loss_slack_ms = 200\nconfig_apply_ms = 2000\ndowngrade_slack_ms = 250\n\
             max_stretch_ms = 5000\nrecover_s = 12\npass_ms = 120\nretry_after_s = 0\n\
             deadline_s = 10\nsettle_ms = 1000\nttl_max_s = 5\n",
            name = self.name,
            role = self.role.word(),
            ip = self.ip,
            zone = self.zone,
            first = FIRST_PORT,
            last = FIRST_PORT + 15,
            seeds = seeds.join(","),
            tolerated = self.tolerated,
        )
    }

    /// Starts the process.
    ///
    /// # Errors
    /// Fails if a file cannot be written or the program is missing.
    pub fn start(&mut self, seeds: &[SocketAddr], bootstrap: bool) -> std::io::Result<()> {
        let settings = self.folder.join(format!("{}-{}.toml", self.name, self.role.word()));
        std::fs::write(&settings, self.settings(seeds, bootstrap))?;
        let log = File::options().create(true).append(true).open(self.log_file())?;
        let mut command = Command::new("target/release/cgw-platform");
        command.arg(self.role.word()).env("CORIANDERGW_SETTINGS", settings);
        command.stdin(Stdio::null()).stderr(log.try_clone()?).stdout(log);
        self.child = Some(spawn(&mut command)?);
        Ok(())
    }

    /// Kills the process at once and waits for its end.
    pub fn kill(&mut self) {
        if let Some(child) = self.child.take() {
            end(child);
        }
    }
}

impl Drop for Node {
    fn drop(&mut self) {
        self.kill();
    }
}

/// A folder for the files of a case, removed when it is dropped unless `KEEP` is set.
pub struct Folder(pub PathBuf);

impl Folder {
    /// Creates an empty folder.
    ///
    /// # Errors
    /// Fails if the folder cannot be created.
    pub fn create() -> std::io::Result<Self> {
        let path = std::env::temp_dir().join(format!("review-3-{}", std::process::id()));
        std::fs::create_dir_all(&path)?;
        Ok(Self(path))
    }
}

impl Drop for Folder {
    fn drop(&mut self) {
        if std::env::var_os("KEEP").is_none() {
            let _ = std::fs::remove_dir_all(&self.0);
        }
    }
}
