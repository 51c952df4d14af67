//! Applies updates and decides which members are suspected and declared dead.

use std::collections::BTreeSet;
use std::time::Duration;

use crate::clock::Timestamp;
use crate::ids::DataCentre;
use crate::ids::InstanceName;
use crate::membership::Member;
use crate::membership::MemberState;
use crate::membership::Members;
use crate::membership::Update;

/// How long an instance distrusts its own suspicions after it was itself suspected by another.
const ACCUSED_PERIOD: Duration = Duration::from_secs(5);

/// The number of instances that must suspect a member before the suspicion takes effect, if that
/// many can still suspect it.
const ACCUSERS_MIN: usize = 2;

impl Members {
    /// Returns the members that should get no new work or renewals at `now`: those leaving or dead,
    /// and those suspected by enough instances, unless this instance may itself be faulty.
    pub fn avoided(&self, now: Timestamp) -> BTreeSet<InstanceName> {
        let may_be_faulty = self.may_be_faulty(now);
        let needed = self.accusers_needed();
        let is_avoided = |(_, member): &(&InstanceName, &Member)| match member.state {
            MemberState::Alive => false,
            MemberState::Suspect => !may_be_faulty && member.accusers.len() >= needed,
            MemberState::Leaving | MemberState::Dead => true,
        };
        self.members.iter().filter(is_avoided).map(|(name, _)| name.clone()).collect()
    }

    /// Returns whether the fault may lie with this instance: it has received no message for some
    /// time, or another instance has recently suspected it.
    pub(super) fn may_be_faulty(&self, now: Timestamp) -> bool {
        let is_accused = self.accused_at.is_some_and(|at| now.since(at) < ACCUSED_PERIOD);
        is_accused || now.since(self.last_received_at) > self.timing.isolation_limit()
    }

    /// Returns whether a member is suspected, but by too few instances for it to take effect.
    pub(super) fn needs_evidence(&self, member: &Member) -> bool {
        member.state == MemberState::Suspect && member.accusers.len() < self.accusers_needed()
    }

    /// Returns how many instances must suspect a member: two, or one if only one can suspect it.
    fn accusers_needed(&self) -> usize {
        // The member cannot accuse itself but this instance can accuse it, so there are as many
        // possible accusers as other members that are not dead.
        let live = self.members.values().filter(|m| m.state != MemberState::Dead).count();
        ACCUSERS_MIN.min(live).max(1)
    }

    /// Withdraws this instance's own suspicion of a member that has just sent it a message.
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

    /// Restarts the time limit of all suspicions, since refutations may have been missed.
    pub(super) fn restart_suspicions(&mut self, now: Timestamp) {
        for member in self.members.values_mut().filter(|m| m.state == MemberState::Suspect) {
            member.since = now;
        }
    }

    /// Records that this instance suspects a member, and spreads the suspicion. It is spread again
    /// while the suspicions of others are missing, which may have been lost on their way.
    pub(super) fn accuse(&mut self, target: &InstanceName, now: Timestamp) {
        let Some(member) = self.members.get(target).filter(|m| m.state != MemberState::Dead) else {
            return;
        };
        let update = accusation_of(target, member, self.name.clone());
        if member.accusers.contains(&self.name) && self.needs_evidence(member) {
            self.update_queue.add(update);
        } else {
            self.apply_update(update, now);
        }
    }

    /// Spreads the suspicions that are known of a member again, for an instance that repeats its own
    /// and so has not received them.
    fn repeat_accusations(&mut self, target: &InstanceName, repeated_by: &InstanceName) {
        let Some(member) = self.members.get(target) else {
            return;
        };
        for accuser in member.accusers.iter().filter(|accuser| *accuser != repeated_by) {
            self.update_queue.add(accusation_of(target, member, accuser.clone()));
        }
    }

