use std::{
    io,
    pin::Pin,
    sync::{
        Arc,
        atomic::{AtomicUsize, Ordering},
    },
    task::{Context, Poll},
};

use tokio::{
    io::{AsyncRead, AsyncWrite, ReadBuf},
    net::TcpStream,
};

/// Maximum number of bytes that may arrive without completing a response head or a part of a body. It
/// exceeds the 408 KiB that hyper buffers of a head. hyper itself doesn't limit interim responses or
/// the digits of a chunk size.
const MAX_UNUSED_BYTES: usize = 1 << 20;

/// Counts the bytes received on a connection since the last response head or part of a body.
#[derive(Clone, Debug, Default)]
pub(super) struct Meter(Arc<AtomicUsize>);

impl Meter {
    /// Restarts the count after a response head or a part of a body.
    pub(super) fn reset(&self) {
        self.0.store(0, Ordering::Relaxed);
    }

    /// Counts received bytes.
    ///
    /// # Errors
    /// If the limit is exceeded.
    fn add(&self, count: usize) -> io::Result<()> {
        if self.0.fetch_add(count, Ordering::Relaxed) + count > MAX_UNUSED_BYTES {
            let reason = "the target keeps sending bytes that are not part of a response";
            return Err(io::Error::new(io::ErrorKind::InvalidData, reason));
        }
        Ok(())
    }
}

/// A connection to a target that fails when too many bytes arrive that are no part of a response.
#[derive(Debug)]
pub(super) struct MeteredStream {
    stream: TcpStream,
    meter: Meter,
}

impl MeteredStream {
    /// Wraps a connection whose received bytes `meter` counts.
    pub(super) const fn new(stream: TcpStream, meter: Meter) -> Self {
        Self { stream, meter }
    }
}

impl AsyncRead for MeteredStream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let before = buf.filled().len();
        match Pin::new(&mut self.stream).poll_read(cx, buf) {
            Poll::Ready(Ok(())) => Poll::Ready(self.meter.add(buf.filled().len() - before)),
            other => other,
        }
    }
}

impl AsyncWrite for MeteredStream {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &[u8],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.stream).poll_write(cx, buf)
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

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_flush(cx)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_shutdown(cx)
    }
}
