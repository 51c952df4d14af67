//! A core instance: stores the configuration, receives the announcements of endpoints and publishes
//! both to the other instances.

use std::sync::Arc;
use std::sync::Mutex;
use std::time::Duration;

use derive_more::Display;
use derive_more::Error;
use tokio::sync::mpsc;
use tokio::sync::watch;
use tokio::task::JoinSet;
use tokio_util::task::AbortOnDropHandle;

use crate::account_limits::server::AccountPermitServer;
use crate::account_limits::server::NodeKeepership;
use crate::config_fetch::server::ConfigServer;
use crate::context::Context;
use crate::crashes::Crash;
use crate::crashes::server::CrashServer;
use crate::endpoint_limits::server::PermitServer;
use crate::events::EventNumber;
use crate::events::Subject;
use crate::ids::CONTROL_GROUP;
use crate::ids::EndpointName;
use crate::ids::InstanceName;
use crate::log_groups::node::LogNode;
use crate::log_groups::node::LogOptions;
use crate::log_groups::node::SNAPSHOT_EVERY_ENTRIES;
use crate::roles::CLUSTER;
use crate::roles::ProcessParts;
use crate::roles::ProcessSettings;
use crate::roles::StartError;
use crate::roles::founders;
use crate::roles::last_config;
use crate::roles::load_or_create_name;
use crate::roles::open_disk;
use crate::roster::EndpointRecord;
use crate::roster::Presence;
use crate::roster::Role;
use crate::roster::departure::Departure;
use crate::roster::poller::Roster;
use crate::roster::pulses::PulseHandler;
use crate::roster::server::RosterServer;
use crate::roster::state::ConfigState;
use crate::roster::state::UnknownEndpoint;
use crate::storage::Disk;
use crate::storage::identity::Identity;
use crate::supervision;
use crate::transport::Kind;
use crate::versions::Versions;
use crate::versions::machine::VersionsMachine;
use crate::voter_set::driver::VoterSetController;
use crate::voter_set::founding;

/// How long an acknowledgement of a departure waits for the control group. Endpoints wait a second for
/// it, and the copy that follows takes a part of that.
const DEPARTURE_TIMEOUT: Duration = Duration::from_millis(600);

/// Interval between checks whether the journal group can be founded.
const FOUNDING_CHECK_INTERVAL: Duration = Duration::from_millis(200);

/// A running core instance.
pub struct CoreProcess {
    /// Context passed to every feature: identity, clock, events and metrics.
    pub cx: Context,
    /// Reads and changes the configuration.
    pub versions: Versions,
    /// Roster of endpoints and instances that this instance serves to others.
    pub roster_server: Arc<RosterServer>,
    /// This instance's view of the other instances.
    pub roster: Arc<Roster>,
    node: Arc<LogNode>,
    /// Writes each committed configuration to the disk until `stop_storing` turns true.
    storing: Mutex<Option<AbortOnDropHandle<()>>>,
    stop_storing: watch::Sender<bool>,
    _tasks: JoinSet<()>,
}

