//! Decides who is suspected, who is declared dead, and what news changes.

use std::collections::BTreeSet;
use std::time::Duration;

use crate::clock::Timestamp;
use crate::ids::DataCentre;
use crate::ids::InstanceName;
use crate::membership::Member;
use crate::membership::MemberState;
use crate::membership::Members;
use crate::membership::Update;

/// How long an instance that others find silent trusts none of its own suspicions.
const CHARGE_LIMIT: Duration = Duration::from_secs(5);

/// The instances that must find a member silent before others believe it, where there are as many.
const ACCUSERS_MIN: usize = 2;

impl Members {
    /// Returns the members that new work and renewals should avoid at `now`: those that leave, and
    /// those that enough instances find silent, while this instance can trust what it hears.
    pub fn avoided(&self, now: Timestamp) -> BTreeSet<InstanceName> {
        let is_doubtful = self.is_doubtful(now);
        let needed = self.accusers_needed();
        let is_avoided = |(_, member): &(&InstanceName, &Member)| match member.state {
            MemberState::Alive => false,
            MemberState::Suspect => !is_doubtful && member.accusers.len() >= needed,
            MemberState::Leaving | MemberState::Dead => true,
        };
        self.members.iter().filter(is_avoided).map(|(name, _)| name.clone()).collect()
    }

    /// Returns whether the fault may be this instance's own: it hears nothing, or others find it
    /// silent.
    pub(super) fn is_doubtful(&self, now: Timestamp) -> bool {
        let is_charged = self.charged_at.is_some_and(|at| now.since(at) < CHARGE_LIMIT);
        is_charged || now.since(self.heard_at) > self.timing.isolation_limit()
    }

    /// Returns whether a member is suspected by too few instances.
    pub(super) fn needs_evidence(&self, member: &Member) -> bool {
        member.state == MemberState::Suspect && member.accusers.len() < self.accusers_needed()
    }

    /// Returns how many instances must find a member silent: two, unless one alone is left.
    fn accusers_needed(&self) -> usize {
        // This instance and all that are not dead can be witnesses, but for the member itself.
        let live = self.members.values().filter(|m| m.state != MemberState::Dead).count();
        ACCUSERS_MIN.min(live).max(1)
    }

    /// Withdraws what this instance itself held against a member that it now hears from.
    pub(super) fn record_contact(&mut self, from: &InstanceName, now: Timestamp) {
        let Some(member) = self.members.get_mut(from) else {
            return;
        };
        if matches!(member.state, MemberState::Suspect | MemberState::Dead) {
            member.accusers.remove(&self.name);
            member.since = now;
            member.state = match member.accusers.is_empty() {
                true => MemberState::Alive,
                false => MemberState::Suspect,
            };
        }
    }

    /// Gives all suspected members their full time again, after refutations may have been missed.
    pub(super) fn restart_suspicions(&mut self, now: Timestamp) {
        for member in self.members.values_mut().filter(|m| m.state == MemberState::Suspect) {
            member.since = now;
        }
    }

    /// Holds a member for silent.
    pub(super) fn accuse(&mut self, target: &InstanceName, now: Timestamp) {
        let accuser = self.name.clone();
        let Some(member) = self.members.get(target).filter(|m| m.state != MemberState::Dead) else {
            return;
        };
        let mut update = update_of(target, member, Some(accuser));
        update.state = MemberState::Suspect;
        self.learn(update, now);
    }

    /// Declares members dead that did not refute the suspicion of enough instances in time.
    pub(super) fn declare_dead(&mut self, now: Timestamp) {
        let needed = self.accusers_needed();
        for (name, member) in &mut self.members {
            let is_due = member.state == MemberState::Suspect
                && now.since(member.since) >= self.timing.suspicion_limit
                && member.accusers.len() >= needed;
            if is_due {
                member.state = MemberState::Dead;
                member.since = now;
                self.news.add(update_of(name, member, None));
            }
        }
    }

    /// Takes news of a member, which a higher incarnation number or a worse state makes news.
    pub(super) fn learn(&mut self, mut update: Update, now: Timestamp) {
        if update.name == self.name {
            self.refute(&update, now);
            return;
        }
        if update.state == MemberState::Dead {
            // Each instance declares death itself, so that one that errs cannot spread it.
            update.state = MemberState::Suspect;
        }
        let name = update.name.clone();
        let data_centre = update.data_centre.clone();
        let member = self.members.entry(name).or_insert_with(|| new_member(data_centre, now));
        if update.incarnation < member.incarnation {
            // The sender missed what is known here.
            let current = update_of(&update.name, member, None);
            self.news.add(current);
            return;
        }
        let is_newer = update.incarnation > member.incarnation;
        let is_accusation = update.state == MemberState::Suspect;
        let is_first =
            is_accusation && matches!(member.state, MemberState::Alive | MemberState::Leaving);
        let accuser = update.accuser.clone().filter(|_| is_accusation);
        let is_another = accuser.as_ref().is_some_and(|name| !member.accusers.contains(name));
        if is_newer {
            member.accusers.clear();
            member.incarnation = update.incarnation;
        }
        if is_newer || is_first {
            member.state = update.state;
            member.since = now;
        }
        // More accusers than are needed settle nothing and need not be spread.
        let is_useful = is_another && member.accusers.len() < ACCUSERS_MIN;
        if is_useful || is_newer {
            member.accusers.extend(accuser);
        }
        if is_useful {
            self.members_to_notify.insert(update.name.clone());
        }
        if is_newer || is_first || is_useful {
            self.check_later(&update);
            self.news.add(update);
        }
    }

    /// Notes to probe a member that another instance found silent.
    fn check_later(&mut self, update: &Update) {
        let is_mine = update.accuser.as_ref() == Some(&self.name);
        let Some(member) = self.members.get(&update.name).filter(|_| !is_mine) else {
            return;
        };
        let is_witness = member.data_centre == self.data_centre || self.is_relay();
        if is_witness && self.needs_evidence(member) && !member.accusers.contains(&self.name) {
            self.members_to_probe.insert(update.name.clone());
        }
    }

    fn refute(&mut self, update: &Update, now: Timestamp) {
        let is_charge = matches!(update.state, MemberState::Suspect | MemberState::Dead);
        // An earlier process of this name left under a clock that was ahead.
        let is_outlived = update.state == MemberState::Leaving && !self.leaving;
        if is_charge {
            self.charged_at = Some(now);
        }
        if is_charge || is_outlived {
            // An old charge shows that its sender missed the refutation.
            self.incarnation = self.incarnation.max(update.incarnation + 1);
            self.announce_self();
        }
    }
}

/// Returns a member of which nothing was heard yet, so that any news of it is newer.
pub(super) fn new_member(data_centre: DataCentre, now: Timestamp) -> Member {
    let state = MemberState::Alive;
    Member { data_centre, state, incarnation: 0, since: now, accusers: BTreeSet::new() }
}

pub(super) fn update_of(
    name: &InstanceName,
    member: &Member,
    accuser: Option<InstanceName>,
) -> Update {
    Update {
        name: name.clone(),
        data_centre: member.data_centre.clone(),
        state: member.state,
        incarnation: member.incarnation,
        accuser,
    }
}
