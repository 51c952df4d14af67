//! Serves one connection until its peer closes it or the server stops.
//!
//! A stopping server finishes the requests that have begun. A connection on which none has begun
//! is closed at once, so that a silent peer does not hold up the stop.

use std::convert::Infallible;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;
use std::time::Duration;

use axum::Router;
use axum::extract::ConnectInfo;
use hyper::Request;
use hyper::body::Body;
use hyper::body::Incoming;
use hyper_util::rt::TokioExecutor;
use hyper_util::rt::TokioIo;
use hyper_util::rt::TokioTimer;
use hyper_util::server::conn::auto::Builder;
use hyper_util::server::graceful::Watcher;
use hyper_util::service::TowerToHyperService;
use tokio::io::AsyncRead;
use tokio::io::AsyncWrite;
use tokio::net::TcpStream;
use tokio::sync::watch;
use tokio_rustls::TlsAcceptor;
use tower::ServiceExt;

use crate::memory::open_connections::AnswerBody;
use crate::memory::open_connections::NotedStream;
use crate::memory::open_connections::OpenConnection;

/// The largest head of a request, in bytes.
pub(super) const HEAD_MAX_BYTES: usize = 32 * 1024;

/// How long a peer may be silent where it owes something.
#[derive(Debug, Clone, Copy)]
pub(super) struct PeerLimits {
    /// How long a sender may take for the head of a request.
    pub(super) head: Duration,
    /// How long a TLS handshake may take.
    pub(super) handshake: Duration,
    /// How often an HTTP/2 peer is asked for a sign of life.
    pub(super) ping_interval: Duration,
    /// How long an HTTP/2 peer may take for a sign of life.
    pub(super) ping_answer: Duration,
}

impl Default for PeerLimits {
    fn default() -> Self {
        Self {
            head: Duration::from_secs(10),
            handshake: Duration::from_secs(10),
            ping_interval: Duration::from_secs(5),
            ping_answer: Duration::from_secs(5),
        }
    }
}

/// Serves connections that one listener accepted.
#[derive(Clone)]
pub(super) struct ConnectionServer {
    pub(super) routes: Router,
    pub(super) tls: Option<TlsAcceptor>,
    pub(super) limits: PeerLimits,
    pub(super) stop: watch::Receiver<bool>,
}

impl ConnectionServer {
    pub(super) async fn serve(
        self,
        stream: TcpStream,
        peer: SocketAddr,
        open: Arc<OpenConnection>,
        watcher: Watcher,
    ) {
        // Small answers must not wait for more data.
        let _ = stream.set_nodelay(true);
        let Some(tls) = self.tls.clone() else {
            return self.serve_http(stream, peer, open, watcher).await;
        };
        let handshake = tokio::time::timeout(self.limits.handshake, tls.accept(stream));
        let shaken = tokio::select! {
            biased;
            shaken = handshake => shaken,
            () = stopped(self.stop.clone()) => return,
        };
        if let Ok(Ok(stream)) = shaken {
            self.serve_http(stream, peer, open, watcher).await;
        }
    }

    async fn serve_http<S>(
        self,
        stream: S,
        peer: SocketAddr,
        open: Arc<OpenConnection>,
        watcher: Watcher,
    ) where
        S: AsyncRead + AsyncWrite + Send + Unpin + 'static,
    {
        let has_begun = Arc::new(AtomicBool::new(false));
        let routes = self.routes.layer(axum::Extension(ConnectInfo(peer)));
        let noted = has_begun.clone();
        let streamed = open.clone();
        let service = routes.map_request(move |req: Request<Incoming>| {
            noted.store(true, Ordering::Relaxed);
            req
        });
        let service = tower::service_fn(move |mut req: Request<Incoming>| {
            req.extensions_mut().insert(open.clone());
            let request = open.start_request(!req.body().is_end_stream());
            let answering = service.clone().oneshot(req);
            async move {
                Ok::<_, Infallible>(answering.await?.map(|body| AnswerBody::new(body, request)))
            }
        });
        let builder = builder(self.limits);
        let service = TowerToHyperService::new(service);
        let connection = builder.serve_connection_with_upgrades(
            TokioIo::new(NotedStream::new(stream, streamed)),
            service,
        );
        tokio::select! {
            // What has arrived is read first: it may hold a whole request.
            biased;
            // A broken connection concerns its peer only.
            _ = watcher.watch(connection.into_owned()) => {}
            () = stopped_before_a_request(self.stop, &has_begun) => {}
        }
    }
}

fn builder(limits: PeerLimits) -> Builder<TokioExecutor> {
    let mut builder = Builder::new(TokioExecutor::new());
    builder
        .http1()
        .timer(TokioTimer::new())
        .header_read_timeout(limits.head)
        .max_buf_size(HEAD_MAX_BYTES);
    builder
        .http2()
        .timer(TokioTimer::new())
        .keep_alive_interval(limits.ping_interval)
        .keep_alive_timeout(limits.ping_answer)
        .max_header_list_size(HEAD_MAX_BYTES as u32);
    builder
}

/// Waits until the server stops; forever if a request has begun by then.
async fn stopped_before_a_request(stop: watch::Receiver<bool>, has_begun: &AtomicBool) {
    stopped(stop).await;
    if has_begun.load(Ordering::Relaxed) {
        std::future::pending::<()>().await;
    }
}

async fn stopped(mut stop: watch::Receiver<bool>) {
    // A sender that is gone stops the server as well.
    let _ = stop.wait_for(|stop| *stop).await;
}