impl CoreProcess {
    /// Starts a core instance.
    ///
    /// # Errors
    /// Fails if its address or its data folder cannot be used.
    pub async fn start(settings: &ProcessSettings) -> Result<Self, StartError> {
        let disk = open_disk(settings)?;
        let had_identity = Identity::read(&*disk)?.is_some();
        let name = load_or_create_name(settings, Role::Core, &*disk)?;
        let mut base = ProcessParts::start(settings, Role::Core, name.clone()).await?;
        if had_identity {
            // The settings may still name the first start after a restart.
            base.roster.update_presence(|presence| presence.is_founder = false);
        }
        let voters = first_voters(settings, &name, &*disk)?;
        let roster_server = RosterServer::new(base.cx.clone(), settings.endpoint_silence);
        base.transport.register(Kind::Roster, roster_server.clone());
        base.transport
            .register(Kind::Pulse, Arc::new(PulseHandler { roster_server: roster_server.clone() }));
        let permit_server = PermitServer::new(base.cx.clock.clone(), roster_server.clone());
        base.transport.register(Kind::Permit, Arc::new(permit_server));
        let crash_server = CrashServer { roster_server: roster_server.clone() };
        base.transport.register(Kind::Crash, Arc::new(crash_server));
        let config_server = ConfigServer { roster_server: roster_server.clone() };
        base.transport.register(Kind::ConfigFetch, Arc::new(config_server));
        let stored = last_config::read(&base.cx, &*disk).unwrap_or_default();
        roster_server.apply_config_state(stored.clone());
        let (published, config_states) = watch::channel(ConfigState::default());
        let (published_departures, departures) = mpsc::unbounded_channel();
        let machine = VersionsMachine::new(published, published_departures);
        let options = LogOptions {
            cluster: CLUSTER.to_owned(),
            voters,
            disk: disk.clone(),
            groups: vec![(CONTROL_GROUP, Box::new(machine))],
            snapshot_every: SNAPSHOT_EVERY_ENTRIES,
            has_leases: false,
        };
        let node = LogNode::start(base.cx.clone(), base.transport.clone(), options)?;
        let versions = Versions::new(node.clone());
        let keepership = Arc::new(NodeKeepership(Arc::downgrade(&node)));
        let account_permits =
            AccountPermitServer::new(base.cx.clone(), keepership, settings.limit_tolerance);
        base.transport.register(Kind::AccountPermit, account_permits.clone());
        if let Some(leadership) = node.leadership(CONTROL_GROUP) {
            let following = account_permits.follow_leadership(leadership);
            base.spawn_finite("follow the leadership for account limits", following);
        }
        base.roster.update_presence(|presence| presence.ready = true);
        base.start_polling(settings);
        base.spawn("expire silent endpoints", roster_server.clone().expire_silent());
        let noting = note_departures(departures, roster_server.clone());
        base.spawn_finite("note departures", noting);
        let keeping = keep_reports(base.roster.clone(), roster_server.clone());
        base.spawn("keep the reports of other core instances", keeping);
        let stop_storing = watch::Sender::new(false);
        let publishing = publish_states(config_states.clone(), roster_server.clone());
        base.spawn_finite("publish the configuration", publishing);
        let storing =
            store_states(base.cx.clone(), config_states, stored, disk, stop_storing.subscribe());
        let storing = supervision::essential(base.cx.clone(), "store the configuration", storing);
        let storing = tokio::spawn(storing);
        let voter_set_controller = VoterSetController {
            cx: base.cx.clone(),
            group: CONTROL_GROUP,
            role: Role::Core,
            wanted: settings.voters_wanted(),
            node: node.clone(),
            roster: base.roster.clone(),
        };
        base.spawn("keep the voters", voter_set_controller.run());
        let founder = JournalGroupFounder {
            cx: base.cx.clone(),
            versions: versions.clone(),
            node: node.clone(),
            roster: base.roster.clone(),
            wanted: settings.voters_wanted(),
        };
        base.spawn_finite("found the journal group", founder.run());
        Ok(Self {
            versions,
            roster_server,
            node,
            cx: base.cx,
            roster: base.roster,
            storing: Mutex::new(Some(AbortOnDropHandle::new(storing))),
            stop_storing,
            _tasks: base.tasks,
        })
    }

    /// Records the departure of an endpoint and commits it, so that no loss of instances that the
    /// control group survives takes it back.
    /// `started_ms` is the start time of the departing incarnation in milliseconds since the Unix
    /// epoch, if the endpoint stated it.
    ///
    /// The endpoint may have announced itself to other core instances only, so what they publish of
    /// it counts too.
    ///
    /// # Errors
    /// Fails if no reachable core instance has heard of the endpoint, or the control group did not
    /// commit the departure in time. In the latter case it holds until the core instances end.
    pub async fn depart(
        &self,
        id: &EndpointName,
        started_ms: Option<u64>,
    ) -> Result<(), DepartureError> {
        let published =
            self.roster.with_view(|view| view.endpoints_named(id).cloned().collect::<Vec<_>>());
        let departed = self.roster_server.depart(id, started_ms, published);
        for record in departed.map_err(|cause| DepartureError::Unknown { cause })? {
            self.commit_departure(&record).await?;
        }
        Ok(())
    }

    /// Records the announcement of an endpoint; if the endpoint is leaving, commits that.
    ///
    /// # Errors
    /// Fails if the control group did not commit the departure in time.
    pub async fn announce(&self, record: EndpointRecord) -> Result<(), DepartureError> {
        self.roster_server.announce(record.clone());
        self.commit_departure(&record).await
    }

    async fn commit_departure(&self, record: &EndpointRecord) -> Result<(), DepartureError> {
        let Some(departure) = Departure::of(record) else {
            return Ok(());
        };
        if !self.roster_server.has_committed(&departure) {
            let committing = self.versions.depart(&departure);
            let result = tokio::time::timeout(DEPARTURE_TIMEOUT, committing).await;
            let reason = match result {
                Ok(Ok(())) => None,
                Ok(Err(cause)) => Some(cause.to_string()),
                Err(_) => Some(format!("no answer in {} ms", DEPARTURE_TIMEOUT.as_millis())),
            };
            if let Some(reason) = reason {
                let cause = DepartureError::NotCommitted { id: departure.endpoint.id, reason };
                let subject = Subject { peer: Some(record.id.to_string()), ..Subject::default() };
                self.cx.events.record(EventNumber::EndpointRefused, subject, cause.to_string());
                return Err(cause);
            }
            self.roster_server.note_departure(departure);
        }
        self.roster_server.wait_for_copy().await;
        Ok(())
    }

    /// Announces that this instance is leaving, stops its log node and releases the data folder.
    pub async fn stop(&self) {
        self.cx.supervisor.start_stop();
        self.roster.update_presence(|presence| presence.leaving = true);
        self.node.stop().await;
        self.stop_storing.send_replace(true);
        // A write that is under way holds the folder until it ends.
        let storing = self.storing.lock().expect("not poisoned").take();
        if let Some(Err(cause)) = async { Some(storing?.await) }.await {
            log::error!("the task that stores the configuration failed: {cause}");
        }
    }
}

