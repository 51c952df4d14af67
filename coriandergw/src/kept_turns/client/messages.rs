//! Calls to the holders of kept turns, and the check of the chains that they return.

use std::time::Duration;

use bytes::Bytes;

use crate::ids::InstanceName;
use crate::kept_turns::Chain;
use crate::kept_turns::TurnKey;
use crate::kept_turns::generated as raw;
use crate::kept_turns::wire;
use crate::transport::Kind;
use crate::transport::Transport;

/// Decodes a chain that is to end with `key`.
///
/// # Errors
/// Says why the records are not that chain: an endpoint must never get a part of it.
pub(super) fn decode_chain(records: Vec<raw::Record>, key: &TurnKey) -> Result<Chain, String> {
    let records = wire::parse_chain(records).map_err(|cause| cause.to_string())?;
    let (Some(first), Some(last)) = (records.first(), records.last()) else {
        return Err("the chain is empty".to_owned());
    };
    if last.key != *key {
        return Err(format!("the chain ends with turn {}", last.key.turn));
    }
    if first.previous.is_some() || first.root != first.key.turn {
        return Err(format!("the chain begins with turn {}, not a first one", first.key.turn));
    }
    match records.iter().rev().skip(1).find(|record| record.is_partial) {
        None => Ok(Chain { records }),
        Some(partial) => Err(format!("turn {} is partial", partial.key.turn)),
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
    wire::decode_answer(answer).map_err(|cause| format!("instance {to}: {cause}"))
}
