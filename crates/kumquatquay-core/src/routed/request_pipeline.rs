//! Requests that a caller sends on a connection before the first is answered.

use std::collections::VecDeque;

/// What a connection may have under way behind the request that is answered next.
#[derive(Clone, Copy, Debug)]
pub struct PipelineLimits {
    /// Requests that were started and are not answered.
    pub started_count: usize,
    /// Bytes of answers that wait for their turn.
    pub held_bytes: usize,
}

/// What decides whether a request may run beside others of its connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct PipelinedRequest {
    /// Whether it may run again.
    pub is_idempotent: bool,
    /// Whether the connection may end with its answer, so that nothing behind it counts as
    /// read.
    pub may_close_connection: bool,
}

impl PipelinedRequest {
    fn allows_pipelining(self) -> bool {
        self.is_idempotent && !self.may_close_connection
    }
}

/// The requests of one connection that were read and are not answered.
///
/// It answers the pattern in which a caller sends ten requests of 200 ms at once: one after
/// the other the last takes two seconds. Those behind the first are started beside it, and
/// their answers are kept until it is their turn. A request that may run once at most runs
/// alone, since a caller must be able to tell what was before it; nothing is started behind
/// one whose answer may end the connection, since callers send again what is behind that.
#[derive(Debug)]
pub struct RequestPipeline<T> {
    limits: PipelineLimits,
    /// The request that is answered next, once the server has reached it.
    answering: Option<PipelinedRequest>,
    /// Those behind it that were started, in their order.
    started: VecDeque<Started<T>>,
    /// Whether the one behind the last that was started waits for its turn.
    is_paused: bool,
    /// Whether nothing more is started on this connection.
    is_closed: bool,
}

#[derive(Debug)]
struct Started<T> {
    request: PipelinedRequest,
    ticket: T,
}

impl<T> RequestPipeline<T> {
    /// A connection without requests.
    pub fn new(limits: PipelineLimits) -> Self {
        Self {
            limits,
            answering: None,
            started: VecDeque::new(),
            is_paused: false,
            is_closed: false,
        }
    }

    /// Whether the request behind the last that was started is to be looked at, while
    /// answers of so many bytes wait for their turn.
    pub fn can_read_ahead(&self, held_bytes: usize) -> bool {
        let last = self.started.back().map(|started| started.request);
        let last = last.or(self.answering);
        last.is_some_and(PipelinedRequest::allows_pipelining)
            && !self.is_paused
            && !self.is_closed
            && self.started.len() < self.limits.started_count
            && held_bytes < self.limits.held_bytes
    }

    /// Whether the request that was looked at may be started now; if not it waits for its
    /// turn, and all behind it with it.
    pub fn may_start(&mut self, request: PipelinedRequest) -> bool {
        self.is_paused |= !request.is_idempotent;
        !self.is_paused && !self.is_closed
    }

    /// It was started; `ticket` brings its answer.
    pub fn start(&mut self, request: PipelinedRequest, ticket: T) {
        self.started.push_back(Started { request, ticket });
    }

    /// The next request waits for its turn, whatever it is.
    pub fn pause(&mut self) {
        self.is_paused = true;
    }

    /// The ticket of the request that the server reaches next, if that was started.
    pub fn next_started(&self) -> Option<&T> {
        self.started.front().map(|started| &started.ticket)
    }

    /// The server has reached the next request, which was started.
    pub fn advance_to_started(&mut self) -> Option<T> {
        let started = self.started.pop_front()?;
        self.answering = Some(started.request);
        self.is_paused = false;
        Some(started.ticket)
    }

    /// The server has reached the next request, which was not started.
    pub fn advance_to(&mut self, request: PipelinedRequest) {
        self.answering = Some(request);
        self.is_paused = false;
    }

    /// The request that was reached is answered; whether the connection ends with that.
    ///
    /// A node that stops wants all connections to end. Where requests behind this one were
    /// started it ends with the last of them: ended here, they would have run for nothing.
    pub fn on_answered(&mut self, wants_close: bool) -> bool {
        self.answering = None;
        self.is_closed |= wants_close;
        wants_close && self.started.is_empty()
    }

    /// Gives up what was started, and starts nothing more.
    pub fn abort(&mut self) {
        self.is_closed = true;
        self.started.clear();
    }

    /// Requests that were started and that the server hasn't reached.
    pub fn started_count(&self) -> usize {
        self.started.len()
    }
}
