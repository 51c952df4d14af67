//! Each change is applied once and reaches every instance.

use super::*;
use crate::leases::generated::Renewal;
use crate::leases::generated::request::Kind;
use crate::leases::messages::encode_request;
use crate::result_code::ResultCode;

fn all_applied(cluster: &Cluster, revision: Revision) -> bool {
    cluster
        .clients
        .values()
        .all(|client| client.revision() >= revision && client.entry(&entry_name()).is_some())
}

#[tokio::test(start_paused = true)]
async fn an_accepted_change_is_in_force_everywhere_also_after_a_leader_change() {
    let cluster = Cluster::start(12).await;
    let first = cluster.put(11, "c1", 0).await.unwrap();
    assert!(cluster.client(11).revision() >= first, "applied on the instance that answered");
    cluster.wait_until(|cluster| all_applied(cluster, first)).await;
    cluster.set_leader(1);
    let second = cluster.put(10, "c2", first.0).await.unwrap();
    cluster.wait_until(|cluster| all_applied(cluster, second)).await;
    assert_eq!(cluster.put(3, "c1", 0).await, Ok(first), "the first answer is kept");
}

#[tokio::test(start_paused = true)]
async fn a_change_whose_answers_are_lost_is_made_once() {
    let cluster = Cluster::start(3).await;
    cluster.log.lost_answers.store(3, Ordering::Relaxed);
    let revision = cluster.put(2, "c1", 0).await.unwrap();
    let entry = cluster.client(2).entry(&entry_name()).unwrap();
    assert_eq!(entry.revision, revision);
    cluster.log.lost_answers.store(u64::MAX, Ordering::Relaxed);
    let unknown = cluster.put(2, "c2", revision.0).await.unwrap_err();
    assert_eq!((unknown.code, unknown.not_run), (ResultCode::NoQuorum, false));
    *cluster.log.leader.lock().unwrap() = None;
    let refused = cluster.put(2, "c3", revision.0).await.unwrap_err();
    assert_eq!((refused.code, refused.not_run), (ResultCode::NoQuorum, true));
}

#[tokio::test(start_paused = true)]
async fn exactly_one_of_the_concurrent_changes_against_one_revision_is_accepted() {
    let cluster = Cluster::start(6).await;
    let first = cluster.put(0, "c0", 0).await.unwrap();
    let ids: Vec<String> = (0..6).map(|number| format!("race-{number}")).collect();
    let changes = ids.iter().enumerate().map(|(number, id)| cluster.put(number, id, first.0));
    let answers = futures_util::future::join_all(changes).await;
    let winner = answers.iter().position(Result::is_ok).unwrap();
    for (number, answer) in answers.iter().enumerate().filter(|(number, _)| *number != winner) {
        let refusal = answer.as_ref().unwrap_err();
        assert_eq!(refusal.code, ResultCode::RevisionConflict, "race-{number}");
        assert!(refusal.message.contains(&ids[winner]), "{refusal}");
    }
}

#[tokio::test(start_paused = true)]
async fn a_restarted_instance_catches_up_and_its_revision_never_decreases() {
    let folder = tempfile::tempdir().unwrap();
    let mut cluster = Cluster::start(4).await;
    cluster.join(3, Some(folder.path()));
    cluster.wait_until(Cluster::is_balanced).await;
    let mut revision = cluster.put(3, "c0", 0).await.unwrap();
    cluster.client(3).stop();
    for number in 1..300 {
        revision = cluster.put(0, &format!("c{number}"), revision.0).await.unwrap();
    }
    let before = cluster.client(3).revision();
    // A state that is restored from a snapshot has no deltas, so the full state must be fetched.
    let snapshot = cluster.state.read().unwrap().snapshot();
    *cluster.state.write().unwrap() = ControlState::restore(&snapshot).unwrap();
    cluster.join(3, Some(folder.path()));
    let restarted = cluster.client(3).clone();
    assert!(restarted.revision() >= before);
    assert!(!restarted.is_fresh(cluster.now()), "the configuration is not confirmed yet");
    cluster.wait_until(|cluster| cluster.client(3).is_fresh(cluster.now())).await;
    assert_eq!(restarted.entry(&entry_name()).unwrap().revision, revision);
}

#[tokio::test(start_paused = true)]
async fn status_shows_who_is_behind_and_history_who_changed_what() {
    let cluster = Cluster::start(6).await;
    let revision = cluster.put(4, "c1", 0).await.unwrap();
    cluster.wait_until(|cluster| all_applied(cluster, revision)).await;
    let history = cluster.client(5).history(&entry_name()).await.unwrap();
    assert_eq!((history.len(), history[0].change_id.as_str()), (1, "c1"));
    let status = cluster.client(5).status().await;
    assert_eq!(status.leader.as_deref(), Some("i00"));
    assert_eq!(status.instances.len(), 6);
    let partitions: usize = status.instances.iter().map(|instance| instance.partitions).sum();
    assert_eq!(partitions, usize::from(PARTITION_COUNT));
    cluster.cut_off(5);
    cluster.put(4, "c2", revision.0).await.unwrap();
    tokio::time::sleep(RENEWAL_INTERVAL * 2).await;
    let status = cluster.client(4).status().await;
    let cut = &status.instances[5];
    assert!(cut.applied_revision < Some(status.revision) && cut.behind_ms > Some(500));
}

#[test]
fn an_idle_renewal_takes_under_60_bytes() {
    let renewal = Renewal { incarnation: 100_000, revision: u64::from(u32::MAX), leaving: false };
    let bytes = encode_request(Kind::Renewal(renewal)).len();
    println!("an idle renewal takes {bytes} bytes");
    assert!(bytes < 60);
}
