//! An entry instance: accepts callers' requests and forwards them to endpoints.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::time::Duration;

use tokio::sync::watch;
use tokio::task::JoinHandle;
use tokio::task::JoinSet;
use tokio::time::Instant;

use crate::account_limits::client::AccountPermitClient;
use crate::config_fetch::client::ConfigClient;
use crate::context::Context;
use crate::crashes::reporter::CrashReporter;
use crate::endpoint_limits::client::PermitClient;
use crate::events::EventNumber;
use crate::events::Subject;
use crate::forwarding::forwarder::Clients;
use crate::forwarding::forwarder::Forwarder;
use crate::forwarding::forwarder::ForwarderAdapters;
use crate::forwarding::server;
use crate::forwarding::server::Phase;
use crate::forwarding::warm_up::WarmUp;
use crate::kept_turns::KeptTurns;
use crate::kept_turns::client::KeptTurnsClient;
use crate::kept_turns::holders::RosterDirectory;
use crate::log_groups::client::LogClient;
use crate::relays::server::RelayServer;
use crate::roles::ProcessParts;
use crate::roles::ProcessSettings;
use crate::roles::StartError;
use crate::roles::instance_name;
use crate::roster::Role;
use crate::roster::poller::Roster;
use crate::roster::pulses::send_pulses;
use crate::supervision;
use crate::token_budgets::client::BUDGET_GROUP;
use crate::token_budgets::client::BudgetClient;

/// Time to live of an address answer. Callers use a failed entry instance for that long, but a
/// shorter time means more look-ups, each of which takes a second if it goes to a failed core
/// instance.
pub const ADDRESS_TTL: Duration = Duration::from_millis(500);

/// Multiple of [`ADDRESS_TTL`] for which some callers cache an answer.
const ADDRESS_CACHE_FACTOR: u32 = 3;

/// Time until all instances know that this one is leaving, plus the time of a look-up.
const LEAVE_MARGIN: Duration = Duration::from_millis(700);

/// Time before the end of the grace at which the requests that are still running are ended. It covers
/// the delays of a busy machine.
const EXIT_MARGIN: Duration = Duration::from_millis(500);

/// The largest share of the grace that [`EXIT_MARGIN`] takes, as a divisor.
const EXIT_MARGIN_DIVISOR: u32 = 4;

/// Time for the answers to requests that the stop ended to be written.
const FLUSH_TIMEOUT: Duration = Duration::from_millis(100);

/// A running entry instance.
pub struct EntryProcess {
    /// Context passed to every feature: identity, clock, events and metrics.
    pub cx: Context,
    /// This instance's view of the other instances.
    pub roster: Arc<Roster>,
    /// Forwards callers' requests to endpoints.
    pub forwarder: Arc<Forwarder>,
    phase: watch::Sender<Phase>,
    relay_server: Arc<RelayServer>,
    serving: Mutex<Option<JoinHandle<()>>>,
    _tasks: JoinSet<()>,
}

impl EntryProcess {
    /// Starts an entry instance that serves callers at the address `callers`.
    ///
    /// # Errors
    /// Fails if an address cannot be bound.
    pub async fn start(
        settings: &ProcessSettings,
        callers: SocketAddr,
        adapters: ForwarderAdapters,
    ) -> Result<Self, StartError> {
        Self::start_with(settings, callers, adapters, None).await
    }

