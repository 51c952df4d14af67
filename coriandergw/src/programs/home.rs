//! The programs whose home is this instance.

use std::collections::HashMap;
use std::sync::Arc;
use std::sync::Mutex;
use std::time::Duration;

use async_trait::async_trait;
use serde_json::Value;
use serde_json::json;
use sha2::Digest;
use sha2::Sha256;
use tokio::sync::Notify;

use crate::catalogue::CatalogueView;
use crate::catalogue::Entry;
use crate::context::Context;
use crate::dispatch::CallKind;
use crate::dispatch::DispatchObserver;
use crate::dispatch::DispatchOutcome;
use crate::dispatch::Dispatcher;
use crate::dispatch::ReadyCall;
use crate::dispatch::TokenSink;
use crate::events::EventNumber;
use crate::events::Subject;
use crate::ids::CallId;
use crate::ids::EndpointName;
use crate::ids::EntryName;
use crate::ids::ProgramId;
use crate::programs::request::Budget;
use crate::programs::request::CallRequest;
use crate::programs::request::ChildRequest;
use crate::programs::request::ProgramRequest;
use crate::programs::state::CallState;
use crate::programs::state::ProgramState;
use crate::programs::state::Remaining;
use crate::programs::state::Turn;
use crate::result_code::Refusal;
use crate::result_code::ResultCode;

/// The tokens a model call may generate where the caller names no limit.
const DEFAULT_MAX_TOKENS: u64 = 1_024;

/// The answer to a call: a JSON body or a refusal. A resent call gets the same bytes.
pub type CallAnswer = Result<Arc<str>, Refusal>;

/// Runs the programs whose home is this instance.
pub struct Programs {
    cx: Context,
    catalogue: Arc<dyn CatalogueView>,
    dispatcher: Arc<dyn Dispatcher>,
    programs: Mutex<HashMap<ProgramId, Arc<Program>>>,
}

struct Program {
    state: Mutex<ProgramState>,
    changed: Notify,
}

struct Observer<'a> {
    cx: &'a Context,
    subject: Subject,
}

#[async_trait]
impl DispatchObserver for Observer<'_> {
    async fn before_send(&self, endpoint: &EndpointName) -> Result<(), Refusal> {
        let subject = Subject { peer: Some(endpoint.to_string()), ..self.subject.clone() };
        self.cx.events.record(EventNumber::CallSent, subject, "call sent");
        Ok(())
    }
}

/// A created program as its caller is told of it.
#[derive(Debug, Clone)]
#[derive(serde::Serialize)]
pub struct CreatedProgram {
    /// The identifier.
    pub program: ProgramId,
    /// The secret that opens the program; shown once.
    pub secret: String,
}

impl Programs {
    /// Creates a home without programs.
    pub fn new(
        cx: Context,
        catalogue: Arc<dyn CatalogueView>,
        dispatcher: Arc<dyn Dispatcher>,
    ) -> Self {
        Self { cx, catalogue, dispatcher, programs: Mutex::default() }
    }

    /// Creates a program.
    ///
    /// # Errors
    /// Refuses an unknown entry and a budget of zero.
    pub async fn create(&self, req: ProgramRequest) -> Result<CreatedProgram, Refusal> {
        let entry = self.entry(&req.entry)?;
        let remaining = checked_budget(&req.budget, &entry)?;
        let deadline = req.deadline_ms.map(Duration::from_millis);
        Ok(self.insert(entry, remaining, deadline, None, Vec::new()))
    }

    /// Creates a sub-agent of a program.
    ///
    /// # Errors
    /// Refuses what the secret does not open and what the parent's budget does not cover.
    pub async fn create_child(
        &self,
        parent: &ProgramId,
        secret: &str,
        req: ChildRequest,
    ) -> Result<CreatedProgram, Refusal> {
        let program = self.open(parent, secret)?;
        let (entry, remaining, history) = {
            let mut state = program.state.lock().expect("not poisoned");
            check_running(&state)?;
            let remaining = draw_on(&mut state, &req.budget)?;
            let history = if req.inherit_history { state.history.clone() } else { Vec::new() };
            (state.entry.clone(), remaining, history)
        };
        Ok(self.insert(entry, remaining, None, Some(parent.clone()), history))
    }