    /// Declares the members dead that enough instances suspect and that have not refuted it in
    /// time.
    pub(super) fn declare_dead(&mut self, now: Timestamp) {
        let needed = self.accusers_needed();
        for (name, member) in &mut self.members {
            let is_due = member.state == MemberState::Suspect
                && now.since(member.since) >= self.timing.suspicion_limit
                && member.accusers.len() >= needed;
            if is_due {
                member.state = MemberState::Dead;
                member.since = now;
                self.update_queue.add(update_of(name, member, None));
            }
        }
    }

    /// Applies an update if it has a higher incarnation number, starts a suspicion or adds an
    /// accuser to one.
    pub(super) fn apply_update(&mut self, mut update: Update, now: Timestamp) {
        if update.name == self.name {
            self.refute(&update, now);
            return;
        }
        if update.state == MemberState::Dead {
            // Each instance declares members dead on its own, so that a faulty instance cannot
            // spread a wrong declaration. A declaration by another counts as a suspicion.
            update.state = MemberState::Suspect;
        }
        let name = update.name.clone();
        let data_centre = update.data_centre.clone();
        let member = self.members.entry(name).or_insert_with(|| new_member(data_centre, now));
        if update.incarnation < member.incarnation {
            // The sender has missed the newer state, so it is spread again.
            let current = update_of(&update.name, member, None);
            self.update_queue.add(current);
            return;
        }
        let is_newer = update.incarnation > member.incarnation;
        let is_accusation = update.state == MemberState::Suspect;
        let is_new_suspicion =
            is_accusation && matches!(member.state, MemberState::Alive | MemberState::Leaving);
        let accuser = update.accuser.clone().filter(|_| is_accusation);
        let is_new_accuser = accuser.as_ref().is_some_and(|name| !member.accusers.contains(name));
        if is_newer {
            member.accusers.clear();
            member.incarnation = update.incarnation;
        }
        if is_newer || is_new_suspicion {
            member.state = update.state;
            member.since = now;
        }
        // Accusers beyond the required number change nothing and need not be spread.
        let adds_evidence = is_new_accuser && member.accusers.len() < ACCUSERS_MIN;
        if adds_evidence || is_newer {
            member.accusers.extend(accuser);
        }
        if adds_evidence {
            self.members_to_notify.insert(update.name.clone());
        }
        if is_newer || is_new_suspicion || adds_evidence {
            self.schedule_probe(&update);
            self.update_queue.add(update);
        } else if let Some(accuser) = update.accuser.filter(|_| is_accusation) {
            self.repeat_accusations(&update.name, &accuser);
        }
    }

    /// Schedules a probe of a member that another instance suspects, if more evidence is needed and
    /// this instance is in the same data centre or a relay.
    fn schedule_probe(&mut self, update: &Update) {
        let is_own_accusation = update.accuser.as_ref() == Some(&self.name);
        let Some(member) = self.members.get(&update.name).filter(|_| !is_own_accusation) else {
            return;
        };
        let can_verify = member.data_centre == self.data_centre || self.is_relay();
        if can_verify && self.needs_evidence(member) && !member.accusers.contains(&self.name) {
            self.members_to_probe.insert(update.name.clone());
        }
    }

    fn refute(&mut self, update: &Update, now: Timestamp) {
        let is_accusation = matches!(update.state, MemberState::Suspect | MemberState::Dead);
        // An earlier process of this name left while its clock was ahead, so its incarnation
        // number, which starts at the wall-clock time, is higher than that of this process.
        let is_stale_leave = update.state == MemberState::Leaving && !self.leaving;
        if is_accusation {
            self.accused_at = Some(now);
        }
        if is_accusation || is_stale_leave {
            // An accusation with an old incarnation number shows that its sender missed the
            // refutation.
            self.incarnation = self.incarnation.max(update.incarnation + 1);
            self.announce_self();
        }
    }
}

/// Returns a member with incarnation number 0, so that any update of it is newer.
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

/// Returns the update by which `accuser` suspects a member.
fn accusation_of(name: &InstanceName, member: &Member, accuser: InstanceName) -> Update {
    Update { state: MemberState::Suspect, ..update_of(name, member, Some(accuser)) }
}
