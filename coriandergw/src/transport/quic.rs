//! The transport over QUIC with mutual TLS.
//!
//! A call opens one bidirectional stream: a byte with the kind, the payload, then the answer on the
//! way back, led by a byte that tells an answer from a refusal. A message without an answer opens a
//! unidirectional stream, which nothing comes back on.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use arc_swap::ArcSwap;
use async_trait::async_trait;
use bytes::BufMut;
use bytes::Bytes;
use bytes::BytesMut;
use derive_more::Display;
use derive_more::Error;
use quinn::Connection;
use quinn::Endpoint;
use tokio::sync::Mutex;
use tokio::sync::Semaphore;

use crate::context::Context;
use crate::ids::InstanceName;
use crate::metrics::Metrics;
use crate::supervision;
use crate::transport::Handler;
use crate::transport::Kind;
use crate::transport::PAYLOAD_MAX_BYTES;
use crate::transport::Transport;
use crate::transport::TransportError;
use crate::transport::peers::Handlers;
use crate::transport::peers::PeerAddresses;
use crate::transport::tls::TlsConfigs;
use crate::transport::tls::peer_name;

/// How long a one-way message may take before it is given up.
const ONE_WAY_TIMEOUT: Duration = Duration::from_secs(5);

/// How long a connection may take to be set up.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(2);

/// How long a connection stays open without traffic.
const IDLE_TIMEOUT: Duration = Duration::from_secs(10);

/// The one-way messages that may be under way at once; more are dropped.
const ONE_WAY_IN_FLIGHT: usize = 4_096;

/// The messages that one peer may have under way at once.
const STREAMS_PER_PEER: u32 = 4_096;

/// The code of a stream that was given up before its message was whole.
const CUT_SHORT: u32 = 1;

const ANSWER: u8 = 0;
const REFUSAL: u8 = 1;

/// Says why the transport could not start.
#[derive(Debug)]
#[derive(Display, Error)]
pub enum StartError {
    /// The address could not be bound.
    #[display("cannot bind {address}: {cause}")]
    Bind {
        /// The address from the settings.
        address: SocketAddr,
        /// What the operating system reported.
        cause: std::io::Error,
    },
}

/// Sends and receives messages over QUIC.
pub struct QuicTransport {
    shared: Arc<Shared>,
}

struct Shared {
    endpoint: Endpoint,
    tls: ArcSwap<TlsConfigs>,
    peers: PeerAddresses,
    handlers: Handlers,
    metrics: Arc<Metrics>,
    connections: Mutex<BTreeMap<InstanceName, Arc<Mutex<Option<Connection>>>>>,
    one_way: Arc<Semaphore>,
}

impl QuicTransport {
    /// Binds `listen` and starts to accept connections.
    ///
    /// # Errors
    /// Fails if the address cannot be bound.
    pub fn start(
        listen: SocketAddr,
        tls: TlsConfigs,
        fixed_peers: BTreeMap<InstanceName, SocketAddr>,
        cx: &Context,
    ) -> Result<Arc<Self>, StartError> {
        let endpoint = Endpoint::server(server_config(&tls), listen)
            .map_err(|cause| StartError::Bind { address: listen, cause })?;
        let shared = Arc::new(Shared {
            endpoint,
            tls: ArcSwap::from_pointee(tls),
            peers: PeerAddresses::new(fixed_peers),
            handlers: Handlers::default(),
            metrics: cx.metrics.clone(),
            connections: Mutex::default(),
            one_way: Arc::new(Semaphore::new(ONE_WAY_IN_FLIGHT)),
        });
        let accepting = accept_connections(shared.clone());
        tokio::spawn(supervision::essential(cx.clone(), "accept other instances", accepting));
        Ok(Arc::new(Self { shared }))
    }

    /// Returns the bound address.
    ///
    /// # Errors
    /// Fails if the operating system does not tell.
    pub fn local_address(&self) -> std::io::Result<SocketAddr> {
        self.shared.endpoint.local_addr()
    }

    /// Uses other keys for all connections from now on; open connections stay.
    pub fn reload(&self, tls: TlsConfigs) {
        self.shared.endpoint.set_server_config(Some(server_config(&tls)));
        self.shared.tls.store(Arc::new(tls));
    }

    /// Returns when the instance's certificate expires, in seconds since the Unix epoch.
    pub fn certificate_expires_at_s(&self) -> Option<i64> {
        self.shared.tls.load().expires_at_s
    }

    /// Closes all connections.
    pub fn close(&self) {
        self.shared.endpoint.close(0u32.into(), b"shutting down");
    }
}

fn server_config(tls: &TlsConfigs) -> quinn::ServerConfig {
    let mut server = quinn::ServerConfig::with_crypto(tls.server.clone());
    server.transport_config(Arc::new(transport_config()));
    server
}

fn transport_config() -> quinn::TransportConfig {
    let mut config = quinn::TransportConfig::default();
    config.max_concurrent_bidi_streams(STREAMS_PER_PEER.into());
    config.max_concurrent_uni_streams(STREAMS_PER_PEER.into());
    config.max_idle_timeout(IDLE_TIMEOUT.try_into().ok());
    config
}

