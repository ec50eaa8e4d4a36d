//! Pool of HTTP/1.1 connections to the backend server of this host.

use std::{
    cell::{Cell, RefCell},
    io,
    net::SocketAddr,
    pin::pin,
    rc::Rc,
    time::{Duration, Instant},
};

use bytes::Bytes;
use http::{HeaderMap, Request};
use http_body_util::BodyExt;
use hyper::client::conn::http1::{self, SendRequest};
use hyper_util::rt::TokioIo;
use kumquatquay_core::routed::{BodyKind, CarriedAttempts};
use tokio::{net::TcpStream, task::AbortHandle};

use super::{
    body_reader::{BodyReadError, read_whole_body},
    bounded_read::{BoundedStream, ReadMeter},
    http_io::BufferedBody,
    node_memory::NodeMemory,
};

/// Timeout of a connection attempt. The backend server is on this host, so a connection is made or
/// refused at once.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);

/// Idle timeout of a connection if the backend server doesn't state its keep-alive timeout.
const DEFAULT_IDLE_TIMEOUT: Duration = Duration::from_millis(300);

/// Time by which the idle timeout is shorter than the stated keep-alive timeout. The backend server
/// starts to count before the node, and a request must arrive before its timeout ends.
const KEEP_ALIVE_MARGIN: Duration = Duration::from_millis(700);

/// Longest idle time of a connection on which a call is sent that must not run twice.
///
/// If the backend server closes an idle connection while a request is in transit, it is unknown
/// whether the request ran. A recently used connection is not about to be closed.
const AT_MOST_ONCE_IDLE_LIMIT: Duration = Duration::from_millis(250);

/// Size of the read buffer of a connection, and so of the longest head of an answer.
const READ_BUFFER_BYTES: usize = 64 * 1024;

/// Bytes of an answer beside its body, at most: its head, interim answers before it, and what separates
/// the chunks of a body beyond what their bytes pay for. A read buffer of body bytes may count as well.
const OVERHEAD_LIMIT_BYTES: usize = 2 * READ_BUFFER_BYTES;

/// Idle connections in the pool, at most.
const IDLE_LIMIT_COUNT: usize = 512;

/// A pool of connections to the backend server.
#[derive(Debug)]
pub(crate) struct BackendPool {
    address: SocketAddr,
    /// Size limit of an answer's body.
    answer_limit_bytes: usize,
    /// Memory for those bodies.
    memory: NodeMemory,
    idle: Rc<RefCell<Vec<Connection>>>,
    /// When a part of an answer last came.
    last_part_at: Cell<Option<Instant>>,
    created_at: Instant,
}

/// A request to the backend server, as the pool has to know it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct PooledRequest<'a> {
    /// Id that its answer bears; `None` for a health check.
    pub(crate) attempt: Option<&'a str>,
    /// Whether it may run more than once.
    pub(crate) is_idempotent: bool,
}

/// A connection, closed on drop.
#[derive(Debug)]
struct Connection {
    sender: SendRequest<BufferedBody>,
    task: AbortHandle,
    meter: Rc<ReadMeter>,
    carried: CarriedAttempts,
    idle_since: Instant,
    expires_at: Instant,
}

impl Connection {
    /// Whether it is open and its idle timeout hasn't passed.
    fn is_open(&self, now: Instant) -> bool {
        now < self.expires_at && !self.sender.is_closed()
    }
}

impl Drop for Connection {
    fn drop(&mut self) {
        self.task.abort();
    }
}

/// Why a request got no answer from the backend server.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum SendError {
    /// Nothing listens at the address.
    ConnectionRefused,
    /// No connection could be made or the request could not be written, so it did not run.
    Unsent,
    /// The connection failed after the request was sent, or the answer was invalid.
    ConnectionBroken,
    /// The answer was longer than the node accepts or has memory for, or had too many bytes beside its
    /// body.
    AnswerTooLong,
}

/// A complete answer, and the connection on which it arrived.
#[derive(Debug)]
pub(crate) struct BackendAnswer {
    pub(crate) status: u16,
    pub(crate) headers: HeaderMap,
    body: Bytes,
    connection: Connection,
    idle: Rc<RefCell<Vec<Connection>>>,
}

impl BackendAnswer {
    /// Returns the connection to the pool, and the body of the answer to the caller.
    pub(crate) fn return_to_pool(self, keep_alive_timeout: Option<Duration>) -> Bytes {
        let idle = keep_alive_timeout.map_or(DEFAULT_IDLE_TIMEOUT, |timeout| {
            timeout.saturating_sub(KEEP_ALIVE_MARGIN)
        });
        let mut connection = self.connection;
        let mut connections = self.idle.borrow_mut();
        // hyper has closed it if the backend server requested that or sent bytes beyond the answer.
        if !connection.sender.is_closed() && connections.len() < IDLE_LIMIT_COUNT {
            connection.idle_since = Instant::now();
            connection.expires_at = connection.idle_since + idle;
            connections.push(connection);
        }
        self.body
    }

    /// Closes the connection, and drops the answer.
    pub(crate) fn close_connection(self) {
        drop(self.connection);
    }
}

impl BackendPool {
    pub(crate) fn new(address: SocketAddr, answer_limit_bytes: usize, memory: NodeMemory) -> Self {
        Self {
            address,
            answer_limit_bytes,
            memory,
            idle: Rc::default(),
            last_part_at: Cell::default(),
            created_at: Instant::now(),
        }
    }

