//! The HTTP/1.1 server for callers.

use std::convert::Infallible;
use std::net::SocketAddr;
use std::pin::pin;
use std::sync::Arc;
use std::time::Duration;

use hyper::Request;
use hyper::body::Incoming;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper_util::rt::TokioIo;
use hyper_util::rt::TokioTimer;
use tokio::net::TcpListener;
use tokio::net::TcpStream;
use tokio::sync::watch;
use tokio::task::JoinSet;

use crate::forwarding::forwarder::Forwarder;
use crate::supervision;

/// How long the accept loop pauses after a failed accept, for example when no file descriptors are
/// left.
const ACCEPT_PAUSE: Duration = Duration::from_millis(50);

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
    loop {
        let accepted = tokio::select! {
            accepted = listener.accept() => accepted,
            _ = phase.wait_for(|phase| *phase == Phase::Draining) => break,
            Some(_) = connections.join_next() => continue,
        };
        match accepted {
            Ok((stream, _)) => {
                let serving = serve_connection(stream, forwarder.clone(), phase.clone());
                connections.spawn(supervision::isolated("serve a caller", serving));
            }
            Err(cause) => {
                log::warn!("failed to accept a connection from a caller: {cause}");
                tokio::time::sleep(ACCEPT_PAUSE).await;
            }
        }
    }
    drop(listener);
    while connections.join_next().await.is_some() {}
}

async fn serve_connection(
    stream: TcpStream,
    forwarder: Arc<Forwarder>,
    mut phase: watch::Receiver<Phase>,
) {
    if let Err(cause) = stream.set_nodelay(true) {
        log::debug!("failed to set TCP_NODELAY on a connection from a caller: {cause}");
    }
    let limits = forwarder.caller_limits();
    let service = service_fn(move |req: Request<Incoming>| {
        let forwarder = forwarder.clone();
        async move { Ok::<_, Infallible>(forwarder.handle(req).await) }
    });
    let mut builder = http1::Builder::new();
    builder
        .timer(TokioTimer::new())
        // This limits both the idle time between requests and the arrival of the headers: hyper has
        // a single timer for them.
        .header_read_timeout(limits.idle_timeout)
        .max_buf_size(limits.head_bytes.max(HEAD_MIN_BYTES));
    let mut connection = pin!(builder.serve_connection(TokioIo::new(stream), service));
    let mut is_draining = false;
    loop {
        tokio::select! {
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