async fn accept_connections(shared: Arc<Shared>) {
    while let Some(incoming) = shared.endpoint.accept().await {
        let shared = shared.clone();
        let serving = async move {
            if let Ok(connection) = incoming.await {
                serve_connection(shared, connection).await;
            }
        };
        tokio::spawn(supervision::isolated("serve an instance", serving));
    }
}

async fn serve_connection(shared: Arc<Shared>, connection: Connection) {
    let Some(from) = peer_name(&connection) else {
        connection.close(1u32.into(), b"no instance name in the certificate");
        return;
    };
    loop {
        let (shared, from) = (shared.clone(), from.clone());
        tokio::select! {
            call = connection.accept_bi() => match call {
                Ok((send, recv)) => {
                    let serving = serve_call(shared, from, send, recv);
                    tokio::spawn(supervision::isolated("answer an instance", serving));
                }
                Err(_) => return,
            },
            message = connection.accept_uni() => match message {
                Ok(recv) => {
                    let serving = serve_message(shared, from, recv);
                    tokio::spawn(supervision::isolated("take a message", serving));
                }
                Err(_) => return,
            },
        }
    }
}

async fn serve_message(shared: Arc<Shared>, from: InstanceName, mut recv: quinn::RecvStream) {
    // Nobody waits for the outcome.
    let _ = shared.take_message(&from, &mut recv).await;
}

async fn serve_call(
    shared: Arc<Shared>,
    from: InstanceName,
    mut send: quinn::SendStream,
    mut recv: quinn::RecvStream,
) {
    let Some((kind, answer)) = shared.take_message(&from, &mut recv).await else {
        return;
    };
    let (tag, body) = match answer {
        Ok(body) => (ANSWER, body),
        Err(reason) => (REFUSAL, Bytes::from(reason)),
    };
    if let Some(kind) = kind {
        shared.count(kind, "sent", body.len());
    }
    // The peer may have gone; nobody is left to be told.
    let _ = send.write_all(&[tag]).await;
    let _ = send.write_all(&body).await;
    let _ = send.finish();
}

impl Shared {
    /// Reads a message and handles it; returns nothing if it was cut short.
    async fn take_message(
        &self,
        from: &InstanceName,
        recv: &mut quinn::RecvStream,
    ) -> Option<(Option<Kind>, Result<Bytes, String>)> {
        let mut payload = Bytes::from(recv.read_to_end(PAYLOAD_MAX_BYTES + 1).await.ok()?);
        if payload.is_empty() {
            return None;
        }
        let number = payload.split_to(1)[0];
        let kind = Kind::from_number(number);
        let answer = match kind {
            Some(kind) => self.handle(kind, from, payload).await,
            None => Err(format!("unknown message kind {number}")),
        };
        Some((kind, answer))
    }

    async fn handle(
        &self,
        kind: Kind,
        from: &InstanceName,
        payload: Bytes,
    ) -> Result<Bytes, String> {
        self.count(kind, "received", payload.len());
        match self.handlers.find(kind) {
            Some(handler) => handler.handle(from, payload).await,
            None => Err(format!("no handler for kind {kind:?}")),
        }
    }

    fn count(&self, kind: Kind, direction: &str, bytes: usize) {
        let kind = format!("{kind:?}").to_lowercase();
        self.metrics.control_messages.with_label_values(&[kind.as_str(), direction]).inc();
        let counter = self.metrics.control_bytes.with_label_values(&[kind.as_str(), direction]);
        counter.inc_by(bytes as u64);
    }

    async fn connection(&self, to: &InstanceName) -> Result<Connection, TransportError> {
        let slot = self.connections.lock().await.entry(to.clone()).or_default().clone();
        // Holding the slot while connecting keeps a burst of messages to one set-up a peer.
        let mut slot = slot.lock().await;
        if let Some(connection) = slot.as_ref().filter(|c| c.close_reason().is_none()) {
            return Ok(connection.clone());
        }
        let connection = self.connect(to).await?;
        *slot = Some(connection.clone());
        Ok(connection)
    }

    async fn connect(&self, to: &InstanceName) -> Result<Connection, TransportError> {
        let address =
            self.peers.find(to).ok_or(TransportError::UnknownPeer { peer: to.clone() })?;
        let mut client = quinn::ClientConfig::new(self.tls.load().client.clone());
        client.transport_config(Arc::new(transport_config()));
        let unreachable = |reason: String| TransportError::Unreachable { peer: to.clone(), reason };
        let connecting = self
            .endpoint
            .connect_with(client, address, to.as_str())
            .map_err(|cause| unreachable(cause.to_string()))?;
        match tokio::time::timeout(CONNECT_TIMEOUT, connecting).await {
            Ok(Ok(connection)) => Ok(connection),
            Ok(Err(cause)) => Err(unreachable(cause.to_string())),
            Err(_) => Err(unreachable("connecting timed out".to_owned())),
        }
    }

