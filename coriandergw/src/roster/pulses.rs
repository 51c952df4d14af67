//! Heartbeats between polls, which let core instances detect the failure of an entry instance
//! within a few heartbeat intervals.

use std::sync::Arc;
use std::time::Duration;

use async_trait::async_trait;
use bytes::Bytes;

use crate::ids::InstanceName;
use crate::rendezvous;
use crate::roster::poller::Roster;
use crate::roster::server::RosterServer;
use crate::transport::Handler;
use crate::transport::Kind;
use crate::transport::Transport;

/// The interval between two heartbeats.
pub const PULSE_EVERY: Duration = Duration::from_millis(70);

/// The number of core instances that receive the heartbeats of one instance. There are several so
/// that one failed watcher does not decide whether the instance is live, and only a few to limit
/// the heartbeat traffic of many instances.
const WATCHER_COUNT: usize = 2;

/// Sends heartbeats to the watchers of this process until it exits.
pub async fn send_pulses(roster: Arc<Roster>, transport: Arc<dyn Transport>) {
    let mut changes = roster.changes();
    let own = roster.presence().name;
    let mut watchers = Vec::new();
    loop {
        if changes.has_changed().unwrap_or(false) {
            changes.mark_unchanged();
            let cores = roster.with_view(|view| view.core_names());
            watchers = rendezvous::heaviest(own.as_str(), &cores, WATCHER_COUNT);
            roster.update_presence(|presence| presence.watchers.clone_from(&watchers));
        }
        for watcher in &watchers {
            transport.send(watcher, Kind::Pulse, Bytes::new());
        }
        tokio::time::sleep(PULSE_EVERY).await;
    }
}

/// Receives heartbeats on a core instance.
pub struct PulseHandler {
    /// The roster server that records the heartbeats.
    pub roster_server: Arc<RosterServer>,
}

#[async_trait]
impl Handler for PulseHandler {
    async fn handle(&self, from: &InstanceName, _payload: Bytes) -> Result<Bytes, String> {
        self.roster_server.note_pulse(from);
        Ok(Bytes::new())
    }
}
