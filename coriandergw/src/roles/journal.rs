//! A journal instance: stores the token budgets of programs in a replicated log.

use std::sync::Arc;

use tokio::task::JoinSet;

use crate::context::Context;
use crate::ids::InstanceName;
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
use crate::token_budgets::client::BUDGET_GROUP;
use crate::token_budgets::machine::BudgetMachine;
use crate::voter_set::driver::VoterSetController;

/// A running journal instance.
pub struct JournalProcess {
    /// Context passed to every feature: identity, clock, events and metrics.
    pub cx: Context,
    roster: Arc<Roster>,
    node: Arc<LogNode>,
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
        Ok(Self { node, cx: base.cx, roster: base.roster, _tasks: base.tasks })
    }

    /// Announces that this instance is leaving, stops its log node and releases the data folder.
    pub async fn stop(&self) {
        self.cx.supervisor.start_stop();
        self.roster.update_presence(|presence| presence.leaving = true);
        self.node.stop().await;
    }
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
