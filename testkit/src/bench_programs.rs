//! Measures what a turn costs in the journal and how long a takeover and reading back take.

use std::sync::Arc;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::time::Duration;
use std::time::Instant;

use async_trait::async_trait;
use bytes::Bytes;
use coriandergw::catalogue::Entry;
use coriandergw::catalogue::MemoryCatalogue;
use coriandergw::catalogue::RawEntry;
use coriandergw::clock::SystemClock;
use coriandergw::clock::Timestamp;
use coriandergw::context::Context;
use coriandergw::dispatch::DispatchObserver;
use coriandergw::dispatch::DispatchOutcome;
use coriandergw::dispatch::Dispatcher;
use coriandergw::dispatch::ReadyCall;
use coriandergw::dispatch::TokenSink;
use coriandergw::dispatch::Usage;
use coriandergw::events::Recorder;
use coriandergw::ids::EndpointName;
use coriandergw::ids::Epoch;
use coriandergw::ids::GroupId;
use coriandergw::ids::InstanceName;
use coriandergw::ids::PARTITION_COUNT;
use coriandergw::ids::PartitionId;
use coriandergw::ids::ProgramId;
use coriandergw::leases::Home;
use coriandergw::leases::Partitions;
use coriandergw::log_groups::ProposeError;
use coriandergw::log_groups::ReplicatedLog;
use coriandergw::log_groups::StateMachine;
use coriandergw::log_groups::local::LocalLog;
use coriandergw::metrics::Metrics;
use coriandergw::programs::CallRequest;
use coriandergw::programs::CreatedProgram;
use coriandergw::programs::JournalState;
use coriandergw::programs::ProgramRequest;
use coriandergw::programs::Programs;
use coriandergw::settings::ProgramSettings;
use serde::Serialize;
use serde_json::Value;
use serde_json::json;

/// The number of journal groups.
const GROUPS: u32 = 2;

/// The bytes of text of each question and each answer.
const TEXT_BYTES: usize = 500;

/// The time between two looks at how many programs are parked.
const PARKING_POLL: Duration = Duration::from_millis(10);

/// What a turn cost in programs of one length.
#[derive(Debug, Clone, Serialize)]
pub struct TurnCost {
    /// The turns that the programs had before.
    pub turns_before: usize,
    /// The turns that were measured.
    pub measured: usize,
    /// The records of one turn.
    pub records_per_turn: f64,
    /// The bytes proposed for one turn.
    pub journal_bytes_per_turn: f64,
    /// The mean time of one turn with an endpoint that answers at once, in microseconds.
    pub turn_us: f64,
}

/// How long a new home took to serve all programs.
#[derive(Debug, Clone, Serialize)]
pub struct TakeoverCost {
    /// The programs.
    pub programs: usize,
    /// The turns of each.
    pub turns: usize,
    /// The time until the new home had answered for each program, in milliseconds.
    pub takeover_ms: f64,
}

/// What it costs to read programs back that only the journal holds.
#[derive(Debug, Clone, Serialize)]
pub struct ReadBackCost {
    /// The turns of each program.
    pub turns: usize,
    /// The programs that were read back.
    pub programs: usize,
    /// The mean time from a request to its answer, in microseconds.
    pub read_back_us: f64,
    /// The same for a program that is in memory, in microseconds.
    pub in_memory_us: f64,
}

/// The whole result.
#[derive(Debug, Clone, Serialize)]
pub struct Report {
    /// The costs by turns.
    pub turns: Vec<TurnCost>,
    /// The takeover.
    pub takeover: TakeoverCost,
    /// The costs of reading back by turns.
    pub read_back: Vec<ReadBackCost>,
}

/// Runs the measurement.
///
/// `measured` programs of each length are measured, and `programs` are taken over.
pub async fn run(lengths: &[usize], measured: usize, programs: usize) -> Report {
    let mut turns = Vec::new();
    let mut read_back = Vec::new();
    for length in lengths {
        turns.push(measure_turns(*length, measured).await);
        read_back.push(measure_read_back(*length, measured).await);
    }
    Report { turns, takeover: measure_takeover(programs, 4).await, read_back }
}

