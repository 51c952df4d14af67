//! Fakes for what programs depend on: leases, a log and an endpoint that can block at any step.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;

use async_trait::async_trait;
use bytes::Bytes;
use prost::Message;
use rand::Rng;
use rand_chacha::ChaCha8Rng;
use serde_json::json;
use tokio::sync::Notify;

use crate::clock::Timestamp;
use crate::dispatch::CallKind;
use crate::dispatch::DispatchObserver;
use crate::dispatch::DispatchOutcome;
use crate::dispatch::Dispatcher;
use crate::dispatch::OutcomeLookup;
use crate::dispatch::ReadyCall;
use crate::dispatch::TokenSink;
use crate::dispatch::Usage;
use crate::ids::EndpointName;
use crate::ids::Epoch;
use crate::ids::GroupId;
use crate::ids::InstanceName;
use crate::ids::PartitionId;
use crate::ids::ProgramId;
use crate::ids::TargetName;
use crate::leases::Home;
use crate::leases::Partitions;
use crate::log_groups::ProposeError;
use crate::log_groups::ReplicatedLog;
use crate::log_groups::local::LocalLog;
use crate::programs::generated as wire;
use crate::programs::generated::command::Command as WireCommand;
use crate::programs::record::Record;
use crate::programs::record::RecordBody;
use crate::programs::tests::world::COMPLETION_TOKENS;
use crate::programs::tests::world::Run;
use crate::result_code::Refusal;
use crate::result_code::ResultCode;

/// A step in the creation of a program or in a call at which a home can be blocked.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Step {
    BeforeCreated,
    AfterCreated,
    BeforeAccepted,
    AfterAccepted,
    BeforeIntent,
    AfterIntent,
    Arrived,
    Ran,
    BeforeDone,
    AfterDone,
}

impl Step {
    /// The steps of a call, in order.
    pub const ALL: [Step; 8] = [
        Step::BeforeAccepted,
        Step::AfterAccepted,
        Step::BeforeIntent,
        Step::AfterIntent,
        Step::Arrived,
        Step::Ran,
        Step::BeforeDone,
        Step::AfterDone,
    ];
}

/// Blocks tasks that pass the chosen step until the gate is opened.
#[derive(Default)]
pub struct Gate {
    step: Mutex<Option<Step>>,
    pub reached: Notify,
    pub opened: Notify,
}

impl Gate {
    pub fn close_at(&self, step: Step) {
        *self.step.lock().unwrap() = Some(step);
    }

    pub fn open(&self) {
        *self.step.lock().unwrap() = None;
        self.opened.notify_one();
    }

    async fn pass(&self, step: Step) {
        if *self.step.lock().unwrap() == Some(step) {
            self.reached.notify_one();
            self.opened.notified().await;
        }
    }
}

/// Leases of every 512th partition, under one epoch.
pub struct FakePartitions {
    epoch: AtomicU64,
    pub fresh: AtomicBool,
}

impl FakePartitions {
    pub fn new(epoch: u64) -> Self {
        Self { epoch: AtomicU64::new(epoch), fresh: true.into() }
    }

    /// Makes the leases lapse.
    pub fn lose(&self) {
        self.epoch.store(0, Ordering::SeqCst);
    }
}

impl Partitions for FakePartitions {
    fn home(&self, _partition: PartitionId) -> Option<Home> {
        None
    }

    fn held(&self, partition: PartitionId, _now: Timestamp) -> Option<Epoch> {
        let epoch = self.epoch.load(Ordering::SeqCst);
        (epoch > 0 && partition.0.is_multiple_of(512)).then_some(Epoch(epoch))
    }

    fn all_held(&self, now: Timestamp) -> Vec<(PartitionId, Epoch)> {
        let all = (0..8).map(|index| PartitionId(index * 512));
        all.filter_map(|partition| Some((partition, self.held(partition, now)?))).collect()
    }

    fn is_fresh(&self, _now: Timestamp) -> bool {
        self.fresh.load(Ordering::SeqCst)
    }
}

/// A log that can block before and after a record, and lose commands and answers at random.
pub struct FakeLog {
    pub inner: Arc<LocalLog>,
    pub gate: Arc<Gate>,
    pub unknown_percent: u32,
    pub rng: Mutex<ChaCha8Rng>,
}

impl FakeLog {
    fn is_lost(&self) -> bool {
        self.rng.lock().unwrap().random_ratio(self.unknown_percent, 100)
    }
}

