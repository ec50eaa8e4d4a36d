//! Pipelined requests: those that a caller sends before earlier ones are answered.

use std::collections::VecDeque;

/// Limits on the requests of a connection that run ahead of their turn.
#[derive(Clone, Copy, Debug)]
pub struct PipelineLimits {
    /// Requests that were started and aren't answered.
    pub started_count: usize,
    /// Bytes of answers that are held until it is their turn.
    pub held_bytes: usize,
}

/// Properties of a request that decide whether it may run concurrently with others of its
/// connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct PipelinedRequest {
    /// Whether it may run more than once.
    pub is_idempotent: bool,
    /// Whether the connection may be closed after its answer, so that later requests count as
    /// unread.
    pub may_close_connection: bool,
}

impl PipelinedRequest {
    fn allows_pipelining(self) -> bool {
        self.is_idempotent && !self.may_close_connection
    }
}

/// Requests of one connection that were read and aren't answered.
///
/// If a caller pipelines ten requests of 200 ms each and they run sequentially, the last one takes
/// two seconds. So requests are started ahead of their turn, concurrently with the one that is
/// answered next, and their answers are held until it is their turn. A request that may run only
/// once runs alone, since its caller must be able to tell which requests ran before it. Nothing is
/// started after a request whose answer may close the connection, since callers send again what
/// comes after that.
#[derive(Debug)]
pub struct RequestPipeline<T> {
    limits: PipelineLimits,
    /// The request that the server answers now.
    answering: Option<PipelinedRequest>,
    /// Later requests that were started, in order.
    started: VecDeque<Started<T>>,
    /// Whether the request after the last started one waits for its turn.
    is_paused: bool,
    /// Whether no more requests are started on this connection.
    is_closed: bool,
}

#[derive(Debug)]
struct Started<T> {
    request: PipelinedRequest,
    ticket: T,
}

impl<T> RequestPipeline<T> {
    /// Creates the pipeline of a connection without requests.
    pub fn new(limits: PipelineLimits) -> Self {
        Self {
            limits,
            answering: None,
            started: VecDeque::new(),
            is_paused: false,
            is_closed: false,
        }
    }

    /// Whether the request after the last started one may be read ahead, while answers of
    /// `held_bytes` are held.
    pub fn can_read_ahead(&self, held_bytes: usize) -> bool {
        let last = self.started.back().map(|started| started.request);
        let last = last.or(self.answering);
        last.is_some_and(PipelinedRequest::allows_pipelining)
            && !self.is_paused
            && !self.is_closed
            && self.started.len() < self.limits.started_count
            && held_bytes < self.limits.held_bytes
    }

    /// Whether the request that was read ahead may be started now. If not, it and all later ones
    /// wait for its turn.
    pub fn may_start(&mut self, request: PipelinedRequest) -> bool {
        self.is_paused |= !request.is_idempotent;
        !self.is_paused && !self.is_closed
    }

    /// The request was started; `ticket` yields its answer.
    pub fn start(&mut self, request: PipelinedRequest, ticket: T) {
        self.started.push_back(Started { request, ticket });
    }

    /// Makes the next request wait for its turn, whatever it is.
    pub fn pause(&mut self) {
        self.is_paused = true;
    }

    /// Ticket of the request that the server reaches next, if that was started.
    pub fn next_started(&self) -> Option<&T> {
        self.started.front().map(|started| &started.ticket)
    }

    /// The server has reached the next request, which was started ahead. Returns its ticket.
    pub fn advance_to_started(&mut self) -> Option<T> {
        let started = self.started.pop_front()?;
        self.answering = Some(started.request);
        self.is_paused = false;
        Some(started.ticket)
    }

    /// The server has reached the next request, which wasn't started ahead.
    pub fn advance_to(&mut self, request: PipelinedRequest) {
        self.answering = Some(request);
        self.is_paused = false;
    }

    /// The request that was reached is answered. Returns whether to close the connection now.
    ///
    /// A node that shuts down wants all connections to be closed. If later requests were started,
    /// the connection is closed after the last of them: otherwise they would run in vain.
    pub fn on_answered(&mut self, wants_close: bool) -> bool {
        self.answering = None;
        self.is_closed |= wants_close;
        wants_close && self.started.is_empty()
    }

    /// Drops the started requests, and starts no more.
    pub fn abort(&mut self) {
        self.is_closed = true;
        self.started.clear();
    }

    /// Requests that were started ahead and that the server hasn't reached.
    pub fn started_count(&self) -> usize {
        self.started.len()
    }
}