    fn insert(
        &self,
        entry: Arc<Entry>,
        remaining: Remaining,
        deadline: Option<Duration>,
        parent: Option<ProgramId>,
        history: Vec<Turn>,
    ) -> CreatedProgram {
        let id = ProgramId::from_random(rand::random());
        let secret = hex::encode(rand::random::<[u8; 32]>());
        let now = self.cx.clock.now();
        let state = ProgramState {
            id: id.clone(),
            entry: entry.clone(),
            secret_digest: digest(&secret),
            parent,
            created_at: now,
            deadline: deadline.map(|deadline| now + deadline),
            remaining,
            history,
            calls: Default::default(),
            attained_tokens: 0,
            ended: false,
        };
        let program = Arc::new(Program { state: Mutex::new(state), changed: Notify::new() });
        self.programs.lock().expect("not poisoned").insert(id.clone(), program);
        let subject = Subject {
            program: Some(id.clone()),
            entry: Some(entry.name.clone()),
            ..Subject::default()
        };
        self.cx.events.record(EventNumber::ProgramCreated, subject, "program created");
        CreatedProgram { program: id, secret }
    }

    /// Runs a call to its end, or joins or repeats the answer of the same call sent before.
    ///
    /// # Errors
    /// Refuses with a numbered code what cannot run.
    pub async fn call(
        self: &Arc<Self>,
        id: &ProgramId,
        secret: &str,
        req: CallRequest,
        sink: Option<TokenSink>,
    ) -> CallAnswer {
        let program = self.open(id, secret)?;
        let call = req.call_id.clone();
        if self.accept(&program, req)? {
            // The call goes on when its caller's connection breaks, so that a resend finds it.
            let programs = self.clone();
            let program = program.clone();
            let call = call.clone();
            tokio::spawn(async move { programs.run(&program, &call, sink).await });
        }
        wait_for(&program, |state| state.calls[&call].answer.clone()).await
    }

    /// Accepts a call. Returns false if the same call was accepted before.
    fn accept(&self, program: &Program, req: CallRequest) -> Result<bool, Refusal> {
        let mut state = program.state.lock().expect("not poisoned");
        if let Some(known) = state.calls.get(&req.call_id) {
            if known.request == req {
                return Ok(false);
            }
            let message = format!("call id {} was used for another call", req.call_id);
            return Err(Refusal::not_run(ResultCode::CallIdReused, message));
        }
        check_running(&state)?;
        check_predecessors(&state, &req)?;
        if state.calls.len() as u64 >= state.entry.limits.turns {
            let message = "the program has taken all the turns of its entry";
            return Err(Refusal::not_run(ResultCode::TurnLimit, message));
        }
        if state.remaining.calls == 0 {
            let message = "the budget of calls is used up";
            return Err(Refusal::not_run(ResultCode::BudgetExhausted, message));
        }
        state.remaining.calls -= 1;
        state.calls.insert(req.call_id.clone(), CallState { request: req, answer: None });
        Ok(true)
    }

    async fn run(&self, program: &Program, call: &CallId, sink: Option<TokenSink>) {
        let answer = match self.predecessors_done(program, call).await {
            Ok(()) => self.dispatch(program, call, sink).await,
            Err(refusal) => Err(refusal),
        };
        let mut state = program.state.lock().expect("not poisoned");
        if let Some(known) = state.calls.get_mut(call) {
            known.answer = Some(answer);
        }
        let subject = Subject {
            program: Some(state.id.clone()),
            call: Some(call.clone()),
            ..Subject::default()
        };
        drop(state);
        program.changed.notify_waiters();
        self.cx.events.record(EventNumber::CallEnded, subject, "call ended");
    }

    async fn predecessors_done(&self, program: &Program, call: &CallId) -> Result<(), Refusal> {
        wait_for(program, |state| {
            let after = &state.calls[call].request.after;
            let answers: Option<Vec<bool>> = after
                .iter()
                .map(|id| state.calls.get(id)?.answer.as_ref().map(Result::is_ok))
                .collect();
            answers.map(|answers| answers.into_iter().all(|ok| ok))
        })
        .await
        .then_some(())
        .ok_or_else(|| {
            Refusal::not_run(ResultCode::PredecessorFailed, "a predecessor did not succeed")
        })
    }

