//! A pool of HTTP/1.1 connections to endpoints. A connection carries one request at a time.
//!
//! A connection is returned to the pool only after a complete response; in all other cases it is
//! closed.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::time::Duration;

use bytes::Bytes;
use derive_more::Display;
use http_body_util::Full;
use hyper::client::conn::http1;
use hyper_util::rt::TokioIo;
use tokio::io::AsyncRead;
use tokio::io::AsyncWrite;
use tokio::task::AbortHandle;

use crate::clock::Timestamp;
use crate::forwarding::bounded_reader::BoundedReader;
use crate::forwarding::bounded_reader::UnproductiveBytes;
use crate::forwarding::connecting::RelayUseGuard;
use crate::ids::EndpointName;
use crate::rendezvous::hash_of;
use crate::roster::Relay;
use crate::supervision;

/// How long an idle connection is kept if the endpoint sends no `Keep-Alive` header.
const IDLE_TIMEOUT: Duration = Duration::from_secs(4);

/// How long an idle connection is kept at most if the endpoint states that it keeps it longer. With 70
/// instances and 12 engines, 200 turns a second are one in 4 s for each pair.
const IDLE_TIMEOUT_MAX: Duration = Duration::from_secs(20);

/// The number of idle connections to an endpoint that are kept for longer than [`IDLE_TIMEOUT`]. More are
/// left over from a burst, and endpoints accept a limited number of connections.
const LONG_IDLE_MAX: usize = 2;

/// The maximum idle time of a connection that is reused for a request that must not be retried.
///
/// An endpoint may close an idle connection just as a request is sent, which leaves it unknown
/// whether the request ran; this is more likely the longer the connection was idle.
pub(super) const NON_REPEATABLE_IDLE_LIMIT: Duration = Duration::from_millis(700);

/// The most refused attempts that a connection remembers, at 8 bytes each. It is closed when it has that
/// many, which costs one new connection in as many refusals.
const REFUSED_ATTEMPTS_MAX: usize = 128;

type Sender = http1::SendRequest<Full<Bytes>>;

/// A pooled connection and the time at which it became idle.
struct IdleConnection {
    connection: Connection,
    since: Timestamp,
}

/// The number of connections that this process has opened to endpoints.
static CONNECTIONS_OPENED: AtomicU64 = AtomicU64::new(0);

/// Identifies a use of a connection in log lines: the number of the connection and that of the request
/// on it, both from 1.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
#[derive(Display)]
#[display("{connection}/{request}")]
pub(super) struct ConnectionUse {
    connection: u64,
    request: u64,
}

/// Whose connection to the endpoint is used.
#[derive(Debug)]
pub(super) enum ConnectionPath {
    /// One of this instance.
    Direct,
    /// One of another instance, which copies bytes.
    Relayed {
        /// The other instance.
        relay: Relay,
        _guard: RelayUseGuard,
    },
}

/// An open connection; dropping it closes it.
pub(super) struct Connection {
    pub(super) sender: Sender,
    driver: AbortHandle,
    /// How long the endpoint keeps the connection open while idle.
    pub(super) keep_alive: Duration,
    pub(super) is_reused: bool,
    /// The latest request that was sent on it.
    pub(super) last_use: ConnectionUse,
    /// Whether a response has been read from it, of which a copy may follow.
    pub(super) has_answered: bool,
    /// The hashes of the attempts that were refused on it. If one of them were sent on it again, a late
    /// copy of its refusal could not be told from its answer.
    refused_attempts: Vec<u64>,
    /// What was read since the last head or content.
    pub(super) unproductive: UnproductiveBytes,
    pub(super) path: ConnectionPath,
}

impl IdleConnection {
    /// Returns whether the endpoint probably still has the connection open.
    fn is_open(&self, now: Timestamp) -> bool {
        let limit = self.connection.keep_alive.min(IDLE_TIMEOUT_MAX);
        !self.connection.sender.is_closed() && now.since(self.since) < limit
    }

    /// Returns whether the connection can carry a request now, has been idle for less than `idle_limit`
    /// and has brought no refusal of the attempt with this hash.
    fn is_usable(&self, attempt_hash: u64, idle_limit: Duration, now: Timestamp) -> bool {
        now.since(self.since) < idle_limit
            && self.connection.sender.is_ready()
            && !self.connection.refused_attempts.contains(&attempt_hash)
    }
}

/// Closes the connections that have been idle for too long. The longest idle ones come first.
fn close_idle(connections: &mut Vec<IdleConnection>, now: Timestamp) {
    connections.retain(|idle| idle.is_open(now));
    let long_idle = connections.iter().filter(|idle| now.since(idle.since) >= IDLE_TIMEOUT).count();
    connections.drain(..long_idle.saturating_sub(LONG_IDLE_MAX));
}

