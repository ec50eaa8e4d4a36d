//! Reads bodies of requests and answers as a whole, within the memory for them.

use std::pin::{Pin, pin};

use bytes::Bytes;
use derive_more::{Display, Error};
use http_body::Body;
use http_body_util::BodyExt;
use kumquatquay_core::routed::BodyKind;

use super::{
    body_buffer::BodyBuffer,
    node_memory::{BodyLease, NodeMemory},
};

/// Size up to which a body isn't counted. Most are shorter, and the connections that they come on have
/// larger buffers.
const UNCOUNTED_BYTES: usize = 4 * 1024;

/// Largest size of the parts in which a body of unknown length is held until it is whole.
const PART_BYTES: usize = 256 * 1024;

/// Why a body wasn't read.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Display, Error)]
pub(crate) enum BodyReadError {
    /// It is longer than its limit.
    #[display("the body is longer than its limit")]
    TooLong,
    /// There is no memory for it.
    #[display("there is no memory for the body")]
    NoMemory,
    /// Its sender broke it off, or it is invalid.
    #[display("the body is broken")]
    Broken,
}

/// Reads a body of at most `limit_bytes`. Memory is taken before its bytes are read.
///
/// Each piece is copied out of the buffer of its connection: a body in pieces of a byte each would
/// otherwise keep a buffer for each of them.
pub(crate) async fn read_whole_body<B>(
    body: B,
    kind: BodyKind,
    limit_bytes: usize,
    memory: &NodeMemory,
) -> Result<Bytes, BodyReadError>
where
    B: Body<Data = Bytes>,
{
    let known_bytes = body.size_hint().exact();
    let known_bytes = known_bytes.map(|bytes| usize::try_from(bytes).unwrap_or(usize::MAX));
    let mut reader = BodyReader {
        memory,
        kind,
        limit_bytes,
        lease: None,
        parts: Vec::new(),
        length_bytes: 0,
    };
    if let Some(known_bytes) = known_bytes {
        reader.reserve(known_bytes)?;
    }
    let mut body = pin!(body);
    while let Some(piece) = reader.next_piece(body.as_mut()).await? {
        reader.append(&piece)?;
    }
    reader.finish()
}

struct BodyReader<'a> {
    memory: &'a NodeMemory,
    kind: BodyKind,
    limit_bytes: usize,
    /// Counts the body, unless it is short.
    lease: Option<BodyLease>,
    /// What was read. All parts but the last one are full.
    parts: Vec<BodyBuffer>,
    length_bytes: usize,
}

impl BodyReader<'_> {
    /// Takes the memory for a body of known length.
    fn reserve(&mut self, bytes: usize) -> Result<(), BodyReadError> {
        if bytes > self.limit_bytes {
            return Err(BodyReadError::TooLong);
        }
        if bytes > 0 {
            self.add_part(bytes)?;
        }
        Ok(())
    }

    /// Waits for the next piece of the body; `None` at its end.
    async fn next_piece<B>(&self, mut body: Pin<&mut B>) -> Result<Option<Bytes>, BodyReadError>
    where
        B: Body<Data = Bytes>,
    {
        loop {
            let frame = tokio::select! {
                biased;
                () = self.given_up() => return Err(BodyReadError::NoMemory),
                frame = body.frame() => frame,
            };
            match frame.transpose().map_err(|_| BodyReadError::Broken)? {
                None => return Ok(None),
                Some(frame) => match frame.into_data() {
                    Ok(piece) => return Ok(Some(piece)),
                    Err(_trailers) => {}
                },
            }
        }
    }

    async fn given_up(&self) {
        match &self.lease {
            Some(lease) => lease.given_up().await,
            None => std::future::pending().await,
        }
    }

    fn append(&mut self, mut piece: &[u8]) -> Result<(), BodyReadError> {
        if piece.len() > self.limit_bytes - self.length_bytes {
            return Err(BodyReadError::TooLong);
        }
        while !piece.is_empty() {
            let room_bytes = self.parts.last().map_or(0, BodyBuffer::room_bytes);
            if room_bytes == 0 {
                // Short bodies get short parts.
                let part_bytes = self.length_bytes.max(piece.len());
                self.add_part(part_bytes.min(PART_BYTES))?;
                continue;
            }
            let (now, later) = piece.split_at(room_bytes.min(piece.len()));
            if let Some(part) = self.parts.last_mut() {
                part.append(now);
            }
            self.length_bytes += now.len();
            piece = later;
        }
        Ok(())
    }

    /// Adds a part, once its memory is counted.
    fn add_part(&mut self, bytes: usize) -> Result<(), BodyReadError> {
        let is_short = self.lease.is_none() && self.length_bytes + bytes <= UNCOUNTED_BYTES;
        if !is_short {
            let lease = self
                .lease
                .get_or_insert_with(|| self.memory.lease(self.kind));
            if !lease.grow(bytes) {
                return Err(BodyReadError::NoMemory);
            }
        }
        self.parts.push(BodyBuffer::new(bytes));
        Ok(())
    }

    fn finish(mut self) -> Result<Bytes, BodyReadError> {
        let body = if self.parts.len() == 1 {
            self.parts.swap_remove(0)
        } else {
            self.join()?
        };
        Ok(match self.lease.take() {
            Some(lease) => lease.into_bytes(body),
            None => Bytes::from_owner(body),
        })
    }

    /// Copies the parts into one buffer. Each part ends once it is copied, so the copy takes the memory of one
    /// part beside theirs.
    fn join(&mut self) -> Result<BodyBuffer, BodyReadError> {
        let copied_part = self.memory.lease(self.kind);
        let copied_bytes = self.length_bytes.min(PART_BYTES);
        if self.lease.is_some() && !copied_part.grow(copied_bytes) {
            return Err(BodyReadError::NoMemory);
        }
        let mut body = BodyBuffer::new(self.length_bytes);
        for part in self.parts.drain(..) {
            body.append(part.as_ref());
        }
        Ok(body)
    }
}