async fn measure_read_back(turns: usize, measured: usize) -> ReadBackCost {
    let log = Arc::new(CountingLog::default());
    let metrics = Arc::new(Metrics::new().expect("metrics"));
    let programs = home_with(&log, 1, ProgramSettings { memory_bytes: 0 }, metrics.clone());
    let mut created = Vec::new();
    for _ in 0..measured {
        let program = create(&programs).await;
        take_turns(&programs, &program, 0..turns).await;
        created.push(program);
    }
    let parked = metrics.states.with_label_values(&["programs_parked"]);
    while parked.get() < measured as i64 {
        tokio::time::sleep(PARKING_POLL).await;
    }
    let read_back_us = read_all(&programs, &created).await;
    let in_memory_us = read_all(&programs, &created).await;
    ReadBackCost { turns, programs: measured, read_back_us, in_memory_us }
}

/// Reads all histories once and returns the mean time, in microseconds.
async fn read_all(programs: &Arc<Programs>, created: &[CreatedProgram]) -> f64 {
    let started = Instant::now();
    for program in created {
        let history = programs.history(&program.program, &program.secret).await;
        history.expect("a history is read");
    }
    started.elapsed().as_secs_f64() * 1e6 / created.len() as f64
}

async fn measure_turns(turns_before: usize, measured: usize) -> TurnCost {
    let log = Arc::new(CountingLog::default());
    let programs = home(&log, 1);
    let mut created = Vec::new();
    for _ in 0..measured {
        let program = create(&programs).await;
        take_turns(&programs, &program, 0..turns_before).await;
        created.push(program);
    }
    let before = log.counts();
    let started = Instant::now();
    for program in &created {
        take_turns(&programs, program, turns_before..turns_before + 1).await;
    }
    let elapsed = started.elapsed();
    let after = log.counts();
    let per_turn = |count: u64| count as f64 / measured as f64;
    TurnCost {
        turns_before,
        measured,
        records_per_turn: per_turn(after.0 - before.0),
        journal_bytes_per_turn: per_turn(after.1 - before.1),
        turn_us: elapsed.as_secs_f64() * 1e6 / measured as f64,
    }
}

async fn measure_takeover(count: usize, turns: usize) -> TakeoverCost {
    let log = Arc::new(CountingLog::default());
    let former = home(&log, 1);
    let mut created = Vec::new();
    for _ in 0..count {
        let program = create(&former).await;
        take_turns(&former, &program, 0..turns).await;
        created.push(program);
    }
    let started = Instant::now();
    let next = home(&log, 2);
    for program in &created {
        let history = next.history(&program.program, &program.secret).await;
        assert_eq!(history.map(|history| history.len()), Ok(turns), "a history is whole");
    }
    let takeover_ms = started.elapsed().as_secs_f64() * 1e3;
    TakeoverCost { programs: count, turns, takeover_ms }
}

async fn create(programs: &Arc<Programs>) -> CreatedProgram {
    let req: ProgramRequest = parsed(json!({"entry": "bench"}));
    programs.create(req).await.expect("a program is created")
}

async fn take_turns(
    programs: &Arc<Programs>,
    program: &CreatedProgram,
    turns: std::ops::Range<usize>,
) {
    for turn in turns {
        let req: CallRequest = parsed(json!({
            "call_id": format!("c{turn}"), "kind": "model", "target": "m",
            "input": format!("{turn} {}", "q".repeat(TEXT_BYTES)),
        }));
        let answer = programs.call(&program.program, &program.secret, req, None).await;
        answer.expect("a turn is taken");
    }
}

fn parsed<T>(raw: Value) -> T
where
    T: serde::de::DeserializeOwned,
{
    serde_json::from_value(raw).expect("a valid request")
}

fn home(log: &Arc<CountingLog>, epoch: u64) -> Arc<Programs> {
    let metrics = Arc::new(Metrics::new().expect("metrics"));
    home_with(log, epoch, ProgramSettings::default(), metrics)
}

