//! Accepts calls and returns their answers to the callers.

use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;

use serde::Serialize;
use serde_json::value::RawValue;
use tokio::sync::watch;
use tokio_util::sync::CancellationToken;

use crate::catalogue::Entry;
use crate::dispatch::CallKind;
use crate::dispatch::Message;
use crate::dispatch::TokenSink;
use crate::events::EventNumber;
use crate::ids::CallId;
use crate::ids::Epoch;
use crate::ids::ProgramId;
use crate::programs::append::AppendRetry;
use crate::programs::home::Listeners;
use crate::programs::home::ProgramHandle;
use crate::programs::home::Programs;
use crate::programs::home::RunningGuard;
use crate::programs::home::home_lost;
use crate::programs::home::program_of;
use crate::programs::limits::check_journal;
use crate::programs::limits::check_predecessors;
use crate::programs::limits::check_running;
use crate::programs::limits::check_turns;
use crate::programs::record::Completion;
use crate::programs::record::RecordBody;
use crate::programs::request::CallRequest;
use crate::programs::reserve::BudgetCheck;
use crate::programs::reserve::Reservation;
use crate::programs::reserve::check_budget;
use crate::programs::state::CallResult;
use crate::programs::state::Program;
use crate::programs::state::Tree;
use crate::result_code::Refusal;
use crate::result_code::ResultCode;
use crate::supervision;

/// How long a streamed model call continues after its last listener has disconnected.
const LISTENER_GRACE: Duration = Duration::from_secs(2);

/// The answer to a call: a JSON body or a refusal. A resent call gets the same bytes.
pub type CallAnswer = Result<Arc<str>, Refusal>;

/// The shared state of a call in progress.
pub(super) struct LiveCall {
    /// The answer, or `None` while the call runs.
    pub answer: watch::Sender<Option<CallAnswer>>,
    /// The number of callers that wait for the answer.
    pub listeners: Listeners,
    /// Cancelled to stop the call.
    pub cancel: CancellationToken,
}

impl Default for LiveCall {
    fn default() -> Self {
        let answer = watch::Sender::new(None);
        Self { answer, listeners: Listeners::default(), cancel: CancellationToken::new() }
    }
}

/// The reservation and the stream that the execution of a call starts with, if any.
#[derive(Default)]
pub(super) struct CallStart {
    /// The reservation made when the call was accepted.
    pub reservation: Option<Reservation>,
    /// Receives generated text as it arrives.
    pub sink: Option<TokenSink>,
}

/// Whether the program already has a call with the request's identifier.
enum CallLookup {
    Answered(CallAnswer),
    Open,
    New,
}

impl Programs {
    /// Runs a call to completion. A resent call joins the running one or gets the stored answer.
    ///
    /// # Errors
    /// Refuses with the result code that says why the call cannot run or has failed.
    pub async fn call(
        self: &Arc<Self>,
        id: &ProgramId,
        secret: &str,
        req: CallRequest,
        sink: Option<TokenSink>,
    ) -> CallAnswer {
        let handle = self.open(id, secret).await.map_err(|refusal| match refusal.code {
            ResultCode::NoHome => refusal.may_be_resent(),
            // The program may have run the call, ended and been forgotten since.
            ResultCode::UnknownProgram => Refusal { not_run: false, ..refusal },
            _ => refusal,
        })?;
        check_input(&req)?;
        let call = req.call_id.clone();
        let streams = sink.is_some() && req.kind == CallKind::Model;
        let started = match handle.read(|program| find_call(program, &req))? {
            CallLookup::Answered(answer) => return answer,
            CallLookup::Open => {
                self.join_or_start(&handle, &call, CallStart { reservation: None, sink })
            }
            CallLookup::New => self.accept_and_start(&handle, req, sink).await,
        };
        let live = match started {
            Ok(live) => live,
            Err(answer) => return answer,
        };
        let listener = Listener::new(live.clone(), streams);
        let answer = listener.answer(&handle).await;
        drop(listener);
        answer
    }

    /// Accepts a call and starts it. Completes even if the caller disconnects.
    async fn accept_and_start(
        self: &Arc<Self>,
        handle: &ProgramHandle,
        req: CallRequest,
        sink: Option<TokenSink>,
    ) -> Result<Arc<LiveCall>, CallAnswer> {
        let programs = self.clone();
        let handle = handle.clone();
        let task = tokio::spawn(async move {
            let call = req.call_id.clone();
            let accepted = programs.accept(&handle, req).await;
            let accepted =
                accepted.map_err(|refusal| programs.with_earlier_attempts(&handle, &call, refusal));
            let reservation = accepted.map_err(Err)?;
            programs.join_or_start(&handle, &call, CallStart { reservation, sink })
        });
        task.await.unwrap_or_else(|_| Err(Err(home_lost())))
    }

