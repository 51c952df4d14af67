//! Runs hundreds of short programs while instances are killed and restarted at random.

use std::sync::atomic::AtomicUsize;
use std::sync::atomic::Ordering;
use std::time::Duration;

use futures_util::StreamExt;
use futures_util::stream;
use rand::Rng;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;
use testkit::caller::Program;
use testkit::cluster::Cluster;
use testkit::cluster::ClusterOptions;
use testkit::fakes::service::Behaviour;
use testkit::soak::programs::Shape;
use testkit::soak::programs::run_program;
use testkit::testbed::Testbed;
use testkit::wait;

/// Decides shapes and kills.
const SEED: u64 = 20_261;

/// The programs of the trial.
const PROGRAMS: usize = 200;

/// The programs that run at once.
const MAX_CONCURRENT_PROGRAMS: usize = 24;

/// The kills, spread evenly over the programs.
const KILLS: usize = 5;

/// The programs of the trial that ends all of them.
const ENDED_PROGRAMS: usize = 100;

/// The kills of that trial.
const ENDED_KILLS: usize = 3;

/// How long the service takes, so that kills meet calls under way.
const SERVICE_TIME: Duration = Duration::from_millis(60);

/// The longest time that an instance is down, in milliseconds.
const DOWN_MAX_MS: u64 = 1_500;

/// Kills and restarts one instance after the other, each when so many programs have run.
async fn kill_at_random(
    cluster: &mut Cluster,
    done: &AtomicUsize,
    dues: &[usize],
    rng: &mut ChaCha8Rng,
) {
    let names = cluster.names();
    for due in dues {
        wait::until("programs end", || done.load(Ordering::Relaxed) >= *due).await;
        let name = &names[rng.random_range(0..names.len())];
        cluster.kill(name).await;
        // The time that a process is down is part of the trial, not a wait for something.
        tokio::time::sleep(Duration::from_millis(rng.random_range(0..=DOWN_MAX_MS))).await;
        cluster.start_instance(name).await;
        cluster.ready(name).await;
    }
}

/// Runs programs under kills and reads their histories. Returns the testbed and the programs.
async fn run_trial(programs: usize, kills: usize) -> (Testbed, Vec<Program>) {
    let options = ClusterOptions { instances: 5, seed: SEED, ..ClusterOptions::default() };
    let mut testbed = Testbed::start(options).await;
    testbed.service.set_usual(Behaviour::Late(SERVICE_TIME));
    let mut rng = ChaCha8Rng::seed_from_u64(SEED);
    let shapes: Vec<Shape> = (0..programs).map(|_| Shape::new(&mut rng)).collect();
    let done = AtomicUsize::new(0);
    let (caller, cluster) = (&testbed.caller, &mut testbed.cluster);
    let running = stream::iter(&shapes).map(|shape| async {
        let program = run_program(caller, shape).await;
        done.fetch_add(1, Ordering::Relaxed);
        program
    });
    let running = running.buffer_unordered(MAX_CONCURRENT_PROGRAMS).collect::<Vec<Program>>();
    let dues: Vec<usize> = (1..=kills).map(|kill| kill * programs / (kills + 1)).collect();
    let (programs, ()) = tokio::join!(running, kill_at_random(cluster, &done, &dues, &mut rng));

    // The auditor checks that each history holds all that was answered.
    stream::iter(&programs)
        .for_each_concurrent(MAX_CONCURRENT_PROGRAMS, |program| async {
            testbed.caller.history(program).await;
        })
        .await;
    (testbed, programs)
}

#[tokio::test(flavor = "multi_thread")]
async fn programs_keep_their_promises_while_instances_are_killed_at_random() {
    let (testbed, _programs) = run_trial(PROGRAMS, KILLS).await;
    testbed.audit().await;
}

#[tokio::test(flavor = "multi_thread")]
async fn no_memory_stays_held_after_random_kills() {
    let (testbed, programs) = run_trial(ENDED_PROGRAMS, ENDED_KILLS).await;
    stream::iter(&programs)
        .for_each_concurrent(MAX_CONCURRENT_PROGRAMS, |program| testbed.caller.end(program))
        .await;
    testbed.audit().await;
}
