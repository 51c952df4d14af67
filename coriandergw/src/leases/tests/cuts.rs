//! A partition is never held twice, whatever is cut and whoever leads.

use rand::Rng;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;

use super::*;

const STEPS: usize = 100;

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
            4 => cluster.appoint(rng.random_range(0..3)),
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
    cluster.appoint(0);
    cluster.until(Cluster::is_balanced).await;
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
    cluster.until(|cluster| !cluster.client(5).is_fresh(cluster.now())).await;
    assert_eq!(cluster.held_by(5), 0);
    cluster.network.heal();
    cluster.until(|cluster| cluster.client(5).is_fresh(cluster.now())).await;
}

#[tokio::test(start_paused = true)]
async fn members_of_a_silent_relay_keep_their_leases() {
    let cluster = Cluster::start(9).await;
    // Instances 1, 4 and 7 are of one data centre; 1 is its relay.
    for member in [4, 7] {
        cluster.network.cut(&name(member), &name(1));
    }
    let cut_at = cluster.now();
    while cluster.now().since(cut_at) < 3 * LEASE {
        tokio::time::sleep(Duration::from_millis(50)).await;
        assert!(cluster.held_by(4) > 0 && cluster.held_by(7) > 0);
    }
}
