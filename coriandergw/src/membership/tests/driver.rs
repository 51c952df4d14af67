use std::sync::Arc;

use bytes::Bytes;

use super::*;
use crate::clock::Clock;
use crate::clock::WallTime;
use crate::context::Context;
use crate::endpoints::gossip::NoPeers;
use crate::endpoints::gossip::Peer;
use crate::endpoints::gossip::Peers;
use crate::events::Recorder;
use crate::metrics::Metrics;
use crate::transport::Kind;
use crate::transport::Transport;
use crate::transport::memory::MemoryNetwork;

/// How long a condition may take to hold, in the paused time of a test.
const WAIT_LIMIT: Duration = Duration::from_secs(60);

/// How long a fault lasts in the tests that check which instances are avoided meanwhile.
const FAULT_DURATION: Duration = Duration::from_secs(30);

/// Follows the paused time of the test runtime.
struct TestClock(tokio::time::Instant);

impl Clock for TestClock {
    fn now(&self) -> Timestamp {
        Timestamp(1 + self.0.elapsed().as_micros() as u64)
    }

    fn wall(&self) -> WallTime {
        WallTime(1 + self.now().0 / 1_000)
    }
}

/// Instances on an in-memory network that join through instance 1.
struct Cluster {
    network: Arc<MemoryNetwork>,
    clock: Arc<TestClock>,
    instances: Vec<Arc<Membership>>,
}

impl Cluster {
    /// Starts instances that are not registered and waits until each knows all others.
    async fn start(count: usize, data_centres: usize) -> Self {
        let clock = Arc::new(TestClock(tokio::time::Instant::now()));
        let mut cluster = Self { network: Arc::default(), clock, instances: Vec::new() };
        for number in 0..count {
            let instance = cluster.join(number, data_centres, Arc::new(NoPeers));
            cluster.instances.push(instance);
        }
        let knows_all = |members: &Arc<Membership>| members.status().len() == count - 1;
        cluster
            .until("each instance knows all others", |c| c.instances.iter().all(knows_all))
            .await;
        cluster
    }

    fn join(
        &self,
        number: usize,
        data_centres: usize,
        registered: Arc<dyn Peers>,
    ) -> Arc<Membership> {
        let cx = Context {
            instance: name(number),
            data_centre: data_centre(number % data_centres),
            clock: self.clock.clone(),
            events: Arc::new(Recorder::new(name(number), self.clock.clone())),
            metrics: Arc::new(Metrics::new().unwrap()),
            memory: Arc::default(),
            supervisor: Arc::default(),
        };
        let transport = self.network.join(name(number));
        Membership::start(cx, transport, vec![name(1)], registered, Timing::default())
    }

    fn count(&self) -> usize {
        self.instances.len()
    }

    fn avoids(&self, at: usize, of: usize) -> bool {
        self.instances[at].is_avoided(&name(of))
    }

    /// Returns whether every other instance avoids instance `of`.
    fn is_avoided(&self, of: usize) -> bool {
        (0..self.count()).filter(|at| *at != of).all(|at| self.avoids(at, of))
    }

    fn are_all_alive(&self) -> bool {
        let statuses = self.instances.iter().flat_map(|instance| instance.status());
        statuses.into_iter().all(|status| status.state == "alive" && !status.avoided)
    }

    /// Checks that no instance other than 0 is avoided or declared dead by any instance.
    fn assert_others_used(&self) {
        for (at, instance) in self.instances.iter().enumerate() {
            for status in instance.status().iter().filter(|status| status.name != name(0)) {
                assert!(!status.avoided && status.state != "dead", "{status:?} at {at}");
            }
        }
    }

    fn cut(&self, from: usize, to: usize) {
        self.network.cut(&name(from), &name(to));
    }

    fn isolate(&self, number: usize) {
        for other in (0..self.count()).filter(|other| *other != number) {
            self.cut(number, other);
            self.cut(other, number);
        }
    }

    async fn until<F>(&self, what: &str, condition: F)
    where
        F: Fn(&Cluster) -> bool,
    {
        let waits = async {
            while !condition(self) {
                tokio::time::sleep(Duration::from_millis(50)).await;
            }
        };
        assert!(tokio::time::timeout(WAIT_LIMIT, waits).await.is_ok(), "{what}");
    }

    /// Checks for [`FAULT_DURATION`] that no instance but 0 is avoided or declared dead, then
    /// restores the network and waits until all are alive.
    async fn assert_others_used_during_fault(&self) {
        let end = tokio::time::Instant::now() + FAULT_DURATION;
        while tokio::time::Instant::now() < end {
            self.assert_others_used();
            tokio::time::sleep(Duration::from_millis(50)).await;
        }
        self.network.heal();
        self.until("all instances are alive again", Cluster::are_all_alive).await;
    }
}

