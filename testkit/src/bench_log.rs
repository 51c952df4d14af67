//! Measures the replicated log: proposals, idle traffic, recovery and failover.

use std::io;
use std::path::Path;
use std::path::PathBuf;
use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use bytes::Bytes;
use coriandergw::ids::CONTROL_GROUP;
use coriandergw::ids::GroupId;
use coriandergw::log_groups::ReplicatedLog;
use coriandergw::log_groups::core::Entry;
use coriandergw::log_groups::core::Members;
use coriandergw::log_groups::core::Payload;
use coriandergw::log_groups::core::Record;
use coriandergw::storage::file_disk::FileDisk;
use coriandergw::storage::store::Store;
use coriandergw::storage::store::StoreOptions;
use hdrhistogram::Histogram;
use serde_json::Value;
use serde_json::json;

use cluster::Cluster;
use cluster::node_name;

mod cluster;

/// The nodes of the measured clusters.
const NODES: usize = 3;

/// The longest time that is told from longer ones, in the unit of the histogram.
const LATENCY_MAX: u64 = 60_000_000;

/// The entries of one write when a log is prepared for the recovery measurement.
const ENTRIES_PER_WRITE: u64 = 100;

/// What to measure.
#[derive(Debug, Clone)]
pub struct LogBenchArgs {
    /// The folder below which temporary data folders are made.
    pub folder: PathBuf,
    /// How long proposals are made at each point.
    pub duration: Duration,
    /// The numbers of tasks that propose at once.
    pub proposers: Vec<usize>,
    /// The numbers of groups.
    pub groups: Vec<u32>,
    /// The size of a command in bytes.
    pub command_bytes: usize,
    /// The log lengths of the recovery measurement, in entries.
    pub log_lengths: Vec<u64>,
    /// How often the leader is cut off.
    pub failovers: usize,
}

impl LogBenchArgs {
    /// Returns the usual points, with temporary folders below `folder`.
    pub fn new(folder: PathBuf) -> Self {
        Self {
            folder,
            duration: Duration::from_secs(3),
            proposers: vec![1, 16, 256],
            groups: vec![1, 2],
            command_bytes: 256,
            log_lengths: vec![1_000, 10_000, 100_000],
            failovers: 10,
        }
    }
}

/// Runs all measurements.
///
/// # Errors
/// Fails if a folder cannot be used.
pub async fn run(args: &LogBenchArgs) -> io::Result<Value> {
    let mut proposals = Vec::new();
    for groups in &args.groups {
        for proposers in &args.proposers {
            proposals.push(measure_proposals(args, *groups, *proposers).await?);
        }
    }
    let mut idle = Vec::new();
    for groups in &args.groups {
        idle.push(measure_idle(args, *groups).await?);
    }
    let mut recovery = Vec::new();
    for entries in &args.log_lengths {
        recovery.push(measure_recovery(args, *entries).await?);
    }
    let failover = measure_failover(args).await?;
    Ok(json!({
        "nodes": NODES,
        "proposals": proposals,
        "idle": idle,
        "recovery": recovery,
        "failover": failover,
    }))
}

fn temporary_folder(args: &LogBenchArgs) -> io::Result<tempfile::TempDir> {
    tempfile::tempdir_in(&args.folder)
}

async fn measure_proposals(
    args: &LogBenchArgs,
    groups: u32,
    proposers: usize,
) -> io::Result<Value> {
    let folder = temporary_folder(args)?;
    let cluster = Arc::new(Cluster::start(folder.path(), NODES, groups)?);
    cluster.all_led(groups).await;
    let before = cluster.counters.read();
    let started = Instant::now();
    let deadline = started + args.duration;
    let mut tasks = tokio::task::JoinSet::new();
    for proposer in 0..proposers {
        let group = GroupId(proposer as u32 % groups);
        let command = Bytes::from(vec![b'x'; args.command_bytes]);
        tasks.spawn(propose_until(cluster.clone(), group, command, deadline));
    }
    let mut latencies = new_histogram();
    let mut failed = 0;
    while let Some(result) = tasks.join_next().await {
        let (more, more_failed) = result.map_err(io::Error::other)?;
        latencies.add(more).map_err(io::Error::other)?;
        failed += more_failed;
    }
    let seconds = started.elapsed().as_secs_f64();
    let [syncs, disk_bytes, messages, network_bytes] = cluster.counters.since(before);
    cluster.stop().await;
    let count = latencies.len().max(1) as f64;
    Ok(json!({
        "groups": groups,
        "proposers": proposers,
        "proposals_per_second": latencies.len() as f64 / seconds,
        "failed": failed,
        "p50_us": latencies.value_at_quantile(0.5),
        "p99_us": latencies.value_at_quantile(0.99),
        "syncs_per_proposal": syncs / count,
        "disk_bytes_per_proposal": disk_bytes / count,
        "messages_per_proposal": messages / count,
        "network_bytes_per_proposal": network_bytes / count,
    }))
}

