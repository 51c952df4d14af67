use std::net::SocketAddr;
use std::time::Duration;

use tokio::io::AsyncReadExt;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpListener;
use tokio::net::TcpStream;
use tokio::net::UdpSocket;
use tokio::time::Instant;
use tokio::time::timeout;

use crate::proxy::Direction;
use crate::proxy::Faults;
use crate::proxy::Proxy;

/// The bound of a wait that only a failing test reaches.
const LIMIT: Duration = Duration::from_secs(60);

/// How long nothing must arrive.
const QUIET: Duration = Duration::from_millis(80);

const SEED: u64 = 11;

/// Answers each byte with the byte plus `shift`, on TCP.
async fn tcp_echo(shift: u8) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port is free");
    let address = listener.local_addr().expect("an address");
    tokio::spawn(async move {
        while let Ok((mut stream, _)) = listener.accept().await {
            tokio::spawn(async move {
                let mut buf = [0; 1024];
                while let Ok(count @ 1..) = stream.read(&mut buf).await {
                    buf[..count].iter_mut().for_each(|b| *b = b.wrapping_add(shift));
                    if stream.write_all(&buf[..count]).await.is_err() {
                        return;
                    }
                }
            });
        }
    });
    address
}

/// Answers each packet with the same packet, on UDP.
async fn udp_echo() -> SocketAddr {
    let socket = UdpSocket::bind("127.0.0.1:0").await.expect("a port is free");
    let address = socket.local_addr().expect("an address");
    tokio::spawn(async move {
        let mut buf = [0; 1024];
        while let Ok((size, from)) = socket.recv_from(&mut buf).await {
            let _ = socket.send_to(&buf[..size], from).await;
        }
    });
    address
}

async fn tcp() -> (Proxy, TcpStream) {
    let proxy = Proxy::start_tcp(tcp_echo(0).await, SEED).await.expect("a port is free");
    let stream = TcpStream::connect(proxy.address()).await.expect("the proxy listens");
    (proxy, stream)
}

async fn udp() -> (Proxy, UdpSocket) {
    let proxy = Proxy::start_udp(udp_echo().await, SEED).await.expect("a port is free");
    let socket = UdpSocket::bind("127.0.0.1:0").await.expect("a port is free");
    socket.connect(proxy.address()).await.expect("the proxy listens");
    (proxy, socket)
}

async fn read_some(stream: &mut TcpStream, size: usize) -> Vec<u8> {
    let mut buf = vec![0; size];
    timeout(LIMIT, stream.read_exact(&mut buf)).await.expect("in time").expect("the bytes arrive");
    buf
}

async fn is_quiet(stream: &mut TcpStream) -> bool {
    timeout(QUIET, stream.read(&mut [0; 1])).await.is_err()
}

async fn read_to_end(stream: &mut TcpStream) -> Vec<u8> {
    let mut buf = Vec::new();
    let _ = timeout(LIMIT, stream.read_to_end(&mut buf)).await.expect("the connection ends");
    buf
}

/// Sends `count` packets, waits for `least` back and returns how many came in all.
async fn packets_back(socket: &UdpSocket, count: u8, least: usize) -> usize {
    for n in 0..count {
        socket.send(&[n]).await.expect("sent");
    }
    let mut back = 0;
    loop {
        let limit = if back < least { LIMIT } else { QUIET };
        match timeout(limit, socket.recv(&mut [0; 16])).await {
            Ok(received) => back += received.map(|_| 1).expect("the proxy listens"),
            Err(_) => return back,
        }
    }
}

#[tokio::test]
async fn tcp_delay_holds_bytes_up_and_keeps_their_order() {
    let (proxy, mut stream) = tcp().await;
    proxy.set_faults(
        Direction::ToTarget,
        Faults { delay_ms: 40, jitter_ms: 20, ..Faults::default() },
    );
    let sent = Instant::now();
    for n in 0..20 {
        stream.write_all(&[n]).await.expect("written");
    }
    assert_eq!(read_some(&mut stream, 20).await, (0..20).collect::<Vec<u8>>());
    assert!(sent.elapsed() >= Duration::from_millis(40));
}