    async fn dispatch(
        &self,
        program: &Program,
        call: &CallId,
        sink: Option<TokenSink>,
    ) -> CallAnswer {
        let (ready, reserved) = reserve(program, call)?;
        let subject = Subject {
            program: Some(ready.program.clone()),
            call: Some(call.clone()),
            entry: Some(ready.entry.name.clone()),
            ..Subject::default()
        };
        let observer = Observer { cx: &self.cx, subject };
        let outcome = self.dispatcher.run(ready, &observer, sink).await;
        settle(program, call, reserved, outcome)
    }

    /// Returns the history of a program.
    ///
    /// # Errors
    /// Refuses what the secret does not open.
    pub fn history(&self, id: &ProgramId, secret: &str) -> Result<Vec<Turn>, Refusal> {
        let program = self.open(id, secret)?;
        let state = program.state.lock().expect("not poisoned");
        Ok(state.history.clone())
    }

    /// Ends a program.
    ///
    /// # Errors
    /// Refuses what the secret does not open.
    pub async fn end(&self, id: &ProgramId, secret: &str) -> Result<(), Refusal> {
        let program = self.open(id, secret)?;
        let mut state = program.state.lock().expect("not poisoned");
        if !state.ended {
            state.ended = true;
            let subject = Subject { program: Some(id.clone()), ..Subject::default() };
            self.cx.events.record(EventNumber::ProgramEnded, subject, "program ended");
            self.observe_latency(&state);
            self.dispatcher.program_ended(id);
        }
        Ok(())
    }

    fn observe_latency(&self, state: &ProgramState) {
        let labels = [state.entry.name.as_str(), &state.entry.class.to_string()];
        let latency = self.cx.clock.now().since(state.created_at);
        self.cx.metrics.program_seconds.with_label_values(&labels).observe(latency.as_secs_f64());
    }

    fn entry(&self, name: &EntryName) -> Result<Arc<Entry>, Refusal> {
        self.catalogue.entry(name).ok_or_else(|| {
            Refusal::not_run(ResultCode::UnknownEntry, format!("no entry is named {name}"))
        })
    }

    fn open(&self, id: &ProgramId, secret: &str) -> Result<Arc<Program>, Refusal> {
        let program = self.programs.lock().expect("not poisoned").get(id).cloned();
        let program = program.ok_or_else(|| {
            Refusal::not_run(ResultCode::UnknownProgram, format!("no program is named {id}"))
        })?;
        let expected = program.state.lock().expect("not poisoned").secret_digest;
        if digest(secret) != expected {
            let message = "the secret does not open this program";
            return Err(Refusal::not_run(ResultCode::WrongSecret, message));
        }
        Ok(program)
    }
}

async fn wait_for<T, F>(program: &Program, ready: F) -> T
where
    F: Fn(&ProgramState) -> Option<T>,
{
    loop {
        let changed = program.changed.notified();
        tokio::pin!(changed);
        changed.as_mut().enable();
        if let Some(found) = ready(&program.state.lock().expect("not poisoned")) {
            return found;
        }
        changed.await;
    }
}

fn digest(secret: &str) -> [u8; 32] {
    Sha256::digest(secret.as_bytes()).into()
}

fn check_running(state: &ProgramState) -> Result<(), Refusal> {
    match state.ended {
        true => Err(Refusal::not_run(ResultCode::ProgramEnded, "the program has ended")),
        false => Ok(()),
    }
}

fn check_predecessors(state: &ProgramState, req: &CallRequest) -> Result<(), Refusal> {
    for id in &req.after {
        if *id == req.call_id {
            let message = format!("call {id} depends on itself");
            return Err(Refusal::not_run(ResultCode::DependencyCycle, message));
        }
        if !state.calls.contains_key(id) {
            let message = format!("the program has no call {id}");
            return Err(Refusal::not_run(ResultCode::UnknownPredecessor, message));
        }
    }
    Ok(())
}

