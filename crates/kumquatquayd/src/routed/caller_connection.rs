//! Pipelining on a caller's connection, between the socket and the HTTP library.
//!
//! The HTTP library reads the next request only once the previous answer is written. Bytes that
//! the caller sends meanwhile are buffered here and forwarded to the library one request at a
//! time. Complete requests that are idempotent are started at once, so that their answers are
//! in progress when the library reads them. The library decides what each request is: if it
//! reads a request differently from how it was started here, the request is run again as the
//! library reads it.

use std::{
    cell::{Cell, RefCell},
    net::SocketAddr,
    rc::Rc,
};

use bytes::{Buf, Bytes, BytesMut};
use http::{HeaderMap, Request, Response, Uri};
use kumquatquay_core::routed::{
    BodyKind, ConnectionStage, Mechanism, PipelineLimits, PipelinedRequest, RequestPipeline,
};
use kumquatquay_wire::routed::Repeat;

use super::{
    caller_identity::find_route,
    caller_slots::CallerSlot,
    entry::CallerBody,
    http_io::{BufferedBody, CallerAddress, RECEIVE_BUFFER_BYTES},
    node::RoutedNode,
    node_memory::BodyLease,
    request_frame::{Framing, RequestFrame, frame_request, has_head_end, parse_complete_request},
    started_request::{HeldBytesGuard, InFlightGuard, StartedRequest},
};

/// Limits for started requests and their answers behind the request that is answered next.
const PIPELINE_LIMITS: PipelineLimits = PipelineLimits {
    started_count: 32,
    held_bytes: 1024 * 1024,
};

/// Limit for buffered bytes of requests that the HTTP library hasn't read.
const READ_AHEAD_LIMIT_BYTES: usize = 64 * 1024;

/// Largest body of a request that is buffered. Larger bodies are streamed, and no other
/// requests are started beside them.
const BUFFERED_BODY_LIMIT_BYTES: u64 = 16 * 1024;

/// Buffered bytes of a connection that aren't counted beyond the connection itself.
const UNCOUNTED_BUFFER_BYTES: usize = 16 * 1024;

/// What a larger buffer is counted for: its capacity is up to twice what it holds.
const LARGE_BUFFER_BYTES: usize = 2 * READ_AHEAD_LIMIT_BYTES;

/// What a request that was started ahead of its turn is counted for: its task, head and body.
const STARTED_REQUEST_BYTES: usize = 32 * 1024;

/// Capacity above which an empty buffer is released.
const KEPT_BUFFER_BYTES: usize = 4 * 1024;

/// A caller's connection with its buffered bytes and started requests.
pub(crate) struct CallerConnection {
    pub(crate) node: Rc<RoutedNode>,
    caller: Option<SocketAddr>,
    /// Limit of the HTTP library for the size of a request head.
    head_limit_bytes: usize,
    state: RefCell<PipelineState>,
    /// Size of the answers to started requests that wait for their turn.
    held_bytes: Rc<Cell<usize>>,
    /// Counts the request that is being answered, until its answer is written.
    in_flight: RefCell<Option<InFlightGuard>>,
    /// Counts the bytes of the answer that is being written.
    writing: RefCell<Option<HeldBytesGuard>>,
    /// Whether the caller has closed the connection.
    caller_left: Cell<bool>,
    slot: Rc<CallerSlot>,
    /// Whether no request is being received or answered.
    is_between_requests: Cell<bool>,
    /// Counts the larger receive buffer of the socket, until it has its usual size again.
    window: RefCell<Option<BodyLease>>,
    /// Size that the receive buffer of the socket is to have from the next read on.
    receive_buffer_bytes: Cell<Option<usize>>,
}

struct PipelineState {
    /// Bytes that haven't been forwarded to the HTTP library.
    unread: BytesMut,
    /// Counts the buffer if it is large.
    unread_lease: Option<BodyLease>,
    /// Number of these bytes that belong to started requests; they come first.
    started_bytes: usize,
    /// What the first request after those lacked when it was last parsed.
    missing: Missing,
    phase: Phase,
    /// Frame of the request that is being forwarded or answered.
    frame: RequestFrame,
    pipeline: RequestPipeline<StartedRequest>,
}

/// Progress of the HTTP library with the current request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Phase {
    /// It waits for the next request.
    Idle,
    /// Part of the request has been forwarded.
    Forwarding { left_bytes: u64, is_head_read: bool },
    /// All of the request has been forwarded, but its head hasn't been read.
    Forwarded,
    /// It has read the request and waits for the answer.
    Answering,
    /// All bytes are forwarded as they arrive, since the ends of requests aren't known.
    PassThrough,
}

