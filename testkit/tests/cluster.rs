//! The harness itself: real processes start, die, freeze and stop behind proxies.

use testkit::cluster::Cluster;
use testkit::cluster::ClusterOptions;
use testkit::http;
use testkit::wait;

fn one() -> ClusterOptions {
    ClusterOptions { instances: 1, stores: 1, ..ClusterOptions::default() }
}

async fn answers(cluster: &Cluster) -> bool {
    let url = format!("http://{}/healthz", cluster.address("e1"));
    http::get(&url).await.is_ok_and(|answer| answer.status == 200)
}

#[tokio::test]
async fn a_killed_instance_is_reached_again_at_the_same_address() {
    let mut cluster = Cluster::start(one()).await;
    assert!(answers(&cluster).await);
    let before = cluster.direct_address("e1");
    cluster.kill("e1").await;
    assert!(!answers(&cluster).await);
    cluster.start_instance("e1").await;
    cluster.ready("e1").await;
    assert_ne!(cluster.direct_address("e1"), before);
    assert!(answers(&cluster).await);
}

#[tokio::test]
async fn a_frozen_instance_goes_on_and_a_stopped_one_ends_with_success() {
    let mut cluster = Cluster::start(one()).await;
    cluster.freeze("e1").await;
    let url = format!("http://{}/healthz", cluster.address("e1"));
    tokio::select! {
        _ = http::get(&url) => panic!("a frozen process does not answer"),
        () = tokio::time::sleep(std::time::Duration::from_millis(200)) => {}
    }
    cluster.thaw("e1");
    wait::find("the thawed instance answers", || async { answers(&cluster).await.then_some(()) })
        .await;
    cluster.terminate("e1");
    assert!(cluster.stopped("e1").await.success());
}