    /// Adjusts the refusal of a call that was not accepted: earlier attempts at the same call count
    /// too, so `not_run` stays set only if none of them can have run.
    fn with_earlier_attempts(
        &self,
        handle: &ProgramHandle,
        call: &CallId,
        refusal: Refusal,
    ) -> Refusal {
        // Only the home knows whether the call ran, and an instance without the lease is not the
        // home.
        if refusal.code == ResultCode::NoHome || !self.is_home_of(handle) {
            return refusal.may_be_resent();
        }
        let sent_before = handle.read(|program| Ok(program.sent_before.contains(call)));
        let not_run = refusal.not_run && matches!(sent_before, Ok(false));
        Refusal { not_run, ..refusal }
    }

    /// Returns whether this instance still holds the program's partition under the handle's epoch.
    pub(super) fn is_home_of(&self, handle: &ProgramHandle) -> bool {
        let ProgramHandle { home, .. } = handle;
        let held = self.partitions.held(home.partition, self.cx.clock.now());
        held == Some(home.epoch) && !home.lost.is_cancelled()
    }

    /// Journals the acceptance of a call. Returns its reservation if the call can start now, `None`
    /// if it must wait.
    ///
    /// Also returns `None` if the same call was accepted concurrently.
    async fn accept(
        self: &Arc<Self>,
        handle: &ProgramHandle,
        req: CallRequest,
    ) -> Result<Option<Reservation>, Refusal> {
        let entry = handle.read(|program| self.entry_of(program))?;
        let call = req.call_id.clone();
        let id = handle.program.clone();
        let repeat = req.clone();
        let epoch = handle.home.epoch;
        let build = move |tree: &Tree| {
            let program = program_of(tree, &id)?;
            check_journal(tree)?;
            let reservation = check_new(program, &entry, &req, epoch)?;
            let reserved = reservation.map(|reservation| reservation.tokens);
            Ok((RecordBody::Accepted { request: Arc::new(req), reserved }, reservation))
        };
        let accepted = self.append(handle, AppendRetry::Bounded, build).await;
        match accepted {
            // The same call may have been accepted while this request waited for the journal.
            Err(refusal) if refusal.code == ResultCode::CallIdReused => {
                match handle.read(|program| find_call(program, &repeat))? {
                    CallLookup::New => Err(refusal),
                    CallLookup::Open | CallLookup::Answered(_) => Ok(None),
                }
            }
            Err(refusal) => Err(refusal),
            Ok(reservation) => {
                let subject = self.subject(handle, Some(&call));
                self.cx.events.record(EventNumber::CallAccepted, subject, "call accepted");
                Ok(reservation)
            }
        }
    }

    /// Returns the running execution of an accepted call, starting one if needed.
    ///
    /// # Errors
    /// Returns the stored answer if the call has one, or a refusal if the call was withdrawn.
    pub(super) fn join_or_start(
        self: &Arc<Self>,
        handle: &ProgramHandle,
        call: &CallId,
        start: CallStart,
    ) -> Result<Arc<LiveCall>, CallAnswer> {
        let key = (handle.program.clone(), call.clone());
        let mut live = handle.tree.live.lock().expect("not poisoned");
        if let Some(known) = live.get(&key) {
            return Ok(known.clone());
        }
        // A call is removed from the map only after its result is in the state.
        let result = handle.read(|program| Ok(stored_answer(program, call))).map_err(Err)?;
        match result {
            Some(Some(answer)) => return Err(answer),
            Some(None) => {}
            None => return Err(Err(withdrawn())),
        }
        let started = Arc::new(LiveCall::default());
        live.insert(key, started.clone());
        drop(live);
        let programs = self.clone();
        let (handle, call, task) = (handle.clone(), call.clone(), started.clone());
        let running = async move {
            let _running = RunningGuard::new(&programs.running);
            programs.run_to_completion(&handle, &call, &task, start).await;
        };
        tokio::spawn(supervision::isolated("run a call", running));
        Ok(started)
    }
}

fn withdrawn() -> Refusal {
    Refusal::may_have_run(ResultCode::Cancelled, "the call was withdrawn; it may be sent again")
}

/// Looks up the call of a request; refuses an identifier that another request has used.
fn find_call(program: &Program, req: &CallRequest) -> Result<CallLookup, Refusal> {
    let Some(call) = program.calls.get(&req.call_id) else {
        return Ok(CallLookup::New);
    };
    if *call.request != *req {
        let message = format!("call id {} was used for another call", req.call_id);
        return Err(Refusal::not_run(ResultCode::CallIdReused, message));
    }
    match stored_answer(program, &req.call_id) {
        Some(Some(answer)) => Ok(CallLookup::Answered(answer)),
        _ => Ok(CallLookup::Open),
    }
}