#[tokio::test(start_paused = true)]
async fn an_instance_that_is_cut_off_is_avoided_and_used_again() {
    for data_centres in [1, 3] {
        let cluster = Cluster::start(6, data_centres).await;
        cluster.isolate(0);
        cluster.until("the instance is avoided", |c| c.is_avoided(0)).await;
        cluster.assert_others_used();
        let is_dead = |instance: &Arc<Membership>| {
            instance.status().iter().any(|s| s.name == name(0) && s.state == "dead")
        };
        cluster.until("it is declared dead", |c| c.instances[1..].iter().all(is_dead)).await;
        cluster.network.heal();
        cluster.until("all instances are alive again", Cluster::are_all_alive).await;
    }
}

#[tokio::test(start_paused = true)]
async fn an_instance_that_receives_nothing_makes_no_other_be_avoided() {
    for data_centres in [1, 3] {
        let cluster = Cluster::start(6, data_centres).await;
        (1..6).for_each(|other| cluster.cut(other, 0));
        cluster.assert_others_used_during_fault().await;
    }
}

#[tokio::test(start_paused = true)]
async fn an_instance_whose_messages_are_lost_makes_no_other_be_avoided() {
    for data_centres in [1, 3] {
        let cluster = Cluster::start(6, data_centres).await;
        (1..6).for_each(|other| cluster.cut(0, other));
        cluster.assert_others_used_during_fault().await;
    }
}

#[tokio::test(start_paused = true)]
async fn a_link_that_loses_all_messages_one_way_makes_no_instance_be_avoided() {
    for data_centres in [1, 3] {
        let cluster = Cluster::start(6, data_centres).await;
        cluster.cut(0, 3);
        let end = tokio::time::Instant::now() + FAULT_DURATION;
        while tokio::time::Instant::now() < end {
            let avoided = cluster.instances.iter().flat_map(|instance| instance.status());
            assert!(avoided.into_iter().all(|status| !status.avoided));
            tokio::time::sleep(Duration::from_millis(50)).await;
        }
    }
}

#[tokio::test(start_paused = true)]
async fn a_slow_instance_makes_no_other_be_avoided() {
    for delay in [Duration::from_millis(250), Duration::from_secs(2)] {
        let cluster = Cluster::start(6, 2).await;
        for other in 1..6 {
            cluster.network.slow_down(&name(0), &name(other), delay);
            cluster.network.slow_down(&name(other), &name(0), delay);
        }
        cluster.assert_others_used_during_fault().await;
    }
}

#[tokio::test(start_paused = true)]
async fn an_instance_that_leaves_is_avoided_at_once_and_later_removed() {
    let cluster = Cluster::start(5, 2).await;
    cluster.instances[0].leave();
    cluster.until("the instance is avoided", |c| c.is_avoided(0)).await;
    let is_leaving = |s: &MemberStatus| s.name != name(0) || s.state == "leaving";
    assert!(cluster.instances[1..].iter().all(|at| at.status().iter().all(is_leaving)));
    cluster.isolate(0);
    let has_removed = |at: &Arc<Membership>| at.status().iter().all(|s| s.name != name(0));
    let mut waited = 0;
    while !cluster.instances[1..].iter().all(has_removed) {
        tokio::time::sleep(Duration::from_secs(1)).await;
        waited += 1;
        assert!(waited < 300, "the instance is not removed");
    }
}

struct Registered(Vec<Peer>);

impl Peers for Registered {
    fn live(&self) -> Vec<Peer> {
        self.0.clone()
    }
}

#[tokio::test(start_paused = true)]
async fn a_registered_instance_that_never_answers_is_avoided() {
    let mut cluster = Cluster::start(3, 1).await;
    let silent = Peer { data_centre: data_centre(0), name: name(9) };
    let silent_transport = cluster.network.join(name(9));
    for number in 3..6 {
        let registered = Arc::new(Registered(vec![silent.clone()]));
        let instance = cluster.join(number, 1, registered);
        cluster.instances.push(instance);
        cluster.network.cut(&name(number), &name(9));
    }
    (0..3).for_each(|number| cluster.cut(number, 9));
    cluster.until("the instance is avoided", |c| c.is_avoided(9)).await;
    drop(silent_transport);
}

#[tokio::test(start_paused = true)]
async fn a_message_that_cannot_be_decoded_is_refused() {
    let cluster = Cluster::start(2, 1).await;
    let unknown_peer = cluster.network.join(name(7));
    let invalid = Bytes::from_static(b"\xff\xff\xff");
    let answer = unknown_peer.call(&name(0), Kind::Membership, invalid, WAIT_LIMIT).await;
    assert!(answer.unwrap_err().to_string().contains("CG-4106"));
}
