//! Tests of log nodes whose disks refuse writes for a while.

use std::sync::atomic::Ordering;
use std::time::Duration;

use bytes::Bytes;
use rand::Rng;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;
use tokio::sync::watch;

use crate::events::EventNumber;
use crate::ids::CONTROL_GROUP;
use crate::log_groups::ReplicatedLog;
use crate::log_groups::client::LogClient;
use crate::log_groups::test_cluster::Cluster;
use crate::log_groups::test_cluster::name;
use crate::log_groups::tests::NO_SNAPSHOTS;
use crate::storage::Disk;
use crate::storage::identity::IDENTITY_FILE;
use crate::storage::store::LOG_FILE;
use crate::test_support::wait_for;

/// Proposes one command through each running member until a disk has refused a write.
async fn refuse_one_write(cluster: &Cluster, at: usize) {
    let other = (at + 1) % cluster.members.len();
    let proposals = async {
        loop {
            let command = Bytes::from("filler");
            // A proposal fails while the members elect another leader.
            let _ = cluster.members[other].node().propose(CONTROL_GROUP, command).await;
            tokio::time::sleep(Duration::from_millis(5)).await;
        }
    };
    tokio::select! {
        () = cluster.members[at].refuse_one_write() => {}
        () = proposals => {}
    }
}

/// Guards against a group that has no quorum although every disk takes writes again.
#[tokio::test(flavor = "multi_thread")]
async fn a_group_outlives_disks_that_refused_writes_one_after_the_other() {
    let cluster = Cluster::start(NO_SNAPSHOTS).await;
    cluster.propose(0, 1).await;
    for at in 0..3 {
        refuse_one_write(&cluster, at).await;
    }
    cluster.leader(None).await;
    cluster.propose(0, 3).await;
    let acknowledged = [0, 1, 2, 3].map(|number| Bytes::from(format!("command {number}")));
    for member in &cluster.members {
        let has_all = || {
            let applied = member.applied.lock().expect("not poisoned");
            acknowledged.iter().all(|command| applied.contains(command))
        };
        wait_for("the acknowledged commands", has_all).await;
        assert!(member.node().is_writable());
    }
}

/// Guards against a member that never votes again because its disk was full at its start.
#[tokio::test(flavor = "multi_thread")]
async fn a_member_that_started_with_a_full_disk_votes_once_there_is_room() {
    let mut cluster = Cluster::start(NO_SNAPSHOTS).await;
    cluster.propose(0, 3).await;
    for at in 0..3 {
        cluster.members[at].stop().await;
        cluster.members[at].disk.set_full(true);
    }
    for at in 0..3 {
        cluster.start_member(at).expect("the data folder is intact");
    }
    let failed = |at: usize| cluster.members[at].has_event(EventNumber::LogStorageFailed);
    wait_for("a refused vote", || (0..3).any(failed)).await;
    for member in &cluster.members {
        member.disk.set_full(false);
    }
    cluster.leader(None).await;
    cluster.propose(1, 1).await;
    for at in 0..3 {
        cluster.applied(at, 4).await;
    }
}

/// Guards against the rest of a write that was cut short being read as damage.
#[tokio::test(flavor = "multi_thread")]
async fn a_write_that_was_cut_short_is_truncated_before_the_next_one() {
    let mut cluster = Cluster::start(NO_SNAPSHOTS).await;
    let leader = cluster.leader(None).await;
    let full = (leader + 1) % 3;
    cluster.members[full].disk.free_bytes.store(7, Ordering::SeqCst);
    cluster.propose(leader, 3).await;
    let failed = || cluster.members[full].has_event(EventNumber::LogStorageFailed);
    wait_for("the storage failure event", failed).await;
    cluster.members[full].disk.set_full(false);
    cluster.propose(leader, 3).await;
    cluster.applied(full, 6).await;
    cluster.members[full].stop().await;
    cluster.start_member(full).expect("the data folder is intact");
    assert!(!cluster.members[full].has_event(EventNumber::LogSetAside));
    cluster.applied(full, 6).await;
}

/// Guards against bytes of a failed sync that are read back and are not durable.
#[tokio::test(flavor = "multi_thread")]
async fn records_of_a_failed_sync_are_written_again() {
    let mut cluster = Cluster::start(NO_SNAPSHOTS).await;
    let leader = cluster.leader(None).await;
    let failing = (leader + 1) % 3;
    cluster.members[failing].disk.fails_syncs.store(true, Ordering::SeqCst);
    cluster.propose(leader, 3).await;
    let failed = || cluster.members[failing].has_event(EventNumber::LogStorageFailed);
    wait_for("the storage failure event", failed).await;
    cluster.members[failing].disk.fails_syncs.store(false, Ordering::SeqCst);
    cluster.propose(leader, 3).await;
    cluster.applied(failing, 6).await;
    cluster.members[failing].stop().await;
    cluster.members[failing].disk.lose_power();
    cluster.start_member(failing).expect("the data folder is intact");
    assert!(!cluster.members[failing].has_event(EventNumber::LogSetAside));
    cluster.applied(failing, 6).await;
}

