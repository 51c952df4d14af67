//! Proposals between instances: the request, the answer and the handler.

use async_trait::async_trait;
use bytes::Bytes;
use prost::Message as _;
use tokio::sync::mpsc;
use tokio::sync::oneshot;

use crate::ids::GroupId;
use crate::ids::InstanceName;
use crate::log_groups::driver::Input;
use crate::log_groups::generated as raw;
use crate::transport::Handler;

/// The maximum size of a command, in bytes.
pub const COMMAND_MAX_BYTES: usize = 4 << 20;

/// The outcome of a proposal on one instance.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Outcome {
    /// The command was committed and applied; holds the answer of the state machine.
    Applied(Bytes),
    /// The command was not appended, because this instance does not lead; holds the leader, if
    /// known.
    NotLeader(Option<InstanceName>),
    /// The command was not appended for another reason.
    NotProposed(String),
    /// The command may have been appended.
    Unknown(String),
}

impl From<Outcome> for raw::ProposeAnswer {
    fn from(outcome: Outcome) -> Self {
        use raw::propose_answer::Result;
        let result = match outcome {
            Outcome::Applied(answer) => Result::Applied(answer),
            Outcome::NotLeader(leader) => {
                let leader = leader.map(String::from).unwrap_or_default();
                Result::NotLeader(raw::NotLeader { leader })
            }
            Outcome::NotProposed(reason) => Result::NotProposed(reason),
            Outcome::Unknown(reason) => Result::Unknown(reason),
        };
        Self { result: Some(result) }
    }
}

impl From<raw::ProposeAnswer> for Outcome {
    fn from(answer: raw::ProposeAnswer) -> Self {
        use raw::propose_answer::Result;
        match answer.result {
            Some(Result::Applied(answer)) => Self::Applied(answer),
            Some(Result::NotLeader(raw::NotLeader { leader })) => {
                Self::NotLeader(InstanceName::try_from(leader).ok())
            }
            Some(Result::NotProposed(reason)) => Self::NotProposed(reason),
            Some(Result::Unknown(reason)) => Self::Unknown(reason),
            None => Self::Unknown("the answer was empty".to_owned()),
        }
    }
}

/// Encodes a proposal for another instance.
pub fn encode_request(group: GroupId, command: Bytes) -> Bytes {
    raw::ProposeRequest { group: group.0, command }.encode_to_vec().into()
}

/// Decodes the answer to a proposal; a malformed answer counts as [`Outcome::Unknown`].
pub fn decode_answer(bytes: Bytes) -> Outcome {
    match raw::ProposeAnswer::decode(bytes) {
        Ok(answer) => answer.into(),
        Err(cause) => Outcome::Unknown(cause.to_string()),
    }
}

/// Passes proposals to the log node of this instance.
#[derive(Clone)]
pub struct LocalProposer {
    pub(super) inputs: mpsc::Sender<Input>,
}

impl LocalProposer {
    /// Proposes a command and waits for its outcome on this instance.
    pub async fn propose(&self, group: GroupId, command: Bytes) -> Outcome {
        let (reply, outcome) = oneshot::channel();
        let input = Input::Propose { group, command, reply };
        match self.inputs.try_send(input) {
            Ok(()) => {}
            Err(mpsc::error::TrySendError::Full(_)) => {
                return Outcome::NotProposed("too many proposals are waiting".to_owned());
            }
            Err(mpsc::error::TrySendError::Closed(_)) => return Outcome::NotLeader(None),
        }
        let unknown = |_| Outcome::Unknown("the log stopped on the leader".to_owned());
        outcome.await.unwrap_or_else(unknown)
    }
}

#[async_trait]
impl Handler for LocalProposer {
    async fn handle(&self, _from: &InstanceName, payload: Bytes) -> Result<Bytes, String> {
        let request = raw::ProposeRequest::decode(payload).map_err(|cause| cause.to_string())?;
        let outcome = self.propose(GroupId(request.group), request.command).await;
        Ok(raw::ProposeAnswer::from(outcome).encode_to_vec().into())
    }
}
