//! The bounds on what is read from a connection, with the HTTP library on it.

use std::{
    cell::Cell,
    io,
    pin::{Pin, pin},
    rc::Rc,
    task::{Context, Poll, Waker},
};

use bytes::Bytes;
use http::Request;
use http_body_util::{BodyExt, Empty};
use hyper::client::conn::http1;
use hyper_util::rt::TokioIo;
use kumquatquayd::routed::{BoundedStream, ReadMeter};
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};

/// Limit for the bytes of a message beside its body.
const OVERHEAD_LIMIT_BYTES: usize = 100_000;

/// Size of the read buffer of the HTTP library.
const BUFFER_BYTES: usize = 64 * 1024;

/// Bytes that may be read in one poll: those of a turn, and one read of a whole buffer.
const POLL_LIMIT_BYTES: usize = 100_000;

/// A peer that always has more bytes.
struct Endless {
    start: &'static [u8],
    repeated: &'static [u8],
    place: usize,
    read_bytes: Rc<Cell<usize>>,
}

impl AsyncRead for Endless {
    fn poll_read(
        self: Pin<&mut Self>,
        _context: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let peer = self.get_mut();
        let read_bytes = peer.read_bytes.get() + buffer.remaining();
        peer.read_bytes.set(read_bytes);
        while buffer.remaining() > 0 {
            let byte = match peer.start.split_first() {
                Some((byte, rest)) => {
                    peer.start = rest;
                    *byte
                }
                None => {
                    peer.place += 1;
                    peer.repeated[(peer.place - 1) % peer.repeated.len()]
                }
            };
            buffer.put_slice(&[byte]);
        }
        Poll::Ready(Ok(()))
    }
}

impl AsyncWrite for Endless {
    fn poll_write(
        self: Pin<&mut Self>,
        _context: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        Poll::Ready(Ok(bytes.len()))
    }

    fn poll_flush(self: Pin<&mut Self>, _context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Poll::Ready(Ok(()))
    }

    fn poll_shutdown(self: Pin<&mut Self>, _context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Poll::Ready(Ok(()))
    }
}

/// Sends a request to such a peer, and polls the connection until it ends.
fn assert_polls_are_bounded(start: &'static str, repeated: &'static str) {
    let read_bytes = Rc::new(Cell::new(0));
    let peer = Endless {
        start: start.as_bytes(),
        repeated: repeated.as_bytes(),
        place: 0,
        read_bytes: Rc::clone(&read_bytes),
    };
    let meter = ReadMeter::with_overhead_limit(OVERHEAD_LIMIT_BYTES);
    let stream = TokioIo::new(BoundedStream::new(peer, Rc::clone(&meter)));
    let mut context = Context::from_waker(Waker::noop());
    let mut builder = http1::Builder::new();
    builder.max_buf_size(BUFFER_BYTES);
    let handshake = pin!(builder.handshake::<_, Empty<Bytes>>(stream));
    let Poll::Ready(Ok((mut sender, connection))) = handshake.poll(&mut context) else {
        panic!("a handshake waits for nothing");
    };
    let request = Request::get("/").body(Empty::new()).unwrap();
    let mut answer = pin!(async {
        let answer = sender.send_request(request).await?;
        answer.into_body().collect().await
    });
    let mut driven = pin!(async { meter.drive(pin!(connection)).await });
    loop {
        if let Poll::Ready(answer) = answer.as_mut().poll(&mut context) {
            assert!(answer.is_err());
            return;
        }
        let before_bytes = read_bytes.get();
        let _ = driven.as_mut().poll(&mut context);
        let total_bytes = read_bytes.get();
        let polled_bytes = total_bytes - before_bytes;
        assert!(polled_bytes <= POLL_LIMIT_BYTES, "{polled_bytes} bytes");
        assert!(
            total_bytes <= OVERHEAD_LIMIT_BYTES + BUFFER_BYTES,
            "{total_bytes} bytes"
        );
    }
}

macro_rules! bounded {
    ($($(#[$fault:meta])* $name:ident: $start:expr, $repeated:expr;)*) => {
        $($(#[$fault])* #[test] fn $name() { assert_polls_are_bounded($start, $repeated); })*
    };
}

bounded! {
    /// Guards against a node that stands still while it reads interim answers without end.
    interim_answers: "", "HTTP/1.1 100 Continue\r\n\r\n";
    /// Guards against a node that stands still while it reads the size of a chunk, which has no end.
    a_chunk_size: "HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n", "0";
    header_lines: "HTTP/1.1 200 OK\r\n", "h: v\r\n";
    one_header: "HTTP/1.1 200 OK\r\nh: ", "v";
}