/// Checks a new call. Returns its reservation if it can start now, `None` if it must wait.
fn check_new(
    program: &Program,
    entry: &Entry,
    req: &CallRequest,
    epoch: Epoch,
) -> Result<Option<Reservation>, Refusal> {
    if program.calls.contains_key(&req.call_id) {
        let message = format!("call id {} is in use", req.call_id);
        return Err(Refusal::not_run(ResultCode::CallIdReused, message));
    }
    check_running(program)?;
    check_predecessors(program, req)?;
    check_turns(program, &entry.limits, req)?;
    if program.ledger.remaining().calls < program.calls_needed(&req.call_id) {
        let message = "the budget of calls is used up";
        return Err(Refusal::not_run(ResultCode::BudgetExhausted, message));
    }
    let result =
        |id: &CallId| program.calls.get(id).map(|call| (call.result.is_some(), call.is_done()));
    let results: Vec<(bool, bool)> = req.after.iter().filter_map(result).collect();
    if results.iter().any(|(ended, done)| *ended && !*done) {
        return Err(predecessor_failed());
    }
    if results.iter().any(|(ended, _)| !*ended) {
        return Ok(None);
    }
    match check_budget(program, req, epoch) {
        BudgetCheck::Covered(reservation) => Ok(Some(reservation)),
        BudgetCheck::Later => Ok(None),
        BudgetCheck::Exhausted(refusal) => Err(refusal),
    }
}

/// Builds the refusal of a call whose predecessor did not succeed.
pub(super) fn predecessor_failed() -> Refusal {
    Refusal::not_run(ResultCode::PredecessorFailed, "a predecessor did not succeed")
}

fn check_input(req: &CallRequest) -> Result<(), Refusal> {
    let messages = req.input.get("messages").filter(|_| req.kind == CallKind::Model);
    let Some(messages) = messages else {
        return Ok(());
    };
    let parsed = serde_json::from_value::<Vec<Message>>(messages.clone());
    parsed.map(drop).map_err(|cause| {
        Refusal::not_run(ResultCode::MalformedRequest, format!("input.messages: {cause}"))
    })
}

/// Returns the stored answer of a call: `None` if the call is unknown, `Some(None)` if it has no
/// answer yet.
pub(super) fn stored_answer(program: &Program, call: &CallId) -> Option<Option<CallAnswer>> {
    let result = &program.calls.get(call)?.result;
    Some(result.as_ref().map(|result| answer_of(&program.id, call, result)))
}

/// Builds the answer to a call from its result. Equal results give identical bytes.
pub(super) fn answer_of(program: &ProgramId, call: &CallId, result: &CallResult) -> CallAnswer {
    match result {
        CallResult::Done(completion) => Ok(done_body(program, call, completion)),
        CallResult::Failed(failure) => {
            Err(Refusal::may_have_run(failure.code, failure.message.clone()))
        }
    }
}

#[derive(Serialize)]
struct DoneBody<'a> {
    call_id: &'a CallId,
    outcome: &'a str,
    output: &'a RawValue,
    program: &'a ProgramId,
    usage: serde_json::Value,
}

fn done_body(program: &ProgramId, call: &CallId, completion: &Completion) -> Arc<str> {
    let output = serde_json::from_str(&completion.output).unwrap_or(RawValue::NULL);
    let usage = serde_json::to_value(completion.usage).unwrap_or_default();
    let body = DoneBody { call_id: call, outcome: "done", output, program, usage };
    serde_json::to_string(&body).unwrap_or_default().into()
}

/// A caller that waits for the answer to a call. Dropped when it has the answer or disconnects.
struct Listener {
    live: Arc<LiveCall>,
    streams: bool,
}

impl Listener {
    fn new(live: Arc<LiveCall>, streams: bool) -> Self {
        live.listeners.fetch_add(1, Ordering::AcqRel);
        Self { live, streams }
    }

    async fn answer(&self, handle: &ProgramHandle) -> CallAnswer {
        let mut answers = self.live.answer.subscribe();
        tokio::select! {
            biased;
            answer = answers.wait_for(Option::is_some) => match answer.as_deref() {
                Ok(Some(answer)) => answer.clone(),
                _ => Err(home_lost()),
            },
            _ = handle.home.lost.cancelled() => Err(home_lost()),
        }
    }
}

impl Drop for Listener {
    fn drop(&mut self) {
        let others = self.live.listeners.fetch_sub(1, Ordering::AcqRel) - 1;
        let unanswered = self.live.answer.borrow().is_none();
        if !self.streams || others > 0 || !unanswered {
            return;
        }
        let Ok(runtime) = tokio::runtime::Handle::try_current() else {
            return;
        };
        let live = self.live.clone();
        runtime.spawn(async move {
            tokio::time::sleep(LISTENER_GRACE).await;
            if live.listeners.load(Ordering::Acquire) == 0 {
                live.cancel.cancel();
            }
        });
    }
}
