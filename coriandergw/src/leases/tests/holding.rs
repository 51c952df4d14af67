//! Leases as the instance and a new leader see them, with the time passed in, and the choice of the
//! relay.

use super::*;
use crate::control::CommandKind;
use crate::control::Move;
use crate::control::Reassign;
use crate::control::Register;
use crate::control::TakeControl;
use crate::leases::generated::Grant;
use crate::leases::holder::GrantResult;
use crate::leases::holder::Holder;
use crate::leases::lease_table::LeaseTable;
use crate::membership::Liveness;

/// Returns a state in which instance 0 is the home of partition 3 in epoch 1.
fn control_state() -> ControlState {
    let mut state = ControlState::default();
    let register = Register {
        name: name(0).to_string(),
        data_centre: "dc".to_owned(),
        caller_address: "127.0.0.1:1".to_owned(),
        peer_address: "127.0.0.1:2".to_owned(),
        session: 1,
        wall_ms: 0,
    };
    state.apply(&CommandKind::Register(register).encode_command());
    let take = TakeControl { instance: name(0).to_string(), nonce: 1 };
    state.apply(&CommandKind::TakeControl(take).encode_command());
    assign(&mut state);
    state
}

fn assign(state: &mut ControlState) {
    let moves = vec![Move { holder: 1, partitions: vec![3] }];
    let against = state.table_revision().0;
    let reassign = Reassign { fencing: state.fencing().0, against, moves };
    state.apply(&CommandKind::Reassign(reassign).encode_command());
}

fn grant(state: &ControlState, fencing: u64) -> Grant {
    let published = state.published();
    Grant {
        fencing,
        revision: published.revision().0,
        digest: published.digest(),
        deltas: state.replica().deltas_after(Revision(0), usize::MAX).unwrap(),
        ..Grant::default()
    }
}

fn holder() -> Holder {
    let mut holder = Holder::new(name(0), Revision(0), Duration::from_secs(5));
    holder.set_incarnation(Some(1));
    holder
}

const SENT_AT: Timestamp = Timestamp(1_000_000);
const PARTITION: PartitionId = PartitionId(3);

#[test]
fn a_lease_counts_from_the_time_that_the_renewal_was_sent() {
    let mut holder = holder();
    assert_eq!(holder.held(PARTITION, SENT_AT), None);
    holder.on_grant(SENT_AT, 1, &grant(&control_state(), 1));
    assert_eq!(holder.held(PARTITION, SENT_AT), Some(Epoch(1)));
    assert_eq!(holder.held(PARTITION, SENT_AT + LEASE_DURATION), None);
}

#[test]
fn a_released_partition_is_not_held_until_it_is_given_anew() {
    let mut holder = holder();
    let mut state = control_state();
    holder.on_grant(SENT_AT, 1, &grant(&state, 1));
    assert!(holder.release(1, &[PARTITION]));
    holder.on_grant(SENT_AT, 1, &grant(&state, 1));
    assert_eq!(holder.held(PARTITION, SENT_AT), None);
    assign(&mut state);
    holder.on_grant(SENT_AT, 1, &grant(&state, 1));
    assert_eq!(holder.held(PARTITION, SENT_AT), Some(Epoch(2)));
}

#[test]
fn a_release_for_a_former_leader_ends_with_its_successor() {
    let mut holder = holder();
    let state = control_state();
    holder.on_grant(SENT_AT, 1, &grant(&state, 1));
    holder.release(1, &[PARTITION]);
    holder.on_grant(SENT_AT, 1, &grant(&state, 2));
    assert_eq!(holder.held(PARTITION, SENT_AT), Some(Epoch(1)));
    assert!(!holder.release(1, &[PARTITION]), "a release request of the former leader is rejected");
    let late = holder.on_grant(SENT_AT, 1, &grant(&state, 1));
    assert_eq!(late, GrantResult::Ignored);
}

