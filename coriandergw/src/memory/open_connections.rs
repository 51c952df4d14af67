//! The connections of one server: bounded, and closed when a new one needs the place.

use std::collections::BTreeMap;
use std::io;
use std::net::IpAddr;
use std::pin::Pin;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::task::Context;
use std::task::Poll;
use std::time::Duration;

use bytes::Bytes;
use hyper::body::Body;
use hyper::body::Frame;
use hyper::body::SizeHint;
use tokio::io::AsyncRead;
use tokio::io::AsyncWrite;
use tokio::io::ReadBuf;
use tokio::sync::Notify;
use tokio::time::Instant;

use crate::clock::Timestamp;
use crate::memory::connections::ConnectionId;
use crate::memory::connections::ConnectionTable;
use crate::memory::shared::MemoryBudget;

/// How often a server at its bound looks for a connection to close, since a body may have stalled.
const RECHECK_INTERVAL: Duration = Duration::from_millis(100);

/// What connections are called in metrics and logs.
const KIND: &str = "connection";

/// The connections of one server.
pub struct OpenConnections {
    started: Instant,
    max: usize,
    memory: Arc<MemoryBudget>,
    state: Mutex<State>,
    ended: Notify,
}

#[derive(Default)]
struct State {
    table: ConnectionTable,
    /// Tells connections to close, with the addresses of their peers.
    closing: BTreeMap<ConnectionId, (Arc<Notify>, IpAddr)>,
}

impl OpenConnections {
    /// Creates the table of a server that serves at most `max` connections at once.
    pub fn new(max: usize, memory: Arc<MemoryBudget>) -> Arc<Self> {
        let (started, state, ended) = (Instant::now(), Mutex::default(), Notify::new());
        Arc::new(Self { started, max, memory, state, ended })
    }

    /// Waits until one more connection may be served; closes one that runs no request if needed.
    ///
    /// May be cancelled and called again.
    pub async fn make_room(&self) {
        loop {
            {
                let now = self.now();
                let mut state = self.lock();
                if state.table.len() < self.max {
                    return;
                }
                if !state.table.is_closing_any()
                    && let Some(id) = state.table.displace(now)
                {
                    self.tell(&state, id, "displaced");
                }
            }
            // Either a connection ended, or one may have become idle.
            let _ = tokio::time::timeout(RECHECK_INTERVAL, self.ended.notified()).await;
        }
    }

    /// Closes the connections whose heads are not whole `limit` after their first byte.
    pub fn close_late_heads(&self, limit: Duration) {
        let now = self.now();
        let mut state = self.lock();
        for id in state.table.take_late_heads(limit, now) {
            self.tell(&state, id, "late_head");
        }
    }

    /// Adds a connection that was accepted.
    pub fn open(self: &Arc<Self>, peer: IpAddr) -> Arc<OpenConnection> {
        let (now, closing) = (self.now(), Arc::<Notify>::default());
        let mut state = self.lock();
        let id = state.table.open(now);
        state.closing.insert(id, (closing.clone(), peer));
        drop(state);
        Arc::new(OpenConnection { server: self.clone(), id, peer, closing })
    }

    fn tell(&self, state: &State, id: ConnectionId, reason: &str) {
        if let Some((closing, peer)) = state.closing.get(&id) {
            closing.notify_one();
            self.memory.report(KIND, Some(*peer), reason);
        }
    }

    fn now(&self) -> Timestamp {
        Timestamp(self.started.elapsed().as_micros() as u64)
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().expect("not poisoned")
    }
}

/// One open connection; its place is free when it is dropped.
pub struct OpenConnection {
    server: Arc<OpenConnections>,
    id: ConnectionId,
    peer: IpAddr,
    closing: Arc<Notify>,
}

impl OpenConnection {
    /// Returns the address of the peer.
    pub fn peer(&self) -> IpAddr {
        self.peer
    }

    /// Waits until the connection is to be closed at once.
    pub async fn told_to_close(&self) {
        self.closing.notified().await;
    }

    /// Notes that a request begins, until the result is dropped.
    pub fn start_request(self: &Arc<Self>, has_body: bool) -> RunningRequest {
        let now = self.server.now();
        self.server.lock().table.start_request(self.id, has_body, now);
        RunningRequest(self.clone())
    }

    /// Notes that the body of a request is whole.
    pub fn note_received(&self) {
        self.server.lock().table.note_received(self.id);
    }

    fn note_read(&self) {
        let now = self.server.now();
        self.server.lock().table.note_read(self.id, now);
    }
}

impl Drop for OpenConnection {
    fn drop(&mut self) {
        let mut state = self.server.lock();
        state.table.close(self.id);
        state.closing.remove(&self.id);
        drop(state);
        self.server.ended.notify_one();
    }
}

/// A request on a connection, until its answer has ended.
pub struct RunningRequest(Arc<OpenConnection>);

impl Drop for RunningRequest {
    fn drop(&mut self) {
        let server = &self.0.server;
        let now = server.now();
        server.lock().table.end_request(self.0.id, now);
    }
}

/// A stream that notes when bytes arrive.
pub struct NotedStream<S> {
    stream: S,
    connection: Arc<OpenConnection>,
}

impl<S> NotedStream<S> {
    /// Wraps the stream of a connection.
    pub fn new(stream: S, connection: Arc<OpenConnection>) -> Self {
        Self { stream, connection }
    }
}

impl<S> AsyncRead for NotedStream<S>
where
    S: AsyncRead + Unpin,
{
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let before = buf.filled().len();
        let read = Pin::new(&mut self.stream).poll_read(cx, buf);
        if buf.filled().len() > before {
            self.connection.note_read();
        }
        read
    }
}

impl<S> AsyncWrite for NotedStream<S>
where
    S: AsyncWrite + Unpin,
{
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &[u8],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.stream).poll_write(cx, buf)
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_flush(cx)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_shutdown(cx)
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bufs: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.stream).poll_write_vectored(cx, bufs)
    }

    fn is_write_vectored(&self) -> bool {
        self.stream.is_write_vectored()
    }
}

/// The body of an answer, whose request has ended when it is dropped.
pub struct AnswerBody<B> {
    body: B,
    _request: RunningRequest,
}

impl<B> AnswerBody<B> {
    /// Ties a request to the body of its answer.
    pub fn new(body: B, request: RunningRequest) -> Self {
        Self { body, _request: request }
    }
}

impl<B> Body for AnswerBody<B>
where
    B: Body<Data = Bytes> + Unpin,
{
    type Data = Bytes;
    type Error = B::Error;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, B::Error>>> {
        Pin::new(&mut self.body).poll_frame(cx)
    }

    fn is_end_stream(&self) -> bool {
        self.body.is_end_stream()
    }

    fn size_hint(&self) -> SizeHint {
        self.body.size_hint()
    }
}
