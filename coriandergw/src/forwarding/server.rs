//! Takes callers' connections.

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

/// How long the accept loop waits after a failed accept, for example without free descriptors.
const ACCEPT_PAUSE: Duration = Duration::from_millis(50);

/// The smallest buffer for a head that the HTTP library takes, in bytes.
const HEAD_MIN_BYTES: usize = 8 * 1024;

/// What a stopping server still does.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Phase {
    /// Takes connections and requests.
    Serves,
    /// Finishes the requests that have begun and closes connections after them.
    Finishes,
}

/// Binds the address that callers connect to.
///
/// # Errors
/// Fails if the address cannot be bound.
pub async fn bind(address: SocketAddr) -> std::io::Result<TcpListener> {
    TcpListener::bind(address).await
}

/// Serves callers until the phase is [`Phase::Finishes`] and all requests have ended.
pub async fn serve(
    listener: TcpListener,
    forwarder: Arc<Forwarder>,
    mut phase: watch::Receiver<Phase>,
) {
    let mut connections = JoinSet::new();
    loop {
        let accepted = tokio::select! {
            accepted = listener.accept() => accepted,
            _ = phase.wait_for(|phase| *phase == Phase::Finishes) => break,
            Some(_) = connections.join_next() => continue,
        };
        match accepted {
            Ok((stream, _)) => {
                connections.spawn(serve_connection(stream, forwarder.clone(), phase.clone()));
            }
            Err(cause) => {
                log::warn!("a caller's connection was not accepted: {cause}");
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
        log::debug!("a caller's connection was not set up: {cause}");
    }
    let limits = forwarder.caller_limits();
    let service = service_fn(move |req: Request<Incoming>| {
        let forwarder = forwarder.clone();
        async move { Ok::<_, Infallible>(forwarder.handle(req).await) }
    });
    let mut builder = http1::Builder::new();
    builder
        .timer(TokioTimer::new())
        // Also bounds how long a connection may be idle before the next head.
        .header_read_timeout(limits.idle_timeout)
        .max_buf_size(limits.head_bytes.max(HEAD_MIN_BYTES));
    let mut connection = pin!(builder.serve_connection(TokioIo::new(stream), service));
    let mut finishes = false;
    loop {
        tokio::select! {
            ended = connection.as_mut() => {
                if let Err(cause) = ended {
                    log::debug!("a caller's connection ended: {cause}");
                }
                return;
            }
            _ = phase.wait_for(|phase| *phase == Phase::Finishes), if !finishes => {
                finishes = true;
                connection.as_mut().graceful_shutdown();
            }
        }
    }
}
