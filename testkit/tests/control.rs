//! The control state in real processes: changes in force everywhere, also when the leader is lost.

use serde_json::Value;
use serde_json::json;
use testkit::cluster::Cluster;
use testkit::cluster::ClusterOptions;
use testkit::cluster::OPERATOR_KEY;
use testkit::http::Call;
use testkit::http::Client;
use testkit::operator::EntryChange;
use testkit::operator::Operator;
use testkit::operator::accepted_revision;
use testkit::wait;

async fn start() -> Cluster {
    let options = ClusterOptions { instances: 5, stores: 3, ..ClusterOptions::default() };
    Cluster::start(options).await
}

/// Sends a change to any running instance until it is accepted.
async fn put(cluster: &Cluster, id: &str, against: u64) -> u64 {
    let change = EntryChange {
        entry: "costing".to_owned(),
        body: json!({"owner": "o"}),
        against,
        id: id.to_owned(),
    };
    let operator = Operator::default();
    let names = cluster.running();
    let mut turn = 0;
    wait::find("the change is accepted", || {
        turn += 1;
        let to = cluster.address(&names[turn % names.len()]);
        let (operator, change) = (&operator, &change);
        async move {
            let sent = operator.put(to, change);
            let answer = tokio::time::timeout(std::time::Duration::from_secs(3), sent).await;
            accepted_revision(&answer.ok()?.ok()?)
        }
    })
    .await
}

async fn in_force(cluster: &Cluster, names: &[String], revision: u64) {
    let operator = Operator::default();
    for name in names {
        let at = cluster.address(name);
        wait::find("the change is in force", || async {
            operator.revision(at, "costing").await.filter(|found| *found == revision)
        })
        .await;
    }
}

async fn status(cluster: &Cluster, name: &str) -> Value {
    let url = format!("http://{}/v1/status", cluster.address(name));
    let call = Call::new(hyper::Method::GET, &url).bearer(OPERATOR_KEY);
    Client::default().send(call).await.map_or(Value::Null, |answer| answer.json())
}

#[tokio::test]
async fn a_change_is_in_force_everywhere_also_while_the_leader_is_frozen() {
    let cluster = start().await;
    let first = put(&cluster, "c1", 0).await;
    in_force(&cluster, &cluster.names(), first).await;
    let leader = wait::find("there is a leader", || async {
        status(&cluster, "e5").await["leader"].as_str().map(str::to_owned)
    })
    .await;
    cluster.freeze(&leader).await;
    let others: Vec<String> = cluster.names().into_iter().filter(|name| *name != leader).collect();
    let operator = Operator::default();
    let change = EntryChange {
        entry: "costing".to_owned(),
        body: json!({"owner": "p"}),
        against: first,
        id: "c2".to_owned(),
    };
    let second = wait::find("the change is accepted without the leader", || async {
        let answer = operator.put(cluster.address(&others[0]), &change).await.ok()?;
        accepted_revision(&answer)
    })
    .await;
    in_force(&cluster, &others, second).await;
    cluster.thaw(&leader);
    in_force(&cluster, &cluster.names(), second).await;
    let resent = operator.put(cluster.address(&leader), &change).await.unwrap();
    assert_eq!(accepted_revision(&resent), Some(second));
    wait::find("all partitions have homes that are alive", || async {
        let status = status(&cluster, "e1").await;
        let instances = status["instances"].as_array()?;
        let alive = instances.iter().filter(|instance| instance["state"] == "alive");
        let held: u64 = alive.filter_map(|instance| instance["partitions"].as_u64()).sum();
        (held == 4_096).then_some(())
    })
    .await;
}
