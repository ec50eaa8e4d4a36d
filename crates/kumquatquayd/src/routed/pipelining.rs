//! Serves callers' connections, with pipelining of requests.

use std::{
    convert::Infallible,
    future::poll_fn,
    io::{self, IoSlice},
    mem::MaybeUninit,
    pin::Pin,
    rc::Rc,
    task::{Context, Poll},
    time::Duration,
};

use bytes::Bytes;
use http::{HeaderValue, Request, Response, StatusCode, header};
use http_body_util::{BodyExt, Full};
use hyper::{
    body::Incoming,
    rt::{Read, ReadBufCursor, Write},
    service::service_fn,
};
use kumquatquay_core::routed::ConnectionStage;
use rustix::net::sockopt::set_socket_recv_buffer_size;
use tokio::{
    io::{AsyncRead, AsyncWrite, ReadBuf},
    net::TcpStream,
    time::{Sleep, sleep, timeout},
};

use super::{
    bounded_read::{BoundedStream, ReadMeter},
    buffer_pool::with_read_buffer,
    caller_connection::{CallerConnection, ReadAction, RequestSource},
    caller_slots::CallerSlot,
    entry::{CallerBody, serve_entry},
    http_io::{BufferedBody, RECEIVE_BUFFER_BYTES, http1_server, local_answer},
    node::{RoutedNode, StopPhase},
    received_body::ReceivedBody,
};

/// Size of a read from a socket.
const READ_CHUNK_BYTES: usize = 8 * 1024;

/// How long bytes of a caller are discarded after this node has closed the connection. Closing
/// a socket with unread bytes resets the connection, and the last answer could be lost.
const LINGER_TIMEOUT: Duration = Duration::from_secs(1);

/// Pause after each read of discarded bytes.
const LINGER_PAUSE: Duration = Duration::from_millis(5);

/// `Retry-After` of a refusal for too many unread answers.
const UNREAD_RETRY_AFTER: Duration = Duration::from_secs(1);

/// Longest time for which a caller may accept no byte of an answer.
const WRITE_TIMEOUT: Duration = Duration::from_secs(15);

/// Serves one connection of a caller until it ends or the node stops.
pub(crate) async fn serve_caller(node: Rc<RoutedNode>, stream: TcpStream, slot: CallerSlot) {
    let slot = Rc::new(slot);
    let caller = stream.peer_addr().ok();
    let caller_connection = CallerConnection::new(Rc::clone(&node), caller, Rc::clone(&slot));
    let answering = Rc::clone(&caller_connection);
    let service = service_fn(move |request| {
        // Called before the future is polled: the HTTP library reads more bytes before it waits
        // for the answer.
        let turn = answering.on_head_read(&request);
        let answer = answer(Rc::clone(&answering), turn, request);
        // Boxed: the HTTP library has room for it on each connection, also on those without a request.
        Box::pin(async { Ok::<_, Infallible>(answer.await) })
    });
    let meter = Rc::<ReadMeter>::default();
    let io = CallerIo {
        stream: BoundedStream::new(stream, Rc::clone(&meter)),
        caller_connection: Rc::clone(&caller_connection),
        write_timer: None,
    };
    let mut connection =
        http1_server(caller_connection.head_limit_bytes()).serve_connection(io, service);
    // A connection that was accepted while the node closes connections gets a refusal. If it
    // was just closed, its caller wouldn't learn when to retry.
    let is_late = node.stop_phase() >= StopPhase::Closing;
    let closing = async {
        if is_late {
            std::future::pending::<()>().await;
        }
        node.stop_reached(StopPhase::Closing).await;
    };
    let mut is_evicted = false;
    tokio::select! {
        _ = meter.drive(Pin::new(&mut connection)) => {}
        () = slot.evicted() => is_evicted = true,
        () = closing => {
            // Otherwise the connection closes after the last answer to what was read.
            if caller_connection.may_close() {
                Pin::new(&mut connection).graceful_shutdown();
            }
            // Errors on a caller's connection concern only the caller.
            tokio::select! {
                _ = meter.drive(Pin::new(&mut connection)) => {}
                () = slot.evicted() => is_evicted = true,
            }
        }
    }
    let stream = connection.into_parts().io.stream.into_inner();
    caller_connection.end();
    if is_evicted || caller_connection.caller_left() {
        return;
    }
    slot.enter(ConnectionStage::Closing);
    set_receive_buffer(&stream, RECEIVE_BUFFER_BYTES);
    tokio::select! {
        () = linger(stream, caller_connection.has_unread()) => {}
        () = slot.evicted() => {}
    }
}

