//! Runs accepted calls: waits for predecessors, reserves budget, dispatches and records the result.

use std::sync::Arc;
use std::sync::atomic::AtomicU32;
use std::sync::atomic::Ordering;

use async_trait::async_trait;

use crate::clock::Timestamp;
use crate::clock::WallTime;
use crate::dispatch::CallKind;
use crate::dispatch::DispatchObserver;
use crate::dispatch::ReadyCall;
use crate::events::EventNumber;
use crate::events::Subject;
use crate::ids::CallId;
use crate::ids::EndpointName;
use crate::ids::Epoch;
use crate::programs::accept::CallAnswer;
use crate::programs::accept::CallStart;
use crate::programs::accept::LiveCall;
use crate::programs::accept::predecessor_failed;
use crate::programs::append::AppendRetry;
use crate::programs::home::ProgramHandle;
use crate::programs::home::Programs;
use crate::programs::home::home_lost;
use crate::programs::home::no_home;
use crate::programs::home::program_of;
use crate::programs::limits::check_running;
use crate::programs::record::RecordBody;
use crate::programs::request::CallRequest;
use crate::programs::reserve::BudgetCheck;
use crate::programs::reserve::Reservation;
use crate::programs::reserve::check_budget;
use crate::programs::state::Call;
use crate::programs::state::Program;
use crate::programs::state::Tree;
use crate::result_code::Refusal;
use crate::result_code::ResultCode;

/// A call in progress.
#[derive(Clone)]
pub(super) struct CallExecution {
    pub handle: ProgramHandle,
    pub call: CallId,
    pub request: Arc<CallRequest>,
    /// Whether a former home accepted the call and may have sent it.
    pub resumed: bool,
    /// Whether the call was withdrawn earlier, after it may have been sent.
    pub sent_before: bool,
}

/// Journals the records that must be durable before each attempt at a call is sent.
struct Observer<'a> {
    programs: &'a Arc<Programs>,
    execution: &'a CallExecution,
    reservation: Reservation,
    attempts: AtomicU32,
}

impl Programs {
    /// Runs a call to completion and passes the answer to its listeners.
    pub(super) async fn run_to_completion(
        self: &Arc<Self>,
        handle: &ProgramHandle,
        call: &CallId,
        live: &LiveCall,
        start: CallStart,
    ) {
        let answer = tokio::select! {
            biased;
            _ = handle.home.lost.cancelled() => Err(home_lost()),
            answer = self.run(handle, call, live, start) => answer,
        };
        let key = (handle.program.clone(), call.clone());
        handle.tree.live.lock().expect("not poisoned").remove(&key);
        live.answer.send_replace(Some(answer));
        handle.tree.changed.notify_waiters();
        let subject = self.subject(handle, Some(call));
        self.cx.events.record(EventNumber::CallEnded, subject, "call ended");
        self.release_if_idle(handle);
    }

    async fn run(
        self: &Arc<Self>,
        handle: &ProgramHandle,
        call: &CallId,
        live: &LiveCall,
        start: CallStart,
    ) -> CallAnswer {
        let (execution, intent) = handle.read(|program| execution_of(program, handle, call))?;
        if let Some(endpoint) = intent {
            return self.recover(&execution, &endpoint).await;
        }
        let prepared = match start.reservation {
            Some(reservation) => Ok(reservation),
            None => tokio::select! {
                prepared = self.prepare(&execution) => prepared,
                _ = live.cancel.cancelled() => Err(cancelled_before_send()),
            },
        };
        let reservation = match prepared {
            Ok(reservation) => reservation,
            Err(refusal) => return self.withdraw(&execution, refusal, false).await,
        };
        self.dispatch(&execution, live, start.sink, reservation).await
    }

