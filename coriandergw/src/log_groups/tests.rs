//! Tests of log nodes over an in-memory network, and of the encoding of their messages.

use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;

use bytes::Bytes;
use proptest::prelude::*;

use crate::clock::Timestamp;
use crate::events::EventNumber;
use crate::ids::CONTROL_GROUP;
use crate::ids::GroupId;
use crate::log_groups::ProposeError;
use crate::log_groups::ReplicatedLog;
use crate::log_groups::client::LogClient;
use crate::log_groups::core::Body;
use crate::log_groups::core::Core;
use crate::log_groups::core::Entry;
use crate::log_groups::core::Members;
use crate::log_groups::core::Message;
use crate::log_groups::core::Payload;
use crate::log_groups::core::Recovered;
use crate::log_groups::core::Snapshot;
use crate::log_groups::generated::Pulses;
use crate::log_groups::node::LogStartError;
use crate::log_groups::pulse::PulseCodec;
use crate::log_groups::test_cluster::Cluster;
use crate::log_groups::test_cluster::name;
use crate::log_groups::voters::VoterChange;
use crate::log_groups::wire;
use crate::result_code::ResultCode;
use crate::storage::Disk;
use crate::storage::identity::IDENTITY_FILE;
use crate::storage::identity::Identity;
use crate::storage::store::LOG_FILE;
use crate::test_support;
use crate::test_support::wait_for;

mod disks;

/// A snapshot interval larger than the number of entries that any test writes.
const NO_SNAPSHOTS: u64 = 1_000_000;

