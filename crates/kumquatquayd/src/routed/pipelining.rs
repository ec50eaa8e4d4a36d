//! Serves callers' connections, on which requests may come before the first is answered.

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
use tokio::{
    io::{AsyncRead, AsyncWrite, ReadBuf},
    net::TcpStream,
    time::{Sleep, sleep, timeout},
};

use super::{
    caller_connection::{CallerConnection, ReadAction, RequestSource},
    entry::{CallerBody, serve_entry},
    http_io::{BufferedBody, http1_server, local_answer},
    node::{RoutedNode, StopPhase},
};

/// Bytes that are read from a socket at a time.
const PIECE_BYTES: usize = 8 * 1024;

/// How long a connection that this node has ended takes bytes that are not read any more.
/// Closed with bytes unread, it would be reset, and what was answered last could be lost.
const LINGER: Duration = Duration::from_secs(1);

/// Time after which a caller is asked to come back while too many answers are unread.
const UNREAD_RETRY: Duration = Duration::from_secs(1);

/// How long a caller may take no byte of an answer that waits for it.
const WRITE_PATIENCE: Duration = Duration::from_secs(15);

/// Serves one connection of a caller until it ends or the node stops.
pub(crate) async fn serve_caller(node: Rc<RoutedNode>, stream: TcpStream) {
    let row = CallerConnection::new(Rc::clone(&node), stream.peer_addr().ok());
    let answering = Rc::clone(&row);
    let service = service_fn(move |request| {
        // Known at once: the HTTP library asks for more bytes before it waits for the answer.
        let turn = answering.reach(&request);
        let answer = answer(Rc::clone(&answering), turn, request);
        async { Ok::<_, Infallible>(answer.await) }
    });
    let io = RowIo {
        stream,
        row: Rc::clone(&row),
        stalled: None,
    };
    let mut connection = http1_server(row.head_limit_bytes()).serve_connection(io, service);
    let mut stop = node.stop.subscribe();
    // One that was accepted in that phase has its request answered with a refusal. Closed
    // unread, it would tell the caller nothing of when to come back.
    let is_late = node.stop_phase() >= StopPhase::Closing;
    let closing = async {
        if is_late {
            std::future::pending::<()>().await;
        }
        let _ = stop.wait_for(|phase| *phase >= StopPhase::Closing).await;
    };
    tokio::select! {
        _ = &mut connection => {}
        () = closing => {
            // Otherwise it ends with the last answer that is under way.
            if row.is_alone() {
                Pin::new(&mut connection).graceful_shutdown();
            }
            // What went wrong on a caller's connection is the caller's to see.
            let _ = (&mut connection).await;
        }
    }
    let stream = connection.into_parts().io.stream;
    row.end();
    if !row.caller_left() {
        linger(stream, row.has_unread()).await;
    }
}

/// Answers a request that the HTTP library has read.
async fn answer(
    row: Rc<CallerConnection>,
    turn: RequestSource,
    mut request: Request<Incoming>,
) -> Response<BufferedBody> {
    if let Some(caller) = row.caller() {
        request.extensions_mut().insert(caller);
    }
    let mut answer = match turn {
        RequestSource::Streamed | RequestSource::Whole
            if !row.node.held_answers.get().has_room() =>
        {
            refuse_for_memory(&row.node)
        }
        RequestSource::Streamed => {
            serve_entry(Rc::clone(&row.node), request.map(CallerBody::Left)).await
        }
        RequestSource::Whole => match whole(request).await {
            Ok(request) => {
                let request = request.map(|body| CallerBody::Right(Full::new(body)));
                serve_entry(Rc::clone(&row.node), request).await
            }
            Err(answer) => answer,
        },
        RequestSource::Started(started) => match whole(request).await {
            Ok(request) => match row.take_started(started, request).await {
                Ok(answer) => answer,
                Err(request) => serve_entry(Rc::clone(&row.node), request).await,
            },
            Err(answer) => answer,
        },
    };
    if row.answered(&answer) {
        let close = HeaderValue::from_static("close");
        answer.headers_mut().insert(header::CONNECTION, close);
    }
    if row.has_unread() {
        // The HTTP library has seen that there are no bytes for it, and asks again when
        // it is told.
        poll_fn(|context| {
            context.waker().wake_by_ref();
            Poll::Ready(())
        })
        .await;
    }
    answer
}

/// Refuses a request while callers leave too much unread.
fn refuse_for_memory(node: &RoutedNode) -> Response<BufferedBody> {
    node.metrics.count("refused", "unread_answers");
    if node.metrics.take_log_permit(node.now()) {
        log::warn!(event = "answers_unread", held_bytes = node.held_answers.get().bytes();
            "callers leave so much unread that no request is taken");
    }
    let status = StatusCode::SERVICE_UNAVAILABLE;
    local_answer(status, Some(UNREAD_RETRY), "too much is unread\n")
}

