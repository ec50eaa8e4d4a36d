//! The body of a request while it arrives on a caller's connection.

use std::{
    pin::Pin,
    rc::Rc,
    task::{Context, Poll, ready},
};

use bytes::Bytes;
use hyper::body::{Body, Frame, Incoming, SizeHint};
use kumquatquay_core::routed::ConnectionStage;

use super::caller_connection::CallerConnection;

/// Most bytes that may wait in a socket while a body arrives: what a caller some milliseconds away sends
/// until it learns that they were read.
const MAX_WINDOW_BYTES: usize = 256 * 1024;

/// The same while a body arrives whose length isn't known.
const UNKNOWN_WINDOW_BYTES: usize = 64 * 1024;

/// The body of a request that arrives on a caller's connection.
///
/// While it arrives, the socket has a larger receive buffer if there is memory for one.
pub(crate) struct ReceivedBody {
    incoming: Incoming,
    connection: Rc<CallerConnection>,
}

impl ReceivedBody {
    pub(crate) fn new(incoming: Incoming, connection: &Rc<CallerConnection>) -> Self {
        let stage = if incoming.is_end_stream() {
            ConnectionStage::Answering
        } else {
            ConnectionStage::ReceivingBody
        };
        connection.enter(stage);
        let window_bytes = incoming
            .size_hint()
            .exact()
            .map_or(UNKNOWN_WINDOW_BYTES, |bytes| {
                usize::try_from(bytes).unwrap_or(usize::MAX)
            });
        connection.widen_receive_buffer(window_bytes.min(MAX_WINDOW_BYTES));
        Self {
            incoming,
            connection: Rc::clone(connection),
        }
    }
}

impl Drop for ReceivedBody {
    fn drop(&mut self) {
        self.connection.narrow_receive_buffer();
    }
}

impl Body for ReceivedBody {
    type Data = Bytes;
    type Error = hyper::Error;

    fn poll_frame(
        self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, hyper::Error>>> {
        let body = self.get_mut();
        let frame = ready!(Pin::new(&mut body.incoming).poll_frame(context));
        if frame.is_none() {
            body.connection.enter(ConnectionStage::Answering);
            body.connection.narrow_receive_buffer();
        }
        Poll::Ready(frame)
    }

    fn is_end_stream(&self) -> bool {
        self.incoming.is_end_stream()
    }

    fn size_hint(&self) -> SizeHint {
        self.incoming.size_hint()
    }
}
