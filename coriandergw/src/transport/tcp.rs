//! The transport over plain TCP, for instances within a network that the operator trusts.
//!
//! An instance name starts with the address that the instance listens on (`ip:port/incarnation`),
//! so that a name is enough to reach it. The name `ip:port` alone stands for whichever incarnation
//! listens there.
//!
//! One connection a direction carries frames: requests on the way out, answers on the way back.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::time::Duration;

use async_trait::async_trait;
use bytes::Bytes;
use bytes::BytesMut;
use tokio::io::AsyncReadExt;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpListener;
use tokio::net::TcpStream;
use tokio::net::tcp::OwnedReadHalf;
use tokio::net::tcp::OwnedWriteHalf;
use tokio::sync::mpsc;
use tokio::sync::oneshot;
use tokio::task::JoinSet;
use tokio::time::Instant;
use tokio_util::task::AbortOnDropHandle;

use crate::context::Context;
use crate::ids::InstanceName;
use crate::supervision;
use crate::transport::Handler;
use crate::transport::Kind;
use crate::transport::PAYLOAD_MAX_BYTES;
use crate::transport::Transport;
use crate::transport::TransportError;
use crate::transport::peers::Handlers;
use crate::transport::tcp::frame::Frame;
use crate::transport::tcp::frame::FrameKind;

mod frame;

/// How long a connection may take to be set up; a few round trips between regions.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(700);

/// How long a peer that refused or did not answer a connection is left alone.
const CONNECT_PAUSE: Duration = Duration::from_millis(40);

/// How long a peer may take to say who it is: a few round trips between regions. Until then it may
/// be any client.
const HELLO_TIMEOUT: Duration = Duration::from_secs(2);

/// After this silence of a peer a sign of life is asked for with the next frame.
const PROBE_AFTER: Duration = Duration::from_millis(400);

/// How long a peer may owe a sign of life before its connection is given up.
const PROBE_ANSWER: Duration = Duration::from_millis(800);

/// The frames that wait for one connection at most; further ones are dropped.
const QUEUE_FRAMES: usize = 2_048;

/// How many bytes are collected before they are written at once.
const WRITE_BYTES: usize = 64 * 1024;

/// Returns the address that a name of this transport starts with.
pub fn address_of(name: &InstanceName) -> Option<SocketAddr> {
    let address = name.as_str().split('/').next().unwrap_or_default();
    address.parse().ok()
}

/// Returns whether `name` names this instance: its own name, or its address alone.
fn names(name: &str, own: &InstanceName) -> bool {
    name == own.as_str() || own.as_str().split('/').next() == Some(name)
}

/// What is to be written on a connection.
struct Outbound {
    kind: Kind,
    payload: Bytes,
    answer: Option<oneshot::Sender<Result<Bytes, TransportError>>>,
}

type Links = Mutex<HashMap<InstanceName, mpsc::Sender<Outbound>>>;

/// Sends and receives frames over TCP.
pub struct TcpTransport {
    name: InstanceName,
    handlers: Arc<Handlers>,
    links: Arc<Links>,
    _accepting: AbortOnDropHandle<()>,
}

impl TcpTransport {
    /// Listens on `listen` and serves other instances in background tasks.
    ///
    /// # Errors
    /// Fails if the address cannot be bound.
    pub async fn start(cx: &Context, listen: SocketAddr) -> std::io::Result<Arc<Self>> {
        let listener = TcpListener::bind(listen).await?;
        let handlers = Arc::<Handlers>::default();
        let name = cx.instance.clone();
        let connections_max = cx.memory.limits().service_connections();
        let accepting = accept(listener, name.clone(), handlers.clone(), connections_max);
        let accepting = supervision::essential(cx.clone(), "accept other instances", accepting);
        let accepting = tokio::spawn(accepting);
        Ok(Arc::new(Self {
            name,
            handlers,
            links: Arc::default(),
            _accepting: AbortOnDropHandle::new(accepting),
        }))
    }

