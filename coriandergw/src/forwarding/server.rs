//! The HTTP/1.1 server for callers.

use std::convert::Infallible;
use std::net::SocketAddr;
use std::pin::pin;
use std::sync::Arc;
use std::time::Duration;

use hyper::Request;
use hyper::body::Body;
use hyper::body::Incoming;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper_util::rt::TokioIo;
use hyper_util::rt::TokioTimer;
use tokio::net::TcpListener;
use tokio::net::TcpStream;
use tokio::sync::watch;
use tokio::task::JoinSet;

use crate::forwarding::body::CallerConnection;
use crate::forwarding::forwarder::Forwarder;
use crate::memory::open_connections::AnswerBody;
use crate::memory::open_connections::NotedStream;
use crate::memory::open_connections::OpenConnection;
use crate::memory::open_connections::OpenConnections;
use crate::supervision;

/// How long the accept loop pauses after a failed accept, for example when no file descriptors are
/// left.
const ACCEPT_PAUSE: Duration = Duration::from_millis(50);

/// How often heads that do not end are looked for: a fraction of their limit.
const HEADS_LOOK: Duration = Duration::from_millis(500);

/// The smallest buffer for request headers that hyper accepts, in bytes.
const HEAD_MIN_BYTES: usize = 8 * 1024;

/// Whether the server accepts new work.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Phase {
    /// Accepts connections and requests.
    Serving,
    /// Accepts no new connections, finishes the running requests and then closes their connections.
    Draining,
}

/// Binds the address at which callers connect.
///
/// # Errors
/// Fails if the address cannot be bound.
pub async fn bind(address: SocketAddr) -> std::io::Result<TcpListener> {
    TcpListener::bind(address).await
}

/// Serves callers until the phase is [`Phase::Draining`] and all requests have ended.
pub async fn serve(
    listener: TcpListener,
    forwarder: Arc<Forwarder>,
    mut phase: watch::Receiver<Phase>,
) {
    let mut connections = JoinSet::new();
    let later_phases = phase.clone();
    let memory = forwarder.memory();
    let open = OpenConnections::new(memory.limits().caller_connections(), memory.clone());
    let serve_accepted = |connections: &mut JoinSet<()>, stream, peer: SocketAddr| {
        let connection = open.open(peer.ip());
        let serving = serve_connection(stream, connection, forwarder.clone(), later_phases.clone());
        connections.spawn(supervision::isolated("serve a caller", serving));
    };
    let mut heads_look = tokio::time::interval(HEADS_LOOK);
    // The connection that was accepted and waits for a place.
    let mut waiting: Option<(TcpStream, SocketAddr)> = None;
    loop {
        let accepted = tokio::select! {
            accepted = listener.accept(), if waiting.is_none() => accepted,
            () = open.make_room(), if waiting.is_some() => {
                if let Some((stream, peer)) = waiting.take() {
                    serve_accepted(&mut connections, stream, peer);
                }
                continue;
            }
            _ = phase.wait_for(|phase| *phase == Phase::Draining) => break,
            Some(_) = connections.join_next() => continue,
            _ = heads_look.tick() => {
                open.close_late_heads(forwarder.caller_limits().head_timeout);
                continue;
            }
        };
        match accepted {
            Ok(accepted) => waiting = Some(accepted),
            Err(cause) => {
                log::warn!("failed to accept a connection from a caller: {cause}");
                tokio::time::sleep(ACCEPT_PAUSE).await;
            }
        }
    }
    // The request of a connection that was accepted is not lost in a stop.
    if let Some((stream, peer)) = waiting {
        serve_accepted(&mut connections, stream, peer);
    }
    drop(listener);
    while connections.join_next().await.is_some() {}
}

async fn serve_connection(
    stream: TcpStream,
    open: Arc<OpenConnection>,
    forwarder: Arc<Forwarder>,
    mut phase: watch::Receiver<Phase>,
) {
    if let Err(cause) = stream.set_nodelay(true) {
        log::debug!("failed to set TCP_NODELAY on a connection from a caller: {cause}");
    }
    let limits = forwarder.caller_limits();
    let served = open.clone();
    let service = service_fn(move |mut req: Request<Incoming>| {
        let (forwarder, open) = (forwarder.clone(), served.clone());
        let request = open.start_request(!req.body().is_end_stream());
        req.extensions_mut().insert(CallerConnection(open));
        // An idle connection does not keep the memory for handling a request.
        Box::pin(async move {
            let answer = forwarder.handle(req).await;
            Ok::<_, Infallible>(answer.map(|body| AnswerBody::new(body, request)))
        })
    });
    let mut builder = http1::Builder::new();
    builder
        .timer(TokioTimer::new())
        // This limits the idle time between requests: hyper has a single timer for that and the
        // arrival of the headers. `OpenConnections` limits the latter.
        .header_read_timeout(limits.idle_timeout)
        .max_buf_size(limits.head_bytes.max(HEAD_MIN_BYTES));
    let mut connection = pin!(
        builder.serve_connection(TokioIo::new(NotedStream::new(stream, open.clone())), service)
    );
    let mut is_draining = false;
    loop {
        tokio::select! {
            biased;
            () = open.told_to_close() => return,
            ended = connection.as_mut() => {
                if let Err(cause) = ended {
                    log::debug!("connection from a caller closed with an error: {cause}");
                }
                return;
            }
            _ = phase.wait_for(|phase| *phase == Phase::Draining), if !is_draining => {
                is_draining = true;
                connection.as_mut().graceful_shutdown();
            }
        }
    }
}
