//! A journal instance: stores the token budgets of programs in a replicated log.

use std::sync::Arc;
use std::sync::Weak;
use std::time::Duration;

use async_trait::async_trait;
use bytes::Bytes;
use tokio::task::JoinSet;
use tokio_util::sync::CancellationToken;

use crate::context::Context;
use crate::ids::InstanceName;
use crate::kept_turns::store;
use crate::kept_turns::store::StoreOptions;
use crate::kept_turns::store::TurnStore;
use crate::kept_turns::store::repair::Repair;
use crate::kept_turns::store::server;
use crate::log_groups::node::LogNode;
use crate::log_groups::node::LogOptions;
use crate::log_groups::node::SNAPSHOT_EVERY_ENTRIES;
use crate::roles::CLUSTER;
use crate::roles::ProcessParts;
use crate::roles::ProcessSettings;
use crate::roles::StartError;
use crate::roles::founders;
use crate::roles::load_or_create_name;
use crate::roles::open_disk;
use crate::roster::Role;
use crate::roster::poller::Roster;
use crate::storage::Disk;
use crate::storage::file_disk::FileDisk;
use crate::token_budgets::client::BUDGET_GROUP;
use crate::token_budgets::machine::BudgetMachine;
use crate::transport::Handler;
use crate::transport::Kind;
use crate::transport::Transport;
use crate::voter_set::driver::VoterSetController;

/// How often a stop checks whether the last read or write of kept turns has ended; most take a few
/// milliseconds.
const RELEASE_CHECK_INTERVAL: Duration = Duration::from_millis(5);

/// A running journal instance.
pub struct JournalProcess {
    /// Context passed to every feature: identity, clock, events and metrics.
    pub cx: Context,
    roster: Arc<Roster>,
    node: Arc<LogNode>,
    transport: Arc<dyn Transport>,
    kept_turns: KeptTurnsStop,
    _tasks: JoinSet<()>,
}

impl JournalProcess {
    /// Starts a journal instance; waits until the first voters are committed if it has no log yet.
    ///
    /// # Errors
    /// Fails if its address or its data folder cannot be used.
    pub async fn start(settings: &ProcessSettings) -> Result<Self, StartError> {
        let disk = open_disk(settings)?;
        let name = load_or_create_name(settings, Role::Journal, &*disk)?;
        let mut base = ProcessParts::start(settings, Role::Journal, name.clone()).await?;
        // Turns are kept by all journal instances, also by those that are not voters yet. The first poll
        // says whether this one has any.
        let kept_turns = start_kept_turns(settings, &mut base).await?;
        base.start_polling(settings);
        let voters = tokio::select! {
            voters = first_voters(&base.roster, &name, &*disk) => voters?,
            cause = base.cx.supervisor.failed() => return Err(StartError::Task { cause }),
        };
        let options = LogOptions {
            cluster: CLUSTER.to_owned(),
            voters,
            disk,
            groups: vec![(BUDGET_GROUP, Box::<BudgetMachine>::default())],
            snapshot_every: SNAPSHOT_EVERY_ENTRIES,
            has_leases: false,
        };
        let node = LogNode::start(base.cx.clone(), base.transport.clone(), options)?;
        base.roster.update_presence(|presence| presence.ready = true);
        let voter_set_controller = VoterSetController {
            cx: base.cx.clone(),
            group: BUDGET_GROUP,
            role: Role::Journal,
            wanted: settings.voters_wanted(),
            node: node.clone(),
            roster: base.roster.clone(),
        };
        base.spawn("keep the voters", voter_set_controller.run());
        Ok(Self {
            node,
            cx: base.cx,
            roster: base.roster,
            transport: base.transport,
            kept_turns,
            _tasks: base.tasks,
        })
    }

    /// Announces that this instance is leaving, stops its log node and releases the data folder.
    pub async fn stop(&self) {
        self.cx.supervisor.start_stop();
        self.roster.update_presence(|presence| presence.leaving = true);
        self.transport.register(Kind::KeptTurns, Arc::new(Stopped));
        self.kept_turns.stop().await;
        self.node.stop().await;
    }
}

/// Refuses all requests, in place of a handler that holds files of the data folder.
struct Stopped;

#[async_trait]
impl Handler for Stopped {
    async fn handle(&self, _from: &InstanceName, _payload: Bytes) -> Result<Bytes, String> {
        Err("the instance is stopping".to_owned())
    }
}

/// Stops the tasks of the store of kept turns.
struct KeptTurnsStop {
    token: CancellationToken,
    store: Weak<TurnStore>,
}

impl KeptTurnsStop {
    /// Stops the tasks and waits until the folder of the store is released.
    async fn stop(&self) {
        self.token.cancel();
        while self.store.strong_count() > 0 {
            tokio::time::sleep(RELEASE_CHECK_INTERVAL).await;
        }
    }
}

/// Opens the store of kept turns, and answers requests from it.
async fn start_kept_turns(
    settings: &ProcessSettings,
    base: &mut ProcessParts,
) -> Result<KeptTurnsStop, StartError> {
    let folder = settings.data_folder.clone().ok_or(StartError::NoDisk)?;
    let options = StoreOptions {
        max_bytes: settings.kept_turns_max_bytes,
        segment_bytes: store::SEGMENT_BYTES,
        is_first_start: settings.is_first_start,
    };
    let now_ms = base.cx.clock.wall().0;
    let opening = tokio::task::spawn_blocking({
        let folder = folder.clone();
        move || {
            let disk = FileDisk::open_inside(&folder, store::FOLDER)?;
            TurnStore::open(Arc::new(disk), options, now_ms)
        }
    });
    let opened = opening.await.map_err(std::io::Error::other).flatten();
    let store = Arc::new(opened.map_err(|cause| StartError::Folder { folder, cause })?);
    let holds_turns = store.counts().turns > 0;
    base.roster.update_presence(|presence| presence.holds_turns = holds_turns);
    let (server, writer) = server::server(base.cx.clone(), store.clone(), base.roster.clone());
    base.transport.register(Kind::KeptTurns, server.clone());
    let token = CancellationToken::new();
    let kept_turns = KeptTurnsStop { token: token.clone(), store: Arc::downgrade(&store) };
    let repair = Repair {
        cx: base.cx.clone(),
        store,
        server,
        roster: base.roster.clone(),
        transport: base.transport.clone(),
        copies: settings.tolerated_losses + 1,
    };
    let stopped = token.clone();
    base.spawn("write kept turns", async move {
        stopped.run_until_cancelled_owned(writer.run()).await;
    });
    base.spawn("copy kept turns", async move {
        token.run_until_cancelled_owned(repair.run()).await;
    });
    Ok(kept_turns)
}

async fn first_voters(
    roster: &Roster,
    name: &InstanceName,
    disk: &dyn Disk,
) -> Result<Vec<InstanceName>, StartError> {
    if let Some(voters) = founders::read(disk)? {
        return Ok(voters);
    }
    let mut changes = roster.changes();
    let mut voters = loop {
        let first_voters = roster.with_view(|view| view.first_journal_voters().to_vec());
        if !first_voters.is_empty() {
            break first_voters;
        }
        // This cannot fail: the roster owns the sender.
        let _ = changes.changed().await;
    };
    if !voters.contains(name) {
        voters.clear();
    }
    founders::write(disk, &voters)?;
    Ok(voters)
}
