//! A proxy for TCP and UDP that injects faults into each direction of a link.
//!
//! A proxy keeps its own port while its target and its faults change, so that a process restarted
//! on another port is reached again at the same address.

use std::net::Ipv4Addr;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::time::Duration;

use rand::Rng;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;
use serde::Deserialize;
use serde::Serialize;
use tokio::net::TcpListener;
use tokio::net::UdpSocket;
use tokio::sync::watch;
use tokio::task::JoinHandle;

mod tcp;
mod udp;

#[cfg(test)]
mod tests;

/// The faults of one direction.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
#[derive(Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Faults {
    /// How long everything is held up, in milliseconds.
    pub delay_ms: u64,
    /// The most that is added to the delay at random, in milliseconds.
    pub jitter_ms: u64,
    /// The share of packets that are lost, from 0 to 1; UDP only.
    pub loss: f64,
    /// The share of packets that are sent twice, from 0 to 1; UDP only.
    pub duplication: f64,
    /// Nothing passes and nobody is told. TCP bytes wait until this ends; UDP packets are lost.
    pub blocked: bool,
    /// Both sides of a connection are closed after this many bytes; TCP only.
    pub cut_after_bytes: Option<u64>,
    /// The sender's close is not passed on; TCP only.
    pub half_open: bool,
    /// The receiver takes no more than this many bytes a second; TCP only.
    pub bytes_per_second: Option<u64>,
}

impl Faults {
    /// Returns a silent partition.
    pub fn blocked() -> Self {
        Self { blocked: true, ..Self::default() }
    }
}

/// A direction of a link.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Direction {
    /// From the side that connects to the target.
    ToTarget,
    /// From the target to the side that connects.
    ToCaller,
}

/// What a proxy does at the moment.
#[derive(Debug, Clone, Copy, PartialEq)]
struct Plan {
    target: SocketAddr,
    to_target: Faults,
    to_caller: Faults,
    /// Connections made under a lower number are closed.
    generation: u64,
}

impl Plan {
    fn faults(&self, direction: Direction) -> Faults {
        match direction {
            Direction::ToTarget => self.to_target,
            Direction::ToCaller => self.to_caller,
        }
    }
}

/// What the tasks of a proxy share.
struct Shared {
    plan: watch::Sender<Plan>,
    rng: Mutex<ChaCha8Rng>,
}

impl Shared {
    fn new(target: SocketAddr, seed: u64) -> Arc<Self> {
        let faults = Faults::default();
        let plan = Plan { target, to_target: faults, to_caller: faults, generation: 0 };
        let rng = Mutex::new(ChaCha8Rng::seed_from_u64(seed));
        Arc::new(Self { plan: watch::Sender::new(plan), rng })
    }

    fn plan(&self) -> Plan {
        *self.plan.borrow()
    }

    fn faults(&self, direction: Direction) -> Faults {
        self.plan().faults(direction)
    }

    /// Returns the delay of the next piece, jitter included.
    fn delay(&self, faults: Faults) -> Duration {
        let jitter = self.rng.lock().expect("not poisoned").random_range(0..=faults.jitter_ms);
        Duration::from_millis(faults.delay_ms + jitter)
    }

    fn happens(&self, share: f64) -> bool {
        share > 0.0 && self.rng.lock().expect("not poisoned").random_bool(share.min(1.0))
    }

    /// Waits until the plan is as wanted.
    async fn until<F>(&self, wanted: F)
    where
        F: FnMut(&Plan) -> bool,
    {
        // The sender lives in `self`, so waiting cannot fail.
        let _ = self.plan.subscribe().wait_for(wanted).await;
    }
}

/// A running proxy; dropping it closes its port and every connection.
pub struct Proxy {
    shared: Arc<Shared>,
    address: SocketAddr,
    task: JoinHandle<()>,
}

impl Proxy {
    /// Starts a TCP proxy before `target` on a port of the system's choice.
    ///
    /// # Errors
    /// Fails if no port can be bound.
    pub async fn start_tcp(target: SocketAddr, seed: u64) -> std::io::Result<Self> {
        let listener = TcpListener::bind((Ipv4Addr::LOCALHOST, 0)).await?;
        let address = listener.local_addr()?;
        let shared = Shared::new(target, seed);
        let task = tokio::spawn(tcp::accept_forever(shared.clone(), listener));
        Ok(Self { shared, address, task })
    }

    /// Starts a UDP proxy before `target` on a port of the system's choice.
    ///
    /// # Errors
    /// Fails if no port can be bound.
    pub async fn start_udp(target: SocketAddr, seed: u64) -> std::io::Result<Self> {
        let socket = UdpSocket::bind((Ipv4Addr::LOCALHOST, 0)).await?;
        let address = socket.local_addr()?;
        let shared = Shared::new(target, seed);
        let task = tokio::spawn(udp::receive_forever(shared.clone(), socket));
        Ok(Self { shared, address, task })
    }

    /// Returns where the proxy listens.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Sends what arrives from now on to another target.
    pub fn set_target(&self, target: SocketAddr) {
        self.shared.plan.send_modify(|plan| plan.target = target);
    }

    /// Sets the faults of one direction.
    pub fn set_faults(&self, direction: Direction, faults: Faults) {
        self.shared.plan.send_modify(|plan| match direction {
            Direction::ToTarget => plan.to_target = faults,
            Direction::ToCaller => plan.to_caller = faults,
        });
    }

    /// Sets the faults of both directions.
    pub fn set_both(&self, faults: Faults) {
        self.set_faults(Direction::ToTarget, faults);
        self.set_faults(Direction::ToCaller, faults);
    }

    /// Takes all faults away.
    pub fn heal(&self) {
        self.set_both(Faults::default());
    }

    /// Closes every open TCP connection.
    pub fn close_connections(&self) {
        self.shared.plan.send_modify(|plan| plan.generation += 1);
    }
}

impl Drop for Proxy {
    fn drop(&mut self) {
        self.task.abort();
    }
}
