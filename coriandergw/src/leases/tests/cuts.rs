//! Network cuts, leader changes and lost answers: no partition is ever held by two instances at
//! once, and an unresponsive relay or former leader does not prevent renewals.

use rand::Rng;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;

use super::*;
use crate::transport::Handler;
use crate::transport::Kind;
use crate::transport::Transport;

const STEPS: usize = 100;

/// The log of an instance without a store that always names a former leader.
struct OutdatedLog {
    inner: Arc<TestLog>,
    former: InstanceName,
}

#[async_trait]
impl ReplicatedLog for OutdatedLog {
    async fn propose(&self, group: GroupId, command: Bytes) -> Result<Bytes, ProposeError> {
        self.inner.propose(group, command).await
    }

    fn leader(&self, _group: GroupId) -> Option<InstanceName> {
        Some(self.former.clone())
    }
}

/// Counts the requests that it receives and never answers them.
#[derive(Default)]
struct UnresponsiveHandler(AtomicU64);

#[async_trait]
impl Handler for UnresponsiveHandler {
    async fn handle(&self, _from: &InstanceName, _payload: Bytes) -> Result<Bytes, String> {
        self.0.fetch_add(1, Ordering::Relaxed);
        std::future::pending().await
    }
}

async fn run_schedule(seed: u64) {
    let cluster = Cluster::start(6).await;
    let mut rng = ChaCha8Rng::seed_from_u64(seed);
    for _ in 0..STEPS {
        match rng.random_range(0..10) {
            0 | 1 => {
                let (from, to) = (rng.random_range(0..6), rng.random_range(0..6));
                cluster.network.cut(&name(from), &name(to));
            }
            2 => cluster.cut_off(rng.random_range(0..6)),
            3 => cluster.network.heal(),
            4 => cluster.set_leader(rng.random_range(0..3)),
            5 => *cluster.log.leader.lock().unwrap() = None,
            6 => cluster.log.lost_answers.store(rng.random_range(0..3), Ordering::Relaxed),
            _ => {}
        }
        for _ in 0..6 {
            tokio::time::sleep(Duration::from_millis(rng.random_range(1..100))).await;
            cluster.assert_held_once();
        }
    }
    cluster.network.heal();
    cluster.log.lost_answers.store(0, Ordering::Relaxed);
    cluster.set_leader(0);
    cluster.wait_until(Cluster::is_balanced).await;
}

#[tokio::test(start_paused = true)]
async fn a_partition_is_never_held_twice_and_all_are_held_again_after_the_cuts() {
    for seed in 0..4 {
        println!("seed {seed}");
        run_schedule(seed).await;
    }
}

#[tokio::test(start_paused = true)]
async fn an_instance_that_cannot_confirm_is_not_fresh_and_holds_nothing() {
    let cluster = Cluster::start(6).await;
    assert!(cluster.client(5).is_fresh(cluster.now()));
    cluster.cut_off(5);
    cluster.wait_until(|cluster| !cluster.client(5).is_fresh(cluster.now())).await;
    assert_eq!(cluster.held_by(5), 0);
    cluster.network.heal();
    cluster.wait_until(|cluster| cluster.client(5).is_fresh(cluster.now())).await;
}

#[tokio::test(start_paused = true)]
async fn members_of_an_unresponsive_relay_keep_their_leases() {
    let cluster = Cluster::start(9).await;
    // Instances 1, 4 and 7 are in the same data centre, and 1 is its relay.
    for member in [4, 7] {
        cluster.network.cut(&name(member), &name(1));
    }
    let cut_at = cluster.now();
    while cluster.now().since(cut_at) < 3 * LEASE_DURATION {
        tokio::time::sleep(Duration::from_millis(50)).await;
        assert!(cluster.held_by(4) > 0 && cluster.held_by(7) > 0);
    }
}

#[tokio::test(start_paused = true)]
async fn an_unresponsive_former_leader_is_asked_once() {
    let mut cluster = Cluster::start(3).await;
    let (former, number) = (name(8), 9);
    let unresponsive = Arc::new(UnresponsiveHandler::default());
    cluster.network.join(former.clone()).register(Kind::Control, unresponsive.clone());
    let log = Arc::new(OutdatedLog { inner: cluster.log.clone(), former });
    // The only instance of its data centre has no relay and renews with the leader directly.
    cluster.join_with(number, "dc-alone", log, None);
    cluster.wait_until(Cluster::is_balanced).await;
    tokio::time::sleep(WAIT_LIMIT).await;
    assert!(cluster.client(number).is_fresh(cluster.now()));
    assert_eq!(unresponsive.0.load(Ordering::Relaxed), 1);
}