    async fn dispatch(
        self: &Arc<Self>,
        execution: &CallExecution,
        live: &LiveCall,
        sink: Option<crate::dispatch::TokenSink>,
        reservation: Reservation,
    ) -> CallAnswer {
        let ready = match self.ready_call(execution, reservation) {
            Ok(ready) => ready,
            Err(refusal) => return self.withdraw(execution, refusal, false).await,
        };
        let attempts = AtomicU32::new(0);
        let observer = Observer { programs: self, execution, reservation, attempts };
        let running = self.dispatcher.run(ready, &observer, sink);
        if !execution.request.is_idempotent() {
            // A call that must not be repeated is not cancelled once it may have been sent.
            let outcome = running.await;
            return self.settle(execution, reservation, outcome).await;
        }
        let outcome = tokio::select! {
            outcome = running => Some(outcome),
            _ = live.cancel.cancelled() => None,
        };
        let sent = observer.attempts.load(Ordering::Acquire) > 0;
        match outcome {
            Some(outcome) => self.settle(execution, reservation, outcome).await,
            None => self.withdraw(execution, cancelled(sent), sent).await,
        }
    }

    /// Waits until a call can start, then journals its reservation.
    async fn prepare(self: &Arc<Self>, execution: &CallExecution) -> Result<Reservation, Refusal> {
        let CallExecution { handle, call, request, .. } = execution;
        let epoch = handle.home.epoch;
        loop {
            handle.wait_for(|program| check_startable(program, request, epoch)).await?;
            let id = handle.program.clone();
            let (call, request) = (call.clone(), request.clone());
            let build = move |tree: &Tree| {
                let program = program_of(tree, &id)?;
                check_running(program)?;
                match check_budget(program, &request, epoch) {
                    BudgetCheck::Covered(reservation) => {
                        let tokens = reservation.tokens;
                        Ok((RecordBody::Reserved { call, tokens }, reservation))
                    }
                    BudgetCheck::Exhausted(refusal) => Err(refusal),
                    BudgetCheck::Later => Err(budget_in_use()),
                }
            };
            match self.append(handle, AppendRetry::UntilHomeLost, build).await {
                Err(refusal) if refusal == budget_in_use() => {}
                result => return result,
            }
        }
    }

    pub(super) fn ready_call(
        &self,
        execution: &CallExecution,
        reservation: Reservation,
    ) -> Result<ReadyCall, Refusal> {
        let CallExecution { handle, call, request, .. } = execution;
        let state = handle.tree.state.lock().expect("not poisoned");
        let program = program_of(&state, &handle.program)?;
        check_running(program)?;
        let entry = self.entry_of(program)?;
        let prompt = match request.kind {
            CallKind::Model => &program.history[..reservation.prompt_turns],
            CallKind::Tool | CallKind::Service => &[],
        };
        let now = self.cx.clock.now();
        let wall = self.cx.clock.wall();
        Ok(ReadyCall {
            program: handle.program.clone(),
            root: handle.program.root(),
            entry,
            call: call.clone(),
            kind: request.kind,
            idempotent: request.is_idempotent(),
            target: request.target.clone(),
            history: prompt.iter().flat_map(|turn| turn.messages()).cloned().collect(),
            history_tokens: reservation.history_tokens,
            input: request.input.clone(),
            max_tokens: reservation.max_tokens,
            deadline: program.deadline.map(|deadline| to_timestamp(deadline, wall, now)),
            attained_tokens: state.attained_tokens,
            under_way: !program.history.is_empty(),
        })
    }
}

/// Converts a wall time to this process's monotonic time.
fn to_timestamp(time: WallTime, wall: WallTime, now: Timestamp) -> Timestamp {
    match time.0.checked_sub(wall.0) {
        Some(ahead_ms) => Timestamp(now.0.saturating_add(ahead_ms.saturating_mul(1_000))),
        None => Timestamp(now.0.saturating_sub((wall.0 - time.0).saturating_mul(1_000))),
    }
}

/// Returns the execution of a call and its journalled intent: the endpoint that a former home was
/// about to send the call to. Only calls that must not be repeated have an intent.
fn execution_of(
    program: &Program,
    handle: &ProgramHandle,
    id: &CallId,
) -> Result<(CallExecution, Option<EndpointName>), Refusal> {
    let missing = || Refusal::may_have_run(ResultCode::Cancelled, "the call was withdrawn");
    let call: &Call = program.calls.get(id).ok_or_else(missing)?;
    let execution = CallExecution {
        handle: handle.clone(),
        call: id.clone(),
        request: call.request.clone(),
        resumed: call.epoch < handle.home.epoch,
        sent_before: program.sent_before.contains(id),
    };
    Ok((execution, call.intent.clone()))
}

