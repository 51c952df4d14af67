//! The controller that applies planned voter changes and reports the group's status to the roster.

use std::sync::Arc;
use std::time::Duration;

use crate::context::Context;
use crate::events::EventNumber;
use crate::events::Subject;
use crate::ids::GroupId;
use crate::log_groups::core::Members;
use crate::log_groups::node::LogNode;
use crate::roster::GroupStatus;
use crate::roster::Presence;
use crate::roster::Role;
use crate::roster::poller::Roster;
use crate::voter_set::VoterSetPlanner;
use crate::voter_set::VoterSetStatus;

/// The interval at which the controller checks its group.
const CHECK_INTERVAL: Duration = Duration::from_millis(250);

/// Manages the voter set of one group while this instance is the group's leader.
pub struct VoterSetController {
    /// The context of the process, which includes its clock and event recorder.
    pub cx: Context,
    /// The group whose voter set is managed.
    pub group: GroupId,
    /// The role whose instances may be voters.
    pub role: Role,
    /// The number of voters that the group should have.
    pub wanted: usize,
    /// The log node, which is a member of the group.
    pub node: Arc<LogNode>,
    /// The roster, which lists the live instances and the retiring nodes.
    pub roster: Arc<Roster>,
}

impl VoterSetController {
    /// Runs until the process ends. Returns at once if the log node is not a member of the group.
    pub async fn run(self) {
        let mut planner = VoterSetPlanner::default();
        let (Some(leadership), Some(members)) =
            (self.node.leadership(self.group), self.node.members(self.group))
        else {
            return;
        };
        loop {
            let leads = leadership.borrow().is_leader;
            let (term, members) = (leadership.borrow().term, members.borrow().clone());
            self.report_status(term, leads, &members);
            if leads {
                self.make_next_change(&mut planner, &members).await;
            } else {
                planner = VoterSetPlanner::default();
            }
            tokio::time::sleep(CHECK_INTERVAL).await;
        }
    }

    fn report_status(&self, term: u64, leads: bool, members: &Members) {
        let group = GroupStatus {
            term,
            leads,
            voters: members.voters.iter().cloned().collect(),
            learners: members.learners.iter().cloned().collect(),
        };
        self.roster.update_presence(|presence| presence.group = group);
        let leader = self.roster.with_view(|view| view.leader(self.role));
        let voters = leader.map(|leader| leader.group.voters).unwrap_or_default();
        if !voters.is_empty() {
            self.node.note_voters(voters);
        }
    }

    async fn make_next_change(&self, planner: &mut VoterSetPlanner, members: &Members) {
        let now = self.cx.clock.now();
        let (living, retiring): (Vec<Presence>, _) =
            self.roster.with_view(|view| (view.living(self.role, now), view.retiring().to_vec()));
        if living.is_empty() {
            // Without a connection to a core instance, the state of the other instances is unknown.
            return;
        }
        let status =
            VoterSetStatus { members, living: &living, retiring: &retiring, wanted: self.wanted };
        let Some(change) = planner.next_change(&status, now) else {
            return;
        };
        let result = self.node.change_voters(self.group, change.clone()).await;
        let detail = format!("group={} change={change:?} result={result:?}", self.group);
        self.cx.events.record(EventNumber::VoterChangeStarted, Subject::default(), detail);
    }
}