    fn enqueue(&self, to: &InstanceName, outbound: Outbound) -> Result<(), TransportError> {
        let Some(address) = address_of(to) else {
            return Err(TransportError::UnknownPeer { peer: to.clone() });
        };
        let mut links = self.links.lock().expect("not poisoned");
        if let Some(link) = links.get(to).filter(|link| !link.is_closed()) {
            return link.try_send(outbound).map_err(|cause| TransportError::Unreachable {
                peer: to.clone(),
                reason: cause.to_string(),
            });
        }
        let (tx, rx) = mpsc::channel(QUEUE_FRAMES);
        // The queue is new and empty.
        let _ = tx.try_send(outbound);
        links.insert(to.clone(), tx);
        let link = Link { own: self.name.clone(), peer: to.clone(), address, rx };
        tokio::spawn(supervision::isolated("exchange with an instance", link.run()));
        Ok(())
    }
}

#[async_trait]
impl Transport for TcpTransport {
    fn send(&self, to: &InstanceName, kind: Kind, payload: Bytes) {
        // One-way messages are repeated by those who need them.
        let _ = self.enqueue(to, Outbound { kind, payload, answer: None });
    }

    async fn call(
        &self,
        to: &InstanceName,
        kind: Kind,
        payload: Bytes,
        timeout: Duration,
    ) -> Result<Bytes, TransportError> {
        if payload.len() > PAYLOAD_MAX_BYTES {
            return Err(TransportError::TooLarge { bytes: payload.len() });
        }
        let (tx, rx) = oneshot::channel();
        self.enqueue(to, Outbound { kind, payload, answer: Some(tx) })?;
        let no_answer =
            |reason: &str| TransportError::NoAnswer { peer: to.clone(), reason: reason.to_owned() };
        match tokio::time::timeout(timeout, rx).await {
            Ok(Ok(result)) => result,
            Ok(Err(_)) => Err(no_answer("the connection was closed")),
            Err(_) => Err(no_answer("timed out")),
        }
    }

    fn register(&self, kind: Kind, handler: Arc<dyn Handler>) {
        self.handlers.register(kind, handler);
    }

    fn learn(&self, _peer: &InstanceName, _address: SocketAddr) {}

    fn reconnect(&self, peer: &InstanceName) {
        self.links.lock().expect("not poisoned").remove(peer);
    }
}

type Waiting = HashMap<u64, oneshot::Sender<Result<Bytes, TransportError>>>;

/// The outgoing connection to one peer.
struct Link {
    own: InstanceName,
    peer: InstanceName,
    address: SocketAddr,
    rx: mpsc::Receiver<Outbound>,
}

/// When a peer was heard, and whether it owes a sign of life.
struct Liveness {
    heard: Instant,
    probed: Option<Instant>,
}

impl Liveness {
    /// Returns whether the peer should be asked for a sign of life.
    fn wants_probe(&mut self, now: Instant) -> bool {
        let wants = self.probed.is_none() && now - self.heard > PROBE_AFTER;
        if wants {
            self.probed = Some(now);
        }
        wants
    }

    fn deadline(&self) -> Option<Instant> {
        self.probed.map(|probed| probed + PROBE_ANSWER)
    }

    fn note_heard(&mut self, now: Instant) {
        self.heard = now;
        self.probed = None;
    }
}

impl Link {
    async fn run(mut self) {
        let Some(stream) = self.connect().await else {
            return self.refuse_waiting().await;
        };
        let mut waiting = Waiting::new();
        // The cause reaches those who wait for an answer.
        let reason = match self.exchange(stream, &mut waiting).await {
            Ok(()) => "the connection was closed".to_owned(),
            Err(cause) => cause.to_string(),
        };
        self.rx.close();
        let peer = self.peer;
        for tx in waiting.into_values() {
            let cause = TransportError::NoAnswer { peer: peer.clone(), reason: reason.clone() };
            let _ = tx.send(Err(cause));
        }
    }

    async fn connect(&self) -> Option<TcpStream> {
        let connecting = TcpStream::connect(self.address);
        let mut stream = tokio::time::timeout(CONNECT_TIMEOUT, connecting).await.ok()?.ok()?;
        let _ = stream.set_nodelay(true);
        let mut buf = BytesMut::new();
        frame::put_hello(&mut buf, self.own.as_str(), self.peer.as_str());
        stream.write_all(&buf).await.ok()?;
        Some(stream)
    }

