//! Asks another instance for a connection to an endpoint.

use std::time::Duration;

use tokio::io::Join;
use tokio::net::TcpStream;
use tokio::net::tcp::OwnedReadHalf;
use tokio::net::tcp::OwnedWriteHalf;

use crate::dialer;
use crate::ids::InstanceName;
use crate::relays;
use crate::relays::RelayError;
use crate::relays::generated as raw;
use crate::relays::stream::RelayedReader;
use crate::roster::EndpointRecord;
use crate::roster::Relay;

/// How long a relay may take to accept a connection: several round trips between data centres.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(150);

/// How long a relay may take to answer; above the time that it waits for the endpoint and for those
/// that it compares it with.
const ANSWER_TIMEOUT: Duration = Duration::from_millis(600);

/// A connection to an endpoint through a relay.
pub type RelayedStream = Join<RelayedReader<OwnedReadHalf>, OwnedWriteHalf>;

/// Opens a connection to an endpoint through a relay.
///
/// # Errors
/// Says whether the endpoint or the relay is the reason.
pub async fn open(
    relay: &Relay,
    endpoint: &EndpointRecord,
    from: &InstanceName,
) -> Result<RelayedStream, RelayError> {
    let connecting = tokio::time::timeout(CONNECT_TIMEOUT, TcpStream::connect(relay.address));
    let stream = connecting.await.map_err(|_| RelayError::Unreachable)?;
    let mut stream = stream.map_err(|_| RelayError::Unreachable)?;
    let asking = ask(&mut stream, endpoint, from);
    match tokio::time::timeout(ANSWER_TIMEOUT, asking).await {
        Ok(Ok(answer)) => relays::decode_outcome(answer.outcome)?,
        Ok(Err(cause)) => {
            log::debug!("relay {} did not answer: {cause}", relay.name);
            return Err(RelayError::Unreachable);
        }
        Err(_) => return Err(RelayError::Unreachable),
    }
    let (reader, writer) = stream.into_split();
    Ok(tokio::io::join(RelayedReader::new(reader), writer))
}

async fn ask(
    stream: &mut TcpStream,
    endpoint: &EndpointRecord,
    from: &InstanceName,
) -> std::io::Result<raw::Opened> {
    dialer::configure(stream)?;
    let open = raw::Open {
        endpoint: endpoint.id.to_string(),
        started_ms: endpoint.started_ms,
        address: endpoint.address.to_string(),
        from: from.to_string(),
    };
    relays::write_message(stream, &open).await?;
    relays::read_message(stream).await
}
