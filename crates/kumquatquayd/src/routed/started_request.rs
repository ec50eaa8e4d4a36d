//! A request of a caller that was started before its turn, and what counts while it is held.

use std::{cell::Cell, rc::Rc};

use bytes::Bytes;
use http::{Request, Response, request::Parts};
use hyper::body::Body;
use tokio::task::{JoinError, JoinHandle};

use super::{
    entry::{CallerBody, serve_entry},
    http_io::{BufferedBody, CallerAddress},
    node::RoutedNode,
};

/// A request that was started before its turn.
pub(crate) struct StartedRequest {
    node: Rc<RoutedNode>,
    /// Bytes of all of it.
    pub(crate) size_bytes: usize,
    /// How it was read.
    parts: Parts,
    body: Bytes,
    answer: Option<JoinHandle<HeldAnswer>>,
}

/// An answer that waits for its turn.
pub(crate) struct HeldAnswer {
    pub(crate) answer: Response<BufferedBody>,
    _held: HeldBytesGuard,
    _waiting: WaitingBytesGuard,
    pub(crate) in_flight: InFlightGuard,
}

/// Bytes of an answer that is held, as they count for its node.
pub(crate) struct HeldBytesGuard {
    node: Rc<RoutedNode>,
    bytes: usize,
}

/// Bytes of an answer that waits for its turn, as they count for its connection.
struct WaitingBytesGuard {
    of_connection: Rc<Cell<usize>>,
    bytes: usize,
}

/// A request that counts as under way.
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
        let bytes = size_of(answer);
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
    fn new(of_connection: Rc<Cell<usize>>, answer: &Response<BufferedBody>) -> Self {
        let bytes = size_of(answer);
        of_connection.set(of_connection.get() + bytes);
        Self {
            of_connection,
            bytes,
        }
    }
}

impl Drop for WaitingBytesGuard {
    fn drop(&mut self) {
        let of_connection = &self.of_connection;
        of_connection.set(of_connection.get() - self.bytes);
    }
}

fn size_of(answer: &Response<BufferedBody>) -> usize {
    answer.body().size_hint().lower() as usize
}

impl StartedRequest {
    /// Starts a request of so many bytes; its answer counts among those that wait on its
    /// connection until it is taken.
    pub(crate) fn start(
        node: &Rc<RoutedNode>,
        caller: Option<CallerAddress>,
        request: Request<Bytes>,
        size_bytes: usize,
        waiting_bytes: Rc<Cell<usize>>,
    ) -> Self {
        node.metrics.count("pipelined", "started");
        let (mut parts, whole) = request.into_parts();
        let body = CallerBody::Right(whole.clone().into());
        let kept = parts.clone();
        if let Some(caller) = caller {
            parts.extensions.insert(caller);
        }
        let request = Request::from_parts(parts, body);
        let in_flight = InFlightGuard::new(node);
        let serving = Rc::clone(node);
        let answer = tokio::task::spawn_local(async move {
            let answer = serve_entry(Rc::clone(&serving), request).await;
            HeldAnswer {
                _held: HeldBytesGuard::new(&serving, &answer),
                _waiting: WaitingBytesGuard::new(waiting_bytes, &answer),
                answer,
                in_flight,
            }
        });
        Self {
            node: Rc::clone(node),
            size_bytes,
            parts: kept,
            body: whole,
            answer: Some(answer),
        }
    }

    /// Whether the HTTP library reads the same head.
    fn is_head(&self, parts: &Parts) -> bool {
        self.parts.method == parts.method
            && self.parts.uri == parts.uri
            && self.parts.version == parts.version
            && self.parts.headers == parts.headers
    }

    /// Its answer, if the HTTP library reads the same request.
    pub(crate) async fn answer_if_same(
        mut self,
        request: Request<Bytes>,
    ) -> Result<HeldAnswer, Request<CallerBody>> {
        let (parts, body) = request.into_parts();
        if !self.is_head(&parts) || body != self.body {
            let request = Request::from_parts(parts, CallerBody::Right(body.into()));
            return Err(request);
        }
        let task = self.answer.as_mut().expect("it is taken once");
        let answer = task.await;
        self.answer = None;
        match answer.map_err(JoinError::try_into_panic) {
            Ok(held) => Ok(held),
            Err(Ok(panic)) => std::panic::resume_unwind(panic),
            Err(Err(error)) => unreachable!("its task ends with this one: {error}"),
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
