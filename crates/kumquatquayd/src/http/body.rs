//! Bodies on their way through a node.

use std::{
    pin::Pin,
    task::{Context, Poll},
    time::Duration,
};

use bytes::{Bytes, BytesMut};
use derive_more::{Display, Error, From};
use http::StatusCode;
use http_body::{Body, Frame, SizeHint};
use http_body_util::{BodyExt, Full, combinators::UnsyncBoxBody};
use hyper::body::Incoming;
use tokio::time::{Instant, Sleep};

/// Any body that this process sends.
pub(crate) type RelayBody = UnsyncBoxBody<Bytes, BodyError>;

/// Why a body broke off; the reader of the body sees a broken connection.
#[derive(Debug, Display, Error, From)]
pub(crate) enum BodyError {
    /// It is longer than the node lets pass.
    #[display("the body is longer than the node's limit")]
    TooLong,
    /// The sender paused for too long.
    #[display("no byte of the body came for {} s", PAUSE_LIMIT.as_secs())]
    TooSlow,
    /// The sender broke off.
    #[display("the body broke off: {_0}")]
    Broken(hyper::Error),
}

/// The longest body that is held to be sent again on a retry, in bytes.
const REPLAY_LIMIT_BYTES: usize = 64 * 1024;

/// How long a sender may pause within a body.
const PAUSE_LIMIT: Duration = Duration::from_secs(20);

/// A request's body: held whole if it is short, else streamed once.
#[derive(Debug)]
pub(crate) enum RequestBody {
    /// The whole body; can be sent again.
    Whole(Bytes),
    /// The beginning and the rest; can be sent once.
    Streamed {
        /// What was read before the body proved long.
        beginning: Bytes,
        /// What follows.
        rest: Incoming,
    },
    /// A streamed body that was sent.
    Spent,
}

/// Why a request's body was not taken.
#[derive(Debug, Display, Error, From)]
pub(crate) enum RequestBodyError {
    /// It is longer than the listener's limit.
    #[display("the body is longer than {limit_bytes} bytes")]
    #[from(skip)]
    TooLong {
        /// The limit.
        limit_bytes: u64,
    },
    /// The sender paused for too long.
    #[display("no byte of the body came for {} s", PAUSE_LIMIT.as_secs())]
    TooSlow,
    /// The sender broke off.
    #[display("the body broke off: {_0}")]
    Broken(hyper::Error),
}

impl RequestBodyError {
    /// The HTTP status for the sender.
    pub(crate) fn status(&self) -> StatusCode {
        match self {
            Self::TooLong { .. } => StatusCode::PAYLOAD_TOO_LARGE,
            Self::TooSlow => StatusCode::REQUEST_TIMEOUT,
            Self::Broken(_) => StatusCode::BAD_REQUEST,
        }
    }
}

impl RequestBody {
    /// Reads a body as far as it is held.
    pub(crate) async fn read(
        mut body: Incoming,
        limit_bytes: u64,
    ) -> Result<Self, RequestBodyError> {
        if body.size_hint().lower() > limit_bytes {
            return Err(RequestBodyError::TooLong { limit_bytes });
        }
        let mut beginning = BytesMut::new();
        while beginning.len() <= REPLAY_LIMIT_BYTES {
            let frame = tokio::time::timeout(PAUSE_LIMIT, body.frame()).await;
            let Some(frame) = frame.map_err(|_| RequestBodyError::TooSlow)? else {
                return Ok(Self::Whole(beginning.freeze()));
            };
            if let Ok(data) = frame?.into_data() {
                beginning.extend_from_slice(&data);
            }
        }
        Ok(Self::Streamed {
            beginning: beginning.freeze(),
            rest: body,
        })
    }

    /// The whole body, if it is held.
    pub(crate) fn whole(&self) -> Option<&Bytes> {
        match self {
            Self::Whole(bytes) => Some(bytes),
            Self::Streamed { .. } | Self::Spent => None,
        }
    }

