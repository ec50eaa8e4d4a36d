//! Bounds on what is read from a connection.
//!
//! The HTTP library reads a connection for as long as its socket has bytes, within one poll of its
//! task, and some forms of a message have no limit of their own there: interim answers, and the size of
//! a chunk. A peer that sends such bytes without end would keep the only thread of the node busy for
//! seconds, and no other request would be read, answered or timed out meanwhile.

use std::{
    cell::Cell,
    future::poll_fn,
    io::{self, IoSlice},
    pin::Pin,
    rc::Rc,
    task::{Context, Poll, ready},
};

use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};

/// Bytes after which a poll of a connection reads no more.
const TURN_BYTES: usize = 32 * 1024;

/// Bytes of a message beside its body that may come for each byte of the body: a chunk of one byte takes
/// six on the wire.
const OVERHEAD_RATIO: usize = 16;

/// Counts what is read from a connection, and bounds it.
#[derive(Debug, Default)]
pub struct ReadMeter {
    /// Bytes that may still be read in this poll.
    turn_bytes: Cell<usize>,
    /// Bytes of the present message that aren't of its body, or haven't been taken as such.
    overhead_bytes: Cell<usize>,
    /// Limit for them; `None` for no limit.
    overhead_limit_bytes: Option<usize>,
}

impl ReadMeter {
    /// Creates a meter that bounds the bytes beside the body of each message.
    pub fn with_overhead_limit(limit_bytes: usize) -> Rc<Self> {
        Rc::new(Self {
            overhead_limit_bytes: Some(limit_bytes),
            ..Self::default()
        })
    }

    /// Another message is expected.
    pub fn begin_message(&self) {
        self.overhead_bytes.set(0);
    }

    /// Bytes of the body of the present message were taken.
    pub fn on_body(&self, bytes: usize) {
        let paid_bytes = bytes.saturating_mul(1 + OVERHEAD_RATIO);
        let overhead_bytes = self.overhead_bytes.get();
        self.overhead_bytes
            .set(overhead_bytes.saturating_sub(paid_bytes));
    }

    /// Whether a message had too many bytes beside its body.
    pub fn is_exceeded(&self) -> bool {
        self.overhead_limit_bytes
            .is_some_and(|limit_bytes| self.overhead_bytes.get() > limit_bytes)
    }

    /// Whether this poll may read more. If not, the task is polled again after others.
    fn poll_turn(&self, context: &mut Context<'_>) -> Poll<()> {
        if self.turn_bytes.get() > 0 {
            return Poll::Ready(());
        }
        context.waker().wake_by_ref();
        Poll::Pending
    }

    /// Counts bytes that were read.
    ///
    /// # Errors
    ///
    /// If the message has too many bytes beside its body.
    fn on_read(&self, bytes: usize) -> io::Result<()> {
        self.turn_bytes
            .set(self.turn_bytes.get().saturating_sub(bytes));
        self.overhead_bytes
            .set(self.overhead_bytes.get().saturating_add(bytes));
        if self.is_exceeded() {
            let what = "too many bytes beside the body of the message";
            return Err(io::Error::new(io::ErrorKind::InvalidData, what));
        }
        Ok(())
    }

    /// Drives a connection whose reads are counted here, and bounds those of each poll.
    pub async fn drive<F>(&self, mut connection: Pin<&mut F>) -> F::Output
    where
        F: Future,
    {
        poll_fn(|context| {
            self.turn_bytes.set(TURN_BYTES);
            connection.as_mut().poll(context)
        })
        .await
    }
}

/// Stream whose reads are bounded by a meter.
#[derive(Debug)]
pub struct BoundedStream<S> {
    stream: S,
    meter: Rc<ReadMeter>,
}

impl<S> BoundedStream<S> {
    /// Creates a stream; the connection on it has to be driven by [`ReadMeter::drive`].
    pub fn new(stream: S, meter: Rc<ReadMeter>) -> Self {
        Self { stream, meter }
    }

    /// Returns the stream itself, whose reads aren't bounded.
    pub fn get_ref(&self) -> &S {
        &self.stream
    }

    /// Returns the stream itself, whose reads aren't bounded any more.
    pub fn into_inner(self) -> S {
        self.stream
    }
}

impl<S: AsyncRead + Unpin> AsyncRead for BoundedStream<S> {
    fn poll_read(
        self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let bounded = self.get_mut();
        ready!(bounded.meter.poll_turn(context));
        let before_bytes = buffer.filled().len();
        ready!(Pin::new(&mut bounded.stream).poll_read(context, buffer))?;
        let read_bytes = buffer.filled().len() - before_bytes;
        Poll::Ready(bounded.meter.on_read(read_bytes))
    }
}

impl<S: AsyncWrite + Unpin> AsyncWrite for BoundedStream<S> {
    fn poll_write(
        self: Pin<&mut Self>,
        context: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.get_mut().stream).poll_write(context, bytes)
    }

    fn poll_flush(self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.get_mut().stream).poll_flush(context)
    }

    fn poll_shutdown(self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.get_mut().stream).poll_shutdown(context)
    }

    fn is_write_vectored(&self) -> bool {
        self.stream.is_write_vectored()
    }

    fn poll_write_vectored(
        self: Pin<&mut Self>,
        context: &mut Context<'_>,
        slices: &[IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.get_mut().stream).poll_write_vectored(context, slices)
    }
}