/// What a request lacked when it was last parsed.
///
/// It avoids parsing the head again for each chunk: a head that arrives byte by byte would take
/// quadratic time.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Missing {
    /// It hasn't been parsed.
    Unknown,
    /// The end of its head isn't among the first `seen_bytes` unread bytes.
    HeadEnd { seen_bytes: usize },
    /// Its body isn't complete before there are `least_bytes` unread bytes.
    Body { least_bytes: usize },
}

impl Missing {
    /// Whether the request may be complete now, so that it is worth parsing again.
    fn may_be_complete(self, unread: &[u8]) -> bool {
        match self {
            Self::Unknown => true,
            Self::HeadEnd { seen_bytes } => has_head_end(unread, seen_bytes),
            Self::Body { least_bytes } => unread.len() >= least_bytes,
        }
    }

    /// Adjusts the counts after the first unread bytes were forwarded.
    fn on_forwarded(&mut self, bytes_count: usize) {
        match self {
            Self::Unknown => {}
            Self::HeadEnd { seen_bytes: bytes } | Self::Body { least_bytes: bytes } => {
                *bytes = bytes.saturating_sub(bytes_count);
            }
        }
    }
}

/// What a read of the HTTP library does.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum ReadAction {
    /// Forwards buffered bytes, up to this many.
    Forward(usize),
    /// Forwards bytes directly from the socket.
    ForwardDirectly,
    /// Waits for more bytes from the socket.
    Read,
    /// Forwards nothing, but buffers up to this many bytes from the socket.
    ReadAhead(usize),
    /// Neither forwards nor buffers bytes.
    Wait,
    /// Leaves all bytes in the socket, and only notices the end of its stream.
    AwaitEnd,
    /// Fails, since there is no memory for the head of the next request.
    Close,
}

/// Where the request and its answer come from when the HTTP library has read a head.
pub(crate) enum RequestSource {
    /// The request was started earlier.
    Started(StartedRequest),
    /// The body of the request is small and completely buffered.
    Buffered,
    /// The body of the request is streamed.
    Streamed,
}

/// Whether there is a whole request behind the one that is forwarded or answered, and behind those that were
/// started.
fn has_whole_request(state: &PipelineState) -> bool {
    let unread = &state.unread[state.started_bytes..];
    let is_whole = |frame: RequestFrame| frame.size_bytes() <= unread.len() as u64;
    matches!(frame_request(unread), Framing::Known(frame) if is_whole(frame))
}

impl CallerConnection {
    pub(crate) fn new(
        node: Rc<RoutedNode>,
        caller: Option<SocketAddr>,
        slot: Rc<CallerSlot>,
    ) -> Rc<Self> {
        let phase = if node.is_on(Mechanism::Pipelining) {
            Phase::Idle
        } else {
            Phase::PassThrough
        };
        Rc::new(Self {
            head_limit_bytes: node.head_limit_bytes(),
            node,
            caller,
            state: RefCell::new(PipelineState {
                unread: BytesMut::new(),
                unread_lease: None,
                started_bytes: 0,
                missing: Missing::Unknown,
                phase,
                frame: RequestFrame::default(),
                pipeline: RequestPipeline::new(PIPELINE_LIMITS),
            }),
            held_bytes: Rc::default(),
            in_flight: RefCell::default(),
            writing: RefCell::default(),
            caller_left: Cell::new(false),
            slot,
            is_between_requests: Cell::new(true),
            window: RefCell::default(),
            receive_buffer_bytes: Cell::default(),
        })
    }

    pub(crate) fn head_limit_bytes(&self) -> usize {
        self.head_limit_bytes
    }

    /// Returns what a read of the HTTP library does now.
    pub(crate) fn read_action(&self) -> ReadAction {
        let mut state = self.state.borrow_mut();
        loop {
            let unread_bytes = state.unread.len();
            match state.phase {
                Phase::PassThrough if unread_bytes == 0 => return ReadAction::ForwardDirectly,
                Phase::PassThrough => return ReadAction::Forward(unread_bytes),
                Phase::Idle | Phase::Forwarding { .. } if unread_bytes == 0 => {
                    return ReadAction::Read;
                }
                Phase::Idle => {
                    if !self.begin_forwarding(&mut state) {
                        let may_grow = self.may_grow_buffer(&mut state);
                        return if may_grow {
                            ReadAction::Read
                        } else {
                            ReadAction::Close
                        };
                    }
                }
                Phase::Forwarding { left_bytes, .. } => {
                    let left_bytes = usize::try_from(left_bytes).unwrap_or(usize::MAX);
                    return ReadAction::Forward(left_bytes.min(unread_bytes));
                }
                // The HTTP library wants more bytes of a request that seemed to be complete.
                Phase::Forwarded => self.disable_pipelining(&mut state),
                // What arrives now is left unread, since the connection closes soon.
                Phase::Answering if self.node.is_stopping() => return ReadAction::AwaitEnd,
                Phase::Answering => {
                    self.start_buffered(&mut state);
                    if !self.may_grow_buffer(&mut state) {
                        return ReadAction::Wait;
                    }
                    return match READ_AHEAD_LIMIT_BYTES.saturating_sub(unread_bytes) {
                        0 => ReadAction::Wait,
                        room_bytes => ReadAction::ReadAhead(room_bytes),
                    };
                }
            }
        }
    }