/// Returns `Some` if the call can start now and `None` if it must wait.
fn check_startable(
    program: &Program,
    req: &CallRequest,
    epoch: Epoch,
) -> Result<Option<()>, Refusal> {
    check_running(program)?;
    for id in &req.after {
        // A predecessor that was withdrawn has no result and never gets one.
        let call = program.calls.get(id).ok_or_else(predecessor_failed)?;
        if call.result.is_none() {
            return Ok(None);
        }
        if !call.is_done() {
            return Err(predecessor_failed());
        }
    }
    match check_budget(program, req, epoch) {
        BudgetCheck::Covered(_) => Ok(Some(())),
        BudgetCheck::Later => Ok(None),
        BudgetCheck::Exhausted(refusal) => Err(refusal),
    }
}

fn budget_in_use() -> Refusal {
    Refusal::not_run(
        ResultCode::BudgetExhausted,
        "the rest of the budget is reserved by running calls",
    )
}

fn cancelled_before_send() -> Refusal {
    Refusal::not_run(ResultCode::Cancelled, "the call was cancelled before it was sent")
}

fn cancelled(sent: bool) -> Refusal {
    match sent {
        true => Refusal::may_have_run(ResultCode::Cancelled, "the call was cancelled"),
        false => cancelled_before_send(),
    }
}

impl Observer<'_> {
    /// Refuses to send after this home was lost or the program has ended.
    fn check_may_send(&self) -> Result<(), Refusal> {
        if !self.programs.is_home_of(&self.execution.handle) {
            return Err(no_home("the program's home is moving"));
        }
        self.execution.handle.read(check_running)
    }

    async fn reserve_again(&self) -> Result<(), Refusal> {
        let (id, call) = (self.execution.handle.program.clone(), self.execution.call.clone());
        let tokens = self.reservation.tokens;
        let build = move |tree: &Tree| {
            let rest = program_of(tree, &id)?.ledger.remaining().tokens;
            if tokens > rest {
                let message = "the budget does not cover another attempt";
                return Err(Refusal::may_have_run(ResultCode::BudgetExhausted, message));
            }
            Ok((RecordBody::Reserved { call, tokens }, ()))
        };
        self.programs.append(&self.execution.handle, AppendRetry::UntilHomeLost, build).await
    }

    async fn journal_intent(&self, endpoint: &EndpointName) -> Result<(), Refusal> {
        let (id, call) = (self.execution.handle.program.clone(), self.execution.call.clone());
        let endpoint = endpoint.clone();
        let build = move |tree: &Tree| {
            check_running(program_of(tree, &id)?)?;
            Ok((RecordBody::Intent { call, endpoint }, ()))
        };
        let intended =
            self.programs.append(&self.execution.handle, AppendRetry::Bounded, build).await;
        // After an error nothing is sent, so the call has not run.
        intended.map_err(|refusal| Refusal { not_run: true, ..refusal })?;
        self.check_may_send()
    }
}

#[async_trait]
impl DispatchObserver for Observer<'_> {
    async fn before_send(&self, endpoint: &EndpointName) -> Result<(), Refusal> {
        self.check_may_send()?;
        let is_first = self.attempts.load(Ordering::Acquire) == 0;
        match (self.execution.request.is_idempotent(), is_first) {
            (false, _) => self.journal_intent(endpoint).await?,
            (true, false) if self.reservation.tokens > 0 => self.reserve_again().await?,
            (true, _) => {}
        }
        self.attempts.fetch_add(1, Ordering::AcqRel);
        let subject = self.programs.subject(&self.execution.handle, Some(&self.execution.call));
        let subject = Subject { peer: Some(endpoint.to_string()), ..subject };
        self.programs.cx.events.record(EventNumber::CallSent, subject, "call sent");
        Ok(())
    }

    async fn not_sent(&self, _endpoint: &EndpointName) {
        if self.execution.request.is_idempotent() && self.reservation.tokens == 0 {
            return;
        }
        let call = self.execution.call.clone();
        let build = move |_: &Tree| Ok((RecordBody::NotSent { call }, ()));
        // This fails only if the home was lost, and then the next attempt is refused anyway.
        let _ =
            self.programs.append(&self.execution.handle, AppendRetry::UntilHomeLost, build).await;
    }
}
