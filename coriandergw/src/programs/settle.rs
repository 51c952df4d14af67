//! Records the results of calls.

use std::sync::Arc;
use std::time::Duration;

use crate::dispatch::DispatchOutcome;
use crate::dispatch::OutcomeLookup;
use crate::dispatch::Usage;
use crate::events::EventNumber;
use crate::ids::EndpointName;
use crate::programs::accept::CallAnswer;
use crate::programs::accept::answer_of;
use crate::programs::append::AppendRetry;
use crate::programs::home::Programs;
use crate::programs::home::program_of;
use crate::programs::record::Completion;
use crate::programs::record::Failure;
use crate::programs::record::RecordBody;
use crate::programs::reserve::Reservation;
use crate::programs::run::CallExecution;
use crate::programs::state::CallResult;
use crate::programs::state::Tree;
use crate::result_code::Refusal;
use crate::result_code::ResultCode;

/// The largest output that is recorded, in bytes of JSON. A larger one fails the call.
const OUTPUT_MAX_BYTES: usize = 3 * 1024 * 1024;

/// How many times an endpoint is asked for the outcome of a call.
const MAX_LOOK_UP_ATTEMPTS: usize = 5;

/// The delay between two such requests.
const LOOK_UP_DELAY: Duration = Duration::from_millis(200);

impl Programs {
    /// Records the outcome of a dispatched call and returns the answer to it.
    pub(super) async fn settle(
        self: &Arc<Self>,
        execution: &CallExecution,
        reservation: Reservation,
        outcome: DispatchOutcome,
    ) -> CallAnswer {
        match outcome {
            DispatchOutcome::Done { output, usage, endpoint } => {
                let prompt_turns = reservation.prompt_turns as u32;
                let output: Arc<str> = output.to_string().into();
                let endpoint = Some(endpoint);
                self.check_usage(execution, reservation, usage);
                let completion = Completion { output, usage, endpoint, prompt_turns };
                self.record_done(execution, completion).await
            }
            DispatchOutcome::NotRun(refusal) if refusal.not_run => {
                self.withdraw(execution, refusal, false).await
            }
            DispatchOutcome::NotRun(refusal) | DispatchOutcome::Failed(refusal) => {
                self.record_failed(execution, refusal).await
            }
            DispatchOutcome::Unknown(refusal) => self.record_unknown(execution, refusal).await,
        }
    }

    /// Returns whether a former home may have sent the call without a record of it. A call that
    /// must not be repeated is sent only after its intent has been journalled.
    fn may_have_been_sent(&self, execution: &CallExecution) -> bool {
        execution.resumed && execution.request.is_idempotent()
    }

    fn check_usage(&self, execution: &CallExecution, reservation: Reservation, usage: Usage) {
        if usage.total() > reservation.tokens {
            let message = format!(
                "the endpoint reported {} tokens, {} were reserved",
                usage.total(),
                reservation.tokens
            );
            let subject = self.subject(&execution.handle, Some(&execution.call));
            self.cx.events.record(EventNumber::ReservationExceeded, subject, message);
        }
    }

    /// Determines the result of a call that a former home was about to send and that must not be
    /// repeated.
    pub(super) async fn recover(
        self: &Arc<Self>,
        execution: &CallExecution,
        endpoint: &EndpointName,
    ) -> CallAnswer {
        let message = format!("the home was lost while the call ran at {endpoint}");
        let refusal = Refusal::may_have_run(ResultCode::OutcomeUnknown, message);
        self.record_unknown(execution, refusal).await
    }

    async fn record_unknown(
        self: &Arc<Self>,
        execution: &CallExecution,
        refusal: Refusal,
    ) -> CallAnswer {
        match self.look_up(execution).await {
            Some(completion) => self.record_done(execution, completion).await,
            None => {
                let subject = self.subject(&execution.handle, Some(&execution.call));
                self.cx.events.record(EventNumber::OutcomeLost, subject, refusal.message.clone());
                self.record_failed(execution, refusal).await
            }
        }
    }

