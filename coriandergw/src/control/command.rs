//! Conversion between validated types and the messages of the control group.

use bytes::Bytes;
use prost::Message;

use crate::catalogue::Change;
use crate::catalogue::ChangeAction;
use crate::catalogue::ChangeAnswer;
use crate::catalogue::Entry;
use crate::clock::WallTime;
use crate::control::generated;
use crate::control::generated::Answer;
use crate::control::generated::Command;
use crate::control::generated::answer::Outcome;
use crate::control::generated::command::Kind;
use crate::control::published::entry_json;
use crate::ids::Revision;
use crate::result_code::Refusal;
use crate::result_code::ResultCode;

impl Kind {
    /// Encodes the command for a proposal to the control group.
    pub fn encode_command(self) -> Bytes {
        Command { kind: Some(self) }.encode_to_vec().into()
    }
}

/// Returns the command for a change that an operator requested at `wall`.
pub fn change_command(change: &Change, wall: WallTime) -> Kind {
    let entry_json = match &change.action {
        // The revision of an entry is not part of the requested change.
        ChangeAction::Put(entry) => {
            entry_json(&Entry { revision: Revision(0), ..entry.clone() }).into()
        }
        ChangeAction::Remove => Bytes::new(),
    };
    Kind::Change(generated::Change {
        id: change.id.to_string(),
        entry: change.entry.to_string(),
        against: change.against.0,
        operator: change.operator.clone(),
        wall_ms: wall.0,
        entry_json,
    })
}

/// Encodes the answer to an accepted command.
pub(super) fn accepted(number: u64) -> Bytes {
    Answer { outcome: Some(Outcome::Accepted(number)) }.encode_to_vec().into()
}

/// Encodes the answer to a refused command.
pub(super) fn refused(refusal: &Refusal) -> Bytes {
    let code = u32::from(refusal.code.number());
    let refused = generated::Refused { code, message: refusal.message.clone() };
    Answer { outcome: Some(Outcome::Refused(refused)) }.encode_to_vec().into()
}

/// Decodes the answer to a command: a revision, an incarnation, a fencing number or an epoch,
/// depending on the command.
///
/// # Errors
/// Returns the refusal, or one with [`ResultCode::Internal`] if the answer cannot be decoded.
pub fn decode_answer(answer: &[u8]) -> Result<u64, Refusal> {
    let outcome = Answer::decode(answer).ok().and_then(|answer| answer.outcome);
    match outcome {
        Some(Outcome::Accepted(number)) => Ok(number),
        Some(Outcome::Refused(refused)) => Err(decode_refusal(refused)),
        None => Err(Refusal::may_have_run(
            ResultCode::Internal,
            "the control group's answer could not be decoded",
        )),
    }
}

fn decode_refusal(refused: generated::Refused) -> Refusal {
    let has_number = |code: &&ResultCode| u32::from(code.number()) == refused.code;
    let code = ResultCode::ALL.iter().find(has_number).copied().unwrap_or(ResultCode::Internal);
    Refusal::not_run(code, refused.message)
}

/// Decodes the answer to a change of the catalogue, which is the resulting revision.
pub fn decode_change_answer(answer: &[u8]) -> ChangeAnswer {
    decode_answer(answer).map(Revision)
}