    /// Whether there is memory for more buffered bytes.
    fn may_grow_buffer(&self, state: &mut PipelineState) -> bool {
        if state.unread.len() < UNCOUNTED_BUFFER_BYTES || state.unread_lease.is_some() {
            return true;
        }
        let memory = &self.node.memory;
        state.unread_lease = memory.lease_whole(BodyKind::Request, LARGE_BUFFER_BYTES);
        state.unread_lease.is_some()
    }

    /// Buffers bytes from the socket.
    pub(crate) fn on_read(&self, bytes: &[u8]) {
        self.on_bytes(bytes.len());
        self.state.borrow_mut().unread.extend_from_slice(bytes);
    }

    /// Bytes have come from the socket. Those that come while no request is being received or answered
    /// begin one.
    pub(crate) fn on_bytes(&self, bytes_count: usize) {
        if bytes_count > 0 && self.is_between_requests.replace(false) {
            self.enter(ConnectionStage::ReceivingHead);
        }
    }

    /// The connection has come to a stage.
    pub(crate) fn enter(&self, stage: ConnectionStage) {
        self.slot.enter(stage);
    }

    /// Has the receive buffer of the socket hold up to `window_bytes`, if that is more than it holds and
    /// there is memory for them.
    pub(crate) fn widen_receive_buffer(&self, window_bytes: usize) {
        // The kernel uses up to twice the size that it is given.
        if window_bytes <= 2 * RECEIVE_BUFFER_BYTES {
            return;
        }
        let lease = self
            .node
            .memory
            .lease_extra(BodyKind::Request, window_bytes);
        if let Some(lease) = lease {
            *self.window.borrow_mut() = Some(lease);
            self.receive_buffer_bytes.set(Some(window_bytes / 2));
        }
    }

    /// Has the receive buffer of the socket get its usual size again.
    pub(crate) fn narrow_receive_buffer(&self) {
        if self.window.borrow().is_some() {
            self.receive_buffer_bytes.set(Some(RECEIVE_BUFFER_BYTES));
        }
    }

    /// Takes the size that the receive buffer of the socket is to get.
    pub(crate) fn take_receive_buffer_bytes(&self) -> Option<usize> {
        let bytes = self.receive_buffer_bytes.take();
        if bytes == Some(RECEIVE_BUFFER_BYTES) {
            *self.window.borrow_mut() = None;
        }
        bytes
    }

    /// Handles the end of the socket's stream; returns whether buffered bytes are still to be
    /// forwarded.
    pub(crate) fn on_end(&self) -> bool {
        self.caller_left.set(true);
        let mut state = self.state.borrow_mut();
        let has_part = state.phase == Phase::Idle && !state.unread.is_empty();
        if has_part {
            state.phase = Phase::PassThrough;
        }
        has_part
    }

    /// Forwards the first `bytes_count` buffered bytes to the HTTP library.
    pub(crate) fn forward(&self, bytes_count: usize, take: impl FnOnce(&[u8])) {
        let mut state = self.state.borrow_mut();
        take(&state.unread[..bytes_count]);
        state.unread.advance(bytes_count);
        state.missing.on_forwarded(bytes_count);
        if state.unread.is_empty() && state.unread.capacity() > KEPT_BUFFER_BYTES {
            state.unread = BytesMut::new();
            state.unread_lease = None;
        }
        if let Phase::Forwarding {
            left_bytes,
            is_head_read,
        } = state.phase
        {
            state.phase = match left_bytes - bytes_count as u64 {
                0 if is_head_read => Phase::Answering,
                0 => Phase::Forwarded,
                left_bytes => Phase::Forwarding {
                    left_bytes,
                    is_head_read,
                },
            };
        }
    }

