//! Keeps the voter set of a group and tells the roster what this member knows of the group.

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

/// How often the controller checks its group.
const LOOK_EVERY: Duration = Duration::from_millis(250);

/// Keeps one group at its wanted number of voters while this member leads it.
pub struct VoterSetController {
    /// What the process is given first.
    pub cx: Context,
    /// The group.
    pub group: GroupId,
    /// The role whose instances may be voters.
    pub role: Role,
    /// The wanted number of voters.
    pub wanted: usize,
    /// The member.
    pub node: Arc<LogNode>,
    /// Who lives.
    pub roster: Arc<Roster>,
}

impl VoterSetController {
    /// Runs until the process ends.
    pub async fn run(self) {
        let mut steward = VoterSetPlanner::default();
        let (Some(leadership), Some(members)) =
            (self.node.leadership(self.group), self.node.members(self.group))
        else {
            return;
        };
        loop {
            let leads = leadership.borrow().is_leader;
            let (term, members) = (leadership.borrow().term, members.borrow().clone());
            self.tell(term, leads, &members);
            if leads {
                self.act(&mut steward, &members).await;
            } else {
                steward = VoterSetPlanner::default();
            }
            tokio::time::sleep(LOOK_EVERY).await;
        }
    }

    fn tell(&self, term: u64, leads: bool, members: &Members) {
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

    async fn act(&self, steward: &mut VoterSetPlanner, members: &Members) {
        let now = self.cx.clock.now();
        let (living, retiring): (Vec<Presence>, _) =
            self.roster.with_view(|view| (view.living(self.role, now), view.retiring().to_vec()));
        if living.is_empty() {
            // Without a core instance nothing is known of the others.
            return;
        }
        let seen =
            VoterSetStatus { members, living: &living, retiring: &retiring, wanted: self.wanted };
        let Some(change) = steward.next_change(&seen, now) else {
            return;
        };
        let result = self.node.change_voters(self.group, change.clone()).await;
        let detail = format!("group={} change={change:?} result={result:?}", self.group);
        self.cx.events.record(EventNumber::VoterChangeStarted, Subject::default(), detail);
    }
}
