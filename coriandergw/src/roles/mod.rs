//! The processes of the entry path: entry, core, directory and journal.
//!
//! Each role runs as one process. Processes discover each other through the seed addresses, which
//! are those of core or directory instances.

use std::net::IpAddr;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::sync::Arc;
use std::time::Duration;

use derive_more::Display;
use derive_more::Error;
use tokio::task::JoinSet;

use crate::account_limits::LimitTolerance;
use crate::clock::Clock;
use crate::clock::SystemClock;
use crate::context::Context;
use crate::events::EventNumber;
use crate::events::Recorder;
use crate::events::Subject;
use crate::ids::DataCentre;
use crate::ids::InstanceName;
use crate::log_groups::node::LogStartError;
use crate::memory::MachineLimits;
use crate::memory::shared::MemoryBudget;
use crate::metrics::Metrics;
use crate::roster::GroupStatus;
use crate::roster::Presence;
use crate::roster::Role;
use crate::roster::poller::Roster;
use crate::storage::Disk;
use crate::storage::StorageError;
use crate::storage::file_disk::FileDisk;
use crate::storage::identity::Identity;
use crate::supervision;
use crate::supervision::TaskFailure;
use crate::transport::Transport;
use crate::transport::tcp::TcpTransport;

pub mod core;
pub mod directory;
pub mod entry;
pub mod founders;
pub mod journal;
mod last_config;

/// Cluster name stored in data folders and sent in messages of the replicated log.
const CLUSTER: &str = "coriandergw";

/// Maximum number of events that a process keeps in memory, sized for small machines.
const MAX_RECORDED_EVENTS: usize = 2_000;

/// Interval between checks for a stall of this process.
const STALL_CHECK_INTERVAL: Duration = Duration::from_millis(500);

/// Longest delay that is not reported, in milliseconds. After a longer one, other instances
/// consider this instance silent.
const STALL_THRESHOLD_MS: u64 = 400;

/// Offset of the port for relayed connections, after those of the roles.
const RELAY_PORT_OFFSET: u16 = 3;

/// Settings shared by all processes of the entry path.
#[derive(Debug, Clone, PartialEq)]
pub struct ProcessSettings {
    /// Name that the operator gave to the machine.
    pub node: Arc<str>,
    /// Data centre in which the process runs.
    pub data_centre: DataCentre,
    /// IP address of the machine, on which it listens for traffic from other instances.
    pub ip: IpAddr,
    /// First port for traffic between instances; each role adds its own offset.
    pub first_port: u16,
    /// Addresses of the core or directory instances to contact first.
    pub seeds: Vec<IpAddr>,
    /// Folder for persistent files; required for the core and journal roles. Without one, a
    /// directory instance takes the place of a core instance.
    pub data_folder: Option<PathBuf>,
    /// Whether the whole system is being started for the first time, with empty disks.
    pub is_first_start: bool,
    /// Number of instances with a disk that may fail at the same time.
    pub tolerated_losses: usize,
    /// Bytes of the disk that kept turns may take.
    pub kept_turns_max_bytes: u64,
    /// Time without a message after which an endpoint receives no more requests.
    pub endpoint_silence: Duration,
    /// Address for callers' connections, if this process accepts any.
    pub caller_address: Option<SocketAddr>,
    /// Period after the start in which requests may wait for the configuration and for endpoints.
    pub warm_up: Duration,
    /// By how much the requests of a client account may exceed its limit.
    pub limit_tolerance: LimitTolerance,
    /// What the machine gives to this process.
    pub limits: MachineLimits,
}

impl ProcessSettings {
    /// Returns the port of a role, which is the same on all machines.
    fn port(&self, role: Role) -> u16 {
        let offset = match role {
            // A directory instance takes the place of a core instance on a machine without a disk.
            Role::Core | Role::Directory => 0,
            Role::Entry => 1,
            Role::Journal => 2,
        };
        self.first_port + offset
    }

