//! Says what a failed sending means for a call.

use crate::dispatch::DispatchOutcome;
use crate::dispatch::ReadyCall;
use crate::endpoints::client::SendError;
use crate::result_code::Refusal;
use crate::result_code::ResultCode;

/// Maps a failed sending to what may be said of the call.
pub fn outcome_of(call: &ReadyCall, cause: SendError) -> DispatchOutcome {
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
