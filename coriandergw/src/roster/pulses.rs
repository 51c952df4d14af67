//! Signs of life between polls: an entry instance that falls silent is noticed within a few of them.

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

/// The time between two signs of life.
pub const PULSE_EVERY: Duration = Duration::from_millis(50);

/// The core instances that watch one instance, so that one that is lost itself is outvoted and the
/// signs of life of many instances stay few.
const WATCHERS: usize = 3;

/// Sends signs of life to the watchers of this process until it ends.
pub async fn send_pulses(roster: Arc<Roster>, transport: Arc<dyn Transport>) {
    let mut changes = roster.changes();
    let own = roster.presence().name;
    let mut watchers = Vec::new();
    loop {
        if changes.has_changed().unwrap_or(false) {
            changes.mark_unchanged();
            let cores = roster.with_view(|view| view.core_names());
            watchers = rendezvous::heaviest(own.as_str(), &cores, WATCHERS);
            roster.update_presence(|presence| presence.watchers.clone_from(&watchers));
        }
        for watcher in &watchers {
            transport.send(watcher, Kind::Pulse, Bytes::new());
        }
        tokio::time::sleep(PULSE_EVERY).await;
    }
}

/// Takes signs of life on a core instance.
pub struct PulseHandler {
    /// The roster server that they are recorded at.
    pub roster_server: Arc<RosterServer>,
}

#[async_trait]
impl Handler for PulseHandler {
    async fn handle(&self, from: &InstanceName, _payload: Bytes) -> Result<Bytes, String> {
        self.roster_server.note_pulse(from);
        Ok(Bytes::new())
    }
}
