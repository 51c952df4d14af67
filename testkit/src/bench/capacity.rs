//! Measures what the shipped binary costs at several sizes and fits lines to it.

use std::net::SocketAddr;

use serde_json::Value;
use serde_json::json;
use tokio::time::Instant;

use crate::bench::fit;
use crate::bench::latency::Latency;
use crate::bench::latency::Summary;
use crate::bench::resources;
use crate::cluster::process::Process;
use crate::fakes::announcer::Announcer;
use crate::fakes::service::Service;
use crate::fakes::service::ServiceOptions;
use crate::http::Call;
use crate::http::Client;
use crate::wait;

/// The numbers of concurrent programs at which latency is measured.
const CONCURRENT: [usize; 3] = [1, 32, 512];

/// The calls that one latency point takes in all.
const CALLS_PER_POINT: usize = 8_192;

/// The numbers of idle programs at which memory is measured.
const IDLE_PROGRAMS: [usize; 3] = [0, 1_000, 10_000];

/// The programs that are created at once.
const MAX_CONCURRENT_CREATIONS: usize = 64;

/// The most calls of one program; a new one is created after them.
const CALLS_PER_PROGRAM: usize = 200;

/// The target of the measured calls.
const TARGET: &str = "service-a";

/// One running `dev` instance with a fake service.
struct Bench {
    _folder: tempfile::TempDir,
    process: Process,
    service: Service,
    _announcer: Announcer,
    client: Client,
}

impl Bench {
    async fn start() -> Self {
        let folder = tempfile::tempdir().expect("a temporary folder");
        let process = Process::start_dev(&folder.path().join("dev.log")).await;
        let service = Service::start(ServiceOptions::default()).await.expect("a port is free");
        let announcement = service.announcement();
        let instance = process.listening.callers;
        let announcer = Announcer::start(move || announcement.clone(), vec![instance]);
        wait::until("the service is announced", || announcer.accepted() > 1).await;
        let client = Client::default();
        Self { _folder: folder, process, service, _announcer: announcer, client }
    }

    fn address(&self) -> SocketAddr {
        self.process.listening.callers
    }

    async fn create(&self) -> (String, String) {
        let url = format!("http://{}/v1/programs", self.address());
        let call = Call::new(hyper::Method::POST, &url).json(&json!({"entry": "default"}));
        let body = self.client.send(call).await.expect("an answer").json();
        let text = |key: &str| body[key].as_str().expect("a text").to_owned();
        (text("program"), text("secret"))
    }

    /// Creates a program and makes some calls of it.
    async fn fill(&self, worker: usize, turns: usize) {
        if turns == 0 {
            self.create().await;
        } else {
            self.through(worker, turns).await;
        }
    }

    /// Calls the service itself, as often as told.
    async fn direct(&self, worker: usize, calls: usize) -> Latency {
        let url = format!("http://{}/call", self.service.address());
        let mut latency = Latency::default();
        for n in 0..calls {
            let id = format!("direct-{worker}-{n}");
            let body = json!({"call_id": id, "program": "none", "target": TARGET, "input": n});
            let sent = Instant::now();
            let call = Call::new(hyper::Method::POST, &url).json(&body);
            assert_eq!(self.client.send(call).await.expect("an answer").status, 200);
            latency.record(sent.elapsed());
        }
        latency
    }

    /// Calls the service through a program, as often as told.
    async fn through(&self, worker: usize, calls: usize) -> Latency {
        let mut latency = Latency::default();
        let mut program = self.create().await;
        for n in 0..calls {
            if n > 0 && n % CALLS_PER_PROGRAM == 0 {
                program = self.create().await;
            }
            let (id, secret) = &program;
            let url = format!("http://{}/v1/programs/{id}/calls", self.address());
            let call_id = format!("through-{worker}-{n}");
            let body = json!({"call_id": call_id, "kind": "service", "target": TARGET, "input": n});
            let sent = Instant::now();
            let call = Call::new(hyper::Method::POST, &url).bearer(secret).json(&body);
            let answer = self.client.send(call).await.expect("an answer");
            assert_eq!(answer.status, 200, "{}", answer.json());
            latency.record(sent.elapsed());
        }
        latency
    }
}

fn merged(parts: Vec<Latency>) -> Summary {
    let mut all = Latency::default();
    parts.iter().for_each(|part| all.add(part));
    all.summary()
}

/// Measures the latency that an instance adds to a direct call, and the calls a second.
pub async fn added_latency() -> Value {
    let bench = Bench::start().await;
    bench.through(0, CALLS_PER_PROGRAM).await;
    bench.direct(0, CALLS_PER_PROGRAM).await;
    let mut rows = Vec::new();
    for concurrent in CONCURRENT {
        let calls = CALLS_PER_POINT / concurrent;
        let workers = 0..concurrent;
        let direct = workers.clone().map(|worker| bench.direct(worker, calls));
        let direct = merged(futures_util::future::join_all(direct).await);
        let cpu = resources::usage(bench.process.id()).cpu_seconds;
        let started = Instant::now();
        let through = workers.map(|worker| bench.through(worker, calls));
        let through = merged(futures_util::future::join_all(through).await);
        let seconds = started.elapsed().as_secs_f64();
        let cpu = resources::usage(bench.process.id()).cpu_seconds - cpu;
        rows.push(json!({
            "concurrent_programs": concurrent,
            "direct": direct,
            "through": through,
            "added_p50_ms": through.p50_ms - direct.p50_ms,
            "added_p99_ms": through.p99_ms - direct.p99_ms,
            "calls_per_second": through.count as f64 / seconds,
            "instance_cpu_us_per_call": cpu * 1e6 / through.count as f64,
        }));
    }
    json!(rows)
}

/// Measures the memory of an instance with idle programs, each with `turns` calls done.
pub async fn memory(turns: usize) -> Value {
    let bench = Bench::start().await;
    let mut points = Vec::new();
    let mut created = 0;
    for size in IDLE_PROGRAMS {
        while created < size {
            let count = MAX_CONCURRENT_CREATIONS.min(size - created);
            let bench = &bench;
            let workers = (created..created + count).map(|worker| bench.fill(worker, turns));
            futures_util::future::join_all(workers).await;
            created += count;
        }
        let usage = resources::usage(bench.process.id());
        points.push((size as f64, usage.resident_kib as f64));
    }
    let line = fit::line(&points);
    json!({"turns": turns, "points_programs_kib": points, "line": line})
}
