//! A fault soak: programs run on real processes while faults strike these from outside, and an audit
//! of what callers and endpoints saw follows.

use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;
use std::time::Duration;

use futures_util::future;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;
use serde::Serialize;
use tokio::time::Instant;

use crate::caller::Caller;
use crate::caller::Program;
use crate::cluster::Cluster;
use crate::cluster::ClusterOptions;
use crate::fakes::service::Behaviour;
use crate::proxy::Faults;
use crate::soak::programs::Shape;
use crate::soak::schedule::Fault;
use crate::soak::schedule::Step;
use crate::testbed::Testbed;

pub mod programs;
pub mod schedule;

/// How many instances keep the data.
const STORES: usize = 3;

/// How long the service takes, so that faults meet calls under way.
const SERVICE_TIME: Duration = Duration::from_millis(60);

/// The settings of a soak.
#[derive(Debug, Clone)]
pub struct SoakOptions {
    /// Decides the programs and the faults.
    pub seed: u64,
    /// How long faults strike.
    pub length: Duration,
    /// The processes; at least the three that keep the data.
    pub processes: usize,
    /// The programs that run at once.
    pub callers: usize,
}

/// What a soak did.
#[derive(Debug, Default)]
#[derive(Serialize)]
pub struct SoakReport {
    /// The seed.
    pub seed: u64,
    /// The programs that ran.
    pub programs: usize,
    /// The faults, each with its time.
    pub faults: Vec<String>,
}

/// Runs a soak and audits it. Each fault is passed to `observe` when it starts.
///
/// # Panics
/// Panics with the promises that were broken; the folder with the logs is kept then.
pub async fn run<F>(options: SoakOptions, observe: F) -> SoakReport
where
    F: Fn(&str),
{
    let instances = options.processes.max(STORES);
    let cluster_options = ClusterOptions {
        instances,
        stores: STORES,
        seed: options.seed,
        ..ClusterOptions::default()
    };
    let mut testbed = Testbed::start(cluster_options).await;
    testbed.service.set_usual(Behaviour::Late(SERVICE_TIME));
    let steps = schedule::draw(options.seed, options.length, instances, STORES);
    let mut report = SoakReport { seed: options.seed, ..SoakReport::default() };
    let has_ended = AtomicBool::new(false);
    let (caller, cluster) = (&testbed.caller, &mut testbed.cluster);
    let running = (0..options.callers).map(|number| {
        let rng = ChaCha8Rng::seed_from_u64(options.seed ^ (number as u64 + 1) << 32);
        run_programs(caller, rng, &has_ended)
    });
    let striking = async {
        let note = |line: String| {
            observe(&line);
            report.faults.push(line);
        };
        strike_all(cluster, &steps, options.length, note).await;
        has_ended.store(true, Ordering::Relaxed);
    };
    let (programs, ()) = tokio::join!(future::join_all(running), striking);
    for program in programs.iter().flatten() {
        // The auditor checks that each history holds all that was answered.
        testbed.caller.history(program).await;
    }
    testbed.audit().await;
    SoakReport { programs: programs.iter().flatten().count(), ..report }
}

async fn run_programs(
    caller: &Caller,
    mut rng: ChaCha8Rng,
    has_ended: &AtomicBool,
) -> Vec<Program> {
    let mut programs = Vec::new();
    while !has_ended.load(Ordering::Relaxed) {
        let shape = Shape::new(&mut rng);
        programs.push(programs::run_program(caller, &shape).await);
    }
    programs
}

/// Starts and ends each fault at its time, then waits until every instance is ready.
async fn strike_all<F>(cluster: &mut Cluster, steps: &[Step], length: Duration, mut note: F)
where
    F: FnMut(String),
{
    let names = cluster.names();
    let started = Instant::now();
    let starts = steps.iter().map(|step| (step.at, true, step));
    let ends = steps.iter().map(|step| (step.at + step.lasts, false, step));
    let mut moments: Vec<(Duration, bool, &Step)> = starts.chain(ends).collect();
    moments.sort_by_key(|(at, _, _)| *at);
    for (at, is_start, step) in moments {
        tokio::time::sleep_until(started + at).await;
        let name = &names[step.instance];
        if is_start {
            let (at, lasts) = (step.at.as_millis(), step.lasts.as_millis());
            note(format!("{at} ms: {name} for {lasts} ms: {:?}", step.fault));
            start_fault(cluster, name, &step.fault).await;
        } else {
            end_fault(cluster, name, &step.fault).await;
        }
    }
    tokio::time::sleep_until(started + length).await;
    for name in &names {
        cluster.ready(name).await;
    }
}

async fn start_fault(cluster: &mut Cluster, name: &str, fault: &Fault) {
    match fault {
        Fault::Kill => cluster.kill(name).await,
        Fault::Restart => cluster.terminate(name),
        Fault::Freeze => cluster.freeze(name).await,
        Fault::Links(faults) => cluster.set_links(name, *faults, true),
        Fault::SentLinks(faults) => cluster.set_links(name, *faults, false),
        Fault::Callers(faults) => cluster.front(name).set_both(*faults),
        Fault::CloseCallers => cluster.front(name).close_connections(),
    }
}

async fn end_fault(cluster: &mut Cluster, name: &str, fault: &Fault) {
    match fault {
        Fault::Kill => cluster.start_instance(name).await,
        Fault::Restart => {
            let status = cluster.stopped(name).await;
            assert!(status.success(), "{name} ended with {status} after a planned stop");
            cluster.start_instance(name).await;
        }
        Fault::Freeze => cluster.thaw(name),
        Fault::Links(_) | Fault::SentLinks(_) => cluster.set_links(name, Faults::default(), true),
        Fault::Callers(_) => cluster.front(name).heal(),
        Fault::CloseCallers => {}
    }
}
