//! A pipelined request that is served before the HTTP library reads it, and the guards that count
//! it and its answer.

use std::{cell::Cell, rc::Rc};

use bytes::Bytes;
use http::{Request, Response, request::Parts};
use hyper::body::Body;
use tokio::task::{JoinError, JoinHandle};

use super::{
    entry::{CallerBody, serve_entry},
    http_io::{BufferedBody, CallerAddress},
    node::RoutedNode,
    node_memory::BodyLease,
};

/// A pipelined request that is served before the HTTP library reads it.
pub(crate) struct StartedRequest {
    node: Rc<RoutedNode>,
    /// Size of head and body.
    pub(crate) size_bytes: usize,
    /// The head as it was read ahead.
    parts: Parts,
    body: Bytes,
    answer: Option<JoinHandle<HeldAnswer>>,
    _memory: BodyLease,
}

/// A complete answer that is not written yet.
pub(crate) struct HeldAnswer {
    pub(crate) answer: Response<BufferedBody>,
    _held: HeldBytesGuard,
    _waiting: WaitingBytesGuard,
    pub(crate) in_flight: InFlightGuard,
}

/// Counts the bytes of an answer for the node until they are written.
pub(crate) struct HeldBytesGuard {
    node: Rc<RoutedNode>,
    bytes: usize,
}

/// Counts the bytes of an answer for its connection until the HTTP library reads the request.
struct WaitingBytesGuard {
    connection_bytes: Rc<Cell<usize>>,
    bytes: usize,
}

/// Counts a request as in flight until it is dropped.
pub(crate) struct InFlightGuard {
    node: Rc<RoutedNode>,
}

impl InFlightGuard {
    pub(crate) fn new(node: &Rc<RoutedNode>) -> Self {
        node.in_flight_count.set(node.in_flight_count.get() + 1);
        Self {
            node: Rc::clone(node),
        }
    }
}

impl Drop for InFlightGuard {
    fn drop(&mut self) {
        let count = &self.node.in_flight_count;
        count.set(count.get() - 1);
    }
}

impl HeldBytesGuard {
    pub(crate) fn new(node: &Rc<RoutedNode>, answer: &Response<BufferedBody>) -> Self {
        let bytes = size_bytes_of(answer);
        let mut held = node.held_answers.get();
        held.add(bytes);
        node.held_answers.set(held);
        Self {
            node: Rc::clone(node),
            bytes,
        }
    }
}

impl Drop for HeldBytesGuard {
    fn drop(&mut self) {
        let mut held = self.node.held_answers.get();
        held.remove(self.bytes);
        self.node.held_answers.set(held);
    }
}

impl WaitingBytesGuard {
    fn new(connection_bytes: Rc<Cell<usize>>, answer: &Response<BufferedBody>) -> Self {
        let bytes = size_bytes_of(answer);
        connection_bytes.set(connection_bytes.get() + bytes);
        Self {
            connection_bytes,
            bytes,
        }
    }
}

impl Drop for WaitingBytesGuard {
    fn drop(&mut self) {
        let connection_bytes = &self.connection_bytes;
        connection_bytes.set(connection_bytes.get() - self.bytes);
    }
}

fn size_bytes_of(answer: &Response<BufferedBody>) -> usize {
    answer.body().size_hint().lower() as usize
}

impl StartedRequest {
    /// Starts a request of `size_bytes` bytes, which is counted by `memory`. Its answer counts in
    /// `waiting_bytes` until it is taken.
    pub(crate) fn start(
        node: &Rc<RoutedNode>,
        caller: Option<CallerAddress>,
        request: Request<Bytes>,
        size_bytes: usize,
        waiting_bytes: Rc<Cell<usize>>,
        memory: BodyLease,
    ) -> Self {
        node.metrics.count("pipelined", "started");
        let (mut parts, body_bytes) = request.into_parts();
        let body = CallerBody::Right(body_bytes.clone().into());
        let kept_parts = parts.clone();
        if let Some(caller) = caller {
            parts.extensions.insert(caller);
        }
        let request = Request::from_parts(parts, body);
        let in_flight = InFlightGuard::new(node);
        let task_node = Rc::clone(node);
        let answer = tokio::task::spawn_local(async move {
            let answer = serve_entry(Rc::clone(&task_node), request).await;
            HeldAnswer {
                _held: HeldBytesGuard::new(&task_node, &answer),
                _waiting: WaitingBytesGuard::new(waiting_bytes, &answer),
                answer,
                in_flight,
            }
        });
        Self {
            node: Rc::clone(node),
            size_bytes,
            parts: kept_parts,
            body: body_bytes,
            answer: Some(answer),
            _memory: memory,
        }
    }

    /// Whether the HTTP library has read the same head.
    fn has_same_head(&self, parts: &Parts) -> bool {
        self.parts.method == parts.method
            && self.parts.uri == parts.uri
            && self.parts.version == parts.version
            && self.parts.headers == parts.headers
    }

    /// Waits for the answer, if the HTTP library has read the same request. Otherwise returns the
    /// request as the library has read it.
    pub(crate) async fn answer_if_same(
        mut self,
        request: Request<Bytes>,
    ) -> Result<HeldAnswer, Request<CallerBody>> {
        let (parts, body) = request.into_parts();
        if !self.has_same_head(&parts) || body != self.body {
            let request = Request::from_parts(parts, CallerBody::Right(body.into()));
            return Err(request);
        }
        let task = self.answer.as_mut().expect("the answer is taken once");
        let answer = task.await;
        self.answer = None;
        match answer.map_err(JoinError::try_into_panic) {
            Ok(held) => Ok(held),
            Err(Ok(panic)) => std::panic::resume_unwind(panic),
            Err(Err(error)) => {
                unreachable!("the task is aborted only when its request is dropped: {error}")
            }
        }
    }
}

impl Drop for StartedRequest {
    fn drop(&mut self) {
        if let Some(answer) = self.answer.take() {
            answer.abort();
            self.node.metrics.count("pipelined", "given_up");
        }
    }
}
