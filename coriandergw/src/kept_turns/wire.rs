//! Conversions between the types of this module and their Protocol Buffers messages.

use std::sync::Arc;

use bytes::Bytes;
use derive_more::Display;
use derive_more::Error;
use prost::Message as _;

use crate::kept_turns::TurnKey;
use crate::kept_turns::TurnRecord;
use crate::kept_turns::generated as raw;

/// The longest name of an account or turn that is accepted, in bytes. It only bounds the memory of the
/// index; names that the system assigns are shorter.
pub const NAME_MAX_BYTES: usize = 512;

/// A message about kept turns that cannot be used.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Display, Error)]
pub enum WireError {
    /// The bytes are not a valid encoding.
    #[display("malformed: {reason}")]
    Malformed {
        /// The error of the decoder.
        reason: String,
    },
    /// A field is missing or not valid.
    #[display("invalid {field} in a message about kept turns")]
    Invalid {
        /// The description of the field.
        field: &'static str,
    },
}

impl From<prost::DecodeError> for WireError {
    fn from(cause: prost::DecodeError) -> Self {
        Self::Malformed { reason: cause.to_string() }
    }
}

fn invalid(field: &'static str) -> WireError {
    WireError::Invalid { field }
}

fn check_name(raw: String, field: &'static str) -> Result<Arc<str>, WireError> {
    match raw.len() <= NAME_MAX_BYTES {
        true => Ok(raw.into()),
        false => Err(invalid(field)),
    }
}

fn check_turn(raw: String, field: &'static str) -> Result<Arc<str>, WireError> {
    match raw.is_empty() {
        true => Err(invalid(field)),
        false => check_name(raw, field),
    }
}

/// Checks the fields that identify a turn, which several messages have.
pub fn parse_key(account: String, turn: String) -> Result<TurnKey, WireError> {
    Ok(TurnKey { account: check_name(account, "account")?, turn: check_turn(turn, "turn")? })
}

impl From<&TurnKey> for raw::Key {
    fn from(key: &TurnKey) -> Self {
        Self { account: key.account.to_string(), turn: key.turn.to_string() }
    }
}

impl TryFrom<raw::Key> for TurnKey {
    type Error = WireError;

    fn try_from(raw: raw::Key) -> Result<Self, WireError> {
        parse_key(raw.account, raw.turn)
    }
}

impl From<&TurnKey> for raw::Find {
    fn from(key: &TurnKey) -> Self {
        Self { account: key.account.to_string(), turn: key.turn.to_string() }
    }
}

impl TryFrom<raw::Find> for TurnKey {
    type Error = WireError;

    fn try_from(raw: raw::Find) -> Result<Self, WireError> {
        parse_key(raw.account, raw.turn)
    }
}

impl From<&TurnRecord> for raw::Record {
    fn from(record: &TurnRecord) -> Self {
        Self {
            account: record.key.account.to_string(),
            turn: record.key.turn.to_string(),
            previous: record.previous.as_deref().unwrap_or_default().to_owned(),
            root: record.root.to_string(),
            input: record.input.clone(),
            output: record.output.clone(),
            expires_ms: record.expires_ms,
            is_partial: record.is_partial,
        }
    }
}

impl TryFrom<raw::Record> for TurnRecord {
    type Error = WireError;

    fn try_from(raw: raw::Record) -> Result<Self, WireError> {
        let key = parse_key(raw.account, raw.turn)?;
        let root = check_turn(raw.root, "root")?;
        let previous = match raw.previous.is_empty() {
            true => None,
            false => Some(check_turn(raw.previous, "previous turn")?),
        };
        // Only the first turn of a chain is its own root, and no turn continues from itself.
        if previous.is_none() != (root == key.turn) {
            return Err(invalid("root"));
        }
        if previous.as_ref() == Some(&key.turn) {
            return Err(invalid("previous turn"));
        }
        let raw::Record { input, output, expires_ms, is_partial, .. } = raw;
        Ok(Self { key, previous, root, input, output, expires_ms, is_partial })
    }
}

/// Encodes the records of a message, in order.
pub fn encode_records(records: &[TurnRecord]) -> Vec<raw::Record> {
    records.iter().map(raw::Record::from).collect()
}

/// Checks the records of a message, the oldest first: all of one chain, each continuing from the one
/// before it.
///
/// # Errors
/// Fails if a record is not valid or does not continue from the one before it.
pub fn parse_chain(records: Vec<raw::Record>) -> Result<Vec<TurnRecord>, WireError> {
    let records: Result<Vec<TurnRecord>, WireError> =
        records.into_iter().map(TurnRecord::try_from).collect();
    let records = records?;
    let continues = |pair: &[TurnRecord]| {
        pair[1].previous.as_ref() == Some(&pair[0].key.turn)
            && pair[1].key.account == pair[0].key.account
            && pair[1].root == pair[0].root
    };
    match records.windows(2).all(continues) {
        true => Ok(records),
        false => Err(invalid("order of records")),
    }
}

/// Checks the keys of a message.
///
/// # Errors
/// Fails if a key is not valid.
pub fn parse_keys(keys: Vec<raw::Key>) -> Result<Vec<TurnKey>, WireError> {
    keys.into_iter().map(TurnKey::try_from).collect()
}

/// Encodes a request.
pub fn encode_request(body: raw::request::Body) -> Bytes {
    raw::Request { body: Some(body) }.encode_to_vec().into()
}

/// Decodes a request; its fields are still to be checked.
///
/// # Errors
/// Fails if the bytes are not a request of a known kind.
pub fn decode_request(bytes: Bytes) -> Result<raw::request::Body, WireError> {
    raw::Request::decode(bytes)?.body.ok_or_else(|| invalid("request"))
}

/// Encodes an answer.
pub fn encode_answer(body: raw::answer::Body) -> Bytes {
    raw::Answer { body: Some(body) }.encode_to_vec().into()
}

/// Decodes an answer; its fields are still to be checked.
///
/// # Errors
/// Fails if the bytes are not an answer of a known kind.
pub fn decode_answer(bytes: Bytes) -> Result<raw::answer::Body, WireError> {
    raw::Answer::decode(bytes)?.body.ok_or_else(|| invalid("answer"))
}
