//! Reading and writing of frames on the connection of a link.

use std::{
    cell::{Cell, RefCell},
    future::poll_fn,
    io,
    pin::Pin,
    task::{Context, Poll, ready},
};

use kumquatquay_wire::{
    WireError,
    routed::{Frame, FrameHead, FrameReader, Payload, encode_frame},
};
use tokio::{
    io::{AsyncRead, AsyncWriteExt, ReadBuf},
    net::tcp::{OwnedReadHalf, OwnedWriteHalf},
    sync::Notify,
};

use super::buffer_pool::{return_buffer, take_buffer, with_read_buffer};

/// Limit for queued bytes towards a peer that doesn't read; beyond it no call is queued.
const UNWRITTEN_LIMIT_BYTES: usize = 16 * 1024 * 1024;

/// Limit for queued bytes of answers towards a peer that doesn't read, besides those being
/// written; beyond it no call of the peer is run.
const UNWRITTEN_ANSWERS_LIMIT_BYTES: usize = 1024 * 1024;

/// Queue of frames that are to be written to a connection.
#[derive(Debug, Default)]
pub(crate) struct FrameWriter {
    unwritten: RefCell<Vec<u8>>,
    wake: Notify,
    queued_bytes: Cell<u64>,
    written_bytes: Cell<u64>,
    is_closed: Cell<bool>,
}

impl FrameWriter {
    /// Queues a frame without payload; returns its end as a position in the byte stream.
    pub(crate) fn push(&self, head: &FrameHead<'_>) -> u64 {
        self.push_with(head, &Payload::default())
    }

    /// Queues a frame; returns its end as a position in the byte stream.
    pub(crate) fn push_with(&self, head: &FrameHead<'_>, payload: &Payload) -> u64 {
        let mut unwritten = self.unwritten.borrow_mut();
        if unwritten.capacity() == 0 {
            *unwritten = take_buffer();
        }
        let before = unwritten.len();
        encode_frame(head, payload, &mut unwritten);
        let added = (unwritten.len() - before) as u64;
        self.queued_bytes.set(self.queued_bytes.get() + added);
        self.wake.notify_one();
        self.queued_bytes.get()
    }

    /// Whether there is room for another frame.
    pub(super) fn has_room(&self) -> bool {
        !self.is_closed.get() && self.unwritten.borrow().len() < UNWRITTEN_LIMIT_BYTES
    }

    /// Whether calls of the peer may run: their answers have to wait behind the queued bytes.
    pub(super) fn has_room_for_answers(&self) -> bool {
        self.unwritten.borrow().len() < UNWRITTEN_ANSWERS_LIMIT_BYTES
    }

    /// Whether the byte stream has been written up to a position.
    pub(super) fn has_written_to(&self, end_bytes: u64) -> bool {
        self.written_bytes.get() >= end_bytes
    }

    /// Refuses further frames: [`has_room`](Self::has_room) is false from now on.
    pub(super) fn close(&self) {
        self.is_closed.set(true);
    }

    /// Writes queued frames until the connection fails; frames queued together go into one
    /// write.
    pub(crate) async fn run(&self, mut connection: OwnedWriteHalf) -> io::Result<()> {
        loop {
            let chunk = std::mem::take(&mut *self.unwritten.borrow_mut());
            if chunk.is_empty() {
                self.wake.notified().await;
                continue;
            }
            let mut rest = chunk.as_slice();
            while !rest.is_empty() {
                let written = connection.write(rest).await?;
                if written == 0 {
                    return Err(io::ErrorKind::WriteZero.into());
                }
                self.written_bytes
                    .set(self.written_bytes.get() + written as u64);
                rest = &rest[written..];
            }
            return_buffer(chunk);
        }
    }
}

/// Reads frames and passes each to `on_frame`, until the connection ends or fails.
pub(crate) async fn read_frames(
    mut connection: OwnedReadHalf,
    mut on_frame: impl FnMut(Frame<'_>) -> Result<(), WireError>,
) -> io::Result<()> {
    let mut reader = FrameReader::default();
    let mut read =
        |context: &mut Context<'_>| read_some(context, &mut connection, &mut reader, &mut on_frame);
    while poll_fn(&mut read).await? > 0 {}
    Ok(())
}

/// Reads available bytes and passes the completed frames to `on_frame`; returns the number of bytes
/// read.
fn read_some(
    context: &mut Context<'_>,
    connection: &mut OwnedReadHalf,
    reader: &mut FrameReader,
    on_frame: impl FnMut(Frame<'_>) -> Result<(), WireError>,
) -> Poll<io::Result<usize>> {
    with_read_buffer(|buffer| {
        let mut buffer = ReadBuf::new(buffer);
        ready!(Pin::new(connection).poll_read(context, &mut buffer))?;
        let bytes = buffer.filled();
        reader.read(bytes, on_frame).map_err(io::Error::other)?;
        Poll::Ready(Ok(bytes.len()))
    })
}
