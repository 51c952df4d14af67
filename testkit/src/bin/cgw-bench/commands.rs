//! The commands of `cgw-bench`.

use std::net::SocketAddr;
use std::time::Duration;

use gumdrop::Options;
use serde::Deserialize;
use serde_json::json;
use testkit::bench::capacity;
use testkit::bench::control::ControlOptions;
use testkit::bench::control::control;
use testkit::bench::load;
use testkit::bench::load::LoadOptions;
use testkit::bench::shapes::Shape;
use testkit::bench::shapes::Targets;
use testkit::cluster::binary;
use testkit::experiment;
use testkit::experiment::Deployment;
use testkit::experiment::policy::Policy;
use testkit::fakes::announcer::Announcer;
use testkit::fakes::engine::Engine;
use testkit::fakes::engine::EngineOptions;
use testkit::fakes::service::Service;
use testkit::fakes::service::ServiceOptions;
use testkit::proxy::Direction;
use testkit::proxy::Faults;
use testkit::proxy::Proxy;
use testkit::soak;
use testkit::soak::SoakOptions;
use tokio::io::AsyncBufReadExt;
use tokio::io::BufReader;

use crate::print;

/// The arguments of `fakes`.
#[derive(Debug, Options)]
pub struct FakesArguments {
    #[options(help = "print this help")]
    help: bool,
    #[options(help = "the instances to announce to, separated by commas", required)]
    instances: String,
    #[options(help = "how many engines", default = "2")]
    engines: usize,
    #[options(help = "the model", default = "model-a")]
    model: String,
    #[options(help = "real seconds that one second of an engine takes", default = "1.0")]
    time_scale: f64,
    #[options(help = "the seed", default = "1")]
    seed: u64,
    #[options(help = "print JSON")]
    json: bool,
}

fn addresses(raw: &str) -> Result<Vec<SocketAddr>, String> {
    let parse = |item: &str| item.trim().parse().map_err(|cause| format!("{item}: {cause}"));
    raw.split(',').map(parse).collect()
}

fn failed<E>(cause: E) -> String
where
    E: std::fmt::Display,
{
    cause.to_string()
}

/// Runs engines, a tool and a service until interrupted.
pub async fn fakes(arguments: FakesArguments) -> Result<(), String> {
    let instances = addresses(&arguments.instances)?;
    let mut engines = Vec::new();
    let mut announcers = Vec::new();
    for n in 1..=arguments.engines {
        let mut options = EngineOptions {
            name: format!("engine-{n}"),
            models: vec![arguments.model.clone()],
            time_scale: arguments.time_scale,
            ..EngineOptions::default()
        };
        options.core.seed = arguments.seed + n as u64;
        let engine = Engine::start(options).await.map_err(failed)?;
        announcers.push(Announcer::start(engine.announcements(), instances.clone()));
        engines.push(engine);
    }
    let tool = testkit::fakes::tool::start("tool-1", "tool-a").await.map_err(failed)?;
    let service = Service::start(ServiceOptions::default()).await.map_err(failed)?;
    for service in [&tool, &service] {
        let announcement = service.announcement();
        announcers.push(Announcer::start(move || announcement.clone(), instances.clone()));
    }
    let started: Vec<_> = engines.iter().map(Engine::announcement).collect();
    let list =
        json!({"engines": started, "tool": tool.announcement(), "service": service.announcement()});
    print(arguments.json, &list);
    tokio::signal::ctrl_c().await.map_err(failed)
}

/// The arguments of `proxy`.
#[derive(Debug, Options)]
pub struct ProxyArguments {
    #[options(help = "print this help")]
    help: bool,
    #[options(help = "where to send what arrives", required)]
    target: String,
    #[options(help = "pass UDP packets; else TCP connections")]
    udp: bool,
    #[options(help = "the seed", default = "1")]
    seed: u64,
    #[options(help = "print JSON")]
    json: bool,
}

/// A line that changes the faults of a running proxy.
#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
struct FaultLine {
    /// Both directions if left out.
    direction: Option<Direction>,
    faults: Faults,
    target: Option<SocketAddr>,
}