fn home_with(
    log: &Arc<CountingLog>,
    epoch: u64,
    settings: ProgramSettings,
    metrics: Arc<Metrics>,
) -> Arc<Programs> {
    let clock = Arc::new(SystemClock::default());
    let instance = InstanceName::try_from(format!("i{epoch}")).expect("a valid name");
    let cx = Context {
        instance: instance.clone(),
        data_centre: "dc".try_into().expect("a valid name"),
        clock: clock.clone(),
        events: Arc::new(Recorder::new(instance, clock)),
        metrics,
        memory: Arc::default(),
        supervisor: Arc::default(),
    };
    let limits = json!({"tokens": 100_000_000, "turns": 1_000, "calls": 1_000});
    let raw: RawEntry = parsed(json!({"name": "bench", "owner": "bench", "limits": limits}));
    let catalogue = MemoryCatalogue::with_entries([Entry::try_from(raw).expect("a valid entry")]);
    Programs::start(
        cx,
        settings,
        Arc::new(catalogue),
        Arc::new(AllPartitions(Epoch(epoch))),
        log.clone(),
        GROUPS,
        Arc::new(InstantDispatcher),
    )
}

/// Holds all partitions under one epoch.
struct AllPartitions(Epoch);

impl Partitions for AllPartitions {
    fn home(&self, _partition: PartitionId) -> Option<Home> {
        None
    }

    fn held(&self, _partition: PartitionId, _now: Timestamp) -> Option<Epoch> {
        Some(self.0)
    }

    fn all_held(&self, _now: Timestamp) -> Vec<(PartitionId, Epoch)> {
        (0..PARTITION_COUNT).map(|number| (PartitionId(number), self.0)).collect()
    }

    fn is_fresh(&self, _now: Timestamp) -> bool {
        true
    }
}

/// Counts what is proposed to a log of one process.
struct CountingLog {
    inner: LocalLog,
    commands: AtomicU64,
    bytes: AtomicU64,
}

impl Default for CountingLog {
    fn default() -> Self {
        let groups = (1..=GROUPS).map(|group| {
            let machine: Box<dyn StateMachine> = Box::new(JournalState::default());
            (GroupId(group), machine)
        });
        let name = InstanceName::try_from("log").expect("a valid name");
        let (commands, bytes) = (AtomicU64::new(0), AtomicU64::new(0));
        Self { inner: LocalLog::new(name, groups), commands, bytes }
    }
}

impl CountingLog {
    fn counts(&self) -> (u64, u64) {
        (self.commands.load(Ordering::Relaxed), self.bytes.load(Ordering::Relaxed))
    }
}

#[async_trait]
impl ReplicatedLog for CountingLog {
    async fn propose(&self, group: GroupId, command: Bytes) -> Result<Bytes, ProposeError> {
        self.commands.fetch_add(1, Ordering::Relaxed);
        self.bytes.fetch_add(command.len() as u64, Ordering::Relaxed);
        self.inner.propose(group, command).await
    }

    fn leader(&self, group: GroupId) -> Option<InstanceName> {
        self.inner.leader(group)
    }
}

/// Answers each call at once.
struct InstantDispatcher;

#[async_trait]
impl Dispatcher for InstantDispatcher {
    async fn run(
        &self,
        call: ReadyCall,
        observer: &dyn DispatchObserver,
        _sink: Option<TokenSink>,
    ) -> DispatchOutcome {
        let endpoint = EndpointName::try_from("instant").expect("a valid name");
        if let Err(refusal) = observer.before_send(&endpoint).await {
            return DispatchOutcome::NotRun(refusal);
        }
        let prompt_tokens = call.history_tokens / 4 + 1;
        let usage = Usage { prompt_tokens, cached_tokens: 0, completion_tokens: 100 };
        let output = json!(format!("{} {}", call.call, "a".repeat(TEXT_BYTES)));
        DispatchOutcome::Done { output, usage, endpoint }
    }

    fn program_ended(&self, _program: &ProgramId) {}
}