    /// Does the same; turns are kept through `kept_turns`, or on the journal instances if it is
    /// `None`.
    ///
    /// # Errors
    /// Fails if an address cannot be bound.
    pub async fn start_with(
        settings: &ProcessSettings,
        callers: SocketAddr,
        adapters: ForwarderAdapters,
        kept_turns: Option<Arc<dyn KeptTurns>>,
    ) -> Result<Self, StartError> {
        let address = SocketAddr::new(settings.ip, settings.port(Role::Entry));
        let name = instance_name(address, &format!("{:08x}", rand::random::<u32>()))?;
        let mut base = ProcessParts::start(settings, Role::Entry, name).await?;
        let listener = server::bind(callers)
            .await
            .map_err(|cause| StartError::Bind { address: callers, cause })?;
        let relay_address = SocketAddr::new(settings.ip, settings.relay_port());
        let relay_listener = server::bind(relay_address)
            .await
            .map_err(|cause| StartError::Bind { address: relay_address, cause })?;
        base.roster.update_presence(|presence| presence.relay_address = Some(relay_address));
        base.start_polling(settings);
        let log = Arc::new(LogClient::new(base.transport.clone(), Vec::new()));
        base.spawn("send pulses", send_pulses(base.roster.clone(), base.transport.clone()));
        base.spawn("follow the journal", follow_journal(base.roster.clone(), log.clone()));
        let budgets = BudgetClient::start(base.cx.clone(), log);
        let roster = base.roster.clone();
        let warm_up = WarmUp::new(Instant::now(), settings.warm_up);
        let cx = base.cx.clone();
        let permits = PermitClient::new(cx.clone(), roster.clone(), base.transport.clone());
        let crashes = CrashReporter::start(cx.clone(), roster.clone(), base.transport.clone());
        let kept_turns = kept_turns.unwrap_or_else(|| {
            let directory = RosterDirectory { cx: cx.clone(), roster: roster.clone() };
            let (transport, losses) = (base.transport.clone(), settings.tolerated_losses);
            let client = KeptTurnsClient::new(cx.clone(), Arc::new(directory), transport, losses);
            Arc::new(client)
        });
        let account_permits = AccountPermitClient::new(
            cx.clone(),
            roster.clone(),
            base.transport.clone(),
            settings.limit_tolerance,
        );
        let crashes = Arc::new(crashes);
        let clients = Clients { budgets, permits, account_permits, crashes, kept_turns };
        let forwarder = Forwarder::new(cx, adapters, roster.clone(), clients, warm_up);
        let config_client = ConfigClient {
            cx: base.cx.clone(),
            roster: roster.clone(),
            transport: base.transport.clone(),
        };
        base.spawn("fetch the configuration", config_client.run());
        base.spawn("follow the roster", forwarder.clone().follow_roster());
        base.spawn("regain paths", forwarder.clone().regain_paths());
        let relay_server = RelayServer::new(base.cx.clone(), roster.clone(), forwarder.links());
        base.spawn("serve relays", relay_server.clone().run(relay_listener));
        let announcing = announce_when_ready(roster.clone(), forwarder.clone());
        base.spawn_finite("announce that requests are served", announcing);
        let (phase, phases) = watch::channel(Phase::Serving);
        let serving = server::serve(listener, forwarder.clone(), phases);
        let serving = supervision::essential(base.cx.clone(), "serve callers", serving);
        let serving = tokio::spawn(serving);
        let serving = Mutex::new(Some(serving));
        Ok(Self {
            cx: base.cx,
            roster,
            forwarder,
            phase,
            relay_server,
            serving,
            _tasks: base.tasks,
        })
    }

    /// Returns whether requests can be served.
    pub fn is_ready(&self) -> bool {
        let presence = self.roster.presence();
        presence.ready && !presence.leaving
    }

    /// Withdraws from address answers, waits until cached answers have expired, and finishes the
    /// requests in progress and the connections that it relays for other instances.
    ///
    /// Returns once they have ended, and in any case before `grace` has passed, the time after which
    /// the process is killed. Requests that might take longer are refused; those that do nevertheless
    /// are ended [`EXIT_MARGIN`] before it.
    pub async fn stop(&self, grace: Duration) {
        let started = Instant::now();
        let ends_at = started + grace - EXIT_MARGIN.min(grace / EXIT_MARGIN_DIVISOR);
        self.cx.supervisor.start_stop();
        self.roster.update_presence(|presence| presence.leaving = true);
        self.forwarder.drain(ends_at);
        let addresses_expire = started + ADDRESS_TTL * ADDRESS_CACHE_FACTOR + LEAVE_MARGIN;
        tokio::time::sleep_until(addresses_expire.min(ends_at)).await;
        self.phase.send_replace(Phase::Draining);
        let serving = self.serving.lock().expect("not poisoned").take();
        let finishing = async {
            if let Some(Err(cause)) = async { Some(serving?.await) }.await {
                log::error!("the task that serves callers failed: {cause}");
            }
            self.relay_server.finish().await;
        };
        let result = tokio::time::timeout_at(ends_at + FLUSH_TIMEOUT, finishing).await;
        let (number, outcome) = match result {
            Ok(()) => (EventNumber::DrainFinished, "all requests are finished"),
            Err(_) => (EventNumber::DrainLimitReached, "connections were still open"),
        };
        let detail = format!(
            "{outcome} after_ms={} limit_ms={} relayed={}",
            started.elapsed().as_millis(),
            (ends_at - started).as_millis(),
            self.relay_server.relayed(),
        );
        self.cx.events.record(number, Subject::default(), detail);
    }
}

/// Interval between checks whether a starting instance can route requests.
const READY_POLL_INTERVAL: Duration = Duration::from_millis(10);

/// Marks this instance as ready in the roster once requests can be routed.
async fn announce_when_ready(roster: Arc<Roster>, forwarder: Arc<Forwarder>) {
    while !forwarder.is_ready() {
        tokio::time::sleep(READY_POLL_INTERVAL).await;
    }
    roster.update_presence(|presence| presence.ready = true);
}

/// Updates the log client with the voters and the leader of the journal group from the roster.
async fn follow_journal(roster: Arc<Roster>, log: Arc<LogClient>) {
    let mut changes = roster.changes();
    let mut known_term = 0;
    loop {
        let leader = roster.with_view(|view| view.leader(Role::Journal));
        let first_voters = roster.with_view(|view| view.first_journal_voters().to_vec());
        match leader {
            Some(leader) => {
                let group = leader.group;
                if group.term > known_term {
                    known_term = group.term;
                    log.note_leader(BUDGET_GROUP, Some(leader.name));
                }
                log.set_voters(group.voters);
            }
            None => log.set_voters(first_voters),
        }
        if changes.changed().await.is_err() {
            return;
        }
    }
}
