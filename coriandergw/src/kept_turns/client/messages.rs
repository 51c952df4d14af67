//! Conversions between records and their Protocol Buffers messages.

use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use prost::Message as _;

use crate::ids::InstanceName;
use crate::kept_turns::Chain;
use crate::kept_turns::TurnKey;
use crate::kept_turns::TurnRecord;
use crate::kept_turns::generated as raw;
use crate::transport::Kind;
use crate::transport::Transport;

pub(super) fn encode_record(record: &TurnRecord) -> raw::Record {
    raw::Record {
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

fn decode_record(raw: raw::Record) -> TurnRecord {
    TurnRecord {
        key: TurnKey { account: raw.account.into(), turn: raw.turn.into() },
        previous: Some(raw.previous).filter(|previous| !previous.is_empty()).map(Arc::from),
        root: raw.root.into(),
        input: raw.input,
        output: raw.output,
        expires_ms: raw.expires_ms,
        is_partial: raw.is_partial,
    }
}

/// Decodes a chain that is to end with `key`.
///
/// # Errors
/// Says why the records are not that chain: an endpoint must never get a part of it.
pub(super) fn decode_chain(records: Vec<raw::Record>, key: &TurnKey) -> Result<Chain, String> {
    let records: Vec<TurnRecord> = records.into_iter().map(decode_record).collect();
    let (Some(first), Some(last)) = (records.first(), records.last()) else {
        return Err("the chain is empty".to_owned());
    };
    if last.key != *key {
        return Err(format!("the chain ends with turn {}", last.key.turn));
    }
    if first.previous.is_some() || first.root != first.key.turn {
        return Err(format!("the chain begins with turn {}, not a first one", first.key.turn));
    }
    let follows = |pair: &[TurnRecord]| {
        let [earlier, later] = pair else { return false };
        later.previous.as_ref() == Some(&earlier.key.turn)
            && later.key.account == earlier.key.account
            && later.root == earlier.root
            && !earlier.is_partial
    };
    match records.windows(2).all(follows) {
        true => Ok(Chain { records }),
        false => Err("the turns of the chain do not follow one another".to_owned()),
    }
}

/// Sends a request to an instance and returns its answer.
pub(super) async fn call(
    transport: &dyn Transport,
    to: &InstanceName,
    request: Bytes,
    timeout: Duration,
) -> Result<raw::answer::Body, String> {
    let answer = transport.call(to, Kind::KeptTurns, request, timeout).await;
    let answer = answer.map_err(|cause| cause.to_string())?;
    let answer = raw::Answer::decode(answer).map_err(|cause| cause.to_string())?;
    answer.body.ok_or_else(|| format!("instance {to} sent an empty answer"))
}

pub(super) fn encode_request(body: raw::request::Body) -> Bytes {
    raw::Request { body: Some(body) }.encode_to_vec().into()
}
