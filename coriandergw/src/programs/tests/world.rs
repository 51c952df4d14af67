//! Test homes that share one journal, and helpers to create programs and make calls.

use std::sync::Arc;
use std::sync::Mutex;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::time::Duration;

use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;
use serde_json::Value;
use serde_json::json;
use tokio::runtime::Runtime;

use crate::catalogue::Entry;
use crate::catalogue::MemoryCatalogue;
use crate::catalogue::RawEntry;
use crate::clock::Clock;
use crate::clock::SystemClock;
use crate::clock::Timestamp;
use crate::clock::WallTime;
use crate::dispatch::CallKind;
use crate::ids::GroupId;
use crate::ids::InstanceName;
use crate::ids::ProgramId;
use crate::log_groups::StateMachine;
use crate::log_groups::local::LocalLog;
use crate::programs::CallRequest;
use crate::programs::CreatedProgram;
use crate::programs::JournalState;
use crate::programs::ProgramRequest;
use crate::programs::Programs;
use crate::programs::tests::fakes::FakeDispatcher;
use crate::programs::tests::fakes::FakeLog;
use crate::programs::tests::fakes::FakePartitions;
use crate::programs::tests::fakes::Gate;
use crate::result_code::Refusal;
use crate::settings::ProgramSettings;
use crate::test_support;

/// How long a test waits for a condition before it fails.
pub const WAIT_LIMIT: Duration = Duration::from_secs(20);

/// The tokens that the fake engine generates.
pub const COMPLETION_TOKENS: u64 = 5;

/// One run of a call at the fake endpoint.
#[derive(Debug, Clone)]
pub struct Run {
    pub program: ProgramId,
    pub call: String,
    pub prompt: Vec<String>,
    pub tokens: u64,
}

/// The homes of a test and the log, catalogue, clock and endpoint that they share.
pub struct TestCluster {
    pub log: Arc<LocalLog>,
    pub catalogue: Arc<MemoryCatalogue>,
    pub runs: Arc<Mutex<Vec<Run>>>,
    pub clock: Arc<TestClock>,
    pub can_look_up: bool,
    pub unknown_percent: u32,
    pub memory_bytes: usize,
}

/// The system clock with a wall time that tests can advance.
#[derive(Default)]
pub struct TestClock {
    system: SystemClock,
    pub ahead_ms: AtomicU64,
}

impl Clock for TestClock {
    fn now(&self) -> Timestamp {
        self.system.now()
    }

    fn wall(&self) -> WallTime {
        WallTime(self.system.wall().0 + self.ahead_ms.load(Ordering::Relaxed))
    }
}

impl Default for TestCluster {
    fn default() -> Self {
        Self::with_limits(json!({}))
    }
}

impl TestCluster {
    pub fn with_limits(limits: Value) -> Self {
        let groups = [1, 2].map(|group| {
            let machine: Box<dyn StateMachine> = Box::new(JournalState::default());
            (GroupId(group), machine)
        });
        let raw: RawEntry =
            serde_json::from_value(json!({"name": "e", "owner": "o", "limits": limits})).unwrap();
        Self {
            log: Arc::new(LocalLog::new(name("log"), groups)),
            catalogue: Arc::new(MemoryCatalogue::with_entries([Entry::try_from(raw).unwrap()])),
            runs: Arc::default(),
            clock: Arc::default(),
            can_look_up: false,
            unknown_percent: 0,
            memory_bytes: usize::MAX,
        }
    }

    /// Starts a home of all partitions under `epoch` on the current runtime.
    pub fn home(&self, epoch: u64) -> TestHome {
        let gate = Arc::new(Gate::default());
        let partitions = Arc::new(FakePartitions::new(epoch));
        let cx = test_support::context(name(&format!("i{epoch}")), "dc", self.clock.clone());
        let dispatcher = Arc::new(FakeDispatcher {
            gate: gate.clone(),
            runs: self.runs.clone(),
            can_look_up: self.can_look_up,
            ended: Mutex::default(),
            elsewhere: Mutex::default(),
            is_known: true.into(),
        });
        let rng = Mutex::new(ChaCha8Rng::seed_from_u64(epoch));
        let unknown_percent = self.unknown_percent;
        let log = FakeLog { inner: self.log.clone(), gate: gate.clone(), unknown_percent, rng };
        let programs = Programs::start(
            cx,
            ProgramSettings { memory_bytes: self.memory_bytes },
            self.catalogue.clone(),
            partitions.clone(),
            Arc::new(log),
            2,
            dispatcher.clone(),
        );
        TestHome { programs, partitions, gate, dispatcher }
    }

    /// Starts a home on its own runtime. Shutting the runtime down simulates a crash.
    pub fn process(&self, epoch: u64) -> (Runtime, TestHome) {
        let runtime = tokio::runtime::Builder::new_multi_thread()
            .worker_threads(2)
            .enable_all()
            .build()
            .unwrap();
        let _entered = runtime.enter();
        let home = self.home(epoch);
        drop(_entered);
        (runtime, home)
    }

    pub fn runs_of(&self, program: &ProgramId, call: &str) -> usize {
        let runs = self.runs.lock().unwrap();
        runs.iter().filter(|run| run.program == *program && run.call == call).count()
    }

    pub fn tokens_of(&self, program: &ProgramId) -> u64 {
        let runs = self.runs.lock().unwrap();
        runs.iter().filter(|run| run.program == *program).map(|run| run.tokens).sum()
    }
}

pub fn name(raw: &str) -> InstanceName {
    raw.try_into().unwrap()
}

/// A home and its fakes.
#[derive(Clone)]
pub struct TestHome {
    pub programs: Arc<Programs>,
    pub partitions: Arc<FakePartitions>,
    pub gate: Arc<Gate>,
    pub dispatcher: Arc<FakeDispatcher>,
}

impl TestHome {
    pub async fn create(&self, tokens: u64, calls: u64) -> CreatedProgram {
        let req = json!({"entry": "e", "budget": {"tokens": tokens, "calls": calls}});
        let req: ProgramRequest = serde_json::from_value(req).unwrap();
        self.programs.create(req).await.unwrap()
    }

    /// Creates a program with the default budget.
    pub async fn try_create(&self) -> Result<CreatedProgram, Refusal> {
        let req: ProgramRequest = serde_json::from_value(json!({"entry": "e"})).unwrap();
        self.programs.create(req).await
    }

    pub async fn call(
        &self,
        program: &CreatedProgram,
        req: CallRequest,
    ) -> crate::programs::CallAnswer {
        self.programs.call(&program.program, &program.secret, req, None).await
    }

    pub async fn history(&self, program: &CreatedProgram) -> Vec<String> {
        let turns = self.programs.history(&program.program, &program.secret).await.unwrap();
        turns.iter().map(|turn| turn.request.call_id.to_string()).collect()
    }
}

pub fn call(id: &str, kind: CallKind, idempotent: bool) -> CallRequest {
    let req = json!({
        "call_id": id, "kind": kind, "idempotent": idempotent, "target": "t", "input": id,
    });
    serde_json::from_value(req).unwrap()
}

pub fn model(id: &str) -> CallRequest {
    call(id, CallKind::Model, true)
}

/// Waits until a condition holds, and panics after `WAIT_LIMIT`.
pub async fn eventually<F>(what: &str, mut holds: F)
where
    F: FnMut() -> bool,
{
    let waited = tokio::time::timeout(WAIT_LIMIT, async {
        while !holds() {
            tokio::time::sleep(Duration::from_millis(2)).await;
        }
    });
    waited.await.unwrap_or_else(|_| panic!("timed out waiting until {what}"));
}