/// Reason why a departure is not acknowledged.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Display, Error)]
pub enum DepartureError {
    /// There is no endpoint that the departure could be applied to.
    #[display("{cause}")]
    Unknown {
        /// The endpoint that the departure names.
        cause: UnknownEndpoint,
    },
    /// The departure would be forgotten with the core instances.
    #[display("the departure of endpoint {id} was not committed: {reason}")]
    NotCommitted {
        /// The endpoint that leaves.
        id: EndpointName,
        /// Why the control group did not commit it.
        reason: String,
    },
}

fn first_voters(
    settings: &ProcessSettings,
    name: &InstanceName,
    disk: &dyn Disk,
) -> Result<Vec<InstanceName>, StartError> {
    if let Some(voters) = founders::read(disk)? {
        return Ok(voters);
    }
    let mut voters = Vec::new();
    if settings.is_first_start {
        for address in settings.seed_addresses() {
            voters.push(founders::first_name(address)?);
        }
    }
    if !voters.contains(name) {
        voters.clear();
    }
    founders::write(disk, &voters)?;
    Ok(voters)
}

/// Publishes each state that the control group commits.
async fn publish_states(
    mut config_states: watch::Receiver<ConfigState>,
    roster_server: Arc<RosterServer>,
) {
    loop {
        let state = config_states.borrow_and_update().clone();
        roster_server.apply_config_state(state);
        if config_states.changed().await.is_err() {
            return;
        }
    }
}

/// Stores each state that the control group commits for the next start; `stored` is the one on the disk.
/// A disk that hangs delays only this.
async fn store_states(
    cx: Context,
    mut config_states: watch::Receiver<ConfigState>,
    mut stored: ConfigState,
    disk: Arc<dyn Disk>,
    mut stop: watch::Receiver<bool>,
) {
    loop {
        let state = config_states.borrow_and_update().clone();
        // Replaying the log yields states that are older than the one on the disk.
        if state.replaces(&stored) {
            last_config::write(&cx, disk.clone(), &state).await;
            stored = state;
        }
        tokio::select! {
            changed = config_states.changed() => if changed.is_err() { return },
            _ = stop.wait_for(|is_stopped| *is_stopped) => return,
        }
    }
}

/// Publishes the departures of endpoints that the control group commits.
async fn note_departures(
    mut departures: mpsc::UnboundedReceiver<Departure>,
    roster_server: Arc<RosterServer>,
) {
    while let Some(departure) = departures.recv().await {
        roster_server.note_departure(departure);
    }
}

/// Records the departures of endpoints that other core instances acknowledged, and the crashes that
/// they publish.
///
/// A core instance keeps announcements in memory only. Without a copy, the full record of a departed
/// endpoint would be unknown once the instance that acknowledged it restarts. The copy also holds a
/// departure that the control group has not committed.
async fn keep_reports(roster: Arc<Roster>, roster_server: Arc<RosterServer>) {
    let mut changes = roster.changes();
    let mut crash_revision = 0;
    loop {
        for record in roster.with_view(|view| view.departing_endpoints()) {
            roster_server.announce(record);
        }
        let crashes = roster.with_view(|view| {
            let table = view.crashes();
            let is_changed =
                std::mem::replace(&mut crash_revision, table.revision()) != table.revision();
            is_changed.then(|| table.crashes().cloned().collect::<Vec<Crash>>())
        });
        for crash in crashes.unwrap_or_default() {
            roster_server.publish_crash(crash);
        }
        if changes.changed().await.is_err() {
            return;
        }
    }
}

/// Commits the first voters of the journal group if this instance leads the control group; stops
/// once the roster shows that the group is founded.
struct JournalGroupFounder {
    cx: Context,
    versions: Versions,
    node: Arc<LogNode>,
    roster: Arc<Roster>,
    wanted: usize,
}

impl JournalGroupFounder {
    async fn run(self) {
        let Some(leadership) = self.node.leadership(CONTROL_GROUP) else {
            return;
        };
        let started = self.cx.clock.now();
        loop {
            tokio::time::sleep(FOUNDING_CHECK_INTERVAL).await;
            let now = self.cx.clock.now();
            let (is_founded, journal_instances): (bool, Vec<Presence>) =
                self.roster.with_view(|view| {
                    (!view.first_journal_voters().is_empty(), view.living(Role::Journal, now))
                });
            if is_founded {
                return;
            }
            let waited = now.since(started);
            let Some(voters) = founding::first_voters(&journal_instances, self.wanted, waited)
            else {
                continue;
            };
            if !leadership.borrow().is_leader {
                continue;
            }
            let result = self.versions.store_first_voters(&voters).await;
            let detail = format!("journal voters={voters:?} result={:?}", result.err());
            self.cx.events.record(EventNumber::ChangeDecided, Subject::default(), detail);
        }
    }
}

#[cfg(test)]
mod tests;
