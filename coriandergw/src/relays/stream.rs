//! The bytes of a relayed connection.
//!
//! What the endpoint sends arrives in parts with their length before them. A part of length 0 says
//! that the endpoint ended its connection in order. Without it the relay has failed or the endpoint
//! has reset the connection, so a response that ends with the connection is not complete.

use std::io;
use std::pin::Pin;
use std::task::Context;
use std::task::Poll;
use std::task::ready;

use tokio::io::AsyncRead;
use tokio::io::AsyncWrite;
use tokio::io::AsyncWriteExt;
use tokio::io::ReadBuf;

/// The length of the head of a part, in bytes.
const HEAD_BYTES: usize = 4;

/// The longest part that is written, in bytes.
pub(super) const PART_MAX_BYTES: usize = 8 * 1024;

/// Writes a part. An empty one says that nothing follows.
pub(super) async fn write_part<W>(writer: &mut W, content: &[u8]) -> io::Result<()>
where
    W: AsyncWrite + Unpin,
{
    let mut buf = Vec::with_capacity(HEAD_BYTES + content.len());
    buf.extend((content.len() as u32).to_be_bytes());
    buf.extend(content);
    writer.write_all(&buf).await
}

/// Reads what an endpoint sends through a relay.
#[derive(Debug)]
pub struct RelayedReader<S> {
    stream: S,
    head: [u8; HEAD_BYTES],
    head_read: usize,
    /// The bytes of the current part that are still to be read.
    remaining: usize,
    has_ended: bool,
}

impl<S> RelayedReader<S> {
    /// Wraps the receiving half of a connection to a relay that has connected to the endpoint.
    pub(super) fn new(stream: S) -> Self {
        Self { stream, head: [0; HEAD_BYTES], head_read: 0, remaining: 0, has_ended: false }
    }
}

fn ended_early() -> io::Error {
    io::Error::new(io::ErrorKind::ConnectionReset, "the relayed connection broke off")
}

impl<S> RelayedReader<S>
where
    S: AsyncRead + Unpin,
{
    /// Reads the head of the next part.
    fn poll_head(&mut self, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        while self.head_read < HEAD_BYTES {
            let mut buf = ReadBuf::new(&mut self.head[self.head_read..]);
            ready!(Pin::new(&mut self.stream).poll_read(cx, &mut buf))?;
            let count = buf.filled().len();
            if count == 0 {
                return Poll::Ready(Err(ended_early()));
            }
            self.head_read += count;
        }
        self.head_read = 0;
        self.remaining = u32::from_be_bytes(self.head) as usize;
        self.has_ended = self.remaining == 0;
        Poll::Ready(Ok(()))
    }
}

impl<S> AsyncRead for RelayedReader<S>
where
    S: AsyncRead + Unpin,
{
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let this = &mut *self;
        if this.remaining == 0 && !this.has_ended {
            ready!(this.poll_head(cx))?;
        }
        if this.has_ended {
            return Poll::Ready(Ok(()));
        }
        let length = this.remaining.min(buf.remaining());
        let mut part = ReadBuf::new(buf.initialize_unfilled_to(length));
        ready!(Pin::new(&mut this.stream).poll_read(cx, &mut part))?;
        let count = part.filled().len();
        if count == 0 && length > 0 {
            return Poll::Ready(Err(ended_early()));
        }
        buf.advance(count);
        this.remaining -= count;
        Poll::Ready(Ok(()))
    }
}