/// Answers a request whose head the HTTP library has read.
async fn answer(
    caller_connection: Rc<CallerConnection>,
    turn: RequestSource,
    mut request: Request<Incoming>,
) -> Response<BufferedBody> {
    if let Some(caller) = caller_connection.caller() {
        request.extensions_mut().insert(caller);
    }
    let mut answer = match turn {
        RequestSource::Streamed | RequestSource::Buffered
            if !caller_connection.node.held_answers.get().has_room() =>
        {
            refuse_unread(&caller_connection.node)
        }
        RequestSource::Streamed => {
            serve_entry(
                Rc::clone(&caller_connection.node),
                request.map(|body| CallerBody::Left(ReceivedBody::new(body, &caller_connection))),
            )
            .await
        }
        RequestSource::Buffered => match read_body(request).await {
            Ok(request) => {
                let request = request.map(|body| CallerBody::Right(Full::new(body)));
                serve_entry(Rc::clone(&caller_connection.node), request).await
            }
            Err(answer) => answer,
        },
        RequestSource::Started(started) => match read_body(request).await {
            Ok(request) => match caller_connection.take_started(started, request).await {
                Ok(answer) => answer,
                Err(request) => serve_entry(Rc::clone(&caller_connection.node), request).await,
            },
            Err(answer) => answer,
        },
    };
    if caller_connection.on_answered(&answer) {
        let close = HeaderValue::from_static("close");
        answer.headers_mut().insert(header::CONNECTION, close);
    }
    if caller_connection.has_unread() {
        // The HTTP library found no bytes to read and doesn't try again before it is woken.
        poll_fn(|context| {
            context.waker().wake_by_ref();
            Poll::Ready(())
        })
        .await;
    }
    answer
}

/// Refuses a request because callers leave too many bytes of answers unread.
fn refuse_unread(node: &RoutedNode) -> Response<BufferedBody> {
    node.metrics.count("refused", "unread_answers");
    if node.metrics.take_log_permit(node.now()) {
        log::warn!(event = "answers_unread", held_bytes = node.held_answers.get().bytes();
            "callers leave too many answers unread; requests are refused");
    }
    let status = StatusCode::SERVICE_UNAVAILABLE;
    local_answer(status, Some(UNREAD_RETRY_AFTER), "too much is unread\n")
}

/// Reads the body of a request; on failure returns the answer for a broken body.
async fn read_body(request: Request<Incoming>) -> Result<Request<Bytes>, Response<BufferedBody>> {
    let (parts, body) = request.into_parts();
    match body.collect().await {
        Ok(body) => Ok(Request::from_parts(parts, body.to_bytes())),
        Err(_) => Err(local_answer(
            StatusCode::BAD_REQUEST,
            None,
            "the body is broken\n",
        )),
    }
}

/// Discards what a caller still sends on a closed connection, for up to [`LINGER_TIMEOUT`]. A caller who sends
/// as fast as it can is read from slowly, so that others are served meanwhile.
async fn linger(stream: TcpStream, has_unread: bool) {
    let discard = || with_read_buffer(|buffer| stream.try_read(buffer));
    let is_silent = discard().is_err_and(|error| error.kind() == io::ErrorKind::WouldBlock);
    if is_silent && !has_unread {
        return;
    }
    let discarding = async {
        while stream.readable().await.is_ok() {
            match discard() {
                Ok(0) => return,
                Ok(_) => sleep(LINGER_PAUSE).await,
                Err(error) if error.kind() == io::ErrorKind::WouldBlock => {}
                Err(_) => return,
            }
        }
    };
    let _ = timeout(LINGER_TIMEOUT, discarding).await;
}

fn set_receive_buffer(stream: &TcpStream, bytes: usize) {
    if let Err(error) = set_socket_recv_buffer_size(stream, bytes) {
        // The body comes more slowly, or more bytes of the next one wait.
        log::debug!(event = "receive_buffer"; "the receive buffer keeps its size: {error}");
    }
}

/// Socket of a caller as the HTTP library sees it: one request at a time.
struct CallerIo {
    stream: BoundedStream<TcpStream>,
    caller_connection: Rc<CallerConnection>,
    /// Runs while the caller accepts no bytes.
    write_timer: Option<Pin<Box<Sleep>>>,
}

impl CallerIo {
    /// Fails a write when the caller has accepted no bytes for too long; its answers would
    /// otherwise stay in memory forever.
    fn enforce_write_timeout(
        &mut self,
        context: &mut Context<'_>,
        written: Poll<io::Result<usize>>,
    ) -> Poll<io::Result<usize>> {
        if written.is_ready() {
            self.write_timer = None;
            return written;
        }
        let write_timer = &mut self.write_timer;
        let write_timer = write_timer.get_or_insert_with(|| Box::pin(sleep(WRITE_TIMEOUT)));
        std::task::ready!(write_timer.as_mut().poll(context));
        self.caller_connection
            .node
            .metrics
            .count("caller", "stalled");
        Poll::Ready(Err(io::ErrorKind::TimedOut.into()))
    }

