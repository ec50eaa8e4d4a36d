//! Reading and writing of frames on the connection of a link.

use std::{
    cell::{Cell, RefCell},
    collections::VecDeque,
    future::poll_fn,
    io,
    pin::Pin,
    task::{Context, Poll, ready},
};

use bytes::Bytes;
use kumquatquay_core::routed::BodyKind;
use kumquatquay_wire::{
    WireError,
    routed::{Frame, FrameHead, FrameMemory, FrameReader, Payload, encode_frame_start},
};
use tokio::{
    io::{AsyncRead, AsyncWriteExt, ReadBuf},
    net::tcp::{OwnedReadHalf, OwnedWriteHalf},
    sync::Notify,
};

use super::{
    buffer_pool::{return_buffer, take_buffer, with_read_buffer},
    node_memory::NodeMemory,
};

/// Limit for queued bytes towards a peer that doesn't read; beyond it no call is queued.
const UNWRITTEN_LIMIT_BYTES: usize = 16 * 1024 * 1024;

/// Limit for queued bytes of answers towards a peer that doesn't read, besides those being
/// written; beyond it no call of the peer is run.
const UNWRITTEN_ANSWERS_LIMIT_BYTES: usize = 1024 * 1024;

/// Size from which on a body isn't copied into the queue.
const SHARED_BODY_BYTES: usize = 16 * 1024;

/// Queue of frames that are to be written to a connection.
#[derive(Debug, Default)]
pub(crate) struct FrameWriter {
    unwritten: RefCell<Unwritten>,
    wake: Notify,
    queued_bytes: Cell<u64>,
    written_bytes: Cell<u64>,
    is_closed: Cell<bool>,
}

/// Bytes that are to be written.
#[derive(Debug, Default)]
struct Unwritten {
    /// What comes first.
    parts: VecDeque<UnwrittenPart>,
    /// Frames behind it.
    last: Vec<u8>,
    bytes: usize,
}

#[derive(Debug)]
enum UnwrittenPart {
    /// Frames, the last of them without its body.
    Frames(Vec<u8>),
    /// The body of the last frame, in the memory in which it was received.
    Body(Bytes),
}

impl Unwritten {
    /// Adds a frame; returns its size.
    fn push(&mut self, head: &FrameHead<'_>, payload: &Payload) -> usize {
        if self.last.capacity() == 0 {
            self.last = take_buffer();
        }
        let before_bytes = self.last.len();
        encode_frame_start(head, payload, &mut self.last);
        let frame_bytes = self.last.len() - before_bytes + payload.body.len();
        if payload.body.len() < SHARED_BODY_BYTES {
            self.last.extend_from_slice(&payload.body);
        } else {
            let frames = std::mem::take(&mut self.last);
            self.parts.push_back(UnwrittenPart::Frames(frames));
            let body = payload.body.clone();
            self.parts.push_back(UnwrittenPart::Body(body));
        }
        self.bytes += frame_bytes;
        frame_bytes
    }

    /// Takes what is to be written next.
    fn pop(&mut self) -> Option<UnwrittenPart> {
        let part = self.parts.pop_front().or_else(|| {
            let frames = std::mem::take(&mut self.last);
            (!frames.is_empty()).then_some(UnwrittenPart::Frames(frames))
        })?;
        self.bytes -= part.as_bytes().len();
        Some(part)
    }
}

impl UnwrittenPart {
    fn as_bytes(&self) -> &[u8] {
        match self {
            Self::Frames(frames) => frames,
            Self::Body(body) => body,
        }
    }
}

impl FrameWriter {
    /// Queues a frame without payload; returns its end as a position in the byte stream.
    pub(crate) fn push(&self, head: &FrameHead<'_>) -> u64 {
        self.push_with(head, &Payload::default())
    }

    /// Queues a frame; returns its end as a position in the byte stream.
    pub(crate) fn push_with(&self, head: &FrameHead<'_>, payload: &Payload) -> u64 {
        let added_bytes = self.unwritten.borrow_mut().push(head, payload) as u64;
        self.queued_bytes.set(self.queued_bytes.get() + added_bytes);
        self.wake.notify_one();
        self.queued_bytes.get()
    }

    /// Whether there is room for another frame.
    pub(super) fn has_room(&self) -> bool {
        !self.is_closed.get() && self.unwritten.borrow().bytes < UNWRITTEN_LIMIT_BYTES
    }

    /// Whether calls of the peer may run: their answers have to wait behind the queued bytes.
    pub(super) fn has_room_for_answers(&self) -> bool {
        self.unwritten.borrow().bytes < UNWRITTEN_ANSWERS_LIMIT_BYTES
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
            let next = self.unwritten.borrow_mut().pop();
            let Some(part) = next else {
                self.wake.notified().await;
                continue;
            };
            let mut rest = part.as_bytes();
            while !rest.is_empty() {
                let written = connection.write(rest).await?;
                if written == 0 {
                    return Err(io::ErrorKind::WriteZero.into());
                }
                self.written_bytes
                    .set(self.written_bytes.get() + written as u64);
                rest = &rest[written..];
            }
            if let UnwrittenPart::Frames(frames) = part {
                return_buffer(frames);
            }
        }
    }
}

/// Reads frames and passes each to `on_frame`, until the connection ends or fails. Large ones take memory
/// for bodies of this kind; those for which there is none come without their bodies.
pub(crate) async fn read_frames(
    mut connection: OwnedReadHalf,
    kind: BodyKind,
    memory: &NodeMemory,
    mut on_frame: impl FnMut(Frame<'_>) -> Result<(), WireError>,
) -> io::Result<()> {
    let mut reader = FrameReader::default();
    let take_memory = |frame_bytes| memory_for_frame(memory, kind, frame_bytes);
    let mut read = |context: &mut Context<'_>| {
        let mut read_bytes = |bytes: &[u8]| reader.read(bytes, take_memory, &mut on_frame);
        read_some(context, &mut connection, &mut read_bytes)
    };
    while poll_fn(&mut read).await? > 0 {}
    Ok(())
}

/// Takes memory for a large frame, if there is any.
fn memory_for_frame(
    memory: &NodeMemory,
    kind: BodyKind,
    frame_bytes: usize,
) -> Option<FrameMemory> {
    let lease = memory.lease_whole(kind, frame_bytes)?;
    Some(Box::new(move |bytes| lease.into_bytes(bytes)))
}

/// Reads available bytes and passes them on; returns their number.
fn read_some(
    context: &mut Context<'_>,
    connection: &mut OwnedReadHalf,
    on_bytes: &mut impl FnMut(&[u8]) -> Result<(), WireError>,
) -> Poll<io::Result<usize>> {
    with_read_buffer(|buffer| {
        let mut buffer = ReadBuf::new(buffer);
        ready!(Pin::new(connection).poll_read(context, &mut buffer))?;
        let bytes = buffer.filled();
        on_bytes(bytes).map_err(io::Error::other)?;
        Poll::Ready(Ok(bytes.len()))
    })
}