#[tokio::test(flavor = "multi_thread")]
async fn commands_proposed_anywhere_are_applied_everywhere() {
    let cluster = Cluster::start(NO_SNAPSHOTS).await;
    for at in 0..3 {
        cluster.propose(at, 5).await;
    }
    for at in 0..3 {
        cluster.applied(at, 15).await;
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn a_leader_cut_off_silently_loses_its_lease_before_another_leads() {
    let cluster = Cluster::start(NO_SNAPSHOTS).await;
    let old = cluster.leader(None).await;
    cluster.propose(old, 3).await;
    cluster.cut_off(old);
    let new = cluster.leader(Some(old)).await;
    let old_lease = cluster.members[old].node().lease_until(CONTROL_GROUP);
    assert!(cluster.now() >= old_lease, "two leases held at once");
    wait_for("the old leader to step down", || !cluster.members[old].is_leader()).await;
    let result = cluster.members[old].node().propose(CONTROL_GROUP, Bytes::from("late")).await;
    assert!(result.is_err(), "a leader without a quorum answered {result:?}");
    cluster.propose(new, 3).await;
    cluster.network.heal();
    let voters = [0, 1, 2];
    for at in voters {
        wait_for("the members to catch up", || cluster.members[at].applied_count() >= 6).await;
    }
    cluster.propose(old, 1).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn state_returns_from_disk_with_and_without_snapshots() {
    for snapshot_every in [NO_SNAPSHOTS, 7] {
        let mut cluster = Cluster::start(snapshot_every).await;
        cluster.propose(0, 30).await;
        for at in 0..3 {
            cluster.members[at].stop().await;
        }
        for at in 0..3 {
            cluster.start_member(at).expect("the data folder is intact");
        }
        cluster.leader(None).await;
        for at in 0..3 {
            cluster.applied(at, 30).await;
        }
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn a_member_far_behind_gets_the_snapshot_and_the_tail() {
    let mut cluster = Cluster::start(10).await;
    let leader = cluster.leader(None).await;
    let behind = (leader + 1) % 3;
    cluster.members[behind].stop().await;
    cluster.propose(leader, 75).await;
    cluster.start_member(behind).expect("the data folder is intact");
    cluster.applied(behind, 75).await;
    assert!(cluster.members[behind].has_event(EventNumber::LogSnapshotInstalled));
}

#[tokio::test(flavor = "multi_thread")]
async fn a_leader_whose_sync_fails_acknowledges_nothing_more() {
    let cluster = Cluster::start(NO_SNAPSHOTS).await;
    let old = cluster.leader(None).await;
    cluster.propose(old, 3).await;
    cluster.members[old].disk.fails_syncs.store(true, Ordering::SeqCst);
    // The others may commit the command or not; the client retries until it is committed.
    cluster.propose((old + 1) % 3, 1).await;
    wait_for("the storage failure event", || {
        cluster.members[old].has_event(EventNumber::LogStorageFailed)
    })
    .await;
    let new = cluster.leader(Some(old)).await;
    assert!(!cluster.members[old].is_leader());
    cluster.propose(new, 3).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn a_member_with_a_full_disk_leaves_the_quorum() {
    let mut cluster = Cluster::start(NO_SNAPSHOTS).await;
    let leader = cluster.leader(None).await;
    let full = (leader + 1) % 3;
    cluster.members[full].disk.free_bytes.store(0, Ordering::SeqCst);
    cluster.propose(leader, 3).await;
    let has_failed = || cluster.members[full].has_event(EventNumber::LogStorageFailed);
    wait_for("the storage failure event", has_failed).await;
    cluster.members[full].stop().await;
    cluster.members[full].disk.free_bytes.store(usize::MAX, Ordering::SeqCst);
    cluster.start_member(full).expect("nothing was overwritten");
    cluster.applied(full, 3).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn an_unfinished_write_is_truncated() {
    let mut cluster = Cluster::start(NO_SNAPSHOTS).await;
    cluster.propose(0, 5).await;
    cluster.members[0].stop().await;
    let disk = cluster.members[0].disk.clone();
    let intact_bytes = disk.read(LOG_FILE).expect("reads").expect("is there").len();
    disk.append(LOG_FILE, b"CGWF\xff\xff\0\0half a frame").expect("appends");
    cluster.start_member(0).expect("the data folder is intact");
    assert!(cluster.members[0].has_event(EventNumber::LogTailCut));
    cluster.applied(0, 5).await;
    let prefix = disk.read(LOG_FILE).expect("reads").expect("is there");
    assert!(prefix.get(intact_bytes..).is_none_or(|rest| !rest.starts_with(b"CGWF\xff\xff")));
}

#[tokio::test(flavor = "multi_thread")]
async fn a_member_with_a_damaged_log_receives_it_again_and_is_readmitted() {
    let mut cluster = Cluster::start(NO_SNAPSHOTS).await;
    let leader = cluster.leader(None).await;
    let damaged = (leader + 1) % 3;
    cluster.propose(leader, 5).await;
    cluster.members[damaged].stop().await;
    let disk = cluster.members[damaged].disk.clone();
    let mut bytes = disk.read(LOG_FILE).expect("reads").expect("is there");
    bytes[14] ^= 1;
    disk.replace(LOG_FILE, &bytes).expect("replaces");
    cluster.start_member(damaged).expect("starts as a learner");
    assert!(cluster.members[damaged].has_event(EventNumber::LogSetAside));
    let kept = disk.read(&format!("{LOG_FILE}.damaged-1")).expect("reads");
    assert_eq!(kept, Some(bytes), "the damaged file is kept");
    let lost_groups = || Identity::read(&*disk).expect("reads").expect("is there").lost_groups;
    assert_eq!(lost_groups().into_iter().collect::<Vec<_>>(), [CONTROL_GROUP.0]);
    cluster.applied(damaged, 5).await;
    let same = cluster.members[damaged].name.clone();
    let leader = cluster.leader(None).await;
    let node = cluster.members[leader].node();
    let change = VoterChange::Replace { old: same.clone(), new: same };
    node.change_voters(CONTROL_GROUP, change).await.expect("the change starts");
    wait_for("the vote to be regained", || lost_groups().is_empty()).await;
    cluster.propose(leader, 1).await;
    cluster.applied(damaged, 6).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn a_new_voter_completes_the_quorum_after_a_second_loss() {
    let mut cluster = Cluster::start(10).await;
    let leader = cluster.leader(None).await;
    let (first, second) = ((leader + 1) % 3, (leader + 2) % 3);
    cluster.propose(leader, 25).await;
    cluster.members[first].stop().await;
    let added_member = cluster.add("d");
    cluster.start_member(added_member).expect("the data folder is new");
    let (old, new) =
        (cluster.members[first].name.clone(), cluster.members[added_member].name.clone());
    let node = cluster.members[leader].node();
    let change = VoterChange::Replace { old, new };
    node.change_voters(CONTROL_GROUP, change).await.expect("the change starts");
    let voters_changed = |at: usize| {
        let number = EventNumber::LogVotersChanged.number();
        cluster.members[at].cx.events.select(|event| event.number == number).len()
    };
    wait_for("all steps of the change", || voters_changed(leader) == 3).await;
    cluster.members[second].stop().await;
    cluster.propose(leader, 1).await;
    cluster.members[leader].stop().await;
    cluster.start_member(leader).expect("the data folder is intact");
    cluster.leader(None).await;
    cluster.propose(added_member, 1).await;
    cluster.applied(added_member, 27).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn a_voter_is_added_and_another_one_removed() {
    let mut cluster = Cluster::start(10).await;
    let leader = cluster.leader(None).await;
    cluster.propose(leader, 25).await;
    let added_member = cluster.add("d");
    cluster.start_member(added_member).expect("the data folder is new");
    let node = cluster.members[leader].node();
    let members = node.members(CONTROL_GROUP).expect("the group is known");
    let added = VoterChange::Add(cluster.members[added_member].name.clone());
    node.change_voters(CONTROL_GROUP, added).await.expect("the change starts");
    wait_for("four voters", || members.borrow().voters.len() == 4).await;
    let removed = cluster.members[(leader + 1) % 3].name.clone();
    // The membership is in force before its entry is committed, but the next change is refused
    // until then.
    let removal = VoterChange::Remove(removed.clone());
    while node.change_voters(CONTROL_GROUP, removal.clone()).await.is_err() {
        tokio::time::sleep(Duration::from_millis(5)).await;
    }
    wait_for("three voters", || members.borrow().voters.len() == 3).await;
    assert!(!members.borrow().voters.contains(&removed));
    cluster.propose(leader, 1).await;
    cluster.applied(added_member, 26).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn a_replacement_by_an_instance_that_never_starts_can_be_cancelled() {
    let mut cluster = Cluster::start(NO_SNAPSHOTS).await;
    let leader = cluster.leader(None).await;
    let added_member = cluster.add("d");
    let (old, new) = (
        cluster.members[(leader + 1) % 3].name.clone(),
        cluster.members[added_member].name.clone(),
    );
    let node = cluster.members[leader].node();
    let members = node.members(CONTROL_GROUP).expect("the group is known");
    let change = VoterChange::Replace { old, new: new.clone() };
    node.change_voters(CONTROL_GROUP, change).await.expect("the change starts");
    wait_for("the learner", || members.borrow().learners.contains(&new)).await;
    let end = VoterChange::Remove(new);
    while node.change_voters(CONTROL_GROUP, end.clone()).await.is_err() {
        tokio::time::sleep(Duration::from_millis(5)).await;
    }
    assert_eq!(members.borrow().voters.len(), 3);
    wait_for("the end of the replacement", || members.borrow().replacement.is_none()).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn a_folder_of_another_instance_is_refused() {
    let mut cluster = Cluster::start(NO_SNAPSHOTS).await;
    cluster.members[0].stop().await;
    cluster.members[1].stop().await;
    cluster.members[0].disk = cluster.members[1].disk.clone();
    let before = cluster.members[0].disk.read(IDENTITY_FILE).expect("reads");
    let refused = cluster.start_member(0);
    let Err(LogStartError::Storage { cause }) = refused else {
        panic!("started on the data folder of another instance");
    };
    assert_eq!(cause.code(), ResultCode::ForeignDataFolder);
    assert_eq!(cluster.members[0].disk.read(IDENTITY_FILE).expect("reads"), before);
}

#[tokio::test(flavor = "multi_thread")]
async fn an_instance_without_a_disk_proposes_through_the_voters() {
    let cluster = Cluster::start(NO_SNAPSHOTS).await;
    let transport = cluster.network.join(name("entry"));
    let client = LogClient::new(transport, ["a", "b", "c"].map(name).to_vec());
    let answer = client.propose(CONTROL_GROUP, Bytes::from("x")).await;
    assert_eq!(answer, Ok(Bytes::from("0")));
    assert!(client.leader(CONTROL_GROUP).is_some());
    let refused = client.propose(GroupId(9), Bytes::from("x")).await;
    assert!(matches!(refused, Err(ProposeError::NotProposed { .. })), "{refused:?}");
}

#[tokio::test(flavor = "multi_thread")]
async fn a_client_distinguishes_lost_answers_from_commands_that_were_not_proposed() {
    let cluster = Cluster::start(NO_SNAPSHOTS).await;
    let leader = cluster.leader(None).await;
    let client = LogClient::new(
        cluster.network.join(name("entry")),
        vec![cluster.members[leader].name.clone()],
    );
    cluster.network.cut(&cluster.members[leader].name, &name("entry"));
    let lost = client.propose(CONTROL_GROUP, Bytes::from("x")).await;
    assert!(matches!(lost, Err(ProposeError::Unknown { .. })), "{lost:?}");
    let nowhere = LogClient::new(cluster.network.join(name("entry")), vec![name("nobody")]);
    let refused = nowhere.propose(CONTROL_GROUP, Bytes::from("x")).await;
    assert!(matches!(refused, Err(ProposeError::NotProposed { .. })), "{refused:?}");
    let applied = Arc::clone(&cluster.members[leader].applied);
    wait_for("the lost command", || !applied.lock().expect("not poisoned").is_empty()).await;
}

fn last_entry_bodies() -> impl Strategy<Value = Body> {
    (any::<bool>(), any::<u64>(), any::<u64>()).prop_map(|(pre, last_index, last_term)| match pre {
        true => Body::PreVote { last_index, last_term },
        false => Body::Vote { last_index, last_term },
    })
}

fn bodies() -> impl Strategy<Value = Body> {
    let small = || prop_oneof![0u64..6, any::<u64>()];
    let payload = prop_oneof![
        Just(Payload::Empty),
        Just(Payload::Command(Bytes::from("x"))),
        Just(Payload::Members(Members::of_voters([name("a"), name("z")]))),
    ];
    let entry = (small(), small(), payload).prop_map(|(index, term, payload)| Entry {
        index,
        term,
        payload,
    });
    let append = (small(), small(), small(), prop::collection::vec(entry, 0..4)).prop_map(
        |(prev_index, prev_term, commit, entries)| Body::Append {
            prev_index,
            prev_term,
            commit,
            entries,
        },
    );
    let chunk =
        (small(), small(), small(), small()).prop_map(|(index, index_term, offset, total)| {
            Body::Chunk {
                index,
                index_term,
                members: Members::of_voters([name("a")]),
                offset,
                total,
                data: Bytes::from("data"),
            }
        });
    prop_oneof![
        last_entry_bodies(),
        any::<bool>().prop_map(|granted| Body::PreVoteAnswer { granted }),
        any::<bool>().prop_map(|granted| Body::VoteAnswer { granted }),
        append,
        small().prop_map(|matched| Body::AppendAnswer { matched }),
        small().prop_map(|next| Body::AppendRefused { next }),
        (small(), any::<bool>())
            .prop_map(|(commit, is_voter)| Body::Heartbeat { commit, is_voter }),
        Just(Body::HeartbeatAnswer),
        chunk,
        (small(), small()).prop_map(|(index, received)| Body::ChunkAnswer { index, received }),
    ]
}

fn messages() -> impl Strategy<Value = Vec<(GroupId, Message)>> {
    let term = prop_oneof![9 => 0u64..9, 1 => u64::MAX / 2 - 1..u64::MAX];
    let message =
        (term, any::<u64>(), any::<bool>(), bodies()).prop_map(|(term, sent_at, counts, body)| {
            (CONTROL_GROUP, Message { term, sent_at: Timestamp(sent_at), counts, body })
        });
    prop::collection::vec(message, 0..12)
}

proptest! {
    #![proptest_config(test_support::random_cases())]

    #[test]
    fn messages_are_unchanged_by_encoding_and_decoding(messages in messages()) {
        let bytes = wire::encode_envelope("test", messages.clone(), Pulses::default());
        let decoded = wire::decode_envelope("test", bytes.clone());
        prop_assert_eq!(decoded, Ok((messages, Pulses::default())));
        prop_assert!(wire::decode_envelope("other", bytes).is_err());
    }

    #[test]
    fn damaged_envelopes_are_errors_or_parse(
        messages in messages(),
        noise in prop::collection::vec((any::<prop::sample::Index>(), any::<u8>()), 1..6),
    ) {
        let (codec, mut others) = (&mut PulseCodec::default(), messages);
        let pulses = codec.pack(&name("b"), &mut others);
        let mut bytes = wire::encode_envelope("test", others, pulses).to_vec();
        for (at, byte) in noise {
            let at = at.index(bytes.len());
            bytes[at] = byte;
        }
        if let Ok((messages, pulses)) = wire::decode_envelope("test", bytes.into()) {
            let again = wire::encode_envelope("test", messages.clone(), pulses.clone());
            prop_assert_eq!(wire::decode_envelope("test", again), Ok((messages, pulses.clone())));
            codec.unpack(&name("a"), pulses);
        }
    }

    #[test]
    fn no_message_makes_a_core_panic(messages in messages(), seed in any::<u64>()) {
        let members = Members::of_voters(["a", "b", "c"].map(name));
        let recovered = Recovered::new(Snapshot { members, ..Snapshot::default() });
        let mut core = Core::new(name("a"), recovered, seed, Timestamp(1));
        let mut now = Timestamp(1);
        for (_, message) in messages {
            now = now + Duration::from_millis(300);
            core.step(&name("b"), message, now);
            core.tick(now);
            core.take_messages(now);
            core.take_apply();
            core.take_batch();
            core.synced(now);
            prop_assert!(core.commit_index() <= core.last_index());
        }
    }
}
