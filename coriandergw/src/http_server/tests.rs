use std::net::SocketAddr;
use std::path::Path;
use std::sync::Arc;
use std::time::Duration;

use axum::Router;
use axum::routing::get;
use tokio::io::AsyncReadExt;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpStream;
use tokio::sync::Notify;
use tokio::sync::watch;
use tokio::task::JoinHandle;
use tokio_rustls::TlsAcceptor;

use crate::clock::Clock;
use crate::clock::SystemClock;
use crate::http_server::CallerKeyFiles;
use crate::http_server::HttpServer;
use crate::http_server::connection::HEAD_MAX_BYTES;
use crate::http_server::connection::PeerLimits;
use crate::http_server::load_caller_tls;
use crate::ids::InstanceName;
use crate::keys::make_authority;
use crate::keys::make_certificate;

/// The bound of a wait; it only ever fails a test.
const LIMIT: Duration = Duration::from_secs(30);

/// Stands for a limit that is not reached within a test.
const NEVER: Duration = Duration::from_secs(3_600);

const NO_LIMITS: PeerLimits =
    PeerLimits { head: NEVER, handshake: NEVER, ping_interval: NEVER, ping_answer: NEVER };

/// The start of an HTTP/2 connection: the preface and empty settings.
const HTTP2_START: &[u8] = b"PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n\0\0\0\x04\0\0\0\0\0";

/// An HTTP/2 request: one frame of headers, GET / at "x".
const HTTP2_GET: &[u8] = b"\0\0\x06\x01\x05\0\0\0\x01\x82\x86\x84\x41\x01x";

struct Running {
    address: SocketAddr,
    stop: watch::Sender<bool>,
    server: JoinHandle<()>,
}

async fn start(routes: Router) -> Running {
    start_with(routes, None, PeerLimits::default()).await
}

async fn start_with(routes: Router, tls: Option<TlsAcceptor>, limits: PeerLimits) -> Running {
    let listen = "127.0.0.1:0".parse().expect("an address");
    let mut server = HttpServer::bind(listen, tls).await.expect("the port is free");
    server.limits = limits;
    let address = server.local_address();
    let (stop, stopped) = watch::channel(false);
    Running { address, stop, server: tokio::spawn(server.serve(routes, stopped)) }
}

async fn send(address: SocketAddr, request: &[u8]) -> String {
    let mut stream = TcpStream::connect(address).await.expect("connected");
    stream.write_all(request).await.expect("sent");
    let mut answer = String::new();
    // The server may reset the connection after it refused the request.
    let _ = stream.read_to_string(&mut answer).await;
    answer
}

#[tokio::test]
async fn a_begun_request_is_finished_before_the_server_stops() {
    let begun = Arc::new(Notify::new());
    let go_on = Arc::new(Notify::new());
    let handler = {
        let (begun, go_on) = (begun.clone(), go_on.clone());
        move || async move {
            begun.notify_one();
            go_on.notified().await;
            "whole"
        }
    };
    let running = start(Router::new().route("/", get(handler))).await;
    let request = send(running.address, b"GET / HTTP/1.1\r\nhost: x\r\n\r\n");
    let request = tokio::spawn(request);
    begun.notified().await;
    running.stop.send(true).expect("the server runs");
    while TcpStream::connect(running.address).await.is_ok() {
        tokio::task::yield_now().await;
    }
    assert!(!running.server.is_finished());
    go_on.notify_one();
    assert!(request.await.expect("answered").ends_with("whole"));
    running.server.await.expect("stopped");
}

#[tokio::test]
async fn an_oversize_head_is_refused() {
    let running = start(Router::new().route("/", get(|| async { "x" }))).await;
    let head = format!("GET / HTTP/1.1\r\nx: {}\r\n\r\n", "a".repeat(2 * HEAD_MAX_BYTES));
    let answer = send(running.address, head.as_bytes()).await;
    assert!(answer.is_empty() || answer.starts_with("HTTP/1.1 431"), "{answer}");
    let answer = send(running.address, b"GET / HTTP/1.1\r\nconnection: close\r\n\r\n").await;
    assert!(answer.starts_with("HTTP/1.1 200"), "{answer}");
}

impl Running {
    /// Connects, sends `bytes` and waits until the server has accepted the connection.
    async fn connect(&self, bytes: &[u8]) -> TcpStream {
        let mut stream = TcpStream::connect(self.address).await.expect("connected");
        stream.write_all(bytes).await.expect("sent");
        // Connections are accepted in their order.
        let mut later = TcpStream::connect(self.address).await.expect("connected");
        later.shutdown().await.expect("closed");
        let _ = later.read(&mut [0]).await;
        stream
    }

    /// Stops the server and waits for its end.
    async fn stop(self) {
        self.stop.send(true).expect("the server runs");
        let ended = tokio::time::timeout(LIMIT, self.server).await;
        ended.expect("the server stops").expect("it does not panic");
    }
}

fn routes() -> Router {
    Router::new().route("/", get(|| async { "x" }))
}

fn tls(folder: &Path) -> TlsAcceptor {
    let now = SystemClock::default().wall();
    let authority = make_authority("test", now).expect("an authority");
    let name = InstanceName::try_from("e1").expect("a valid name");
    let pem = make_certificate("test", &authority.key, &name, now).expect("a certificate");
    let files = CallerKeyFiles { certificate: folder.join("c.pem"), key: folder.join("c.key") };
    std::fs::write(&files.certificate, pem.certificate).expect("written");
    std::fs::write(&files.key, pem.key).expect("written");
    load_caller_tls(&files).expect("usable keys")
}

#[tokio::test]
async fn a_connection_without_a_whole_request_does_not_hold_up_a_stop() {
    for begun in [&b""[..], b"GET / HT", b"GET / HTTP/1.1\r\nhost: x\r\n", HTTP2_START] {
        let running = start_with(routes(), None, NO_LIMITS).await;
        let silent = running.connect(begun).await;
        running.stop().await;
        drop(silent);
    }
}

#[tokio::test]
async fn a_handshake_that_is_not_finished_does_not_hold_up_a_stop() {
    let folder = tempfile::tempdir().expect("a temporary folder");
    let running = start_with(routes(), Some(tls(folder.path())), NO_LIMITS).await;
    let silent = running.connect(b"").await;
    running.stop().await;
    drop(silent);
}

#[tokio::test]
async fn a_dead_peer_of_finished_requests_does_not_hold_up_a_stop() {
    let short = Duration::from_millis(50);
    let limits = PeerLimits { ping_interval: short, ping_answer: short, ..NO_LIMITS };
    let running = start_with(routes(), None, limits).await;
    let mut silent = running.connect(&[HTTP2_START, HTTP2_GET].concat()).await;
    // The peer takes its answer and says nothing from then on.
    let mut answer = Vec::new();
    while !answer.ends_with(b"x") {
        silent.read_buf(&mut answer).await.expect("an answer");
    }
    running.stop().await;
    drop(silent);
}
