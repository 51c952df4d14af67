//! Ends a connection whose peer sends bytes without end that are no part of a message's content.

use std::io;
use std::pin::Pin;
use std::sync::Arc;
use std::sync::atomic::AtomicUsize;
use std::sync::atomic::Ordering;
use std::task::Context;
use std::task::Poll;

use tokio::io::AsyncRead;
use tokio::io::AsyncWrite;
use tokio::io::ReadBuf;

/// The most bytes that are read without yielding a head or content, in bytes. Larger than the read
/// buffer of a connection, whose content may not have been taken yet.
const UNPRODUCTIVE_MAX_BYTES: usize = 2 << 20;

/// The bytes read from a connection since they last yielded a head or content.
#[derive(Debug, Clone, Default)]
pub(super) struct UnproductiveBytes(Arc<AtomicUsize>);

impl UnproductiveBytes {
    /// Starts to count anew, since a head or content has been received.
    pub(super) fn reset(&self) {
        self.0.store(0, Ordering::Relaxed);
    }
}

/// A connection that fails to read once too many bytes were unproductive.
///
/// The HTTP parser skips some bytes without a limit, for example interim responses and leading
/// zeros of a chunk's size.
#[derive(Debug)]
pub(super) struct BoundedReader<S> {
    stream: S,
    unproductive: UnproductiveBytes,
}

impl<S> BoundedReader<S> {
    pub(super) fn new(stream: S, unproductive: UnproductiveBytes) -> Self {
        Self { stream, unproductive }
    }
}

impl<S> AsyncRead for BoundedReader<S>
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
        let bytes = buf.filled().len() - before;
        let total = self.unproductive.0.fetch_add(bytes, Ordering::Relaxed) + bytes;
        if total > UNPRODUCTIVE_MAX_BYTES {
            let message =
                format!("{total} bytes without content, {UNPRODUCTIVE_MAX_BYTES} allowed");
            return Poll::Ready(Err(io::Error::new(io::ErrorKind::InvalidData, message)));
        }
        read
    }
}

impl<S> AsyncWrite for BoundedReader<S>
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