    /// Asks the endpoint whether it ran the call, and returns the completion if it did.
    ///
    /// The answer that the call has not run is not conclusive, as the request may still be in
    /// transit. The endpoint is therefore asked up to `MAX_LOOK_UP_ATTEMPTS` times.
    async fn look_up(&self, execution: &CallExecution) -> Option<Completion> {
        let ready = self.ready_call(execution, Reservation::default()).ok()?;
        let endpoint = execution.handle.read(|program| {
            Ok(program.calls.get(&execution.call).and_then(|call| call.intent.clone()))
        });
        let endpoint = endpoint.ok().flatten()?;
        for _ in 0..MAX_LOOK_UP_ATTEMPTS {
            if let OutcomeLookup::Ran { output } =
                self.dispatcher.look_up(&endpoint, &ready).await?
            {
                return Some(Completion {
                    output: output.to_string().into(),
                    usage: Usage::default(),
                    endpoint: Some(endpoint),
                    prompt_turns: 0,
                });
            }
            tokio::time::sleep(LOOK_UP_DELAY).await;
        }
        None
    }

    async fn record_done(
        self: &Arc<Self>,
        execution: &CallExecution,
        completion: Completion,
    ) -> CallAnswer {
        if completion.output.len() > OUTPUT_MAX_BYTES {
            let message = format!("the answer is larger than {OUTPUT_MAX_BYTES} bytes");
            let refusal = Refusal::may_have_run(ResultCode::EndpointFailed, message);
            return self.record_failed(execution, refusal).await;
        }
        let body =
            RecordBody::Done { call: execution.call.clone(), completion: completion.clone() };
        self.record_result(execution, body).await?;
        answer_of(
            &execution.handle.program,
            &execution.call,
            &CallResult::Done(Arc::new(completion)),
        )
    }

    async fn record_failed(
        self: &Arc<Self>,
        execution: &CallExecution,
        refusal: Refusal,
    ) -> CallAnswer {
        let failure = Failure { code: refusal.code, message: refusal.message };
        let body = RecordBody::Failed { call: execution.call.clone(), failure: failure.clone() };
        self.record_result(execution, body).await?;
        answer_of(&execution.handle.program, &execution.call, &CallResult::Failed(failure))
    }

    /// Withdraws a call and answers with `refusal`. `sent` says whether this home may have sent it.
    pub(super) async fn withdraw(
        self: &Arc<Self>,
        execution: &CallExecution,
        refusal: Refusal,
        sent: bool,
    ) -> CallAnswer {
        let sent = sent || self.may_have_been_sent(execution);
        let not_run = refusal.not_run && !sent && !execution.sent_before;
        let body = RecordBody::Withdrawn { call: execution.call.clone(), sent };
        self.record_result(execution, body).await?;
        Err(Refusal { not_run, ..refusal })
    }

    async fn record_result(
        self: &Arc<Self>,
        execution: &CallExecution,
        body: RecordBody,
    ) -> Result<(), Refusal> {
        let (id, call) = (execution.handle.program.clone(), execution.call.clone());
        let build = move |tree: &Tree| {
            let known = program_of(tree, &id)?.calls.get(&call);
            if known.is_none_or(|call| call.result.is_some()) {
                let message = "the call already has a result; the late answer was dropped";
                return Err(Refusal::may_have_run(ResultCode::Internal, message));
            }
            Ok((body, ()))
        };
        let recorded = self.append(&execution.handle, AppendRetry::UntilHomeLost, build).await;
        if let Err(refusal) = &recorded {
            let subject = self.subject(&execution.handle, Some(&execution.call));
            self.cx.events.record(EventNumber::AnswerDropped, subject, refusal.message.clone());
        }
        // The call was accepted, so the next home may run it.
        recorded.map_err(|refusal| Refusal { not_run: false, ..refusal })
    }
}