    /// The body for one attempt; `None` if it was streamed before.
    pub(crate) fn take(&mut self, limit_bytes: u64) -> Option<RelayBody> {
        if let Self::Whole(bytes) = self {
            return Some(whole(bytes.clone()));
        }
        match std::mem::replace(self, Self::Spent) {
            Self::Streamed { beginning, rest } => Some(streamed(beginning, rest, limit_bytes)),
            Self::Whole(_) | Self::Spent => None,
        }
    }
}

/// A body that is held whole.
pub(crate) fn whole(bytes: Bytes) -> RelayBody {
    Full::new(bytes)
        .map_err(|never| match never {})
        .boxed_unsync()
}

fn streamed(beginning: Bytes, rest: Incoming, limit_bytes: u64) -> RelayBody {
    let body = Streamed {
        beginning: Some(beginning),
        rest,
        left_bytes: limit_bytes,
        pause: Box::pin(tokio::time::sleep(PAUSE_LIMIT)),
    };
    body.boxed_unsync()
}

/// A body whose beginning was read before.
struct Streamed {
    beginning: Option<Bytes>,
    rest: Incoming,
    left_bytes: u64,
    /// Ends when the sender has paused for too long; a sender that stops in the
    /// middle would otherwise hold the backend server's slot for ever.
    pause: Pin<Box<Sleep>>,
}

impl Body for Streamed {
    type Data = Bytes;
    type Error = BodyError;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, BodyError>>> {
        if let Some(beginning) = self.beginning.take() {
            return Poll::Ready(Some(Ok(Frame::data(beginning))));
        }
        let frame = Pin::new(&mut self.rest).poll_frame(context);
        if frame.is_pending() && self.pause.as_mut().poll(context).is_ready() {
            return Poll::Ready(Some(Err(BodyError::TooSlow)));
        }
        if let Poll::Ready(Some(Ok(frame))) = &frame {
            self.pause.as_mut().reset(Instant::now() + PAUSE_LIMIT);
            let length = frame.data_ref().map_or(0, |data| data.len() as u64);
            // A sender that announced no length may go on for ever. Past the limit
            // the body fails; ending it would make a short body look whole.
            match self.left_bytes.checked_sub(length) {
                Some(left) => self.left_bytes = left,
                None => return Poll::Ready(Some(Err(BodyError::TooLong))),
            }
        }
        frame.map_err(BodyError::from)
    }

    fn is_end_stream(&self) -> bool {
        self.beginning.is_none() && self.rest.is_end_stream()
    }

    fn size_hint(&self) -> SizeHint {
        let read = self
            .beginning
            .as_ref()
            .map_or(0, |bytes| bytes.len() as u64);
        let rest = self.rest.size_hint();
        match rest.exact() {
            Some(exact) => SizeHint::with_exact(read + exact),
            None => SizeHint::default(),
        }
    }
}

/// A body that is passed on as it comes.
pub(crate) fn relayed(body: Incoming) -> RelayBody {
    body.map_err(BodyError::from).boxed_unsync()
}

/// A body that tells, once, that it ended, broke off or was given up.
pub(crate) fn tracked(body: Incoming, on_end: impl FnOnce() + Send + 'static) -> RelayBody {
    let tracked = Tracked {
        body,
        on_end: Some(Box::new(on_end)),
    };
    tracked.boxed_unsync()
}

struct Tracked {
    body: Incoming,
    on_end: Option<Box<dyn FnOnce() + Send>>,
}

impl Tracked {
    fn end(&mut self) {
        if let Some(on_end) = self.on_end.take() {
            on_end();
        }
    }
}

impl Body for Tracked {
    type Data = Bytes;
    type Error = BodyError;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, BodyError>>> {
        let frame = Pin::new(&mut self.body).poll_frame(context);
        match &frame {
            Poll::Ready(None | Some(Err(_))) => self.end(),
            Poll::Ready(Some(Ok(_))) if self.body.is_end_stream() => self.end(),
            Poll::Ready(Some(Ok(_))) | Poll::Pending => {}
        }
        frame.map_err(BodyError::from)
    }

    fn is_end_stream(&self) -> bool {
        self.body.is_end_stream()
    }

    fn size_hint(&self) -> SizeHint {
        self.body.size_hint()
    }
}

impl Drop for Tracked {
    fn drop(&mut self) {
        self.end();
    }
}