    /// Returns the port at which an entry instance relays connections to endpoints.
    fn relay_port(&self) -> u16 {
        self.first_port + RELAY_PORT_OFFSET
    }

    /// Returns the addresses of the instances whose roster is polled first.
    fn seed_addresses(&self) -> Vec<SocketAddr> {
        let port = self.port(Role::Core);
        self.seeds.iter().map(|ip| SocketAddr::new(*ip, port)).collect()
    }

    /// Returns the target number of voters of a group: enough to keep a majority after the
    /// tolerated losses.
    fn voters_wanted(&self) -> usize {
        2 * self.tolerated_losses + 1
    }
}

/// Reason why a process could not start.
#[derive(Debug)]
#[derive(Display, Error)]
pub enum StartError {
    /// An address could not be bound.
    #[display("address {address} could not be bound: {cause}")]
    Bind {
        /// Address that was to be bound.
        address: SocketAddr,
        /// Error of the operating system.
        cause: std::io::Error,
    },
    /// A file in the data folder could not be read or written.
    #[display("{cause}")]
    Storage {
        /// Error of the storage layer.
        cause: StorageError,
    },
    /// The data folder could not be opened.
    #[display("data folder {} could not be opened: {cause}", folder.display())]
    Folder {
        /// Path of the data folder.
        folder: PathBuf,
        /// Error of the operating system.
        cause: std::io::Error,
    },
    /// The role needs a data folder and none is set.
    #[display("this role needs a data folder")]
    NoDisk,
    /// The log could not start.
    #[display("{cause}")]
    Log {
        /// Error of the log node.
        cause: LogStartError,
    },
    /// The metrics could not be set up.
    #[display("{cause}")]
    Metrics {
        /// Error of the metrics library.
        cause: prometheus::Error,
    },
    /// A background task ended while the process waited for others.
    #[display("{cause}")]
    Task {
        /// The task and why it ended.
        cause: TaskFailure,
    },
    /// The settings do not give a valid instance name.
    #[display("{cause}")]
    Name {
        /// Rule for names that was violated.
        cause: crate::ids::NameError,
    },
}

impl From<StorageError> for StartError {
    fn from(cause: StorageError) -> Self {
        Self::Storage { cause }
    }
}

impl From<LogStartError> for StartError {
    fn from(cause: LogStartError) -> Self {
        Self::Log { cause }
    }
}

/// Parts that the processes of all roles have in common.
pub struct ProcessParts {
    /// Context passed to every feature: identity, clock, events and metrics.
    pub cx: Context,
    /// Sends messages to other instances and receives theirs.
    pub transport: Arc<dyn Transport>,
    /// This instance's view of the other instances.
    pub roster: Arc<Roster>,
    /// Background tasks, aborted when this value is dropped.
    tasks: JoinSet<()>,
}

impl ProcessParts {
    /// Starts the parts that all roles have in common.
    ///
    /// # Errors
    /// Fails if the address for traffic between instances cannot be bound or the metrics cannot be
    /// set up.
    async fn start(
        settings: &ProcessSettings,
        role: Role,
        name: InstanceName,
    ) -> Result<Self, StartError> {
        let clock: Arc<dyn Clock> = Arc::new(SystemClock::default());
        let events = Recorder::new(name.clone(), clock.clone())
            .keep_at_most(MAX_RECORDED_EVENTS)
            .limit_lines();
        let metrics = Metrics::new().map_err(|cause| StartError::Metrics { cause })?;
        let cx = Context {
            instance: name.clone(),
            data_centre: settings.data_centre.clone(),
            clock: clock.clone(),
            events: Arc::new(events),
            metrics: Arc::new(metrics),
            memory: Arc::new(MemoryBudget::new(settings.limits)),
            supervisor: Arc::default(),
        };
        cx.memory.report_to(cx.metrics.clone(), cx.events.clone());
        let address = SocketAddr::new(settings.ip, settings.port(role));
        let transport = TcpTransport::start(&cx, address)
            .await
            .map_err(|cause| StartError::Bind { address, cause })?;
        let presence = Presence {
            name,
            role,
            data_centre: settings.data_centre.clone(),
            node: settings.node.clone(),
            caller_address: settings.caller_address,
            ready: false,
            leaving: false,
            started_ms: clock.wall().0,
            group: GroupStatus::default(),
            is_founder: settings.is_first_start,
            watchers: Vec::new(),
            relay_address: None,
            lost_endpoints: false,
            holds_turns: false,
        };
        let roster = Roster::new(cx.clone(), presence);
        let mut base = Self { cx, transport, roster, tasks: JoinSet::new() };
        base.spawn("report stalls", report_stalls(base.cx.clone()));
        Ok(base)
    }

