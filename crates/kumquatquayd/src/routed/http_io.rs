//! Listeners, HTTP/1.1 connections and header conversions.

use std::{net::SocketAddr, rc::Rc, time::Duration};

use bytes::Bytes;
use eyre::WrapErr;
use http::{HeaderMap, HeaderName, HeaderValue, Request, Response, StatusCode, header};
use http_body_util::Full;
use hyper::{body::Incoming, server::conn::http1, service::service_fn};
use hyper_util::rt::{TokioIo, TokioTimer};
use kumquatquay_wire::routed::Fields;
use tokio::net::{TcpListener, TcpSocket, TcpStream};

use super::{
    bounded_read::{BoundedStream, ReadMeter},
    node::{RoutedNode, StopPhase},
};
use crate::http::{connection_options, is_for_connection};

/// Body that is held in memory completely.
pub(crate) type BufferedBody = Full<Bytes>;

/// Header fields that each hop writes for its own message.
const REWRITTEN_FIELDS: [HeaderName; 2] = [header::CONTENT_LENGTH, header::EXPECT];

/// Pause after a failed accept, most often because of a lack of file descriptors.
const ACCEPT_PAUSE: Duration = Duration::from_millis(20);

/// Size of the receive buffer of a caller's socket, of which the kernel uses up to twice as much. Bytes that
/// haven't been read count as memory of the node.
pub(crate) const RECEIVE_BUFFER_BYTES: usize = 8 * 1024;

/// Connections that wait to be accepted.
const BACKLOG_COUNT: u32 = 128;

/// Longest time from one request on a connection to the head of the next. Callers reuse
/// connections that were idle for most of the configured time, which a new configuration may
/// raise while a connection is open; closing one just as a request arrives would lose the
/// request.
const HEAD_TIMEOUT: Duration = Duration::from_secs(300);

/// Request extension with the address of the caller's socket.
#[derive(Clone, Copy, Debug)]
pub(crate) struct CallerAddress(pub(crate) SocketAddr);

/// Binds a TCP listener; `what` names its purpose in the error.
pub(crate) async fn bind_listener(what: &str, address: SocketAddr) -> eyre::Result<TcpListener> {
    let listener = TcpListener::bind(address).await;
    listener.wrap_err_with(|| format!("can't listen on {address} for {what}"))
}

/// [`bind_listener`], for callers: their sockets hold few bytes that haven't been read.
pub(crate) fn bind_caller_listener(address: SocketAddr) -> eyre::Result<TcpListener> {
    let bind = || {
        let socket = if address.is_ipv4() {
            TcpSocket::new_v4()
        } else {
            TcpSocket::new_v6()
        }?;
        socket.set_reuseaddr(true)?;
        socket.set_recv_buffer_size(RECEIVE_BUFFER_BYTES as u32)?;
        socket.bind(address)?;
        socket.listen(BACKLOG_COUNT)
    };
    bind().wrap_err_with(|| format!("can't listen on {address} for callers"))
}

/// Accepts connections for as long as the node runs.
pub(crate) async fn accept_connections(
    node: Rc<RoutedNode>,
    listener: TcpListener,
    take: impl AsyncFn(Rc<RoutedNode>, TcpStream),
) {
    loop {
        match listener.accept().await {
            Ok((stream, _)) => {
                let _ = stream.set_nodelay(true);
                take(Rc::clone(&node), stream).await;
            }
            Err(error) => {
                node.metrics.count("accept_failed", "error");
                log::warn!(event = "accept_failed"; "a connection was not accepted: {error}");
                tokio::time::sleep(ACCEPT_PAUSE).await;
            }
        }
    }
}

/// Serves one connection of HTTP/1.1 until it ends or the node stops.
pub(crate) async fn serve_connection<F>(
    node: Rc<RoutedNode>,
    stream: TcpStream,
    serve: impl Fn(Rc<RoutedNode>, Request<Incoming>) -> F,
) where
    F: Future<Output = Response<BufferedBody>>,
{
    let service = service_fn(|request: Request<Incoming>| {
        let answer = serve(Rc::clone(&node), request);
        async { Ok::<_, std::convert::Infallible>(answer.await) }
    });
    let meter = Rc::<ReadMeter>::default();
    let stream = TokioIo::new(BoundedStream::new(stream, Rc::clone(&meter)));
    let connection = http1_server(node.head_limit_bytes()).serve_connection(stream, service);
    let mut connection = std::pin::pin!(connection);
    if node.stop_phase() >= StopPhase::Closing {
        // Its request is refused. If the connection was just closed, its caller wouldn't learn
        // when to retry.
        let _ = meter.drive(connection).await;
        return;
    }
    tokio::select! {
        _ = meter.drive(connection.as_mut()) => return,
        () = node.stop_reached(StopPhase::Closing) => {}
    }
    connection.as_mut().graceful_shutdown();
    // Errors on a caller's connection concern only the caller.
    let _ = meter.drive(connection).await;
}

/// Settings for the server side of an HTTP/1.1 connection.
pub(crate) fn http1_server(head_limit_bytes: usize) -> http1::Builder {
    let mut server = http1::Builder::new();
    server
        .timer(TokioTimer::new())
        .header_read_timeout(HEAD_TIMEOUT)
        .max_buf_size(head_limit_bytes)
        .auto_date_header(false);
    server
}

/// Header fields that are meant for the recipient of a message, without those of the
/// connection.
pub(crate) fn fields_from_headers(headers: &HeaderMap) -> Fields {
    let options = connection_options(headers);
    let is_kept =
        |name: &HeaderName| !is_for_connection(name, &options) && !REWRITTEN_FIELDS.contains(name);
    Fields::new(|| {
        let kept = headers.iter().filter(|(name, _)| is_kept(name));
        kept.map(|(name, value)| (name.as_str(), value.as_bytes()))
    })
}

/// Converts fields to a header map with room for `more_count` further fields; invalid fields
/// are left out.
pub(crate) fn headers_from_fields(fields: &Fields, more_count: usize) -> HeaderMap {
    let mut headers = HeaderMap::with_capacity(fields.count() + more_count);
    for field in fields.iter() {
        let name = HeaderName::from_bytes(field.name);
        let value = HeaderValue::from_maybe_shared(field.value);
        if let (Ok(name), Ok(value)) = (name, value) {
            headers.append(name, value);
        }
    }
    headers
}

/// Builds an answer generated by this node.
pub(crate) fn local_answer(
    status: StatusCode,
    retry_after: Option<Duration>,
    reason: &'static str,
) -> Response<BufferedBody> {
    let mut answer = Response::new(Full::new(Bytes::from_static(reason.as_bytes())));
    *answer.status_mut() = status;
    if let Some(retry_after) = retry_after {
        let seconds = format!("{:.3}", retry_after.as_secs_f64());
        let seconds = HeaderValue::from_str(&seconds).expect("digits and a point");
        answer.headers_mut().insert(header::RETRY_AFTER, seconds);
    }
    answer
}