/// Guards against entries that were read at the start, acknowledged and lost with the power.
#[tokio::test(flavor = "multi_thread")]
async fn what_is_read_at_the_start_is_durable_before_it_is_acknowledged() {
    let mut cluster = Cluster::start(NO_SNAPSHOTS).await;
    cluster.propose(0, 3).await;
    for at in 0..3 {
        cluster.applied(at, 3).await;
    }
    for member in &mut cluster.members {
        member.stop().await;
    }
    let disk = cluster.members[0].disk.clone();
    // A process that is killed between a write and its sync leaves bytes that are only read back.
    let bytes = disk.read(LOG_FILE).expect("reads").expect("is there");
    disk.replace(LOG_FILE, &[]).expect("replaces");
    disk.append(LOG_FILE, &bytes).expect("appends");
    cluster.start_member(0).expect("the data folder is intact");
    cluster.members[0].stop().await;
    disk.lose_power();
    assert_eq!(disk.read(LOG_FILE).expect("reads").unwrap_or_default().len(), bytes.len());
}

/// Proposes numbered commands one after the other; returns those that were acknowledged when `stop`
/// turns true.
async fn propose_until(client: LogClient, stop: watch::Receiver<bool>) -> Vec<Bytes> {
    let mut acknowledged = Vec::new();
    for number in 0.. {
        let command = Bytes::from(format!("numbered {number}"));
        if client.propose(CONTROL_GROUP, command.clone()).await.is_ok() {
            acknowledged.push(command);
        }
        if *stop.borrow() {
            break;
        }
    }
    acknowledged
}

fn heal(cluster: &Cluster) {
    for member in &cluster.members {
        member.disk.set_full(false);
        member.disk.fails_syncs.store(false, Ordering::SeqCst);
    }
}

/// Guards against commands that were acknowledged and are lost, or a group that stays without a
/// leader, whatever disks refuse, lose power or restart in turn.
#[tokio::test(flavor = "multi_thread")]
async fn acknowledged_commands_outlive_random_disk_faults() {
    for seed in 0..6 {
        let mut rng = ChaCha8Rng::seed_from_u64(seed);
        let mut cluster = Cluster::start(20).await;
        let voters = ["a", "b", "c"].map(name).to_vec();
        let client = LogClient::new(cluster.network.join(name("client")), voters);
        let (stop, stopped) = watch::channel(false);
        let proposals = tokio::spawn(propose_until(client, stopped));
        for _ in 0..25 {
            let at = rng.random_range(0..3);
            match rng.random_range(0..6) {
                0 => cluster.members[at].disk.set_full(true),
                1 => cluster.members[at].disk.free_bytes.store(9, Ordering::SeqCst),
                2 => cluster.members[at].disk.fails_syncs.store(true, Ordering::SeqCst),
                3 => {
                    cluster.members[at].stop().await;
                    cluster.members[at].disk.lose_power();
                    cluster.start_member(at).expect("the data folder is intact");
                }
                _ => heal(&cluster),
            }
            tokio::time::sleep(Duration::from_millis(rng.random_range(0..60))).await;
        }
        heal(&cluster);
        cluster.leader(None).await;
        cluster.propose(0, 1).await;
        stop.send_replace(true);
        let acknowledged = proposals.await.expect("no panic");
        assert!(!acknowledged.is_empty(), "nothing was acknowledged with seed {seed}");
        for member in &cluster.members {
            let lost = || {
                let applied = member.applied.lock().expect("not poisoned");
                acknowledged.iter().filter(|command| !applied.contains(command)).count()
            };
            wait_for("the acknowledged commands", || lost() == 0).await;
            let damaged = member.has_event(EventNumber::LogSetAside);
            assert!(!damaged, "the log of {} was set aside with seed {seed}", member.name);
        }
        for member in &mut cluster.members {
            member.stop().await;
        }
    }
}

/// Guards against a process that stays up after its log has ended for good.
#[tokio::test(flavor = "multi_thread")]
async fn a_log_whose_data_folder_became_foreign_ends_the_process() {
    let cluster = Cluster::start(NO_SNAPSHOTS).await;
    let leader = cluster.leader(None).await;
    let (at, other) = ((leader + 1) % 3, (leader + 2) % 3);
    let foreign = cluster.members[other].disk.read(IDENTITY_FILE).expect("reads");
    let foreign = foreign.expect("is there");
    cluster.members[at].disk.replace(IDENTITY_FILE, &foreign).expect("replaces");
    refuse_one_write(&cluster, at).await;
    let failure = cluster.members[at].cx.supervisor.failed().await;
    assert_eq!(failure.task, "run the log groups");
    assert!(cluster.members[at].has_event(EventNumber::LogStopped));
}