    /// Begins to forward the next request; returns `false` while its head is incomplete.
    fn begin_forwarding(&self, state: &mut PipelineState) -> bool {
        if let Some(started) = state.pipeline.next_started() {
            let size_bytes = started.size_bytes;
            state.started_bytes -= size_bytes;
            state.phase = Phase::Forwarding {
                left_bytes: size_bytes as u64,
                is_head_read: false,
            };
            return true;
        }
        let unread_bytes = state.unread.len();
        let is_short = unread_bytes < self.head_limit_bytes;
        if is_short && !state.missing.may_be_complete(&state.unread) {
            state.missing = Missing::HeadEnd {
                seen_bytes: unread_bytes,
            };
            return false;
        }
        match frame_request(&state.unread) {
            Framing::Partial if is_short => {
                state.missing = Missing::HeadEnd {
                    seen_bytes: unread_bytes,
                };
                return false;
            }
            Framing::Partial | Framing::Unclear => state.phase = Phase::PassThrough,
            Framing::Known(frame) => {
                state.frame = frame;
                state.phase = Phase::Forwarding {
                    left_bytes: frame.size_bytes(),
                    is_head_read: false,
                };
            }
        }
        true
    }

    /// Ends pipelining on this connection, since the HTTP library reads other requests than
    /// were parsed here. From now on all bytes are forwarded as they arrive.
    fn disable_pipelining(&self, state: &mut PipelineState) {
        if state.phase == Phase::PassThrough {
            return;
        }
        state.phase = Phase::PassThrough;
        state.started_bytes = 0;
        state.pipeline.abort();
        let caller = self
            .caller
            .map_or_else(String::new, |caller| caller.to_string());
        self.node.metrics.count("pipelined", "unclear");
        if self.node.metrics.take_log_permit(self.node.now()) {
            log::warn!(event = "pipelining_unclear", caller = caller.as_str();
                "the end of a request is ambiguous; pipelining ends on this connection");
        }
    }

    /// Starts buffered requests that may run beside the requests before them.
    fn start_buffered(&self, state: &mut PipelineState) {
        while self.may_read_ahead(state) {
            let ahead = &state.unread[state.started_bytes..];
            let frame = match frame_request(ahead) {
                Framing::Known(frame) if frame.body_bytes <= BUFFERED_BODY_LIMIT_BYTES => frame,
                Framing::Partial => {
                    let seen_bytes = state.unread.len();
                    state.missing = Missing::HeadEnd { seen_bytes };
                    return;
                }
                Framing::Unclear | Framing::Known(_) => return state.pipeline.pause(),
            };
            let size_bytes = frame.size_bytes() as usize;
            if ahead.len() < size_bytes {
                let least_bytes = state.started_bytes + size_bytes;
                state.missing = Missing::Body { least_bytes };
                return;
            }
            let request = parse_complete_request(&ahead[..size_bytes], frame);
            let Some(request) = request.filter(|_| frame.head_bytes <= self.head_limit_bytes)
            else {
                return state.pipeline.pause();
            };
            let pipelined = self.pipelined_request(request.headers(), request.uri(), frame);
            if !state.pipeline.may_start(pipelined) {
                return;
            }
            let memory = &self.node.memory;
            let Some(lease) = memory.lease_whole(BodyKind::Request, STARTED_REQUEST_BYTES) else {
                return;
            };
            let started = StartedRequest::start(
                &self.node,
                self.caller(),
                request,
                size_bytes,
                Rc::clone(&self.held_bytes),
                lease,
            );
            state.pipeline.start(pipelined, started);
            state.started_bytes += size_bytes;
            state.missing = Missing::Unknown;
        }
    }

    fn may_read_ahead(&self, state: &PipelineState) -> bool {
        state.unread.len() > state.started_bytes
            && state.missing.may_be_complete(&state.unread)
            && !self.node.is_stopping()
            && self.node.held_answers.get().has_room_for_pipelined()
            && state.pipeline.can_read_ahead(self.held_bytes.get())
    }

    fn pipelined_request(
        &self,
        headers: &HeaderMap,
        uri: &Uri,
        frame: RequestFrame,
    ) -> PipelinedRequest {
        let table = self.node.routes();
        let route = table.as_ref();
        let route = route.and_then(|table| find_route(table, headers, uri));
        PipelinedRequest {
            is_idempotent: route.is_some_and(|route| route.settings.repeat == Repeat::Idempotent),
            may_close_connection: frame.may_close,
        }
    }