    /// Starts the task that polls the roster of the core instances.
    fn start_polling(&mut self, settings: &ProcessSettings) {
        let (transport, seeds) = (self.transport.clone(), settings.seed_addresses());
        self.spawn("poll the roster", self.roster.clone().run(transport, seeds));
    }

    /// Starts a task that has to run until the process stops.
    fn spawn<F>(&mut self, task: &'static str, future: F)
    where
        F: Future<Output = ()> + Send + 'static,
    {
        self.tasks.spawn(supervision::essential(self.cx.clone(), task, future));
    }

    /// Starts a task that returns when its work is done.
    fn spawn_finite<F>(&mut self, task: &'static str, future: F)
    where
        F: Future<Output = ()> + Send + 'static,
    {
        self.tasks.spawn(supervision::finite(self.cx.clone(), task, future));
    }
}

/// Reports when this process was stalled: suspended, short of CPU time, or blocked by a disk.
async fn report_stalls(cx: Context) {
    let mut checked_at = cx.clock.wall().0;
    loop {
        tokio::time::sleep(STALL_CHECK_INTERVAL).await;
        let now = cx.clock.wall().0;
        // Wall-clock time includes periods of suspension, which the monotonic clock leaves out.
        let late_ms = now.saturating_sub(checked_at + STALL_CHECK_INTERVAL.as_millis() as u64);
        checked_at = now;
        if late_ms > STALL_THRESHOLD_MS {
            let detail = format!("late_ms={late_ms}");
            cx.events.record(EventNumber::ProcessStalled, Subject::default(), detail);
        }
    }
}

fn open_disk(settings: &ProcessSettings) -> Result<Arc<dyn Disk>, StartError> {
    let folder = settings.data_folder.clone().ok_or(StartError::NoDisk)?;
    match FileDisk::open(&folder) {
        Ok(disk) => Ok(Arc::new(disk)),
        Err(cause) => Err(StartError::Folder { folder, cause }),
    }
}

/// Returns the instance name stored on the disk, or the name of a new incarnation if it is empty.
///
/// On the first start of the system the name is derived from the address, so that other instances
/// can derive it too. Every later incarnation gets a random name, so that an instance that lost its
/// disk is not mistaken for its predecessor.
fn load_or_create_name(
    settings: &ProcessSettings,
    role: Role,
    disk: &dyn Disk,
) -> Result<InstanceName, StartError> {
    if let Some(identity) = Identity::read(disk)? {
        return Ok(identity.instance);
    }
    let address = SocketAddr::new(settings.ip, settings.port(role));
    match settings.is_first_start {
        true => founders::first_name(address),
        false => instance_name(address, &format!("{:08x}", rand::random::<u32>() | 1)),
    }
}

fn instance_name(address: SocketAddr, incarnation: &str) -> Result<InstanceName, StartError> {
    let name = InstanceName::try_from(format!("{address}/{incarnation}"));
    name.map_err(|cause| StartError::Name { cause })
}

#[cfg(test)]
mod tests;
