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

/// Bytes that may arrive without giving a response head or a part of a body. Above what is buffered of a
/// head, 408 KiB; hyper reads interim responses and the digits of a chunk's size for as long as they come.
const LIMIT: usize = 1 << 20;

/// Counts the bytes of a connection since they last gave a head or a part of a body.
#[derive(Clone, Debug, Default)]
pub(super) struct Meter(Arc<AtomicUsize>);

impl Meter {
    /// The bytes so far gave something that was passed on.
    pub(super) fn reset(&self) {
        self.0.store(0, Ordering::Relaxed);
    }

    /// Counts bytes; an error if they have come without end.
    fn add(&self, count: usize) -> io::Result<()> {
        if self.0.fetch_add(count, Ordering::Relaxed) + count > LIMIT {
            let reason = "the target sends bytes without end that are no response";
            return Err(io::Error::new(io::ErrorKind::InvalidData, reason));
        }
        Ok(())
    }
}

/// A connection to a target that fails when bytes without use arrive for too long.
#[derive(Debug)]
pub(super) struct Metered {
    stream: TcpStream,
    meter: Meter,
}

impl Metered {
    /// A connection that counts on `meter`.
    pub(super) const fn new(stream: TcpStream, meter: Meter) -> Self {
        Self { stream, meter }
    }
}

impl AsyncRead for Metered {
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

impl AsyncWrite for Metered {
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