/// Runs a proxy and reads its faults from the standard input until that ends.
pub async fn proxy(arguments: ProxyArguments) -> Result<(), String> {
    let target = arguments.target.parse().map_err(failed)?;
    let seed = arguments.seed;
    let proxy = match arguments.udp {
        true => Proxy::start_udp(target, seed).await,
        false => Proxy::start_tcp(target, seed).await,
    };
    let proxy = proxy.map_err(failed)?;
    print(arguments.json, &json!({"listens_on": proxy.address()}));
    let mut lines = BufReader::new(tokio::io::stdin()).lines();
    while let Some(line) = lines.next_line().await.map_err(failed)? {
        match serde_json::from_str::<FaultLine>(&line) {
            Ok(change) => apply(&proxy, &change),
            Err(cause) => eprintln!("{line}: {cause}"),
        }
    }
    Ok(())
}

fn apply(proxy: &Proxy, change: &FaultLine) {
    match change.direction {
        Some(direction) => proxy.set_faults(direction, change.faults),
        None => proxy.set_both(change.faults),
    }
    if let Some(target) = change.target {
        proxy.set_target(target);
    }
}

/// The arguments of `load`.
#[derive(Debug, Options)]
pub struct LoadArguments {
    #[options(help = "print this help")]
    help: bool,
    #[options(help = "the instances, separated by commas", default = "127.0.0.1:7400")]
    addresses: String,
    #[options(help = "the catalogue entry", default = "default")]
    entry: String,
    #[options(help = "the account key of the entry", default = "")]
    key: String,
    #[options(help = "programs that arrive a second", default = "20")]
    rate: f64,
    #[options(help = "seconds that programs arrive", default = "10")]
    seconds: u64,
    #[options(help = "seconds that programs arrive before anything is recorded", default = "2")]
    warm_up: u64,
    #[options(help = "chain, fanout, pauses, agents, loops or mixed", default = "mixed")]
    shape: Shape,
    #[options(help = "calls of a program", default = "6")]
    turns: usize,
    #[options(help = "the model", default = "dev-model")]
    model: String,
    #[options(help = "the tool", default = "echo")]
    tool: String,
    #[options(help = "programs under way at most", default = "4096")]
    most_under_way: usize,
    #[options(help = "the seed", default = "1")]
    seed: u64,
    #[options(help = "print JSON")]
    json: bool,
}

/// Runs an open-loop load.
pub async fn load(arguments: LoadArguments) -> Result<(), String> {
    let json = arguments.json;
    let options = LoadOptions {
        addresses: addresses(&arguments.addresses)?,
        entry: arguments.entry,
        key: arguments.key,
        rate: arguments.rate,
        duration: Duration::from_secs(arguments.seconds),
        warm_up: Duration::from_secs(arguments.warm_up),
        shape: arguments.shape,
        turns: arguments.turns,
        targets: Targets { model: arguments.model, tool: arguments.tool },
        most_under_way: arguments.most_under_way,
        seed: arguments.seed,
    };
    let report = load::run(options, |completed, under_way| {
        if !json {
            eprint!("\r{completed} programs completed, {under_way} under way ");
        }
    })
    .await;
    print(json, &json!(report));
    Ok(())
}

/// The arguments of `experiment`.
#[derive(Debug, Options)]
pub struct ExperimentArguments {
    #[options(help = "print this help")]
    help: bool,
    #[options(help = "association, consortium or hot_prefix", default = "association")]
    deployment: String,
    #[options(help = "policies, separated by commas; all without it")]
    policies: Option<String>,
    #[options(help = "how many seeds each policy runs with")]
    seeds: Option<u64>,
    #[options(help = "the part of the capacity that is asked for")]
    load: Option<f64>,
    #[options(help = "fewer seeds and shorter runs")]
    quick: bool,
    #[options(help = "print JSON; the rows are always JSON")]
    json: bool,
}

fn experiment_options(arguments: &ExperimentArguments) -> Result<experiment::Options, String> {
    let deployment = Deployment::find(&arguments.deployment)
        .ok_or_else(|| format!("no deployment is called {}", arguments.deployment))?;
    let mut options = experiment::Options::new(deployment, arguments.quick);
    if let Some(names) = &arguments.policies {
        let find = |name| Policy::find(name).ok_or_else(|| format!("no policy is called {name}"));
        options.policies = names.split(',').map(find).collect::<Result<_, _>>()?;
    }
    options.seeds = arguments.seeds.unwrap_or(options.seeds);
    options.load = arguments.load.unwrap_or(options.load);
    Ok(options)
}

/// Compares policies.
pub async fn experiment(arguments: ExperimentArguments) -> Result<(), String> {
    let result = experiment::run(experiment_options(&arguments)?).await.map_err(failed)?;
    println!("{result}");
    Ok(())
}