fn steps_around(command: &[u8]) -> Option<(Step, Step)> {
    let command = wire::Command::decode(command).ok()?.command?;
    let WireCommand::Append(append) = command else {
        return None;
    };
    match Record::decode(&append.record).ok()?.body {
        RecordBody::Created(_) => Some((Step::BeforeCreated, Step::AfterCreated)),
        RecordBody::Accepted { .. } => Some((Step::BeforeAccepted, Step::AfterAccepted)),
        RecordBody::Intent { .. } => Some((Step::BeforeIntent, Step::AfterIntent)),
        RecordBody::Done { .. } => Some((Step::BeforeDone, Step::AfterDone)),
        _ => None,
    }
}

#[async_trait]
impl ReplicatedLog for FakeLog {
    async fn propose(&self, group: GroupId, command: Bytes) -> Result<Bytes, ProposeError> {
        let lost = || ProposeError::Unknown { reason: "lost by the fake log".to_owned() };
        let steps = steps_around(&command);
        if let Some((before, _)) = steps {
            self.gate.pass(before).await;
        }
        if self.is_lost() {
            return Err(lost());
        }
        let answer = self.inner.propose(group, command).await;
        if let Some((_, after)) = steps {
            self.gate.pass(after).await;
        }
        if self.is_lost() { Err(lost()) } else { answer }
    }

    fn leader(&self, group: GroupId) -> Option<InstanceName> {
        self.inner.leader(group)
    }
}

/// Runs calls at one fake endpoint, which remembers what it ran.
pub struct FakeDispatcher {
    pub gate: Arc<Gate>,
    pub runs: Arc<Mutex<Vec<Run>>>,
    pub can_look_up: bool,
    pub ended: Mutex<BTreeMap<ProgramId, usize>>,
    pub elsewhere: Mutex<BTreeSet<(ProgramId, TargetName)>>,
    /// Whether the endpoint has announced itself.
    pub is_known: AtomicBool,
}

impl FakeDispatcher {
    fn run_at_endpoint(&self, call: &ReadyCall) -> Usage {
        let prompt: Vec<String> =
            call.history.iter().map(|message| message.content.to_string()).collect();
        let bytes: usize = prompt.iter().map(String::len).sum();
        let usage = match call.kind {
            CallKind::Model => Usage {
                prompt_tokens: bytes as u64 + call.input.to_string().len() as u64,
                cached_tokens: 0,
                completion_tokens: COMPLETION_TOKENS.min(call.max_tokens),
            },
            _ => Usage::default(),
        };
        self.runs.lock().unwrap().push(Run {
            program: call.program.clone(),
            call: call.call.to_string(),
            prompt,
            tokens: usage.total(),
        });
        usage
    }
}

#[async_trait]
impl Dispatcher for FakeDispatcher {
    async fn run(
        &self,
        call: ReadyCall,
        observer: &dyn DispatchObserver,
        sink: Option<TokenSink>,
    ) -> DispatchOutcome {
        if !self.is_known.load(Ordering::SeqCst) {
            let refusal = Refusal::not_run(ResultCode::NoEndpoint, "no endpoint");
            return DispatchOutcome::NotRun(refusal);
        }
        let endpoint = EndpointName::try_from("fake").unwrap();
        if let Err(refusal) = observer.before_send(&endpoint).await {
            return DispatchOutcome::NotRun(refusal);
        }
        self.gate.pass(Step::Arrived).await;
        let usage = self.run_at_endpoint(&call);
        if let Some(sink) = sink {
            let _ = sink.send(Bytes::from_static(b"text")).await;
        }
        self.gate.pass(Step::Ran).await;
        let output = json!(format!("{}:{}", call.program, call.call));
        DispatchOutcome::Done { output, usage, endpoint }
    }

    async fn look_up(&self, _endpoint: &EndpointName, call: &ReadyCall) -> Option<OutcomeLookup> {
        if !self.can_look_up {
            return None;
        }
        let runs = self.runs.lock().unwrap();
        let ran =
            runs.iter().any(|run| run.program == call.program && run.call == call.call.as_str());
        let output = json!(format!("{}:{}", call.program, call.call));
        Some(if ran { OutcomeLookup::Ran { output } } else { OutcomeLookup::NotRan })
    }

    fn sent_elsewhere(&self, program: &ProgramId, model: &TargetName) {
        self.elsewhere.lock().unwrap().insert((program.clone(), model.clone()));
    }

    fn program_ended(&self, program: &ProgramId) {
        *self.ended.lock().unwrap().entry(program.clone()).or_default() += 1;
    }
}
