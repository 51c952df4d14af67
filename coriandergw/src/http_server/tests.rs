use std::net::SocketAddr;
use std::sync::Arc;

use axum::Router;
use axum::routing::get;
use tokio::io::AsyncReadExt;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpStream;
use tokio::sync::Notify;
use tokio::sync::watch;
use tokio::task::JoinHandle;

use crate::http_server::HEAD_MAX_BYTES;
use crate::http_server::HttpServer;

struct Running {
    address: SocketAddr,
    stop: watch::Sender<bool>,
    server: JoinHandle<()>,
}

async fn start(routes: Router) -> Running {
    let listen = "127.0.0.1:0".parse().expect("an address");
    let server = HttpServer::bind(listen, None).await.expect("the port is free");
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