    /// Sends a message that has no answer.
    async fn deliver(&self, to: &InstanceName, kind: Kind, payload: Bytes) -> Option<()> {
        if payload.len() > PAYLOAD_MAX_BYTES {
            return None;
        }
        let connection = self.connection(to).await.ok()?;
        self.count(kind, "sent", payload.len());
        let stream = connection.open_uni().await.ok()?;
        Outgoing::new(stream).write(kind, payload).await.ok()
    }

    async fn exchange(
        &self,
        to: &InstanceName,
        kind: Kind,
        payload: Bytes,
    ) -> Result<Bytes, TransportError> {
        if payload.len() > PAYLOAD_MAX_BYTES {
            return Err(TransportError::TooLarge { bytes: payload.len() });
        }
        let connection = self.connection(to).await?;
        self.count(kind, "sent", payload.len());
        let no_answer = |reason: String| TransportError::NoAnswer { peer: to.clone(), reason };
        let (send, mut recv) =
            connection.open_bi().await.map_err(|cause| no_answer(cause.to_string()))?;
        Outgoing::new(send).write(kind, payload).await.map_err(no_answer)?;
        let answer = recv
            .read_to_end(PAYLOAD_MAX_BYTES + 1)
            .await
            .map_err(|cause| no_answer(cause.to_string()))?;
        // The byte that leads the answer is not part of the payload.
        self.count(kind, "received", answer.len().saturating_sub(1));
        parse_answer(to, answer)
    }
}

/// A stream that is reset if it is dropped before the whole message is written.
///
/// A stream dropped otherwise counts as finished, and its part of a message as a whole one.
struct Outgoing {
    stream: quinn::SendStream,
    is_whole: bool,
}

impl Outgoing {
    fn new(stream: quinn::SendStream) -> Self {
        Self { stream, is_whole: false }
    }

    async fn write(mut self, kind: Kind, payload: Bytes) -> Result<(), String> {
        let mut message = BytesMut::with_capacity(1 + payload.len());
        message.put_u8(kind as u8);
        message.put(payload);
        self.stream.write_all(&message).await.map_err(|cause| cause.to_string())?;
        self.stream.finish().map_err(|cause| cause.to_string())?;
        self.is_whole = true;
        Ok(())
    }
}

impl Drop for Outgoing {
    fn drop(&mut self) {
        if !self.is_whole {
            // A stream that is closed already needs no reset.
            let _ = self.stream.reset(CUT_SHORT.into());
        }
    }
}

fn parse_answer(to: &InstanceName, answer: Vec<u8>) -> Result<Bytes, TransportError> {
    let mut body = Bytes::from(answer);
    if body.is_empty() {
        let reason = "the answer was cut short".to_owned();
        return Err(TransportError::NoAnswer { peer: to.clone(), reason });
    }
    let tag = body.split_to(1)[0];
    if tag == ANSWER {
        return Ok(body);
    }
    let reason = String::from_utf8_lossy(&body).into_owned();
    Err(TransportError::Refused { peer: to.clone(), reason })
}

#[async_trait]
impl Transport for QuicTransport {
    fn send(&self, to: &InstanceName, kind: Kind, payload: Bytes) {
        let Ok(permit) = self.shared.one_way.clone().try_acquire_owned() else {
            return;
        };
        let shared = self.shared.clone();
        let to = to.clone();
        let sending = async move {
            let delivery = shared.deliver(&to, kind, payload);
            // One-way messages are allowed to be lost; their senders repeat them.
            let _ = tokio::time::timeout(ONE_WAY_TIMEOUT, delivery).await;
            drop(permit);
        };
        tokio::spawn(supervision::isolated("send a message", sending));
    }

    async fn call(
        &self,
        to: &InstanceName,
        kind: Kind,
        payload: Bytes,
        timeout: Duration,
    ) -> Result<Bytes, TransportError> {
        let exchange = self.shared.exchange(to, kind, payload);
        match tokio::time::timeout(timeout, exchange).await {
            Ok(answer) => answer,
            Err(_) => {
                let reason = "timed out".to_owned();
                Err(TransportError::NoAnswer { peer: to.clone(), reason })
            }
        }
    }

    fn register(&self, kind: Kind, handler: Arc<dyn Handler>) {
        self.shared.handlers.register(kind, handler);
    }

    fn learn(&self, peer: &InstanceName, address: SocketAddr) {
        self.shared.peers.learn(peer, address);
    }

    fn reconnect(&self, peer: &InstanceName) {
        let (shared, peer) = (self.shared.clone(), peer.clone());
        let reconnecting = async move {
            let slot = shared.connections.lock().await.get(&peer).cloned();
            // A slot that is taken is being connected anew anyway.
            if let Some(mut connection) = slot.as_ref().and_then(|slot| slot.try_lock().ok()) {
                *connection = None;
            }
        };
        tokio::spawn(supervision::isolated("reconnect to an instance", reconnecting));
    }
}

#[cfg(test)]
mod tests;