fn checked_budget(budget: &Budget, entry: &Entry) -> Result<Remaining, Refusal> {
    let tokens = budget.tokens.unwrap_or(entry.limits.tokens).min(entry.limits.tokens);
    let calls = budget.calls.unwrap_or(entry.limits.calls).min(entry.limits.calls);
    if tokens == 0 || calls == 0 {
        let message = "a budget must allow at least one call and one token";
        return Err(Refusal::not_run(ResultCode::ZeroBudget, message));
    }
    Ok(Remaining { tokens, calls })
}

fn draw_on(parent: &mut ProgramState, budget: &Budget) -> Result<Remaining, Refusal> {
    let tokens = budget.tokens.unwrap_or(parent.remaining.tokens);
    let calls = budget.calls.unwrap_or(parent.remaining.calls);
    if tokens == 0 || calls == 0 {
        let message = "a budget must allow at least one call and one token";
        return Err(Refusal::not_run(ResultCode::ZeroBudget, message));
    }
    if tokens > parent.remaining.tokens || calls > parent.remaining.calls {
        let message = "the parent's budget does not cover the sub-agent's";
        return Err(Refusal::not_run(ResultCode::BudgetExhausted, message));
    }
    parent.remaining.tokens -= tokens;
    parent.remaining.calls -= calls;
    Ok(Remaining { tokens, calls })
}

/// Reserves the upper bound of what the call can use and builds the call.
fn reserve(program: &Program, call: &CallId) -> Result<(ReadyCall, u64), Refusal> {
    let mut state = program.state.lock().expect("not poisoned");
    check_running(&state)?;
    let req = state.calls[call].request.clone();
    let is_model = req.kind == CallKind::Model;
    let history = if is_model { state.messages() } else { Vec::new() };
    let history_bytes: usize = history.iter().map(|message| message.content.len()).sum();
    let prompt_bound = (history_bytes + req.input.to_string().len()) as u64;
    let asked = req.input.get("max_tokens").and_then(Value::as_u64);
    let max_tokens = asked.unwrap_or(DEFAULT_MAX_TOKENS);
    let bound = if is_model { prompt_bound + max_tokens } else { 0 };
    if bound > state.remaining.tokens {
        let message = format!(
            "the call may use {bound} tokens, the budget has {} left",
            state.remaining.tokens
        );
        return Err(Refusal::not_run(ResultCode::BudgetExhausted, message));
    }
    state.remaining.tokens -= bound;
    let ready = ReadyCall {
        program: state.id.clone(),
        root: state.parent.clone().unwrap_or_else(|| state.id.clone()),
        entry: state.entry.clone(),
        call: call.clone(),
        kind: req.kind,
        idempotent: req.idempotent || is_model,
        target: req.target,
        history,
        history_tokens: history_bytes as u64 / 4,
        input: req.input,
        max_tokens,
        deadline: state.deadline,
        attained_tokens: state.attained_tokens,
        under_way: !state.history.is_empty(),
    };
    Ok((ready, bound))
}

fn settle(program: &Program, call: &CallId, reserved: u64, outcome: DispatchOutcome) -> CallAnswer {
    let mut state = program.state.lock().expect("not poisoned");
    match outcome {
        DispatchOutcome::Done { output, usage, .. } => {
            state.remaining.tokens += reserved.saturating_sub(usage.total());
            state.attained_tokens += usage.total();
            let req = state.calls[call].request.clone();
            let body = json!({
                "program": state.id,
                "call_id": call,
                "outcome": "done",
                "output": output,
                "usage": usage,
            });
            state.history.push(Turn {
                call_id: call.clone(),
                kind: req.kind,
                target: req.target,
                input: req.input,
                output,
                usage,
            });
            Ok(body.to_string().into())
        }
        DispatchOutcome::NotRun(refusal) => {
            state.remaining.tokens += reserved;
            state.remaining.calls += 1;
            Err(refusal)
        }
        DispatchOutcome::Failed(refusal) | DispatchOutcome::Unknown(refusal) => Err(refusal),
    }
}
