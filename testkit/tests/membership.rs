//! Membership in real processes: who is left out of the address answers, and who is not.

use std::cell::RefCell;
use std::collections::BTreeSet;
use std::time::Duration;

use serde_json::Value;
use testkit::cluster::Cluster;
use testkit::cluster::ClusterOptions;
use testkit::cluster::OPERATOR_KEY;
use testkit::http;
use testkit::http::Call;
use testkit::http::Client;
use testkit::proxy::Faults;
use testkit::wait;
use tokio::time::Instant;

/// How long a one-way loss lasts while nobody else may be left out.
const FAULT_TIME: Duration = Duration::from_secs(8);

async fn start() -> Cluster {
    let options =
        ClusterOptions { instances: 5, stores: 3, data_centres: 2, ..ClusterOptions::default() };
    let cluster = Cluster::start(options).await;
    for name in cluster.names() {
        wait::find("all instances are in the answer and know each other", || async {
            let is_whole = named(&cluster, &name).await?.len() == cluster.names().len();
            (is_whole && answering(&cluster, &name).await.len() == 4).then_some(())
        })
        .await;
    }
    cluster
}

/// Returns the addresses that an instance tells callers, asked past the proxy.
async fn named(cluster: &Cluster, at: &str) -> Option<BTreeSet<String>> {
    let url = format!("http://{}/v1/addresses", cluster.direct_address(at));
    let answer = http::get(&url).await.ok()?.json();
    let addresses = answer["addresses"].as_array()?.iter();
    Some(addresses.filter_map(|one| one["address"].as_str().map(str::to_owned)).collect())
}

/// Returns the members of which an instance has heard and that it uses.
async fn answering(cluster: &Cluster, at: &str) -> BTreeSet<String> {
    let url = format!("http://{}/v1/status", cluster.direct_address(at));
    let call = Call::new(hyper::Method::GET, &url).bearer(OPERATOR_KEY);
    let status = Client::default().send(call).await.map_or(Value::Null, |answer| answer.json());
    let members = status["members"].as_array().cloned().unwrap_or_default();
    let is_used = |member: &&Value| {
        member["state"] == "alive" && member["avoided"] == false && member["incarnation"] != 0
    };
    let used = members.iter().filter(is_used);
    used.filter_map(|member| member["name"].as_str().map(str::to_owned)).collect()
}

async fn names(cluster: &Cluster, at: &str, of: &str) -> Option<bool> {
    Some(named(cluster, at).await?.contains(&cluster.address(of).to_string()))
}

fn others(cluster: &Cluster, than: &str) -> Vec<String> {
    cluster.names().into_iter().filter(|name| name != than).collect()
}

/// Waits until all other instances name an instance, or none does. Prints what they answer.
async fn until_named(cluster: &Cluster, of: &str, expected: bool) {
    for at in others(cluster, of) {
        let last = RefCell::new(None);
        wait::find(&format!("{at} names {of}: {expected}"), || async {
            let answer = named(cluster, &at).await;
            if last.borrow().as_ref() != Some(&answer) {
                println!("{at} names {answer:?}, uses {:?}", answering(cluster, &at).await);
                last.replace(Some(answer.clone()));
            }
            (answer?.contains(&cluster.address(of).to_string()) == expected).then_some(())
        })
        .await;
    }
}

#[tokio::test]
async fn a_frozen_instance_leaves_the_answers_and_comes_back_when_it_goes_on() {
    let cluster = start().await;
    cluster.freeze("e5").await;
    let frozen_at = Instant::now();
    until_named(&cluster, "e5", false).await;
    println!("left the answers of all others {:?} after the freeze", frozen_at.elapsed());
    for at in others(&cluster, "e5") {
        wait::find(&format!("the probes of {at} find e5 silent"), || async {
            (!answering(&cluster, &at).await.contains("e5")).then_some(())
        })
        .await;
        assert_eq!(named(&cluster, &at).await.unwrap().len(), 4, "the others stay in the answer");
    }
    cluster.thaw("e5");
    let thawed_at = Instant::now();
    until_named(&cluster, "e5", true).await;
    println!("came back to the answers of all others {:?} after it went on", thawed_at.elapsed());
}

#[tokio::test]
async fn a_killed_instance_comes_back_to_the_answers_when_it_is_started_again() {
    let mut cluster = start().await;
    cluster.kill("e4").await;
    until_named(&cluster, "e4", false).await;
    cluster.start_instance("e4").await;
    let started_at = Instant::now();
    cluster.ready("e4").await;
    until_named(&cluster, "e4", true).await;
    println!("came back to the answers of all others {:?} after the start", started_at.elapsed());
    let end = Instant::now() + FAULT_TIME;
    while Instant::now() < end {
        for at in others(&cluster, "e4") {
            assert_ne!(names(&cluster, &at, "e4").await, Some(false), "e4 left the answer of {at}");
        }
        tokio::time::sleep(Duration::from_millis(50)).await;
    }
}

#[tokio::test]
async fn one_way_loss_to_one_instance_takes_no_other_out() {
    let cluster = start().await;
    for other in others(&cluster, "e4") {
        cluster.set_link(&other, "e4", Faults::blocked());
    }
    let end = Instant::now() + FAULT_TIME;
    while Instant::now() < end {
        for at in others(&cluster, "e4") {
            for of in others(&cluster, "e4") {
                assert_ne!(names(&cluster, &at, &of).await, Some(false), "{of} at {at}");
            }
        }
        tokio::time::sleep(Duration::from_millis(50)).await;
    }
    cluster.rejoin("e4");
    until_named(&cluster, "e4", true).await;
}

#[tokio::test]
async fn an_instance_that_is_cut_off_still_names_others_to_its_callers() {
    let cluster = start().await;
    cluster.isolate("e5");
    until_named(&cluster, "e5", false).await;
    wait::find("e5 refuses new programs", || async {
        let url = format!("http://{}/readyz", cluster.direct_address("e5"));
        http::get(&url).await.ok().filter(|answer| answer.status == 503)
    })
    .await;
    let told = named(&cluster, "e5").await.unwrap();
    assert!(told.len() > 1, "{told:?}");
    cluster.rejoin("e5");
    until_named(&cluster, "e5", true).await;
}
