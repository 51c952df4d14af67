//! Runs the planned programs through the dispatchers.

use std::sync::Arc;
use std::time::Duration;

use async_trait::async_trait;
use coriandergw::catalogue::Entry;
use coriandergw::catalogue::RawEntry;
use coriandergw::dispatch::CallKind;
use coriandergw::dispatch::DispatchObserver;
use coriandergw::dispatch::DispatchOutcome;
use coriandergw::dispatch::Dispatcher;
use coriandergw::dispatch::Message;
use coriandergw::dispatch::ReadyCall;
use coriandergw::dispatch::scheduled::ScheduledDispatcher;
use coriandergw::ids::EndpointName;
use coriandergw::ids::ProgramId;
use coriandergw::result_code::Refusal;
use futures_util::future::join_all;
use serde_json::json;
use tokio::time::Instant;

use crate::experiment::rows::Finished;
use crate::experiment::site::MODEL;
use crate::experiment::site::SERVICE;
use crate::experiment::site::Site;
use crate::experiment::workload::PlannedProgram;
use crate::experiment::workload::Step;

/// The bytes of text that count as one token.
const BYTES_PER_TOKEN: usize = 4;

struct SendsAll;

#[async_trait]
impl DispatchObserver for SendsAll {
    async fn before_send(&self, _endpoint: &EndpointName) -> Result<(), Refusal> {
        Ok(())
    }
}

/// Runs all programs to their ends.
pub async fn run_all(site: &Site, programs: Vec<PlannedProgram>, time_scale: f64) -> Vec<Finished> {
    let begun = Instant::now();
    let mut running = Vec::new();
    for program in programs {
        let dispatcher = site.dispatchers[program.number % site.dispatchers.len()].clone();
        running.push(tokio::spawn(async move {
            tokio::time::sleep_until(begun + program.start.mul_f64(time_scale)).await;
            let state = ProgramState::new(&program);
            state.run(&program, &dispatcher, time_scale).await
        }));
    }
    let mut finished = Vec::new();
    for program in running {
        finished.extend(program.await);
    }
    finished
}

struct ProgramState {
    id: ProgramId,
    entry: Arc<Entry>,
    history: Vec<Message>,
    attained_tokens: u64,
    calls: usize,
}

impl ProgramState {
    fn new(program: &PlannedProgram) -> Self {
        let raw = RawEntry {
            name: format!("entry-{}-{}", program.entry, program.class),
            owner: format!("owner-{}", program.entry),
            class: program.class,
            ..RawEntry::default()
        };
        Self {
            id: format!("p-{}", program.number).try_into().expect("a valid name"),
            entry: Arc::new(Entry::try_from(raw).expect("a valid entry")),
            history: Vec::new(),
            attained_tokens: 0,
            calls: 0,
        }
    }

    async fn run(
        mut self,
        program: &PlannedProgram,
        dispatcher: &ScheduledDispatcher,
        time_scale: f64,
    ) -> Finished {
        let begun = Instant::now();
        let mut paused = Duration::ZERO;
        let mut refused = 0;
        let mut recomputed_tokens = 0;
        for step in &program.steps {
            if let Step::Pause(pause) = step {
                tokio::time::sleep(pause.mul_f64(time_scale)).await;
                paused += pause.mul_f64(time_scale);
                continue;
            }
            match self.step(step, dispatcher).await {
                Some(tokens) => recomputed_tokens += tokens,
                None => {
                    refused = 1;
                    break;
                }
            }
        }
        dispatcher.program_ended(&self.id);
        Finished {
            class: program.class,
            latency: (begun.elapsed() - paused).div_f64(time_scale),
            refused,
            recomputed_tokens,
        }
    }

    /// Sends the calls of a step. Returns the tokens computed again; nothing after a refusal.
    async fn step(&mut self, step: &Step, dispatcher: &ScheduledDispatcher) -> Option<u64> {
        let count = if let Step::Fan { calls, .. } = step { *calls } else { 1 };
        let calls: Vec<ReadyCall> = (0..count).map(|_| self.ready(step)).collect();
        let (input, history_tokens) = (calls[0].input.clone(), calls[0].history_tokens);
        let sent = calls.into_iter().map(|call| dispatcher.run(call, &SendsAll, None));
        let mut recomputed_tokens = 0;
        let mut first = None;
        for outcome in join_all(sent).await {
            let DispatchOutcome::Done { output, usage, .. } = outcome else {
                return None;
            };
            self.attained_tokens += usage.total();
            // The whole history was computed before, by the calls that it consists of.
            recomputed_tokens += history_tokens.saturating_sub(usage.cached_tokens);
            first.get_or_insert(output);
        }
        if matches!(step, Step::Service) {
            return Some(0);
        }
        self.remember("user", &input);
        self.remember("assistant", &first?);
        Some(recomputed_tokens)
    }

    fn remember(&mut self, role: &str, text: &serde_json::Value) {
        let content = text.as_str().unwrap_or_default().into();
        self.history.push(Message { role: role.into(), content });
    }

    fn ready(&mut self, step: &Step) -> ReadyCall {
        self.calls += 1;
        let (kind, target, tokens, max_tokens) = match step {
            Step::Model { input_tokens, answer_tokens } => {
                (CallKind::Model, MODEL, *input_tokens, *answer_tokens)
            }
            Step::Fan { input_tokens, answer_tokens, .. } => {
                (CallKind::Model, MODEL, *input_tokens, *answer_tokens)
            }
            _ => (CallKind::Service, SERVICE, 1, 1),
        };
        let text = format!("{}/{} ", self.id, self.calls);
        let tokens_of = |message: &Message| message.content.len().div_ceil(BYTES_PER_TOKEN) as u64;
        ReadyCall {
            program: self.id.clone(),
            root: self.id.clone(),
            entry: self.entry.clone(),
            call: format!("c-{}", self.calls).try_into().expect("a valid name"),
            kind,
            idempotent: true,
            target: target.try_into().expect("a valid name"),
            history: self.history.clone(),
            history_tokens: self.history.iter().map(tokens_of).sum(),
            input: json!(format!("{text:x<width$}", width = tokens as usize * BYTES_PER_TOKEN)),
            max_tokens,
            deadline: None,
            attained_tokens: self.attained_tokens,
            under_way: self.calls > 1,
        }
    }
}