/// The request with its body, or the answer to one whose body is broken.
async fn whole(request: Request<Incoming>) -> Result<Request<Bytes>, Response<BufferedBody>> {
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

/// Takes what a caller still sends on a connection that has ended, for a while.
async fn linger(stream: TcpStream, has_unread: bool) {
    let mut scratch = [0; PIECE_BYTES];
    let first = stream.try_read(&mut scratch);
    let is_silent = first.is_err_and(|error| error.kind() == io::ErrorKind::WouldBlock);
    if is_silent && !has_unread {
        return;
    }
    let discarding = async {
        while stream.readable().await.is_ok() {
            match stream.try_read(&mut scratch) {
                Ok(0) => return,
                Ok(_) => {}
                Err(error) if error.kind() == io::ErrorKind::WouldBlock => {}
                Err(_) => return,
            }
        }
    };
    let _ = timeout(LINGER, discarding).await;
}

/// A caller's socket, as the HTTP library sees it: one request at a time.
struct RowIo {
    stream: TcpStream,
    row: Rc<CallerConnection>,
    /// Runs while the caller takes nothing.
    stalled: Option<Pin<Box<Sleep>>>,
}

impl RowIo {
    /// Ends the connection of a caller who takes nothing for too long: what is held for it
    /// would be held for good.
    fn watch_write(
        &mut self,
        context: &mut Context<'_>,
        written: Poll<io::Result<usize>>,
    ) -> Poll<io::Result<usize>> {
        if written.is_ready() {
            self.stalled = None;
            return written;
        }
        let stalled = &mut self.stalled;
        let stalled = stalled.get_or_insert_with(|| Box::pin(sleep(WRITE_PATIENCE)));
        std::task::ready!(stalled.as_mut().poll(context));
        self.row.node.metrics.count("caller", "stalled");
        Poll::Ready(Err(io::ErrorKind::TimedOut.into()))
    }

    /// Reads so many bytes at most; how many there were.
    fn poll_fill(
        &mut self,
        context: &mut Context<'_>,
        limit_bytes: usize,
    ) -> Poll<io::Result<usize>> {
        let mut piece = [const { MaybeUninit::uninit() }; PIECE_BYTES];
        let room = &mut piece[..limit_bytes.min(PIECE_BYTES)];
        let mut buffer = ReadBuf::uninit(room);
        std::task::ready!(Pin::new(&mut self.stream).poll_read(context, &mut buffer))?;
        self.row.on_read(buffer.filled());
        Poll::Ready(Ok(buffer.filled().len()))
    }

    /// Hands what the socket has to the HTTP library.
    fn poll_pass_directly(
        &mut self,
        context: &mut Context<'_>,
        mut cursor: ReadBufCursor<'_>,
    ) -> Poll<io::Result<()>> {
        let mut piece = [const { MaybeUninit::uninit() }; PIECE_BYTES];
        let room = &mut piece[..cursor.remaining().min(PIECE_BYTES)];
        let mut buffer = ReadBuf::uninit(room);
        std::task::ready!(Pin::new(&mut self.stream).poll_read(context, &mut buffer))?;
        if buffer.filled().is_empty() {
            self.row.on_end();
        }
        cursor.put_slice(buffer.filled());
        Poll::Ready(Ok(()))
    }
}

impl Read for RowIo {
    fn poll_read(
        self: Pin<&mut Self>,
        context: &mut Context<'_>,
        mut cursor: ReadBufCursor<'_>,
    ) -> Poll<io::Result<()>> {
        let io = self.get_mut();
        loop {
            let limit_bytes = match io.row.read_step() {
                ReadAction::PassDirectly => return io.poll_pass_directly(context, cursor),
                ReadAction::Pass(bytes_count) => {
                    let bytes_count = bytes_count.min(cursor.remaining());
                    io.row.pass(bytes_count, |bytes| cursor.put_slice(bytes));
                    return Poll::Ready(Ok(()));
                }
                ReadAction::Wait => return Poll::Pending,
                ReadAction::Read => PIECE_BYTES,
                ReadAction::ReadAhead(room_bytes) => room_bytes,
            };
            let read_bytes = std::task::ready!(io.poll_fill(context, limit_bytes))?;
            if read_bytes == 0 && !io.row.on_end() {
                return Poll::Ready(Ok(()));
            }
        }
    }
}

impl Write for RowIo {
    fn poll_write(
        self: Pin<&mut Self>,
        context: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        let io = self.get_mut();
        let written = Pin::new(&mut io.stream).poll_write(context, bytes);
        io.watch_write(context, written)
    }

    fn poll_flush(self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        let io = self.get_mut();
        std::task::ready!(Pin::new(&mut io.stream).poll_flush(context))?;
        io.row.on_written();
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
        io.watch_write(context, written)
    }
}
