use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::time::Duration;

use async_trait::async_trait;
use bytes::Bytes;
use rustls::pki_types::CertificateDer;
use rustls::pki_types::PrivateKeyDer;
use rustls::pki_types::pem::PemObject;

use crate::clock::Clock;
use crate::clock::SystemClock;
use crate::clock::WallTime;
use crate::ids::InstanceName;
use crate::keys::KeyPem;
use crate::keys::make_authority;
use crate::keys::make_certificate;
use crate::test_support;
use crate::transport::Handler;
use crate::transport::Kind;
use crate::transport::PAYLOAD_MAX_BYTES;
use crate::transport::Transport;
use crate::transport::TransportError;
use crate::transport::quic::Outgoing;
use crate::transport::quic::QuicTransport;
use crate::transport::tls::TlsConfigs;

const TIMEOUT: Duration = Duration::from_secs(30);

/// Keeps what it is given.
#[derive(Default)]
struct Keep(Mutex<Vec<Bytes>>);

#[async_trait]
impl Handler for Keep {
    async fn handle(&self, _from: &InstanceName, payload: Bytes) -> Result<Bytes, String> {
        self.0.lock().unwrap().push(payload);
        Ok(Bytes::new())
    }
}

/// Answers with the sender's name and the payload.
struct Echo;

#[async_trait]
impl Handler for Echo {
    async fn handle(&self, from: &InstanceName, payload: Bytes) -> Result<Bytes, String> {
        if payload.is_empty() {
            return Err("nothing to repeat".to_owned());
        }
        Ok([from.as_str().as_bytes(), b":", &payload].concat().into())
    }
}

fn name(raw: &str) -> InstanceName {
    raw.try_into().expect("a valid name")
}

fn now() -> WallTime {
    SystemClock::default().wall()
}

fn tls(authority: &KeyPem, instance: &str) -> TlsConfigs {
    let pem =
        make_certificate("test", &authority.key, &name(instance), now()).expect("a certificate");
    let parse = |pem: &str| CertificateDer::from_pem_slice(pem.as_bytes()).expect("a certificate");
    let key = PrivateKeyDer::from_pem_slice(pem.key.as_bytes()).expect("a key");
    TlsConfigs::build(parse(&authority.certificate), parse(&pem.certificate), key).expect("keys")
}

fn start(authority: &KeyPem, instance: &str, peers: &[(&str, SocketAddr)]) -> Arc<QuicTransport> {
    let peers: BTreeMap<_, _> = peers.iter().map(|(peer, at)| (name(peer), *at)).collect();
    let cx = test_support::context(name(instance), "dc", Arc::new(SystemClock::default()));
    let listen = "127.0.0.1:0".parse().expect("an address");
    let transport = QuicTransport::start(listen, tls(authority, instance), peers, &cx);
    let transport = transport.expect("the port is free");
    transport.register(Kind::Events, Arc::new(Echo));
    transport
}

async fn ask(from: &QuicTransport, to: &str, payload: Bytes) -> Result<Bytes, TransportError> {
    from.call(&name(to), Kind::Events, payload, TIMEOUT).await
}

#[tokio::test]
async fn a_call_is_answered_and_names_its_sender() {
    let authority = make_authority("test", now()).expect("an authority");
    let b = start(&authority, "b", &[]);
    let at = b.local_address().expect("bound");
    let a = start(&authority, "a", &[("b", at)]);
    assert_eq!(ask(&a, "b", "hello".into()).await, Ok("a:hello".into()));
    assert!(matches!(ask(&a, "b", Bytes::new()).await, Err(TransportError::Refused { .. })));
    assert!(matches!(ask(&a, "c", "x".into()).await, Err(TransportError::UnknownPeer { .. })));
}

#[tokio::test]
async fn a_certificate_of_another_authority_or_instance_is_refused() {
    let authority = make_authority("test", now()).expect("an authority");
    let foreign = make_authority("test", now()).expect("an authority");
    let b = start(&authority, "b", &[]);
    let at = b.local_address().expect("bound");
    let stranger = start(&foreign, "a", &[("b", at)]);
    assert!(ask(&stranger, "b", "x".into()).await.is_err());
    let misled = start(&authority, "a", &[("c", at)]);
    let answer = ask(&misled, "c", "x".into()).await;
    assert!(matches!(answer, Err(TransportError::Unreachable { .. })), "{answer:?}");
}

#[tokio::test]
async fn keys_are_reloaded_without_a_restart() {
    let authority = make_authority("test", now()).expect("an authority");
    let renewed = make_authority("test", now()).expect("an authority");
    let b = start(&authority, "b", &[]);
    let a = start(&renewed, "a", &[("b", b.local_address().expect("bound"))]);
    assert!(ask(&a, "b", "x".into()).await.is_err());
    b.reload(tls(&renewed, "b"));
    assert_eq!(ask(&a, "b", "x".into()).await, Ok("a:x".into()));
    assert!(a.certificate_expires_at_s().is_some());
}

#[tokio::test]
async fn an_oversize_payload_is_not_sent() {
    let authority = make_authority("test", now()).expect("an authority");
    let a = start(&authority, "a", &[]);
    let answer = ask(&a, "b", vec![0; PAYLOAD_MAX_BYTES + 1].into()).await;
    assert_eq!(answer, Err(TransportError::TooLarge { bytes: PAYLOAD_MAX_BYTES + 1 }));
}

#[tokio::test]
async fn a_message_without_an_answer_arrives_whole_or_not_at_all() {
    let authority = make_authority("test", now()).expect("an authority");
    let b = start(&authority, "b", &[]);
    let kept = Arc::new(Keep::default());
    b.register(Kind::Log, kept.clone());
    let a = start(&authority, "a", &[("b", b.local_address().expect("bound"))]);
    let connection = a.shared.connection(&name("b")).await.expect("b listens");
    let mut cut_short = Outgoing::new(connection.open_uni().await.expect("a stream"));
    cut_short.stream.write_all(&[Kind::Log as u8, b'x']).await.expect("room");
    drop(cut_short);
    let is_there = async {
        while kept.0.lock().unwrap().is_empty() {
            a.send(&name("b"), Kind::Log, "whole".into());
            tokio::time::sleep(Duration::from_millis(20)).await;
        }
    };
    tokio::time::timeout(TIMEOUT, is_there).await.expect("the message arrives");
    assert!(kept.0.lock().unwrap().iter().all(|payload| payload == "whole"));
}