fn new_histogram() -> Histogram<u64> {
    Histogram::new_with_bounds(1, LATENCY_MAX, 3).expect("the bounds are in order")
}

/// Proposes one command after the other through the group's leader.
async fn propose_until(
    cluster: Arc<Cluster>,
    group: GroupId,
    command: Bytes,
    deadline: Instant,
) -> (Histogram<u64>, u64) {
    let mut latencies = new_histogram();
    let mut failed = 0;
    while Instant::now() < deadline {
        let leader = cluster.leader(group, None).await;
        let started = Instant::now();
        match cluster.nodes[leader].propose(group, command.clone()).await {
            Ok(_) => latencies.saturating_record(started.elapsed().as_micros() as u64),
            Err(_) => failed += 1,
        }
    }
    (latencies, failed)
}

async fn measure_idle(args: &LogBenchArgs, groups: u32) -> io::Result<Value> {
    let folder = temporary_folder(args)?;
    let cluster = Cluster::start(folder.path(), NODES, groups)?;
    cluster.all_led(groups).await;
    let before = cluster.counters.read();
    let started = Instant::now();
    tokio::time::sleep(args.duration).await;
    let node_seconds = started.elapsed().as_secs_f64() * NODES as f64;
    let [syncs, _, messages, network_bytes] = cluster.counters.since(before);
    cluster.stop().await;
    Ok(json!({
        "groups": groups,
        "syncs": syncs,
        "messages_per_node_second": messages / node_seconds,
        "network_bytes_per_node_second": network_bytes / node_seconds,
    }))
}

/// Writes a log of one voter and measures how long it takes to start from it.
async fn measure_recovery(args: &LogBenchArgs, entries: u64) -> io::Result<Value> {
    let folder = temporary_folder(args)?;
    prepare_log(folder.path(), entries, args.command_bytes)?;
    let started = Instant::now();
    let cluster = Cluster::start(folder.path(), 1, 1)?;
    let opened = started.elapsed();
    cluster.leader(CONTROL_GROUP, None).await;
    let led = started.elapsed();
    cluster.stop().await;
    Ok(json!({
        "entries": entries,
        "open_ms": opened.as_secs_f64() * 1_000.0,
        "leading_ms": led.as_secs_f64() * 1_000.0,
    }))
}

fn prepare_log(folder: &Path, entries: u64, command_bytes: usize) -> io::Result<()> {
    let name = node_name(0);
    let options = StoreOptions {
        cluster: "bench".to_owned(),
        instance: name.clone(),
        groups: vec![CONTROL_GROUP],
        members: Members::of_voters([name.clone()]),
    };
    let disk = Arc::new(FileDisk::open(&folder.join(name.as_str()))?);
    let mut store = Store::open(disk, &options).map_err(io::Error::other)?.store;
    let command = Bytes::from(vec![b'x'; command_bytes]);
    let entry = |index| Entry { index, term: 1, payload: Payload::Command(command.clone()) };
    let term = Record::HardState { term: 1, voted_for: Some(name) };
    store.write(vec![(CONTROL_GROUP, term)]).map_err(io::Error::other)?;
    for first in (1..=entries).step_by(ENTRIES_PER_WRITE as usize) {
        let last = (first + ENTRIES_PER_WRITE - 1).min(entries);
        let records = Record::Entries((first..=last).map(entry).collect());
        store.write(vec![(CONTROL_GROUP, records)]).map_err(io::Error::other)?;
    }
    Ok(())
}

/// Cuts the leader off silently, again and again, and measures until another one leads.
async fn measure_failover(args: &LogBenchArgs) -> io::Result<Value> {
    let folder = temporary_folder(args)?;
    let cluster = Cluster::start(folder.path(), NODES, 1)?;
    let mut leading = new_histogram();
    let mut committed = new_histogram();
    for _ in 0..args.failovers {
        let old = cluster.leader(CONTROL_GROUP, None).await;
        let started = Instant::now();
        let new = cluster.cut_off(old).await;
        leading.saturating_record(started.elapsed().as_millis() as u64);
        let node = &cluster.nodes[new];
        if node.propose(CONTROL_GROUP, Bytes::from("x")).await.is_ok() {
            committed.saturating_record(started.elapsed().as_millis() as u64);
        }
        cluster.network.heal();
        while cluster.nodes[old].leader(CONTROL_GROUP).is_none() {
            tokio::time::sleep(Duration::from_millis(1)).await;
        }
    }
    cluster.stop().await;
    Ok(json!({
        "failovers": leading.len(),
        "leading_p50_ms": leading.value_at_quantile(0.5),
        "leading_max_ms": leading.max(),
        "committed": committed.len(),
        "committed_p50_ms": committed.value_at_quantile(0.5),
        "committed_max_ms": committed.max(),
    }))
}