impl Connection {
    /// Counts a request that is sent on the connection.
    pub(super) fn note_sent(&mut self) -> ConnectionUse {
        self.last_use.request += 1;
        self.last_use
    }

    /// Records that an attempt was refused on the connection and may be sent again on another one.
    pub(super) fn note_refused(&mut self, attempt: &str) {
        self.refused_attempts.push(hash_of(attempt, ""));
    }
}

impl Drop for Connection {
    fn drop(&mut self) {
        self.driver.abort();
    }
}

/// The idle connections of each endpoint, with the address that they lead to.
#[derive(Default)]
pub(super) struct Pool {
    idle: Mutex<HashMap<EndpointName, (SocketAddr, Vec<IdleConnection>)>>,
}

impl Pool {
    /// Takes the youngest connection that has been idle for less than `idle_limit` and has brought no
    /// refusal of `attempt`.
    pub(super) fn take(
        &self,
        endpoint: &EndpointName,
        address: SocketAddr,
        attempt: &str,
        idle_limit: Duration,
        now: Timestamp,
    ) -> Option<Connection> {
        let mut idle = self.idle.lock().expect("not poisoned");
        let (known, connections) = idle.get_mut(endpoint)?;
        if *known != address {
            idle.remove(endpoint);
            return None;
        }
        close_idle(connections, now);
        // The most recently used connection is the least likely to have been closed by the
        // endpoint.
        let attempt_hash = hash_of(attempt, "");
        let position =
            connections.iter().rposition(|idle| idle.is_usable(attempt_hash, idle_limit, now))?;
        let mut connection = connections.remove(position).connection;
        connection.is_reused = true;
        Some(connection)
    }

    /// Returns a connection to the pool after a complete response.
    pub(super) fn put(
        &self,
        endpoint: &EndpointName,
        address: SocketAddr,
        connection: Connection,
        now: Timestamp,
    ) {
        let is_used_up = connection.refused_attempts.len() >= REFUSED_ATTEMPTS_MAX;
        if is_used_up || connection.sender.is_closed() {
            return;
        }
        let mut idle = self.idle.lock().expect("not poisoned");
        let (known, connections) =
            idle.entry(endpoint.clone()).or_insert_with(|| (address, Vec::new()));
        if *known == address {
            connections.push(IdleConnection { connection, since: now });
        }
    }

    /// Closes the idle connections for which `is_lost` holds.
    pub(super) fn close<F>(&self, is_lost: F)
    where
        F: Fn(&EndpointName, &ConnectionPath) -> bool,
    {
        let mut idle = self.idle.lock().expect("not poisoned");
        for (endpoint, (_, connections)) in idle.iter_mut() {
            connections.retain(|idle| !is_lost(endpoint, &idle.connection.path));
        }
    }

    /// Closes the connections to endpoints that are not known any more and those idle for too long.
    pub(super) fn sweep<F>(&self, is_known: F, now: Timestamp)
    where
        F: Fn(&EndpointName) -> bool,
    {
        let mut idle = self.idle.lock().expect("not poisoned");
        idle.retain(|endpoint, (_, connections)| {
            close_idle(connections, now);
            is_known(endpoint) && !connections.is_empty()
        });
    }
}

/// The most bytes of an answer that a connection to an endpoint reads ahead, and the largest head of
/// one. The library's own limit is 400 KiB, which each caller that reads slowly would cost.
const READ_BUFFER_MAX_BYTES: usize = 32 * 1024;

/// Starts HTTP on a stream to an endpoint.
///
/// # Errors
/// Fails if the stream fails before anything is sent.
pub(super) async fn open_on<S>(stream: S, path: ConnectionPath) -> std::io::Result<Connection>
where
    S: AsyncRead + AsyncWrite + Unpin + Send + 'static,
{
    let unproductive = UnproductiveBytes::default();
    let reader = BoundedReader::new(stream, unproductive.clone());
    let mut builder = http1::Builder::new();
    builder.max_buf_size(READ_BUFFER_MAX_BYTES);
    let handshake = builder.handshake(TokioIo::new(reader)).await;
    let (sender, connection) = handshake.map_err(std::io::Error::other)?;
    let driver = async move {
        if let Err(cause) = connection.await {
            log::debug!("connection to an endpoint closed with an error: {cause}");
        }
    };
    let driver = tokio::spawn(supervision::isolated("drive a connection to an endpoint", driver));
    let driver = driver.abort_handle();
    let number = CONNECTIONS_OPENED.fetch_add(1, Ordering::Relaxed) + 1;
    Ok(Connection {
        sender,
        driver,
        keep_alive: IDLE_TIMEOUT,
        is_reused: false,
        last_use: ConnectionUse { connection: number, request: 0 },
        has_answered: false,
        refused_attempts: Vec::new(),
        unproductive,
        path,
    })
}

/// The pool, shared between the requests of an instance.
pub(super) type SharedPool = Arc<Pool>;

#[cfg(test)]
mod tests;
