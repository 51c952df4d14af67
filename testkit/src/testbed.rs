//! A cluster with fakes, entries and a caller: the start of every integration test.

use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;

use coriandergw::dispatch::CallKind;
use serde_json::Value;
use serde_json::json;
use tokio::sync::Semaphore;
use tokio::sync::SemaphorePermit;

use crate::auditor;
use crate::auditor::TrialRecords;
use crate::caller::Caller;
use crate::caller::Outcome;
use crate::caller::Program;
use crate::cluster::Cluster;
use crate::cluster::ClusterOptions;
use crate::fakes::announcer::Announcer;
use crate::fakes::engine::Engine;
use crate::fakes::engine::EngineOptions;
use crate::fakes::service::Service;
use crate::fakes::service::ServiceOptions;
use crate::operator::Operator;
use crate::wait;

/// The entry of the first owner.
pub const ENTRY: &str = "entry-a";

/// The entry of a rival of the first owner.
pub const RIVAL_ENTRY: &str = "entry-b";

/// The model that the engines serve.
pub const MODEL: &str = "model-a";

/// The tool.
pub const TOOL: &str = "tool-a";

/// The service.
pub const SERVICE: &str = "service-a";

/// How fast the engines' time passes: one of their seconds takes this many real ones.
const ENGINE_TIME_SCALE: f64 = 0.1;

/// The engines of a testbed.
const ENGINES: usize = 2;

/// The testbeds that run at once in one process; more wait, so that the machine is not overloaded.
const MAX_CONCURRENT_TESTBEDS: usize = 3;

static TESTBED_PERMITS: Semaphore = Semaphore::const_new(MAX_CONCURRENT_TESTBEDS);

/// A running testbed.
pub struct Testbed {
    /// The instances.
    pub cluster: Cluster,
    /// The engines.
    pub engines: Vec<Engine>,
    /// The announcers of the engines.
    pub engine_announcers: Vec<Announcer>,
    /// The tool.
    pub tool: Service,
    /// The service, without an outcome look-up.
    pub service: Service,
    /// The caller whose log is audited.
    pub caller: Caller,
    /// The operator.
    pub operator: Operator,
    announcers: Vec<Announcer>,
    changes: AtomicU64,
    _room: SemaphorePermit<'static>,
}

impl Testbed {
    /// Starts a cluster and fakes, sets the entries and waits until calls of each kind run.
    ///
    /// # Panics
    /// Panics if that does not come about in time.
    pub async fn start(options: ClusterOptions) -> Self {
        let room = TESTBED_PERMITS.acquire().await.expect("the semaphore is never closed");
        let cluster = Cluster::start(options).await;
        let instances = cluster.addresses();
        let mut engines = Vec::new();
        for n in 1..=ENGINES {
            let name = format!("engine-{n}");
            let data_centre = format!("dc-{n}");
            let time_scale = ENGINE_TIME_SCALE;
            let options =
                EngineOptions { name, data_centre, time_scale, ..EngineOptions::default() };
            engines.push(Engine::start(options).await.expect("a port is free"));
        }
        let engine_announcers = engines
            .iter()
            .map(|engine| Announcer::start(engine.announcements(), instances.clone()))
            .collect();
        let tool = start_service("tool-1", CallKind::Tool, TOOL).await;
        let service = start_service("service-1", CallKind::Service, SERVICE).await;
        let announcers = [&tool, &service].map(|service| {
            let announcement = service.announcement();
            Announcer::start(move || announcement.clone(), instances.clone())
        });
        let testbed = Self {
            cluster,
            engines,
            engine_announcers,
            tool,
            service,
            caller: Caller::new(instances),
            operator: Operator::default(),
            announcers: announcers.into(),
            changes: AtomicU64::new(1),
            _room: room,
        };
        testbed.set_entry(ENTRY, entry("owner-a", json!({}))).await;
        testbed.set_entry(RIVAL_ENTRY, entry("owner-b", json!({}))).await;
        testbed.endpoints_are_known().await;
        testbed
    }

    /// Returns how many announcements of tool and service were accepted.
    pub fn announced(&self) -> u64 {
        self.announcers.iter().map(Announcer::accepted).sum()
    }

    /// Returns a change id that was not used before.
    pub fn change_id(&self) -> String {
        format!("change-{}", self.changes.fetch_add(1, Ordering::SeqCst))
    }

