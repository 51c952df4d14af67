//! An entry instance: takes callers' requests and forwards them.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::time::Duration;

use tokio::sync::watch;
use tokio::task::JoinHandle;
use tokio::task::JoinSet;
use tokio::time::Instant;

use crate::context::Context;
use crate::forwarding::HeaderCodec;
use crate::forwarding::forwarder::ConfigReader;
use crate::forwarding::forwarder::Forwarder;
use crate::forwarding::server;
use crate::forwarding::server::Phase;
use crate::forwarding::warm_up::WarmUp;
use crate::log_groups::client::LogClient;
use crate::roles::ProcessParts;
use crate::roles::ProcessSettings;
use crate::roles::StartError;
use crate::roles::name_of;
use crate::roster::Role;
use crate::roster::poller::Roster;
use crate::roster::pulses::send_pulses;
use crate::token_budgets::client::BUDGET_GROUP;
use crate::token_budgets::client::BudgetClient;

/// How long callers may keep an address answer: they use a lost entry instance for that long, and each
/// question to a lost core instance costs them a second.
pub const ADDRESS_TTL: Duration = Duration::from_millis(500);

/// Some callers keep an answer this many times as long.
const KEPT_TIMES: u32 = 3;

/// How long it takes until all instances know that this one is leaving, and a look-up takes.
const LEAVE_SLACK: Duration = Duration::from_millis(700);

/// How long requests under way may take once no new ones are taken.
const FINISH_LIMIT: Duration = Duration::from_millis(4_200);

/// A running entry instance.
pub struct EntryProcess {
    /// What each feature is given first.
    pub cx: Context,
    /// What is known of the others.
    pub roster: Arc<Roster>,
    /// Forwards requests.
    pub forwarder: Arc<Forwarder>,
    phase: watch::Sender<Phase>,
    serving: Mutex<Option<JoinHandle<()>>>,
    _tasks: JoinSet<()>,
}

impl EntryProcess {
    /// Starts an entry instance that serves callers at the address of its settings.
    ///
    /// # Errors
    /// Fails if an address cannot be bound.
    pub async fn start(
        settings: &ProcessSettings,
        callers: SocketAddr,
        dialect: Arc<dyn HeaderCodec>,
        reader: Arc<dyn ConfigReader>,
    ) -> Result<Self, StartError> {
        let address = SocketAddr::new(settings.ip, settings.port(Role::Entry));
        let name = name_of(address, &format!("{:08x}", rand::random::<u32>()))?;
        let mut base = ProcessParts::start(settings, Role::Entry, name).await?;
        let listener = server::bind(callers)
            .await
            .map_err(|cause| StartError::Bind { address: callers, cause })?;
        base.poll(settings);
        let log = Arc::new(LogClient::new(base.transport.clone(), Vec::new()));
        base.tasks.spawn(send_pulses(base.roster.clone(), base.transport.clone()));
        base.tasks.spawn(follow_journal(base.roster.clone(), log.clone()));
        let budgets = BudgetClient::start(base.cx.clone(), log);
        let roster = base.roster.clone();
        let warm_up = WarmUp::new(Instant::now(), settings.warm_up);
        let cx = base.cx.clone();
        let forwarder = Forwarder::new(cx, dialect, reader, roster.clone(), budgets, warm_up);
        base.tasks.spawn(forwarder.clone().follow_roster());
        base.tasks.spawn(tell_ready(roster.clone(), forwarder.clone()));
        let (phase, phases) = watch::channel(Phase::Serving);
        let serving = tokio::spawn(server::serve(listener, forwarder.clone(), phases));
        let serving = Mutex::new(Some(serving));
        Ok(Self { cx: base.cx, roster, forwarder, phase, serving, _tasks: base.tasks })
    }

    /// Returns whether requests can be served.
    pub fn is_ready(&self) -> bool {
        let presence = self.roster.presence();
        presence.ready && !presence.leaving
    }

    /// Leaves the address answers, waits until callers know, and finishes what has begun.
    pub async fn stop(&self) {
        self.roster.update_presence(|presence| presence.leaving = true);
        self.forwarder.drain();
        tokio::time::sleep(ADDRESS_TTL * KEPT_TIMES + LEAVE_SLACK).await;
        self.phase.send_replace(Phase::Draining);
        // What takes longer is cut off by the end of the process.
        let serving = self.serving.lock().expect("not poisoned").take();
        if let Some(serving) = serving {
            let _ = tokio::time::timeout(FINISH_LIMIT, serving).await;
        }
    }
}

/// How often a starting instance looks whether it can route requests.
const READY_LOOK: Duration = Duration::from_millis(10);

/// Tells the roster once requests can be routed.
async fn tell_ready(roster: Arc<Roster>, forwarder: Arc<Forwarder>) {
    while !forwarder.is_ready() {
        tokio::time::sleep(READY_LOOK).await;
    }
    roster.update_presence(|presence| presence.ready = true);
}

/// Keeps the journal's voters and leader, as the roster tells them.
async fn follow_journal(roster: Arc<Roster>, log: Arc<LogClient>) {
    let mut changes = roster.changes();
    let mut known_term = 0;
    loop {
        let leader = roster.with_view(|view| view.leader(Role::Journal));
        let first = roster.with_view(|view| view.first_journal_voters().to_vec());
        match leader {
            Some(leader) => {
                let group = leader.group;
                if group.term > known_term {
                    known_term = group.term;
                    log.note_leader(BUDGET_GROUP, Some(leader.name));
                }
                log.set_voters(group.voters);
            }
            None => log.set_voters(first),
        }
        if changes.changed().await.is_err() {
            return;
        }
    }
}
