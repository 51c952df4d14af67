//! Encodes and decodes membership messages.

use bytes::Bytes;
use prost::Message as _;

use crate::ids::InstanceName;
use crate::ids::NameError;
use crate::membership::MemberState;
use crate::membership::Message;
use crate::membership::MessageKind;
use crate::membership::Update;
use crate::membership::generated;
use crate::membership::generated::Envelope;
use crate::membership::generated::State;
use crate::membership::generated::envelope::Kind;
use crate::result_code::ResultCode;

/// Encodes a message in its wire format.
pub(super) fn encode(message: Message) -> Bytes {
    let updates = message.updates.into_iter().map(generated::Update::from).collect();
    Envelope { kind: Some(message.kind.into()), updates }.encode_to_vec().into()
}

/// Decodes a message from its wire format.
///
/// # Errors
/// Fails with a text that starts with the result code if the bytes are not a message or hold an
/// invalid value.
pub(super) fn decode(payload: Bytes) -> Result<Message, String> {
    let envelope = Envelope::decode(payload).map_err(malformed)?;
    let kind = envelope.kind.ok_or_else(|| malformed("the message has no kind"))?;
    let updates: Result<Vec<_>, _> = envelope.updates.into_iter().map(Update::try_from).collect();
    Ok(Message { kind: kind.try_into().map_err(malformed)?, updates: updates? })
}

fn malformed<E>(cause: E) -> String
where
    E: std::fmt::Display,
{
    format!("{} {cause}", ResultCode::MalformedControlMessage)
}

impl From<MessageKind> for Kind {
    fn from(kind: MessageKind) -> Self {
        match kind {
            MessageKind::Ping { sequence } => Kind::Ping(generated::Ping { sequence }),
            MessageKind::PingRequest { sequence, target } => {
                Kind::PingRequest(generated::PingRequest { sequence, target: target.into() })
            }
            MessageKind::RelayedPing { sequence, origin } => {
                Kind::RelayedPing(generated::RelayedPing { sequence, origin: origin.into() })
            }
            MessageKind::RelayedAck { sequence, origin } => {
                Kind::RelayedAck(generated::RelayedAck { sequence, origin: origin.into() })
            }
            MessageKind::Ack { sequence } => Kind::Ack(generated::Ack { sequence }),
            MessageKind::Join => Kind::Join(generated::Join {}),
            MessageKind::Welcome => Kind::Welcome(generated::Welcome {}),
        }
    }
}

impl TryFrom<Kind> for MessageKind {
    type Error = NameError;

    fn try_from(raw: Kind) -> Result<Self, NameError> {
        Ok(match raw {
            Kind::Ping(ping) => MessageKind::Ping { sequence: ping.sequence },
            Kind::PingRequest(request) => MessageKind::PingRequest {
                sequence: request.sequence,
                target: request.target.try_into()?,
            },
            Kind::RelayedPing(ping) => MessageKind::RelayedPing {
                sequence: ping.sequence,
                origin: ping.origin.try_into()?,
            },
            Kind::RelayedAck(ack) => {
                MessageKind::RelayedAck { sequence: ack.sequence, origin: ack.origin.try_into()? }
            }
            Kind::Ack(ack) => MessageKind::Ack { sequence: ack.sequence },
            Kind::Join(_) => MessageKind::Join,
            Kind::Welcome(_) => MessageKind::Welcome,
        })
    }
}

impl From<Update> for generated::Update {
    fn from(update: Update) -> Self {
        Self {
            name: update.name.into(),
            data_centre: update.data_centre.to_string(),
            state: State::from(update.state).into(),
            incarnation: update.incarnation,
            accuser: update.accuser.map_or_else(String::new, String::from),
        }
    }
}

impl TryFrom<generated::Update> for Update {
    type Error = String;

    fn try_from(raw: generated::Update) -> Result<Self, String> {
        let state = raw.state();
        let accuser = Some(raw.accuser).filter(|name| !name.is_empty());
        Ok(Self {
            name: raw.name.try_into().map_err(malformed::<NameError>)?,
            data_centre: raw.data_centre.try_into().map_err(malformed::<NameError>)?,
            state: state.try_into()?,
            incarnation: raw.incarnation,
            accuser: accuser.map(InstanceName::try_from).transpose().map_err(malformed)?,
        })
    }
}

impl From<MemberState> for State {
    fn from(state: MemberState) -> Self {
        match state {
            MemberState::Alive => State::Alive,
            MemberState::Suspect => State::Suspect,
            MemberState::Leaving => State::Leaving,
            MemberState::Dead => State::Dead,
        }
    }
}

impl TryFrom<State> for MemberState {
    type Error = String;

    fn try_from(raw: State) -> Result<Self, String> {
        match raw {
            State::Alive => Ok(MemberState::Alive),
            State::Suspect => Ok(MemberState::Suspect),
            State::Leaving => Ok(MemberState::Leaving),
            State::Dead => Ok(MemberState::Dead),
            State::Unspecified => Err(malformed("the update of a member has no state")),
        }
    }
}