    /// Changes an entry, whatever its revision, and waits until the change is accepted and in
    /// force on every running instance. Returns the revision.
    ///
    /// # Panics
    /// Panics if that does not come about in time.
    pub async fn set_entry(&self, name: &str, body: Value) -> u64 {
        let revision = self.accept_entry(name, body).await;
        for instance in self.cluster.running() {
            let address = self.cluster.address(&instance);
            let what = format!("{name} has revision {revision} on {instance}");
            wait::find(&what, || async {
                self.operator.revision(address, name).await.filter(|found| *found >= revision)
            })
            .await;
        }
        revision
    }

    /// Changes an entry, whatever its revision, and waits until the change is accepted.
    ///
    /// # Panics
    /// Panics if that does not come about in time.
    pub async fn accept_entry(&self, name: &str, body: Value) -> u64 {
        let id = self.change_id();
        let running = self.cluster.running();
        let turn = AtomicU64::new(0);
        wait::find(&format!("a change of {name} is accepted"), || async {
            let index = turn.fetch_add(1, Ordering::SeqCst) as usize % running.len();
            let address = self.cluster.address(&running[index]);
            self.operator.try_change(address, name, &body, &id).await
        })
        .await
    }

    /// Waits until a call of each kind runs at every running instance.
    async fn endpoints_are_known(&self) {
        for instance in self.cluster.running() {
            let probe = Caller::new(vec![self.cluster.address(&instance)]);
            for (kind, target) in [("model", MODEL), ("tool", TOOL), ("service", SERVICE)] {
                let what = format!("a {kind} call runs at {instance}");
                wait::find(&what, || async {
                    let program = probe.create(ENTRY, json!({})).await;
                    let request = call("probe", kind, target, &[]);
                    let outcome = probe.call_once(&program, &request).await;
                    probe.end(&program).await;
                    matches!(outcome, Outcome::Done(_)).then_some(())
                })
                .await;
            }
        }
    }

    /// Returns the addresses of the running instances.
    pub fn running_addresses(&self) -> Vec<SocketAddr> {
        self.cluster.running().iter().map(|name| self.cluster.address(name)).collect()
    }

    /// Runs a program of model, tool and service calls that depend on each other. Returns how each
    /// call ended.
    pub async fn run_program(&self, entry: &str, turns: usize) -> (Program, Vec<Outcome>) {
        let program = self.caller.create(entry, json!({})).await;
        let mut outcomes = Vec::new();
        for turn in 0..turns {
            let after = if turn == 0 { vec![] } else { vec![format!("t{}", turn - 1)] };
            let after: Vec<&str> = after.iter().map(String::as_str).collect();
            let id = format!("t{turn}");
            let request = match turn % 3 {
                0 => call(&id, "model", MODEL, &after),
                1 => call(&id, "tool", TOOL, &after),
                _ => call(&id, "service", SERVICE, &after),
            };
            outcomes.push(self.caller.call(&program, request).await);
        }
        (program, outcomes)
    }

    /// Gathers the records of the caller and of all fakes.
    pub fn evidence(&self) -> TrialRecords {
        let engines: Vec<&Engine> = self.engines.iter().collect();
        TrialRecords::collect(self.caller.log(), &engines, &[&self.tool, &self.service])
    }

    /// Waits until no engine holds memory for an ended program, then audits all records.
    ///
    /// # Panics
    /// Panics with the promises that were broken.
    pub async fn audit(&self) {
        let programs = self.caller.log().programs;
        let ended: BTreeSet<String> = programs
            .into_iter()
            .filter(|program| program.ended)
            .map(|program| program.id)
            .collect();
        wait::until("the memory of ended programs is released", || {
            let held = self.engines.iter().flat_map(|engine| engine.held().into_keys());
            held.into_iter().all(|program| !ended.contains(&program))
        })
        .await;
        auditor::assert_clean(&self.evidence());
    }
}

async fn start_service(name: &str, kind: CallKind, target: &str) -> Service {
    let options = ServiceOptions {
        name: name.to_owned(),
        kind,
        target: target.to_owned(),
        outcome_lookup: false,
        ..ServiceOptions::default()
    };
    Service::start(options).await.expect("a port is free")
}

/// Builds the body of an entry.
pub fn entry(owner: &str, limits: Value) -> Value {
    json!({"owner": owner, "class": "interactive", "limits": limits})
}

/// Builds a call; tool calls may be repeated, service calls must not be.
pub fn call(id: &str, kind: &str, target: &str, after: &[&str]) -> Value {
    json!({
        "call_id": id,
        "after": after,
        "kind": kind,
        "idempotent": kind == "tool",
        "target": target,
        "input": {"prompt": format!("input of {id}"), "max_tokens": 8},
    })
}
