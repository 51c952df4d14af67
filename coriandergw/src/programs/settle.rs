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
use crate::programs::append::Persistence;
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
const LOOK_UP_TRIES: usize = 5;

/// The delay between two such requests.
const LOOK_UP_DELAY: Duration = Duration::from_millis(200);

impl Programs {
    /// Records the outcome of a dispatched call and returns the answer to it.
    pub(super) async fn settle(
        self: &Arc<Self>,
        work: &CallExecution,
        reservation: Reservation,
        outcome: DispatchOutcome,
    ) -> CallAnswer {
        match outcome {
            DispatchOutcome::Done { output, usage, endpoint } => {
                let prompt_turns = reservation.prompt_turns as u32;
                let output: Arc<str> = output.to_string().into();
                let endpoint = Some(endpoint);
                self.check_usage(work, reservation, usage);
                let completion = Completion { output, usage, endpoint, prompt_turns };
                self.record_done(work, completion).await
            }
            DispatchOutcome::NotRun(refusal) if refusal.not_run => {
                self.withdraw(work, refusal, false).await
            }
            DispatchOutcome::NotRun(refusal) | DispatchOutcome::Failed(refusal) => {
                self.record_failed(work, refusal).await
            }
            DispatchOutcome::Unknown(refusal) => self.record_unknown(work, refusal).await,
        }
    }

    /// Returns whether a former home may have sent this attempt at the call.
    fn may_be_sent(&self, work: &CallExecution) -> bool {
        work.resumed && work.request.is_idempotent()
    }

    fn check_usage(&self, work: &CallExecution, reservation: Reservation, usage: Usage) {
        if usage.total() > reservation.tokens {
            let message = format!(
                "the endpoint reported {} tokens, {} were reserved",
                usage.total(),
                reservation.tokens
            );
            let subject = self.subject(&work.place, Some(&work.call));
            self.cx.events.record(EventNumber::ReservationExceeded, subject, message);
        }
    }

    /// Determines the result of a call that a former home was about to send and that must not be
    /// repeated.
    pub(super) async fn recover(
        self: &Arc<Self>,
        work: &CallExecution,
        endpoint: &EndpointName,
    ) -> CallAnswer {
        let message = format!("the home was lost while the call ran at {endpoint}");
        let refusal = Refusal::may_have_run(ResultCode::OutcomeUnknown, message);
        self.record_unknown(work, refusal).await
    }

    async fn record_unknown(
        self: &Arc<Self>,
        work: &CallExecution,
        refusal: Refusal,
    ) -> CallAnswer {
        match self.look_up(work).await {
            Some(completion) => self.record_done(work, completion).await,
            None => {
                let subject = self.subject(&work.place, Some(&work.call));
                self.cx.events.record(EventNumber::OutcomeLost, subject, refusal.message.clone());
                self.record_failed(work, refusal).await
            }
        }
    }

    /// Asks the endpoint whether it ran the call, and returns the completion if it did.
    ///
    /// An answer that the call has not run is not conclusive, as the request may still be in
    /// transit. It is therefore asked again.
    async fn look_up(&self, work: &CallExecution) -> Option<Completion> {
        let ready = self.ready_call(work, Reservation::default()).ok()?;
        let endpoint = work
            .place
            .read(|program| Ok(program.calls.get(&work.call).and_then(|call| call.intent.clone())));
        let endpoint = endpoint.ok().flatten()?;
        for _ in 0..LOOK_UP_TRIES {
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
        work: &CallExecution,
        completion: Completion,
    ) -> CallAnswer {
        if completion.output.len() > OUTPUT_MAX_BYTES {
            let message = format!("the answer is larger than {OUTPUT_MAX_BYTES} bytes");
            let refusal = Refusal::may_have_run(ResultCode::EndpointFailed, message);
            return self.record_failed(work, refusal).await;
        }
        let what = RecordBody::Done { call: work.call.clone(), completion: completion.clone() };
        self.record_result(work, what).await?;
        answer_of(&work.place.program, &work.call, &CallResult::Done(Arc::new(completion)))
    }

    async fn record_failed(self: &Arc<Self>, work: &CallExecution, refusal: Refusal) -> CallAnswer {
        let failure = Failure { code: refusal.code, message: refusal.message };
        let what = RecordBody::Failed { call: work.call.clone(), failure: failure.clone() };
        self.record_result(work, what).await?;
        answer_of(&work.place.program, &work.call, &CallResult::Failed(failure))
    }

    /// Withdraws a call and answers with `refusal`.
    pub(super) async fn withdraw(
        self: &Arc<Self>,
        work: &CallExecution,
        refusal: Refusal,
        sent: bool,
    ) -> CallAnswer {
        let sent = sent || self.may_be_sent(work);
        let not_run = refusal.not_run && !sent && !work.sent_before;
        let what = RecordBody::Withdrawn { call: work.call.clone(), sent };
        self.record_result(work, what).await?;
        Err(Refusal { not_run, ..refusal })
    }

    async fn record_result(
        self: &Arc<Self>,
        work: &CallExecution,
        what: RecordBody,
    ) -> Result<(), Refusal> {
        let (id, call) = (work.place.program.clone(), work.call.clone());
        let build = move |tree: &Tree| {
            let known = program_of(tree, &id)?.calls.get(&call);
            if known.is_none_or(|call| call.result.is_some()) {
                let message = "the call already has a result; the late answer was dropped";
                return Err(Refusal::may_have_run(ResultCode::Internal, message));
            }
            Ok((what, ()))
        };
        let recorded = self.append(&work.place, Persistence::UntilLost, build).await;
        if let Err(refusal) = &recorded {
            let subject = self.subject(&work.place, Some(&work.call));
            self.cx.events.record(EventNumber::AnswerDropped, subject, refusal.message.clone());
        }
        // The call was accepted, so the next home may run it.
        recorded.map_err(|refusal| Refusal { not_run: false, ..refusal })
    }
}