    /// Resizes the receive buffer of the socket if that was asked for.
    fn resize_receive_buffer(&self) {
        if let Some(bytes) = self.caller_connection.take_receive_buffer_bytes() {
            set_receive_buffer(self.stream.get_ref(), bytes);
        }
    }

    /// Buffers up to `limit_bytes` from the socket; returns how many were read.
    fn poll_buffer(
        &mut self,
        context: &mut Context<'_>,
        limit_bytes: usize,
    ) -> Poll<io::Result<usize>> {
        let mut chunk = [const { MaybeUninit::uninit() }; READ_CHUNK_BYTES];
        let room = &mut chunk[..limit_bytes.min(READ_CHUNK_BYTES)];
        let mut buffer = ReadBuf::uninit(room);
        std::task::ready!(Pin::new(&mut self.stream).poll_read(context, &mut buffer))?;
        self.caller_connection.on_read(buffer.filled());
        Poll::Ready(Ok(buffer.filled().len()))
    }

    /// Waits for the end of the socket's stream, unless there are bytes before it.
    fn poll_end(&mut self, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        let mut byte = [MaybeUninit::uninit()];
        let mut buffer = ReadBuf::uninit(&mut byte);
        let peeked_bytes =
            std::task::ready!(self.stream.get_ref().poll_peek(context, &mut buffer))?;
        if peeked_bytes > 0 {
            return Poll::Pending;
        }
        self.caller_connection.on_end();
        Poll::Ready(Ok(()))
    }

    /// Forwards bytes from the socket directly to the HTTP library.
    fn poll_forward_directly(
        &mut self,
        context: &mut Context<'_>,
        mut cursor: ReadBufCursor<'_>,
    ) -> Poll<io::Result<()>> {
        let mut chunk = [const { MaybeUninit::uninit() }; READ_CHUNK_BYTES];
        let room = &mut chunk[..cursor.remaining().min(READ_CHUNK_BYTES)];
        let mut buffer = ReadBuf::uninit(room);
        std::task::ready!(Pin::new(&mut self.stream).poll_read(context, &mut buffer))?;
        self.caller_connection.on_bytes(buffer.filled().len());
        if buffer.filled().is_empty() {
            self.caller_connection.on_end();
        }
        cursor.put_slice(buffer.filled());
        Poll::Ready(Ok(()))
    }
}

impl Read for CallerIo {
    fn poll_read(
        self: Pin<&mut Self>,
        context: &mut Context<'_>,
        mut cursor: ReadBufCursor<'_>,
    ) -> Poll<io::Result<()>> {
        let io = self.get_mut();
        io.resize_receive_buffer();
        loop {
            let limit_bytes = match io.caller_connection.read_action() {
                ReadAction::ForwardDirectly => return io.poll_forward_directly(context, cursor),
                ReadAction::Forward(bytes_count) => {
                    let bytes_count = bytes_count.min(cursor.remaining());
                    io.caller_connection
                        .forward(bytes_count, |bytes| cursor.put_slice(bytes));
                    return Poll::Ready(Ok(()));
                }
                ReadAction::Wait => return Poll::Pending,
                ReadAction::Close => return Poll::Ready(Err(io::ErrorKind::OutOfMemory.into())),
                ReadAction::AwaitEnd => return io.poll_end(context),
                ReadAction::Read => READ_CHUNK_BYTES,
                ReadAction::ReadAhead(room_bytes) => room_bytes,
            };
            let read_bytes = std::task::ready!(io.poll_buffer(context, limit_bytes))?;
            if read_bytes == 0 && !io.caller_connection.on_end() {
                return Poll::Ready(Ok(()));
            }
        }
    }
}

impl Write for CallerIo {
    fn poll_write(
        self: Pin<&mut Self>,
        context: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        let io = self.get_mut();
        let written = Pin::new(&mut io.stream).poll_write(context, bytes);
        io.enforce_write_timeout(context, written)
    }

    fn poll_flush(self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        let io = self.get_mut();
        std::task::ready!(Pin::new(&mut io.stream).poll_flush(context))?;
        io.caller_connection.on_written();
        Poll::Ready(Ok(()))
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
        let io = self.get_mut();
        let written = Pin::new(&mut io.stream).poll_write_vectored(context, slices);
        io.enforce_write_timeout(context, written)
    }
}