#[tokio::test]
async fn tcp_partition_is_silent_in_each_direction_and_heals() {
    for direction in [Direction::ToTarget, Direction::ToCaller] {
        let (proxy, mut stream) = tcp().await;
        proxy.set_faults(direction, Faults::blocked());
        stream.write_all(b"x").await.expect("written");
        assert!(is_quiet(&mut stream).await, "{direction:?}");
        proxy.heal();
        assert_eq!(read_some(&mut stream, 1).await, b"x");
    }
}

#[tokio::test]
async fn tcp_cut_ends_the_connection_after_the_bytes() {
    let (proxy, mut stream) = tcp().await;
    let faults = Faults { cut_after_bytes: Some(3), ..Faults::default() };
    proxy.set_faults(Direction::ToCaller, faults);
    stream.write_all(b"abcdef").await.expect("written");
    assert_eq!(read_to_end(&mut stream).await, b"abc");
}

#[tokio::test]
async fn tcp_half_open_hides_the_close() {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port is free");
    let target = listener.local_addr().expect("an address");
    let proxy = Proxy::start_tcp(target, SEED).await.expect("a port is free");
    proxy.set_faults(Direction::ToCaller, Faults { half_open: true, ..Faults::default() });
    let mut stream = TcpStream::connect(proxy.address()).await.expect("the proxy listens");
    drop(listener.accept().await.expect("a connection"));
    assert!(is_quiet(&mut stream).await);
    stream.write_all(b"into the void").await.expect("bytes are swallowed");
    proxy.heal();
    assert_eq!(read_to_end(&mut stream).await, b"");
}

#[tokio::test]
async fn tcp_slow_reading_takes_its_time() {
    let (proxy, mut stream) = tcp().await;
    let faults = Faults { bytes_per_second: Some(1_000), ..Faults::default() };
    proxy.set_faults(Direction::ToTarget, faults);
    let sent = Instant::now();
    stream.write_all(&[7; 200]).await.expect("written");
    read_some(&mut stream, 200).await;
    assert!(sent.elapsed() >= Duration::from_millis(150));
}

#[tokio::test]
async fn tcp_target_changes_behind_the_same_port() {
    let (proxy, mut stream) = tcp().await;
    stream.write_all(b"a").await.expect("written");
    assert_eq!(read_some(&mut stream, 1).await, b"a");
    proxy.set_target(tcp_echo(1).await);
    proxy.close_connections();
    assert_eq!(read_to_end(&mut stream).await, b"");
    let mut stream = TcpStream::connect(proxy.address()).await.expect("the proxy listens");
    stream.write_all(b"a").await.expect("written");
    assert_eq!(read_some(&mut stream, 1).await, b"b");
}

#[tokio::test]
async fn udp_passes_loses_duplicates_and_blocks() {
    let (proxy, socket) = udp().await;
    assert_eq!(packets_back(&socket, 20, 20).await, 20);
    proxy.set_faults(Direction::ToTarget, Faults { loss: 0.5, ..Faults::default() });
    let left = packets_back(&socket, 40, 5).await;
    assert!((5..35).contains(&left), "{left} of 40 are left");
    proxy.set_faults(Direction::ToTarget, Faults { duplication: 1.0, ..Faults::default() });
    assert_eq!(packets_back(&socket, 20, 40).await, 40);
    proxy.heal();
    for direction in [Direction::ToTarget, Direction::ToCaller] {
        proxy.set_faults(direction, Faults::blocked());
        assert_eq!(packets_back(&socket, 5, 0).await, 0, "{direction:?}");
        proxy.heal();
    }
    assert_eq!(packets_back(&socket, 5, 5).await, 5);
}

#[tokio::test]
async fn udp_delay_and_target_change() {
    let (proxy, socket) = udp().await;
    let faults = Faults { delay_ms: 30, jitter_ms: 10, ..Faults::default() };
    proxy.set_faults(Direction::ToCaller, faults);
    let sent = Instant::now();
    assert_eq!(packets_back(&socket, 3, 3).await, 3);
    assert!(sent.elapsed() >= Duration::from_millis(30));
    proxy.heal();
    proxy.set_target(udp_echo().await);
    assert_eq!(packets_back(&socket, 3, 3).await, 3);
}