/// The arguments of `soak`.
#[derive(Debug, Options)]
pub struct SoakArguments {
    #[options(help = "print this help")]
    help: bool,
    #[options(help = "processes of the cluster, at least 3", default = "9")]
    processes: usize,
    #[options(help = "minutes that faults strike for each seed", default = "1.0")]
    minutes: f64,
    #[options(help = "the first seed", default = "1")]
    seed: u64,
    #[options(help = "how many seeds to run, one after the other", default = "1")]
    seeds: u64,
    #[options(help = "programs that run at once", default = "12")]
    callers: usize,
    #[options(help = "print JSON")]
    json: bool,
}

/// Mixes load and faults; a seed that fails keeps its logs and does not stop the others.
pub async fn soak(arguments: SoakArguments) -> Result<(), String> {
    // Panics here without the binary, so that no seed counts as failed for that.
    binary::path();
    let mut failed_seeds = Vec::new();
    for seed in arguments.seed..arguments.seed + arguments.seeds {
        let options = SoakOptions {
            seed,
            length: Duration::try_from_secs_f64(arguments.minutes * 60.0).map_err(failed)?,
            processes: arguments.processes,
            callers: arguments.callers,
        };
        // A broken promise panics in the task; its message has gone to standard error.
        let soak = tokio::spawn(soak::run(options, |fault| eprintln!("{fault}")));
        match soak.await {
            Ok(report) => print(arguments.json, &serde_json::to_value(report).map_err(failed)?),
            Err(_) => {
                print(arguments.json, &json!({"seed": seed, "failed": true}));
                failed_seeds.push(seed);
            }
        }
    }
    match failed_seeds.is_empty() {
        true => Ok(()),
        false => Err(format!("seeds that failed: {failed_seeds:?}")),
    }
}

/// The arguments of `capacity`.
#[derive(Debug, Options)]
pub struct CapacityArguments {
    #[options(help = "print this help")]
    help: bool,
    #[options(help = "latency, memory or control; all if left out")]
    part: Option<String>,
    #[options(help = "calls done by each idle program when memory is measured", default = "0")]
    turns: usize,
    #[options(help = "the sizes of cluster for control, separated by commas", default = "3,6,9")]
    sizes: String,
    #[options(help = "the store instances of a cluster", default = "3")]
    stores: usize,
    #[options(help = "the data centres of a cluster", default = "3")]
    data_centres: usize,
    #[options(help = "the groups of program journals", default = "1")]
    journal_groups: u32,
    #[options(help = "seconds that a cluster is left alone before counting", default = "10")]
    settle: u64,
    #[options(help = "seconds that are counted", default = "20")]
    quiet: u64,
    #[options(help = "the seed", default = "1")]
    seed: u64,
    #[options(help = "print JSON")]
    json: bool,
}

impl TryFrom<&CapacityArguments> for ControlOptions {
    type Error = String;

    fn try_from(arguments: &CapacityArguments) -> Result<Self, String> {
        let sizes = arguments.sizes.split(',').map(|size| size.trim().parse::<usize>());
        let sizes = sizes.collect::<Result<Vec<_>, _>>().map_err(|cause| cause.to_string())?;
        if sizes.iter().any(|size| *size < arguments.stores) || arguments.stores == 0 {
            return Err(
                "a cluster has at least as many instances as stores, and a store".to_owned()
            );
        }
        Ok(Self {
            sizes,
            stores: arguments.stores,
            data_centres: arguments.data_centres.max(1),
            journal_groups: arguments.journal_groups,
            settle: Duration::from_secs(arguments.settle),
            quiet: Duration::from_secs(arguments.quiet.max(1)),
            seed: arguments.seed,
        })
    }
}

/// Measures the shipped binary beside this one.
pub async fn capacity(arguments: CapacityArguments) -> Result<(), String> {
    let wanted = |part: &str| arguments.part.as_deref().is_none_or(|wanted| wanted == part);
    let mut result = json!({});
    if wanted("latency") {
        result["latency"] = capacity::added_latency().await;
    }
    if wanted("memory") {
        result["memory"] = capacity::memory(arguments.turns).await;
    }
    if wanted("control") {
        result["control"] = control(&ControlOptions::try_from(&arguments)?).await;
    }
    print(arguments.json, &result);
    Ok(())
}
