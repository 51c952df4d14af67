//! Encoding and decoding of control messages.

use bytes::Bytes;
use prost::Message;

use crate::leases::generated::Request;
use crate::leases::generated::request::Kind;
use crate::result_code::ResultCode;

/// Encodes a request.
pub(super) fn encode_request(kind: Kind) -> Bytes {
    Request { kind: Some(kind) }.encode_to_vec().into()
}

/// Decodes a request. An error starts with the result code.
pub(super) fn decode_request(payload: Bytes) -> Result<Kind, String> {
    let request = Request::decode(payload).ok().and_then(|request| request.kind);
    request.ok_or_else(malformed_message)
}

/// Decodes an answer. An error starts with the result code.
pub(super) fn decode_answer<M>(payload: Bytes) -> Result<M, String>
where
    M: Message + Default,
{
    M::decode(payload).map_err(|_| malformed_message())
}

/// Encodes an answer.
pub(super) fn encode_answer<M>(answer: &M) -> Bytes
where
    M: Message,
{
    answer.encode_to_vec().into()
}

fn malformed_message() -> String {
    format!("{} control message could not be decoded", ResultCode::MalformedControlMessage)
}