    /// Handles a request whose head the HTTP library has read; returns where its answer comes
    /// from.
    pub(crate) fn on_head_read<B>(&self, request: &Request<B>) -> RequestSource {
        self.is_between_requests.set(false);
        self.enter(ConnectionStage::Answering);
        let mut state = self.state.borrow_mut();
        let state = &mut *state;
        match state.phase {
            Phase::Forwarded => state.phase = Phase::Answering,
            Phase::Forwarding {
                left_bytes,
                is_head_read: false,
            } => {
                state.phase = Phase::Forwarding {
                    left_bytes,
                    is_head_read: true,
                };
            }
            // The HTTP library reads two requests where one was parsed here.
            Phase::Idle | Phase::Forwarding { .. } | Phase::Answering => {
                self.disable_pipelining(state);
            }
            Phase::PassThrough => {}
        }
        state.missing = Missing::Unknown;
        if let Some(started) = state.pipeline.advance_to_started() {
            return RequestSource::Started(started);
        }
        let is_complete = match state.phase {
            Phase::Forwarding { left_bytes, .. } => left_bytes <= state.unread.len() as u64,
            Phase::Answering => true,
            Phase::Idle | Phase::Forwarded | Phase::PassThrough => false,
        };
        let has_body = state.frame.body_bytes > 0;
        let is_small = is_complete && state.frame.body_bytes <= BUFFERED_BODY_LIMIT_BYTES;
        let mut pipelined = self.pipelined_request(request.headers(), request.uri(), state.frame);
        pipelined.may_close_connection |= !is_small;
        state.pipeline.advance_to(pipelined);
        *self.in_flight.borrow_mut() = Some(InFlightGuard::new(&self.node));
        if has_body && is_small {
            RequestSource::Buffered
        } else {
            RequestSource::Streamed
        }
    }

    /// Records the answer to the current request; returns whether the connection closes after
    /// it.
    pub(crate) fn on_answered(&self, answer: &Response<BufferedBody>) -> bool {
        *self.writing.borrow_mut() = Some(HeldBytesGuard::new(&self.node, answer));
        let mut state = self.state.borrow_mut();
        // Otherwise the HTTP library reads the rest of the body, or closes the connection.
        let is_read_whole = state.phase == Phase::Answering;
        state.phase = if is_read_whole {
            Phase::Idle
        } else {
            Phase::PassThrough
        };
        let has_other = || is_read_whole && has_whole_request(&state);
        let wants_close = self.node.is_stopping() && !has_other();
        state.pipeline.on_answered(wants_close)
    }

    /// Ends the accounting of the answer, since all of its bytes are written.
    pub(crate) fn on_written(&self) {
        if self.writing.borrow_mut().take().is_none() {
            return;
        }
        *self.in_flight.borrow_mut() = None;
        let state = self.state.borrow();
        if state.pipeline.started_count() > 0 {
            return;
        }
        let has_begun = !state.unread.is_empty();
        self.is_between_requests.set(!has_begun);
        self.enter(if has_begun {
            ConnectionStage::ReceivingHead
        } else {
            ConnectionStage::Idle
        });
    }

    /// Whether there are bytes that haven't been forwarded to the HTTP library.
    pub(crate) fn has_unread(&self) -> bool {
        !self.state.borrow().unread.is_empty()
    }

    /// Aborts all started requests at the end of the connection.
    pub(crate) fn end(&self) {
        self.state.borrow_mut().pipeline.abort();
        *self.in_flight.borrow_mut() = None;
        *self.writing.borrow_mut() = None;
    }

    /// Whether the connection may be closed when the HTTP library has answered the request that it has read:
    /// no other request has been read whole, and none may be read meanwhile.
    pub(crate) fn may_close(&self) -> bool {
        let state = self.state.borrow();
        match state.phase {
            Phase::Idle | Phase::PassThrough => {
                state.pipeline.started_count() == 0 && !has_whole_request(&state)
            }
            Phase::Forwarding { .. } | Phase::Forwarded | Phase::Answering => false,
        }
    }

    /// Whether the caller has closed the connection.
    pub(crate) fn caller_left(&self) -> bool {
        self.caller_left.get()
    }

    /// Address of the caller, in the form of a request extension.
    pub(crate) fn caller(&self) -> Option<CallerAddress> {
        self.caller.map(CallerAddress)
    }

    /// Returns the answer to a started request if the HTTP library has read the same request,
    /// else the request to run.
    pub(crate) async fn take_started(
        &self,
        started: StartedRequest,
        request: Request<Bytes>,
    ) -> Result<Response<BufferedBody>, Request<CallerBody>> {
        match started.answer_if_same(request).await {
            Ok(held) => {
                *self.in_flight.borrow_mut() = Some(held.in_flight);
                Ok(held.answer)
            }
            Err(request) => {
                self.disable_pipelining(&mut self.state.borrow_mut());
                *self.in_flight.borrow_mut() = Some(InFlightGuard::new(&self.node));
                Err(request)
            }
        }
    }
}
