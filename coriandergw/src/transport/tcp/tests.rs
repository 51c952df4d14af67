//! Frames and connections over loopback.

use std::sync::Arc;
use std::time::Duration;

use async_trait::async_trait;
use bytes::Bytes;
use bytes::BytesMut;
use tokio::io::AsyncReadExt;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpListener;
use tokio::net::TcpStream;

use crate::clock::SystemClock;
use crate::ids::InstanceName;
use crate::test_support;
use crate::transport::Handler;
use crate::transport::Kind;
use crate::transport::Transport;
use crate::transport::TransportError;
use crate::transport::tcp::TcpTransport;
use crate::transport::tcp::address_of;
use crate::transport::tcp::frame::Frame;
use crate::transport::tcp::frame::FrameKind;
use crate::transport::tcp::frame::MAGIC;
use crate::transport::tcp::frame::put_hello;
use crate::transport::tcp::frame::take_hello;

const TIMEOUT: Duration = Duration::from_secs(20);

struct Echo;

#[async_trait]
impl Handler for Echo {
    async fn handle(&self, from: &InstanceName, payload: Bytes) -> Result<Bytes, String> {
        match &payload[..] {
            b"refuse" => Err("no".to_owned()),
            b"hang" => std::future::pending().await,
            _ => Ok(Bytes::from(format!("{from} {}", String::from_utf8_lossy(&payload)))),
        }
    }
}

fn name(text: &str) -> InstanceName {
    InstanceName::try_from(text).expect("a name")
}

async fn free_address() -> std::net::SocketAddr {
    TcpListener::bind("127.0.0.1:0").await.expect("bound").local_addr().expect("address")
}

async fn start(incarnation: &str) -> (InstanceName, Arc<TcpTransport>) {
    let address = free_address().await;
    let name = name(&format!("{address}/{incarnation}"));
    let context = test_support::context(name.clone(), "dc", Arc::new(SystemClock::default()));
    let transport = TcpTransport::start(&context, address).await.expect("started");
    transport.register(Kind::Control, Arc::new(Echo));
    (name, transport)
}

#[tokio::test]
async fn answers_and_refusals_reach_the_caller() {
    let (a, from) = start("0").await;
    let (b, _to) = start("0").await;
    let answer = from.call(&b, Kind::Control, Bytes::from_static(b"x"), TIMEOUT).await;
    assert_eq!(answer, Ok(Bytes::from(format!("{a} x"))));
    let refused = from.call(&b, Kind::Control, Bytes::from_static(b"refuse"), TIMEOUT).await;
    assert_eq!(refused, Err(TransportError::Refused { peer: b, reason: "no".to_owned() }));
}

#[tokio::test]
async fn the_address_alone_reaches_any_incarnation_and_a_former_one_is_not_reached() {
    let (_, from) = start("0").await;
    let (b, _to) = start("7").await;
    let address = b.as_str().split('/').next().expect("an address").to_owned();
    let any = from.call(&name(&address), Kind::Control, Bytes::from_static(b"x"), TIMEOUT).await;
    assert!(any.is_ok(), "{any:?}");
    let former = name(&format!("{address}/6"));
    let lost = from.call(&former, Kind::Control, Bytes::from_static(b"x"), TIMEOUT).await;
    assert!(matches!(lost, Err(TransportError::NoAnswer { .. })), "{lost:?}");
}

#[tokio::test]
async fn a_silent_connection_is_given_up_and_the_next_call_opens_another() {
    let (_, from) = start("0").await;
    let silent = TcpListener::bind("127.0.0.1:0").await.expect("bound");
    let peer = name(&silent.local_addr().expect("address").to_string());
    let calls = async {
        loop {
            let limit = Duration::from_millis(300);
            let _ = from.call(&peer, Kind::Control, Bytes::from_static(b"x"), limit).await;
        }
    };
    let accepts = async {
        let first = silent.accept().await.expect("first");
        let second = silent.accept().await.expect("second");
        (first, second)
    };
    tokio::select! {
        _ = accepts => {}
        () = calls => {}
    }
}

#[test]
fn a_frame_in_parts_is_taken_once_it_is_whole() {
    let frame = Frame {
        kind: FrameKind::Answer,
        id: 77,
        message: 3,
        payload: Bytes::from_static(b"payload"),
    };
    let mut whole = BytesMut::new();
    frame.put(&mut whole);
    let mut buf = BytesMut::new();
    for byte in &whole[..whole.len() - 1] {
        buf.extend_from_slice(&[*byte]);
        assert_eq!(Frame::take(&mut buf).expect("no fault"), None);
    }
    buf.extend_from_slice(&whole[whole.len() - 1..]);
    assert_eq!(Frame::take(&mut buf).expect("no fault"), Some(frame));
}

#[test]
fn bytes_that_are_no_frame_are_refused() {
    let mut buf = BytesMut::from(&[0xff; 16][..]);
    assert!(Frame::take(&mut buf).is_err());
    let mut hello = BytesMut::from(&b"GET / HTTP/1.1\r\n"[..]);
    assert!(take_hello(&mut hello).is_err());
    let mut whole = BytesMut::new();
    put_hello(&mut whole, "a", "b");
    let taken = take_hello(&mut whole).expect("no fault");
    assert_eq!(taken, Some(("a".to_owned(), "b".to_owned())));
}

/// Guards against connections of strangers that say nothing and keep their descriptors.
#[tokio::test]
async fn a_connection_without_a_hello_is_closed() {
    let (name, _transport) = start("0").await;
    let address = address_of(&name).expect("an address");
    let mut stream = TcpStream::connect(address).await.expect("connected");
    stream.write_all(&MAGIC.to_be_bytes()).await.expect("sent");
    let read = tokio::time::timeout(TIMEOUT, stream.read_u8()).await.expect("closed in time");
    assert!(read.is_err(), "{read:?}");
}

/// A payload that no socket buffer takes whole.
const LARGE_BYTES: usize = 7 << 20;

// Guards against a large message that is given up and sent again from its first byte although the peer
// takes it, more slowly than a time limit for the whole allows.
#[tokio::test]
async fn a_large_message_arrives_at_a_peer_that_reads_slowly() {
    let socket = socket2::Socket::new(socket2::Domain::IPV4, socket2::Type::STREAM, None);
    let socket = socket.expect("a socket");
    socket.set_recv_buffer_size(64 * 1024).expect("set");
    let any = std::net::SocketAddr::from(([127, 0, 0, 1], 0));
    socket.bind(&any.into()).expect("bound");
    socket.listen(1).expect("listens");
    socket.set_nonblocking(true).expect("set");
    let listener = TcpListener::from_std(socket.into()).expect("a listener");
    let peer = name(&format!("{}/0", listener.local_addr().expect("address")));
    let (_, from) = start("0").await;
    from.send(&peer, Kind::Control, vec![1; LARGE_BYTES].into());
    let (mut stream, _) = listener.accept().await.expect("accepted");
    let mut buf = vec![0; 64 * 1024];
    let mut received = 0;
    while received < LARGE_BYTES {
        let read = tokio::time::timeout(TIMEOUT, stream.read(&mut buf)).await;
        let read = read.expect("in time").expect("open");
        assert!(read > 0, "the connection was closed after {received} bytes");
        received += read;
        tokio::time::sleep(Duration::from_millis(15)).await;
    }
}
