//! A directory instance: answers address look-ups and names the core instances, without a disk.
//!
//! Sites may place core processes on machines that have no disk. Such a process cannot vote, and
//! what it acknowledged would be lost with it. It therefore stores nothing: announcements and
//! changes are redirected to a core instance, and processes that have it as a seed learn from it
//! which core instances to poll.

use std::net::IpAddr;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use tokio::task::JoinSet;

use crate::clock::Timestamp;
use crate::context::Context;
use crate::events::EventNumber;
use crate::events::Subject;
use crate::ids::DataCentre;
use crate::rendezvous;
use crate::roles::ProcessParts;
use crate::roles::ProcessSettings;
use crate::roles::StartError;
use crate::roles::instance_name;
use crate::roster::Presence;
use crate::roster::Role;
use crate::roster::poller::Roster;
use crate::roster::server::RosterServer;
use crate::roster::state::POLL_WAIT;
use crate::transport::Kind;
use crate::transport::tcp::address_of;

/// Interval between two publications of the core instances; shorter than the silence limit of
/// presences, so that only lost core instances count as silent.
const PUBLISH_INTERVAL: Duration = POLL_WAIT;

/// A running directory instance.
pub struct DirectoryProcess {
    /// Context passed to every feature: identity, clock, events and metrics.
    pub cx: Context,
    /// This instance's view of the other instances.
    pub roster: Arc<Roster>,
    _tasks: JoinSet<()>,
}

impl DirectoryProcess {
    /// Starts a directory instance.
    ///
    /// # Errors
    /// Fails if its address cannot be bound.
    pub async fn start(settings: &ProcessSettings) -> Result<Self, StartError> {
        let address = SocketAddr::new(settings.ip, settings.port(Role::Directory));
        let name = instance_name(address, &format!("{:08x}", rand::random::<u32>()))?;
        let mut base = ProcessParts::start(settings, Role::Directory, name).await?;
        let roster_server = RosterServer::of_directory(base.cx.clone());
        base.transport.register(Kind::Roster, roster_server.clone());
        base.roster.update_presence(|presence| presence.ready = true);
        base.start_polling(settings);
        base.spawn("expire silent endpoints", roster_server.clone().expire_silent());
        let publishing = publish_cores(base.cx.clone(), base.roster.clone(), roster_server);
        base.spawn("publish the core instances", publishing);
        let detail = "no data folder: answers look-ups and redirects announcements and changes";
        base.cx.events.record(EventNumber::RoleReduced, Subject::default(), detail);
        Ok(Self { cx: base.cx, roster: base.roster, _tasks: base.tasks })
    }

    /// Returns the core instance that announcements and changes are redirected to, or `None` if
    /// none is live.
    pub fn redirect_target(&self, now: Timestamp) -> Option<IpAddr> {
        let living = self.roster.with_view(|view| view.living(Role::Core, now));
        choose_core(&living, self.cx.instance.as_str(), &self.cx.data_centre)
    }

    /// Announces that this instance is leaving.
    pub fn stop(&self) {
        self.cx.supervisor.start_stop();
        self.roster.update_presence(|presence| presence.leaving = true);
    }
}

/// Chooses the core instance for redirects: one in the own data centre if there is any, and
/// different ones for different instances.
fn choose_core(living: &[Presence], own: &str, data_centre: &DataCentre) -> Option<IpAddr> {
    let usable = living.iter().filter(|core| core.ready && !core.leaving);
    let best = usable.max_by_key(|core| {
        let is_near = core.data_centre == *data_centre;
        (is_near, rendezvous::hash_of(own, core.name.as_str()))
    })?;
    address_of(&best.name).map(|address| address.ip())
}

/// Publishes the live core instances to the processes that poll this instance.
async fn publish_cores(cx: Context, roster: Arc<Roster>, roster_server: Arc<RosterServer>) {
    loop {
        let now = cx.clock.now();
        for core in roster.with_view(|view| view.living(Role::Core, now)) {
            roster_server.record_presence(core);
        }
        tokio::time::sleep(PUBLISH_INTERVAL).await;
    }
}

#[cfg(test)]
mod tests;