#[test]
fn the_held_version_differs_wherever_the_held_partitions_do() {
    let mut holder = holder();
    let mut state = control_state();
    let mut seen = vec![(holder.held_version(SENT_AT), holder.all_held(SENT_AT))];
    let mut check = |holder: &Holder, now| {
        let (version, held) = (holder.held_version(now), holder.all_held(now));
        let (last_version, last_held) = seen.last().unwrap();
        assert_ne!(held, *last_held);
        assert_ne!(
            version, *last_version,
            "the version is the same for {held:?} and {last_held:?}"
        );
        seen.push((version, held));
    };
    holder.on_grant(SENT_AT, 1, &grant(&state, 1));
    check(&holder, SENT_AT);
    check(&holder, SENT_AT + LEASE_DURATION);
    check(&holder, SENT_AT);
    holder.release(1, &[PARTITION]);
    check(&holder, SENT_AT);
    holder.cancel_release(&[PARTITION]);
    check(&holder, SENT_AT);
    holder.release(1, &[PARTITION]);
    check(&holder, SENT_AT);
    holder.on_grant(SENT_AT, 1, &grant(&state, 2));
    check(&holder, SENT_AT);
    assign(&mut state);
    holder.on_grant(SENT_AT, 1, &grant(&state, 2));
    check(&holder, SENT_AT);
    holder.set_incarnation(Some(2));
    check(&holder, SENT_AT);
}

#[test]
fn a_state_that_differs_or_lacks_deltas_is_replaced_but_never_by_an_older_one() {
    let mut holder = holder();
    let state = control_state();
    let wrong = Grant { digest: 1, ..grant(&state, 1) };
    assert_eq!(holder.on_grant(SENT_AT, 1, &wrong), GrantResult::NeedsFull);
    assert!(!holder.is_fresh(SENT_AT));
    let truncated = Grant { deltas: vec![Bytes::from_static(b"\xff")], ..grant(&state, 1) };
    assert_eq!(holder.on_grant(SENT_AT, 1, &truncated), GrantResult::NeedsFull);
    assert!(holder.install(state.published().clone()));
    assert!(!holder.install(ControlState::default().published().clone()));
    holder.on_grant(SENT_AT, 1, &grant(&state, 1));
    assert!(holder.is_fresh(SENT_AT));
}

#[test]
fn a_new_leader_waits_for_the_leases_of_its_predecessor() {
    let start = SENT_AT;
    let mut table = LeaseTable::new(start);
    table.observe(&name(0), 2, start);
    let just_before = start + LEASE_DURATION;
    assert!(!table.earlier_incarnations_expired(&name(0), 2, just_before));
    assert!(!table.revoke_if_expired(&name(0), 2, just_before));
    let after = start + LEASE_DURATION + MAX_CLOCK_DRIFT;
    assert!(table.earlier_incarnations_expired(&name(0), 2, after));
    assert!(table.revoke_if_expired(&name(0), 2, after));
    assert!(
        !table.renew(&name(0), 2, Revision(1), Revision(1), after),
        "the instance is being declared dead"
    );
}

/// Reports one instance as unresponsive, so that it is avoided.
struct OneUnresponsive(InstanceName);

impl Liveness for OneUnresponsive {
    fn is_avoided(&self, name: &InstanceName) -> bool {
        *name == self.0
    }
}

#[tokio::test(start_paused = true)]
async fn an_unresponsive_instance_is_not_chosen_as_the_relay() {
    let cluster = Cluster::start(9).await;
    let relay = |number: usize| {
        let client = cluster.client(number);
        client.with_published(|published| client.relay_of(published))
    };
    assert_eq!(relay(7), Some(name(1)));
    cluster.client(7).set_liveness(Arc::new(OneUnresponsive(name(1))));
    assert_eq!(relay(7), Some(name(4)));
    assert_eq!(relay(4), Some(name(1)), "other instances may still choose the unresponsive one");
}