    /// Closes the idle connections that are closed by the backend server or whose idle timeout has
    /// passed.
    pub(crate) fn close_expired(&self) {
        let now = Instant::now();
        let mut idle = self.idle.borrow_mut();
        idle.retain(|connection| connection.is_open(now));
    }

    /// Whether an idle connection is open, which the end of the backend server would have closed.
    pub(crate) fn has_open_idle_connection(&self) -> bool {
        let idle = self.idle.borrow();
        idle.iter().any(|connection| !connection.sender.is_closed())
    }

    /// Time since a part of an answer came; `None` if none has.
    pub(crate) fn time_since_part(&self) -> Option<Duration> {
        self.last_part_at.get().map(|at| at.elapsed())
    }

    /// Sends a request and waits for the complete answer.
    ///
    /// If the future is dropped before that, the connection is closed, which tells the backend
    /// server to cancel the request.
    pub(crate) async fn send(
        &self,
        request: Request<BufferedBody>,
        pooled: PooledRequest<'_>,
    ) -> Result<BackendAnswer, SendError> {
        let mut request = request;
        while let Some(connection) = self.take_idle(pooled) {
            match self.send_on(connection, request, pooled).await {
                Ok(answer) => return Ok(answer),
                // The connection was closed while idle, and nothing of the request was written.
                Err((_, Some(unsent))) => request = unsent,
                Err((error, None)) => return Err(error),
            }
        }
        let connection = self.connect().await?;
        let answer = self.send_on(connection, request, pooled).await;
        answer.map_err(|(error, unsent)| unsent.map_or(error, |_| SendError::Unsent))
    }

    /// Takes the connection that was used last of those that can carry a request.
    fn take_idle(&self, pooled: PooledRequest<'_>) -> Option<Connection> {
        let now = Instant::now();
        let since_created = now - self.created_at;
        let mut idle = self.idle.borrow_mut();
        let mut place = idle.len();
        while place > 0 {
            place -= 1;
            let connection = &mut idle[place];
            if !connection.is_open(now) || !connection.sender.is_ready() {
                idle.remove(place);
                continue;
            }
            let is_recently_used = now < connection.idle_since + AT_MOST_ONCE_IDLE_LIMIT;
            if !pooled.is_idempotent && !is_recently_used {
                return None;
            }
            if !connection.carried.may_answer(since_created, pooled.attempt) {
                return Some(idle.remove(place));
            }
        }
        None
    }

    async fn connect(&self) -> Result<Connection, SendError> {
        let connect = tokio::time::timeout(CONNECT_TIMEOUT, TcpStream::connect(self.address));
        let stream = match connect.await {
            Ok(Ok(stream)) => stream,
            Ok(Err(error)) if error.kind() == io::ErrorKind::ConnectionRefused => {
                return Err(SendError::ConnectionRefused);
            }
            Ok(Err(_)) | Err(_) => return Err(SendError::Unsent),
        };
        let _ = stream.set_nodelay(true);
        let meter = ReadMeter::with_overhead_limit(OVERHEAD_LIMIT_BYTES);
        let stream = BoundedStream::new(stream, Rc::clone(&meter));
        let mut handshake = http1::Builder::new();
        handshake.max_buf_size(READ_BUFFER_BYTES);
        let handshake = handshake.handshake(TokioIo::new(stream)).await;
        let (sender, connection) = handshake.map_err(|_| SendError::Unsent)?;
        let task_meter = Rc::clone(&meter);
        let task = tokio::task::spawn_local(async move {
            // An error is reported to the request in progress on the connection.
            let _ = task_meter.drive(pin!(connection)).await;
        });
        let now = Instant::now();
        Ok(Connection {
            sender,
            task: task.abort_handle(),
            meter,
            carried: CarriedAttempts::default(),
            idle_since: now,
            expires_at: now,
        })
    }

    async fn send_on(
        &self,
        mut connection: Connection,
        request: Request<BufferedBody>,
        pooled: PooledRequest<'_>,
    ) -> Result<BackendAnswer, (SendError, Option<Request<BufferedBody>>)> {
        let meter = Rc::clone(&connection.meter);
        meter.begin_message();
        let answer = connection.sender.try_send_request(request).await;
        let answer = answer.map_err(|mut error| {
            let unsent = error.take_message();
            (error_of_reading(BodyReadError::Broken, &meter), unsent)
        })?;
        let (head, body) = answer.into_parts();
        self.last_part_at.set(Some(Instant::now()));
        let body = body.map_frame(|frame| {
            self.last_part_at.set(Some(Instant::now()));
            meter.on_body(frame.data_ref().map_or(0, Bytes::len));
            frame
        });
        let limit_bytes = self.answer_limit_bytes;
        let body = read_whole_body(body, BodyKind::Answer, limit_bytes, &self.memory).await;
        let body = body.map_err(|error| {
            log::debug!(event = "backend_answer_unread"; "{error}");
            (error_of_reading(error, &meter), None)
        })?;
        let answered_at = self.created_at.elapsed();
        connection.carried.on_answered(answered_at, pooled.attempt);
        Ok(BackendAnswer {
            status: head.status.as_u16(),
            headers: head.headers,
            body,
            connection,
            idle: Rc::clone(&self.idle),
        })
    }
}

/// Why an answer has not been read.
fn error_of_reading(error: BodyReadError, meter: &ReadMeter) -> SendError {
    match error {
        BodyReadError::Broken if !meter.is_exceeded() => SendError::ConnectionBroken,
        BodyReadError::Broken | BodyReadError::TooLong | BodyReadError::NoMemory => {
            SendError::AnswerTooLong
        }
    }
}
