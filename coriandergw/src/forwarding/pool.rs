//! Connections to endpoints, each for one request at a time.
//!
//! A connection goes back to the pool only after a whole sound answer; after any doubt it is closed.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::time::Duration;

use bytes::Bytes;
use http_body_util::Full;
use hyper::client::conn::http1;
use hyper_util::rt::TokioIo;
use socket2::TcpKeepalive;
use tokio::net::TcpStream;
use tokio::task::AbortHandle;

use crate::clock::Timestamp;
use crate::ids::EndpointName;

/// How long a connection may take to be set up: several round trips between data centres.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);

/// How long sent bytes may stay unacknowledged before the connection counts as broken.
const UNACKNOWLEDGED_LIMIT: Duration = Duration::from_millis(900);

/// How long a connection may be silent before the system probes it.
const PROBE_AFTER: Duration = Duration::from_secs(1);

/// How long an idle connection is kept where the endpoint does not say.
const IDLE_LIMIT: Duration = Duration::from_secs(4);

/// The oldest idle connection that takes a request which must not be repeated: an endpoint may
/// close an idle connection at the moment at which the request is sent.
pub(super) const NON_REPEATABLE_IDLE_LIMIT: Duration = Duration::from_millis(700);

type Sender = http1::SendRequest<Full<Bytes>>;

struct Idle {
    connection: Connection,
    since: Timestamp,
}

/// One connection; dropping it closes it.
pub(super) struct Connection {
    pub(super) sender: Sender,
    driver: AbortHandle,
    /// How long the endpoint keeps it when idle.
    pub(super) keep: Duration,
    pub(super) is_reused: bool,
}

impl Drop for Connection {
    fn drop(&mut self) {
        self.driver.abort();
    }
}

/// Keeps idle connections by endpoint.
#[derive(Default)]
pub(super) struct Pool {
    idle: Mutex<HashMap<EndpointName, (SocketAddr, Vec<Idle>)>>,
}

impl Pool {
    /// Returns an idle connection that was used within `idle_limit`.
    pub(super) fn take(
        &self,
        endpoint: &EndpointName,
        address: SocketAddr,
        idle_limit: Duration,
        now: Timestamp,
    ) -> Option<Connection> {
        let mut idle = self.idle.lock().expect("not poisoned");
        let (known, connections) = idle.get_mut(endpoint)?;
        if *known != address {
            idle.remove(endpoint);
            return None;
        }
        let is_sound = |idle: &Idle| {
            let limit = idle.connection.keep.min(IDLE_LIMIT);
            !idle.connection.sender.is_closed() && now.since(idle.since) < limit
        };
        connections.retain(is_sound);
        // The one used last is the least likely to have been closed.
        let last = connections.pop_if(|idle| {
            now.since(idle.since) < idle_limit && idle.connection.sender.is_ready()
        })?;
        let mut connection = last.connection;
        connection.is_reused = true;
        Some(connection)
    }

    /// Keeps a connection whose last answer was whole and sound.
    pub(super) fn put(
        &self,
        endpoint: &EndpointName,
        address: SocketAddr,
        connection: Connection,
        now: Timestamp,
    ) {
        if connection.sender.is_closed() {
            return;
        }
        let mut idle = self.idle.lock().expect("not poisoned");
        let (known, connections) =
            idle.entry(endpoint.clone()).or_insert_with(|| (address, Vec::new()));
        if *known == address {
            connections.push(Idle { connection, since: now });
        }
    }

    /// Closes the idle connections to endpoints that are not used any more and those too old.
    pub(super) fn sweep<F>(&self, is_known: F, now: Timestamp)
    where
        F: Fn(&EndpointName) -> bool,
    {
        let mut idle = self.idle.lock().expect("not poisoned");
        idle.retain(|endpoint, (_, connections)| {
            connections.retain(|idle| now.since(idle.since) < IDLE_LIMIT);
            is_known(endpoint) && !connections.is_empty()
        });
    }
}

/// Opens a connection.
///
/// # Errors
/// Fails if it cannot be set up in time; nothing was sent then.
pub(super) async fn connect(address: SocketAddr) -> std::io::Result<Connection> {
    let connecting = tokio::time::timeout(CONNECT_TIMEOUT, TcpStream::connect(address)).await;
    let stream = connecting.map_err(|_| std::io::ErrorKind::TimedOut)??;
    stream.set_nodelay(true)?;
    let socket = socket2::SockRef::from(&stream);
    socket.set_tcp_user_timeout(Some(UNACKNOWLEDGED_LIMIT))?;
    let probes = TcpKeepalive::new().with_time(PROBE_AFTER).with_interval(PROBE_AFTER);
    socket.set_tcp_keepalive(&probes)?;
    let handshake = http1::Builder::new().handshake(TokioIo::new(stream)).await;
    let (sender, connection) = handshake.map_err(std::io::Error::other)?;
    let driver = tokio::spawn(async move {
        if let Err(cause) = connection.await {
            log::debug!("a connection to endpoint {address} ended: {cause}");
        }
    });
    let driver = driver.abort_handle();
    Ok(Connection { sender, driver, keep: IDLE_LIMIT, is_reused: false })
}

/// Shares the pool.
pub(super) type SharedPool = Arc<Pool>;