    /// Answers what waits for a connection that could not be set up.
    async fn refuse_waiting(mut self) {
        let end = Instant::now() + CONNECT_PAUSE;
        while let Ok(Some(outbound)) = tokio::time::timeout_at(end, self.rx.recv()).await {
            if let Some(tx) = outbound.answer {
                let _ = tx.send(Err(TransportError::Unreachable {
                    peer: self.peer.clone(),
                    reason: "no connection".to_owned(),
                }));
            }
        }
    }

    /// Writes requests and reads answers until the connection breaks or nobody sends any more.
    async fn exchange(&mut self, stream: TcpStream, waiting: &mut Waiting) -> std::io::Result<()> {
        let (mut reader, mut writer) = stream.into_split();
        let mut live = Liveness { heard: Instant::now(), probed: None };
        let mut next_id = 0u64;
        let mut incoming = BytesMut::new();
        let mut out = BytesMut::new();
        loop {
            let deadline = live.deadline();
            tokio::select! {
                outbound = self.rx.recv() => {
                    let Some(outbound) = outbound else { return Ok(()) };
                    put_outbound(&mut out, outbound, &mut next_id, waiting);
                    while out.len() < WRITE_BYTES {
                        let Ok(outbound) = self.rx.try_recv() else { break };
                        put_outbound(&mut out, outbound, &mut next_id, waiting);
                    }
                    let is_probe = live.wants_probe(Instant::now());
                    if is_probe {
                        Frame::bare(FrameKind::Probe, 0).put(&mut out);
                    }
                    write_out(&mut writer, &mut out).await?;
                    if is_probe {
                        // The peer can answer only now.
                        live.probed = Some(Instant::now());
                    }
                }
                read = reader.read_buf(&mut incoming) => {
                    if read? == 0 {
                        return Ok(());
                    }
                    live.note_heard(Instant::now());
                    while let Some(frame) = Frame::take(&mut incoming)? {
                        deliver_answer(&self.peer, frame, waiting);
                    }
                }
                () = sleep_until(deadline) => return Err(std::io::ErrorKind::TimedOut.into()),
            }
        }
    }
}

/// Writes what was collected; a peer that takes nothing for long is given up.
async fn write_out(writer: &mut OwnedWriteHalf, out: &mut BytesMut) -> std::io::Result<()> {
    while !out.is_empty() {
        // The time is for the next bytes and not for all: a large message over a narrow link takes longer.
        let write = tokio::time::timeout(PROBE_ANSWER, writer.write_buf(out));
        if write.await.map_err(|_| std::io::ErrorKind::TimedOut)?? == 0 {
            return Err(std::io::ErrorKind::WriteZero.into());
        }
    }
    Ok(())
}

async fn sleep_until(deadline: Option<Instant>) {
    match deadline {
        Some(deadline) => tokio::time::sleep_until(deadline).await,
        None => std::future::pending().await,
    }
}

fn put_outbound(out: &mut BytesMut, outbound: Outbound, next_id: &mut u64, waiting: &mut Waiting) {
    let Outbound { kind, payload, answer } = outbound;
    let frame_kind = if answer.is_some() { FrameKind::Call } else { FrameKind::OneWay };
    *next_id += 1;
    if let Some(tx) = answer {
        waiting.insert(*next_id, tx);
    }
    Frame { kind: frame_kind, id: *next_id, message: kind as u8, payload }.put(out);
    waiting.retain(|_, tx| !tx.is_closed());
}

fn deliver_answer(peer: &InstanceName, frame: Frame, waiting: &mut Waiting) {
    let Some(tx) = waiting.remove(&frame.id) else {
        return;
    };
    let result = match frame.kind {
        FrameKind::Answer => Ok(frame.payload),
        _ => Err(TransportError::Refused {
            peer: peer.clone(),
            reason: String::from_utf8_lossy(&frame.payload).into_owned(),
        }),
    };
    // The caller may have stopped to wait.
    let _ = tx.send(result);
}

