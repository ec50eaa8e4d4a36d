//! Connections to the backend server of this host, over HTTP/1.1.

use std::{
    cell::RefCell,
    io,
    net::SocketAddr,
    rc::Rc,
    time::{Duration, Instant},
};

use bytes::Bytes;
use http::{HeaderMap, Request};
use http_body_util::{BodyExt, Limited};
use hyper::client::conn::http1::{self, SendRequest};
use hyper_util::rt::TokioIo;
use tokio::{net::TcpStream, task::AbortHandle};

use super::http_io::BufferedBody;

/// A host answers its own connection attempts at once.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);

/// Idle time for which a connection is used again where the backend server doesn't
/// say how long it keeps it.
const UNTOLD_IDLE: Duration = Duration::from_millis(300);

/// What is taken off the idle time that the backend server tells, since its clock
/// starts before ours and a request must arrive before it ends.
const IDLE_MARGIN: Duration = Duration::from_millis(700);

/// Idle time for which a connection carries a call that must not run twice.
///
/// A backend server may close an idle connection while a request is on its way;
/// whether that ran can't be known. A connection that was used just now is not
/// about to be closed.
const AT_MOST_ONCE_IDLE: Duration = Duration::from_millis(250);

/// Idle connections that are kept.
const IDLE_LIMIT_COUNT: usize = 512;

/// Connections to the backend server.
#[derive(Debug)]
pub(crate) struct BackendPool {
    address: SocketAddr,
    /// The longest answer that is taken.
    answer_limit_bytes: usize,
    idle: Rc<RefCell<Vec<Connection>>>,
}

/// One connection; it closes when it is dropped.
#[derive(Debug)]
struct Connection {
    sender: SendRequest<BufferedBody>,
    task: AbortHandle,
    idle_since: Instant,
    idle_until: Instant,
}

impl Drop for Connection {
    fn drop(&mut self) {
        self.task.abort();
    }
}

/// Why the backend server did not answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum SendError {
    /// Nothing listens at its address.
    ConnectionRefused,
    /// No connection could be made: it did not see the request.
    Unsent,
    /// The connection broke, or brought what is no answer.
    ConnectionBroken,
}

/// An answer, whole, and the connection that brought it.
#[derive(Debug)]
pub(crate) struct BackendAnswer {
    pub(crate) status: u16,
    pub(crate) headers: HeaderMap,
    body: Bytes,
    connection: Connection,
    idle: Rc<RefCell<Vec<Connection>>>,
}

impl BackendAnswer {
    /// Keeps the connection for further requests; the answer's body.
    pub(crate) fn return_to_pool(self, kept_open: Option<Duration>) -> Bytes {
        let idle = kept_open.map_or(UNTOLD_IDLE, |kept| kept.saturating_sub(IDLE_MARGIN));
        let mut connection = self.connection;
        let mut connections = self.idle.borrow_mut();
        // The library has closed it if the backend server asked for that or sent
        // bytes beyond the answer.
        if !connection.sender.is_closed() && connections.len() < IDLE_LIMIT_COUNT {
            connection.idle_since = Instant::now();
            connection.idle_until = connection.idle_since + idle;
            connections.push(connection);
        }
        self.body
    }

    /// Closes the connection.
    pub(crate) fn close_connection(self) {
        drop(self.connection);
    }
}

impl BackendPool {
    pub(crate) fn new(address: SocketAddr, answer_limit_bytes: usize) -> Self {
        Self {
            address,
            answer_limit_bytes,
            idle: Rc::default(),
        }
    }

    /// Closes idle connections that the backend server is about to close.
    pub(crate) fn close_expired(&self) {
        let now = Instant::now();
        let is_usable =
            |connection: &Connection| !connection.sender.is_closed() && now < connection.idle_until;
        self.idle.borrow_mut().retain(is_usable);
    }

    /// Sends a request and waits for the whole answer.
    ///
    /// Dropped before that, it closes the connection, which tells the backend
    /// server to give the request up.
    pub(crate) async fn send(
        &self,
        request: Request<BufferedBody>,
        is_idempotent: bool,
    ) -> Result<BackendAnswer, SendError> {
        let mut request = request;
        while let Some(connection) = self.take_idle(is_idempotent) {
            match self.send_on(connection, request).await {
                Ok(answer) => return Ok(answer),
                // Closed while it was idle: nothing of the request was written.
                Err((_, Some(unsent))) => request = unsent,
                Err((error, None)) => return Err(error),
            }
        }
        let connection = self.connect().await?;
        let answer = self.send_on(connection, request).await;
        answer.map_err(|(error, unsent)| unsent.map_or(error, |_| SendError::Unsent))
    }

    fn take_idle(&self, is_idempotent: bool) -> Option<Connection> {
        let now = Instant::now();
        let mut idle = self.idle.borrow_mut();
        while let Some(connection) = idle.pop() {
            let is_young = now < connection.idle_since + AT_MOST_ONCE_IDLE;
            if !is_idempotent && !is_young {
                idle.push(connection);
                return None;
            }
            let is_usable = now < connection.idle_until && connection.sender.is_ready();
            if is_usable && !connection.sender.is_closed() {
                return Some(connection);
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
        let handshake = http1::handshake(TokioIo::new(stream)).await;
        let (sender, connection) = handshake.map_err(|_| SendError::Unsent)?;
        let task = tokio::task::spawn_local(async move {
            // Its end shows at the request that is under way on it.
            let _ = connection.await;
        });
        let now = Instant::now();
        Ok(Connection {
            sender,
            task: task.abort_handle(),
            idle_since: now,
            idle_until: now,
        })
    }

    async fn send_on(
        &self,
        mut connection: Connection,
        request: Request<BufferedBody>,
    ) -> Result<BackendAnswer, (SendError, Option<Request<BufferedBody>>)> {
        let answer = connection.sender.try_send_request(request).await;
        let answer =
            answer.map_err(|mut error| (SendError::ConnectionBroken, error.take_message()))?;
        let (head, body) = answer.into_parts();
        // One without end would fill the memory.
        let body = Limited::new(body, self.answer_limit_bytes).collect().await;
        let body = body.map_err(|error| {
            log::debug!(event = "backend_answer_unread"; "{error}");
            (SendError::ConnectionBroken, None)
        })?;
        Ok(BackendAnswer {
            status: head.status.as_u16(),
            headers: head.headers,
            body: body.to_bytes(),
            connection,
            idle: Rc::clone(&self.idle),
        })
    }
}
