//! The processes of the entry path: entry, core and journal.
//!
//! Each role is one process. They find each other from the addresses of the first core instances.

use std::net::IpAddr;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::sync::Arc;
use std::time::Duration;

use derive_more::Display;
use derive_more::Error;
use tokio::task::JoinSet;

use crate::clock::Clock;
use crate::clock::SystemClock;
use crate::context::Context;
use crate::events::EventNumber;
use crate::events::Recorder;
use crate::events::Subject;
use crate::ids::DataCentre;
use crate::ids::InstanceName;
use crate::log_groups::node::LogStartError;
use crate::metrics::Metrics;
use crate::roster::GroupStatus;
use crate::roster::Presence;
use crate::roster::Role;
use crate::roster::poller::Roster;
use crate::storage::Disk;
use crate::storage::StorageError;
use crate::storage::file_disk::FileDisk;
use crate::storage::identity::Identity;
use crate::transport::Transport;
use crate::transport::tcp::TcpTransport;

pub mod core;
pub mod entry;
pub mod founders;
pub mod journal;
mod last_config;

/// The name that data folders and messages of the log carry.
const CLUSTER: &str = "coriandergw";

/// The events that a process keeps in memory; its machine may be small.
const KEPT_EVENTS: usize = 2_000;

/// How often a process looks whether it stood still.
const STALL_LOOK: Duration = Duration::from_millis(500);

/// A delay beyond this is reported, in milliseconds: others find an instance silent by then.
const STALL_REPORT_MS: u64 = 400;

/// What a process of the entry path needs to know.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ProcessSettings {
    /// The operator's name of the machine.
    pub node: Arc<str>,
    /// The data centre.
    pub data_centre: DataCentre,
    /// The address of the machine.
    pub ip: IpAddr,
    /// The first of the ports between instances; each role has its own.
    pub first_port: u16,
    /// Core instances to ask first.
    pub seeds: Vec<IpAddr>,
    /// Where a role with a disk keeps its files.
    pub data_folder: Option<PathBuf>,
    /// Whether the whole system starts for the first time, with empty disks.
    pub is_first_start: bool,
    /// The instances with a disk that may be lost at once.
    pub tolerated_losses: usize,
    /// After this silence an endpoint gets no work.
    pub endpoint_silence: Duration,
    /// Where callers connect, if this process takes any.
    pub caller_address: Option<SocketAddr>,
    /// How long after the start requests may wait for the configuration and for endpoints.
    pub warm_up: Duration,
}

impl ProcessSettings {
    /// Returns the port of a role, the same on all machines.
    fn port(&self, role: Role) -> u16 {
        let offset = match role {
            Role::Core => 0,
            Role::Entry => 1,
            Role::Journal => 2,
        };
        self.first_port + offset
    }

    /// Returns where the roster of the core instances is polled first.
    fn seed_addresses(&self) -> Vec<SocketAddr> {
        let port = self.port(Role::Core);
        self.seeds.iter().map(|ip| SocketAddr::new(*ip, port)).collect()
    }

    /// Returns the wanted number of voters of a group: as many as it takes to outlive the losses.
    fn voters_wanted(&self) -> usize {
        2 * self.tolerated_losses + 1
    }
}

/// Says why a process could not start.
#[derive(Debug)]
#[derive(Display, Error)]
pub enum StartError {
    /// An address could not be bound.
    #[display("address {address} could not be bound: {cause}")]
    Bind {
        /// The address.
        address: SocketAddr,
        /// Why not.
        cause: std::io::Error,
    },
    /// The data folder could not be used.
    #[display("{cause}")]
    Storage {
        /// Why not.
        cause: StorageError,
    },
    /// The data folder could not be opened.
    #[display("data folder {} could not be opened: {cause}", folder.display())]
    Folder {
        /// The folder.
        folder: PathBuf,
        /// Why not.
        cause: std::io::Error,
    },
    /// The role needs a disk and has none.
    #[display("this role needs a data folder")]
    NoDisk,
    /// The log could not start.
    #[display("{cause}")]
    Log {
        /// Why not.
        cause: LogStartError,
    },
    /// The metrics could not be set up.
    #[display("{cause}")]
    Metrics {
        /// Why not.
        cause: prometheus::Error,
    },
    /// A name could not be made from the settings.
    #[display("{cause}")]
    Name {
        /// Why not.
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

/// What every process has.
pub struct ProcessParts {
    /// What each feature is given first.
    pub cx: Context,
    /// Reaches other instances.
    pub transport: Arc<dyn Transport>,
    /// What is known of the others.
    pub roster: Arc<Roster>,
    /// What runs in the background; ends with the process.
    tasks: JoinSet<()>,
}

impl ProcessParts {
    /// Starts what all roles have in common.
    ///
    /// # Errors
    /// Fails if the address between instances cannot be bound.
    async fn start(
        settings: &ProcessSettings,
        role: Role,
        name: InstanceName,
    ) -> Result<Self, StartError> {
        let clock: Arc<dyn Clock> = Arc::new(SystemClock::default());
        let events =
            Recorder::new(name.clone(), clock.clone()).keep_at_most(KEPT_EVENTS).limit_lines();
        let metrics = Metrics::new().map_err(|cause| StartError::Metrics { cause })?;
        let cx = Context {
            instance: name.clone(),
            data_centre: settings.data_centre.clone(),
            clock: clock.clone(),
            events: Arc::new(events),
            metrics: Arc::new(metrics),
        };
        let address = SocketAddr::new(settings.ip, settings.port(role));
        let transport = TcpTransport::start(name.clone(), address)
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
        };
        let roster = Roster::new(cx.clone(), presence);
        let mut tasks = JoinSet::new();
        tasks.spawn(notice_stalls(cx.clone()));
        Ok(Self { cx, transport, roster, tasks })
    }

    fn poll(&mut self, settings: &ProcessSettings) {
        let (transport, seeds) = (self.transport.clone(), settings.seed_addresses());
        self.tasks.spawn(self.roster.clone().run(transport, seeds));
    }
}

/// Reports when this process did not run for long: frozen, starved, or held up by a disk.
async fn notice_stalls(cx: Context) {
    let mut looked_at = cx.clock.wall().0;
    loop {
        tokio::time::sleep(STALL_LOOK).await;
        let now = cx.clock.wall().0;
        // The time of day also counts what a suspended machine's steady clock leaves out.
        let late_ms = now.saturating_sub(looked_at + STALL_LOOK.as_millis() as u64);
        looked_at = now;
        if late_ms > STALL_REPORT_MS {
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

/// Returns the name that the disk belongs to, or that of a new incarnation if it is empty.
///
/// The first incarnation of all is the same for all who know its address; each later one is new, so
/// that nobody takes an instance that lost its disk for the one before.
fn name_on_disk(
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
        false => name_of(address, &format!("{:08x}", rand::random::<u32>() | 1)),
    }
}

fn name_of(address: SocketAddr, incarnation: &str) -> Result<InstanceName, StartError> {
    let name = InstanceName::try_from(format!("{address}/{incarnation}"));
    name.map_err(|cause| StartError::Name { cause })
}

#[cfg(test)]
mod tests;