async fn accept(
    listener: TcpListener,
    own: InstanceName,
    handlers: Arc<Handlers>,
    connections_max: usize,
) {
    // Connections end with the transport.
    let mut connections = JoinSet::new();
    loop {
        let accepted = tokio::select! {
            accepted = listener.accept(), if connections.len() < connections_max => accepted,
            Some(_) = connections.join_next() => continue,
        };
        match accepted {
            Ok((stream, _)) => {
                let _ = stream.set_nodelay(true);
                let serving = serve(stream, own.clone(), handlers.clone());
                connections.spawn(supervision::isolated("serve an instance", serving));
            }
            Err(cause) => {
                log::warn!("a connection of another instance was not accepted: {cause}");
                tokio::time::sleep(CONNECT_PAUSE).await;
            }
        }
    }
}

/// Serves the requests of one connection until it breaks.
async fn serve(stream: TcpStream, own: InstanceName, handlers: Arc<Handlers>) {
    if let Err(cause) = serve_frames(stream, own, handlers).await {
        log::debug!("a connection of another instance ended: {cause}");
    }
}

async fn serve_frames(
    stream: TcpStream,
    own: InstanceName,
    handlers: Arc<Handlers>,
) -> std::io::Result<()> {
    let (mut reader, mut writer) = stream.into_split();
    let mut incoming = BytesMut::new();
    let hello = read_hello(&mut reader, &mut incoming);
    let hello = tokio::time::timeout(HELLO_TIMEOUT, hello).await;
    let Some((from, to)) = hello.map_err(|_| std::io::ErrorKind::TimedOut)?? else {
        return Ok(());
    };
    let from = InstanceName::try_from(from).map_err(std::io::Error::other)?;
    if !names(&to, &own) {
        return Err(std::io::Error::other(format!("{from} wants {to}, this is {own}")));
    }
    let (tx, mut rx) = mpsc::channel::<Frame>(QUEUE_FRAMES);
    let mut out = BytesMut::new();
    loop {
        while let Some(frame) = Frame::take(&mut incoming)? {
            answer(frame, &from, &handlers, &tx).await;
        }
        tokio::select! {
            frame = rx.recv() => {
                let Some(frame) = frame else { return Ok(()) };
                frame.put(&mut out);
                while out.len() < WRITE_BYTES {
                    let Ok(frame) = rx.try_recv() else { break };
                    frame.put(&mut out);
                }
                write_out(&mut writer, &mut out).await?;
            }
            read = reader.read_buf(&mut incoming) => {
                if read? == 0 {
                    return Ok(());
                }
            }
        }
    }
}

/// Reads the names of sender and receiver; `None` if the peer closes the connection first.
async fn read_hello(
    reader: &mut OwnedReadHalf,
    incoming: &mut BytesMut,
) -> std::io::Result<Option<(String, String)>> {
    loop {
        if let Some(hello) = frame::take_hello(incoming)? {
            return Ok(Some(hello));
        }
        if reader.read_buf(incoming).await? == 0 {
            return Ok(None);
        }
    }
}

async fn answer(
    frame: Frame,
    from: &InstanceName,
    handlers: &Arc<Handlers>,
    tx: &mpsc::Sender<Frame>,
) {
    let Frame { kind, id, message, payload } = frame;
    let handler = Kind::from_number(message).and_then(|kind| handlers.find(kind));
    match (kind, handler) {
        (FrameKind::Probe, _) => {
            // A full queue means that answers are under way, which are signs of life as well.
            let _ = tx.try_send(Frame::bare(FrameKind::Alive, 0));
        }
        (FrameKind::OneWay, Some(handler)) => {
            // In order: messages of the log arrive as they were sent.
            let _ = handler.handle(from, payload).await;
        }
        (FrameKind::Call, Some(handler)) => {
            let (from, tx) = (from.clone(), tx.clone());
            let answering = async move {
                let (kind, payload) = match handler.handle(&from, payload).await {
                    Ok(payload) => (FrameKind::Answer, payload),
                    Err(reason) => (FrameKind::Refusal, Bytes::from(reason)),
                };
                let _ = tx.send(Frame { kind, id, message, payload }).await;
            };
            tokio::spawn(supervision::isolated("answer an instance", answering));
        }
        (FrameKind::Call, None) => {
            let payload = Bytes::from_static(b"no handler for this kind");
            let _ = tx.try_send(Frame { kind: FrameKind::Refusal, id, message, payload });
        }
        _ => {}
    }
}

#[cfg(test)]
mod tests;
