//! Translates send errors into call outcomes.

use crate::dispatch::DispatchOutcome;
use crate::dispatch::ReadyCall;
use crate::endpoints::client::SendError;
use crate::result_code::Refusal;
use crate::result_code::ResultCode;

/// Returns the outcome of a call if it ends after an attempt that failed with `cause`, according to
/// whether that attempt may have run.
pub fn outcome_of_failure(call: &ReadyCall, cause: SendError) -> DispatchOutcome {
    let message = cause.to_string();
    match cause {
        SendError::NotSent { .. } => {
            DispatchOutcome::NotRun(Refusal::not_run(ResultCode::NoEndpoint, message))
        }
        SendError::Status { .. } => {
            DispatchOutcome::Failed(Refusal::may_have_run(ResultCode::EndpointFailed, message))
        }
        SendError::Lost { .. } | SendError::Stalled { .. } if call.idempotent => {
            DispatchOutcome::Failed(Refusal::may_have_run(ResultCode::EndpointFailed, message))
        }
        SendError::Lost { .. } | SendError::Stalled { .. } => {
            DispatchOutcome::Unknown(Refusal::may_have_run(ResultCode::OutcomeUnknown, message))
        }
    }
}
