//! The frames between processes, as the released build writes and expects them.

use std::net::Ipv4Addr;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use async_trait::async_trait;
use bytes::Bytes;
use tokio::io::AsyncReadExt as _;
use tokio::io::AsyncWriteExt as _;
use tokio::net::TcpListener;
use tokio::net::TcpStream;

use crate::clock::SystemClock;
use crate::context::Context;
use crate::ids::InstanceName;
use crate::test_support;
use crate::transport::Handler;
use crate::transport::Kind;
use crate::transport::Transport as _;
use crate::transport::tcp::TcpTransport;

const TIMEOUT: Duration = Duration::from_secs(20);

struct Echo;

#[async_trait]
impl Handler for Echo {
    async fn handle(&self, _from: &InstanceName, payload: Bytes) -> Result<Bytes, String> {
        Ok(payload)
    }
}

fn name(text: &str) -> InstanceName {
    InstanceName::try_from(text).expect("a name")
}

fn context(instance: InstanceName) -> Context {
    test_support::context(instance, "dc", Arc::new(SystemClock::default()))
}

/// Returns the hello of the released build.
fn hello(from: &str, to: &str) -> Vec<u8> {
    let names = [from, to].map(|name| [&[name.len() as u8], name.as_bytes()].concat());
    [b"CGW1".to_vec(), names.concat()].concat()
}

/// Starts the transport on a free port and connects to it as the released build does.
async fn connected() -> (Arc<TcpTransport>, TcpStream) {
    let free = TcpListener::bind((Ipv4Addr::LOCALHOST, 0)).await.expect("a free port");
    let address = free.local_addr().expect("an address");
    drop(free);
    let own = format!("{address}/0");
    let transport = TcpTransport::start(&context(name(&own)), address).await.expect("started");
    transport.register(Kind::Roster, Arc::new(Echo));
    let mut stream = TcpStream::connect(address).await.expect("connected");
    stream.write_all(&hello("10.0.0.9:7380/1", &own)).await.expect("written");
    (transport, stream)
}

/// Writes a frame in hexadecimal and returns as many bytes as are expected.
async fn exchange(stream: &mut TcpStream, frame: &str, expected: &str) -> String {
    stream.write_all(&hex::decode(frame).expect("hex")).await.expect("written");
    let mut answer = vec![0; expected.len() / 2];
    let reading = tokio::time::timeout(TIMEOUT, stream.read_exact(&mut answer));
    reading.await.expect("in time").expect("an answer");
    hex::encode(answer)
}

// Guards against a connection of the released build that this one refuses or misreads.
#[tokio::test]
async fn frames_of_the_released_build_are_answered() {
    let (_transport, mut stream) = connected().await;
    let call = "0000000d01000000000000002a08616263";
    let answer = "0000000d03000000000000002a08616263";
    assert_eq!(exchange(&mut stream, call, answer).await, answer);
    let (probe, alive) = ("0000000a05000000000000000000", "0000000a06000000000000000000");
    assert_eq!(exchange(&mut stream, probe, alive).await, alive);
}

// Guards against a connection that ends, with all calls on it, over a newer build's kind of message.
#[tokio::test]
async fn a_call_of_an_unknown_kind_is_refused_and_the_connection_stays() {
    let (_transport, mut stream) = connected().await;
    let one_way = "0000000d020000000000000001fa616263";
    let unknown = "0000000d01000000000000002bfa616263";
    let refusal =
        format!("0000002204000000000000002bfa{}", hex::encode("no handler for this kind"));
    assert_eq!(exchange(&mut stream, &format!("{one_way}{unknown}"), &refusal).await, refusal);
    let call = "0000000d01000000000000002c08616263";
    let answer = "0000000d03000000000000002c08616263";
    assert_eq!(exchange(&mut stream, call, answer).await, answer);
}

// Guards against a connection of this build that the released one refuses or misreads.
#[tokio::test]
async fn frames_are_written_as_the_released_build_writes_them() {
    let listener = TcpListener::bind((Ipv4Addr::LOCALHOST, 0)).await.expect("a free port");
    let peer = format!("{}/0", listener.local_addr().expect("an address"));
    let own = name("127.0.0.1:1/3");
    let listen = SocketAddr::from((Ipv4Addr::LOCALHOST, 0));
    let transport = TcpTransport::start(&context(own.clone()), listen).await.expect("started");
    let serving = tokio::spawn({
        let expected = [
            hello(own.as_str(), &peer),
            hex::decode("0000000d01000000000000000008616263").expect("hex"),
        ];
        let expected = expected.concat();
        async move {
            let (mut stream, _) = listener.accept().await.expect("a connection");
            let mut read = vec![0; expected.len()];
            stream.read_exact(&mut read).await.expect("a frame");
            // The number of the call, which the sender chooses, comes after the kind.
            let id_at = expected.len() - 12;
            let id = read[id_at..id_at + 8].to_vec();
            read[id_at..id_at + 8].fill(0);
            assert_eq!(hex::encode(read), hex::encode(expected));
            let answer = [hex::decode("0000000c03").expect("hex"), id, b"\x08ok".to_vec()];
            stream.write_all(&answer.concat()).await.expect("written");
            stream
        }
    });
    let payload = Bytes::from_static(b"abc");
    let answer = transport.call(&name(&peer), Kind::Roster, payload, TIMEOUT).await;
    assert_eq!(answer, Ok(Bytes::from_static(b"ok")));
    serving.await.expect("the frame is as expected");
}
