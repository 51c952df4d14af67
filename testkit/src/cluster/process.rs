//! One process of the shipped binary.

use std::fs::File;
use std::net::IpAddr;
use std::net::Ipv4Addr;
use std::net::SocketAddr;
use std::path::Path;
use std::process::ExitStatus;
use std::process::Stdio;

use rustix::process::Pid;
use rustix::process::Signal;
use rustix::process::WaitId;
use rustix::process::WaitIdOptions;
use rustix::process::waitid;
use tokio::io::AsyncBufReadExt;
use tokio::io::BufReader;
use tokio::process::Child;
use tokio::process::Command;

use crate::cluster::binary;
use crate::wait;

/// Stands for the peer address of a process without one.
const NO_PEERS: SocketAddr = SocketAddr::new(IpAddr::V4(Ipv4Addr::UNSPECIFIED), 0);

/// Where a started process listens.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Listening {
    /// For callers.
    pub callers: SocketAddr,
    /// For other instances.
    pub peers: SocketAddr,
}

/// A running process; dropping it kills it.
#[derive(Debug)]
pub struct Process {
    child: Child,
    /// Where it listens.
    pub listening: Listening,
}

impl Process {
    /// Starts an instance and waits until it says where it listens; its log goes to `log`.
    ///
    /// # Panics
    /// Panics if the process cannot be started or does not say where it listens.
    pub async fn start(settings: &Path, log: &Path) -> Self {
        let mut command = Command::new(binary::path());
        command.arg("run").arg(settings);
        Self::start_command(command, log, true).await
    }

    /// Starts `coriandergw dev` on a port of the system's choice.
    ///
    /// # Panics
    /// Panics as [`Process::start`] does.
    pub async fn start_dev(log: &Path) -> Self {
        let mut command = Command::new(binary::path());
        command.args(["dev", "--listen", "127.0.0.1:0"]);
        Self::start_command(command, log, false).await
    }

    async fn start_command(mut command: Command, log: &Path, has_peers: bool) -> Self {
        let log_file = File::options().create(true).append(true).open(log).expect("a log file");
        let mut child = command
            .stdin(Stdio::null())
            .stdout(Stdio::piped())
            .stderr(log_file)
            .kill_on_drop(true)
            .spawn()
            .expect("the binary can be started");
        let stdout = child.stdout.take().expect("stdout is piped");
        let reading = read_listening(stdout, log, has_peers);
        let listening = tokio::time::timeout(wait::LIMIT, reading).await;
        let listening = listening.expect("the process says in time where it listens");
        Self { child, listening }
    }

    /// Returns the process id.
    pub fn id(&self) -> u32 {
        self.child.id().unwrap_or(0)
    }

    /// Sends a signal to the process.
    pub fn signal(&self, signal: Signal) {
        let pid = self.child.id().and_then(|id| Pid::from_raw(id as i32));
        if let Some(pid) = pid {
            let _ = rustix::process::kill_process(pid, signal);
        }
    }

    /// Freezes the process and waits until all of its threads stand still.
    ///
    /// # Panics
    /// Panics if they do not in time.
    pub async fn freeze(&self) {
        self.signal(Signal::STOP);
        wait::until("the process stands still", || self.stands_still()).await;
    }

    fn stands_still(&self) -> bool {
        let pid = self.child.id().and_then(|id| Pid::from_raw(id as i32));
        // The status is left for whoever waits for the end of the process.
        let options = WaitIdOptions::STOPPED | WaitIdOptions::NOWAIT | WaitIdOptions::NOHANG;
        let status = pid.and_then(|pid| waitid(WaitId::Pid(pid), options).ok().flatten());
        status.is_some_and(|status| status.stopped())
    }

    /// Kills the process at once and waits for its end.
    pub async fn kill(&mut self) {
        let _ = self.child.kill().await;
    }

    /// Waits for the process to end by itself.
    ///
    /// # Panics
    /// Panics if it does not end in time.
    pub async fn ended(&mut self) -> ExitStatus {
        let ended = tokio::time::timeout(wait::LIMIT, self.child.wait()).await;
        ended.expect("the process ends in time").expect("the process can be waited for")
    }
}

async fn read_listening<R>(stdout: R, log: &Path, has_peers: bool) -> Listening
where
    R: tokio::io::AsyncRead + Unpin + Send + 'static,
{
    let mut lines = BufReader::new(stdout).lines();
    let mut callers = None;
    // One instance by itself has no port for peers.
    let mut peers = (!has_peers).then_some(NO_PEERS);
    loop {
        if let (Some(callers), Some(peers)) = (callers, peers) {
            // Goes on reading, so that a full pipe never blocks the process.
            tokio::spawn(async move { while let Ok(Some(_)) = lines.next_line().await {} });
            return Listening { callers, peers };
        }
        let Ok(Some(line)) = lines.next_line().await else {
            let text = std::fs::read_to_string(log).unwrap_or_default();
            panic!("the process ended before it listened; its log:\n{text}");
        };
        callers = callers.or_else(|| line.split_once(" listens on http://")?.1.parse().ok());
        peers = peers.or_else(|| line.split_once(" peers at ")?.1.parse().ok());
    }
}
