//! Relays connections to endpoints for instances that do not reach them.
//!
//! Whether an endpoint can be reached is a fact about a pair of machines. An instance that does not
//! reach an endpoint asks another instance for a connection to it, see [`client`], and uses that
//! like one of its own: the other instance copies bytes and decides nothing, see [`server`].
//!
//! A relay opens connections to listed endpoints only. How the endpoint ends its connection, and
//! whether it refused it, reaches the asking instance; a relay that fails looks like a reset.

use derive_more::Display;
use derive_more::Error;
use prost::Message;
use tokio::io::AsyncRead;
use tokio::io::AsyncReadExt;
use tokio::io::AsyncWrite;
use tokio::io::AsyncWriteExt;

use crate::forwarding::paths::Fault;

pub mod client;
#[allow(missing_docs, clippy::all)]
pub(crate) mod generated;
pub mod server;
pub mod stream;

/// The longest message before the bytes of a relayed connection, in bytes.
const MESSAGE_MAX_BYTES: usize = 1024;

/// The result of a request for a relayed connection.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
#[derive(Display, Error)]
pub enum RelayError {
    /// The endpoint refuses connections, from a relay that reaches other endpoints.
    #[display("the endpoint refuses connections of the relay")]
    Refused,
    /// The endpoint does not answer a relay that reaches other endpoints.
    #[display("the endpoint does not answer the relay")]
    Silent,
    /// The relay does not know this incarnation of the endpoint.
    #[display("the relay does not list the endpoint")]
    Unlisted,
    /// The relay carries as many connections for others as it may.
    #[display("the relay is busy")]
    Busy,
    /// The relay reaches no endpoint itself.
    #[display("the relay has lost its links to the endpoints")]
    NoLinks,
    /// The relay did not answer or sent something else.
    #[display("the relay does not answer")]
    Unreachable,
}

impl RelayError {
    /// Returns whether the result says something of the endpoint, and not only of the relay.
    pub fn is_of_endpoint(self) -> bool {
        matches!(self, Self::Refused | Self::Silent)
    }
}

impl From<Fault> for RelayError {
    fn from(fault: Fault) -> Self {
        match fault {
            Fault::Refused => Self::Refused,
            Fault::Silent => Self::Silent,
        }
    }
}

const OUTCOMES: [(Result<(), RelayError>, u32); 6] = [
    (Ok(()), 1),
    (Err(RelayError::Refused), 2),
    (Err(RelayError::Silent), 3),
    (Err(RelayError::Unlisted), 4),
    (Err(RelayError::Busy), 5),
    (Err(RelayError::NoLinks), 6),
];

fn encode_outcome(outcome: Result<(), RelayError>) -> u32 {
    OUTCOMES.iter().find(|(known, _)| *known == outcome).map_or(0, |(_, number)| *number)
}

fn decode_outcome(number: u32) -> Result<(), RelayError> {
    let known = OUTCOMES.iter().find(|(_, known)| *known == number);
    known.map_or(Err(RelayError::Unreachable), |(outcome, _)| *outcome)
}

/// Writes a message with its length before it.
async fn write_message<W, M>(writer: &mut W, message: &M) -> std::io::Result<()>
where
    W: AsyncWrite + Unpin,
    M: Message,
{
    let bytes = message.encode_to_vec();
    let mut buf = (bytes.len() as u16).to_be_bytes().to_vec();
    buf.extend(bytes);
    writer.write_all(&buf).await
}

/// Reads a message with its length before it.
async fn read_message<R, M>(reader: &mut R) -> std::io::Result<M>
where
    R: AsyncRead + Unpin,
    M: Message + Default,
{
    let length = usize::from(reader.read_u16().await?);
    if length > MESSAGE_MAX_BYTES {
        let message = format!("a message of {length} bytes, {MESSAGE_MAX_BYTES} allowed");
        return Err(std::io::Error::new(std::io::ErrorKind::InvalidData, message));
    }
    let mut buf = vec![0; length];
    reader.read_exact(&mut buf).await?;
    M::decode(buf.as_slice()).map_err(std::io::Error::other)
}

#[cfg(test)]
mod tests;
