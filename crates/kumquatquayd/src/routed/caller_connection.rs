//! The requests of one caller's connection, between the socket and the HTTP library.
//!
//! The library reads the next request once the answer before is written. What the caller
//! sends meanwhile is read here and passed on to it one request at a time; whole requests
//! that may run again are started at once, and when the library reaches one, its answer is
//! already under way. The library decides what each request is: one that it reads otherwise
//! than it was started is run as the library reads it.

use std::{
    cell::{Cell, RefCell},
    net::SocketAddr,
    rc::Rc,
};

use bytes::{Buf, Bytes, BytesMut};
use http::{HeaderMap, Request, Response, Uri};
use kumquatquay_core::routed::{Mechanism, PipelineLimits, PipelinedRequest, RequestPipeline};
use kumquatquay_wire::routed::Repeat;

use super::{
    caller_identity::find_route,
    entry::CallerBody,
    http_io::{BufferedBody, CallerAddress},
    node::{RoutedNode, StopPhase},
    request_frame::{Framing, RequestFrame, frame_request, has_head_end, read_whole_request},
    started_request::{HeldBytesGuard, InFlightGuard, StartedRequest},
};

/// What a connection may have under way behind the request that is answered next.
const LIMITS: PipelineLimits = PipelineLimits {
    started_count: 32,
    held_bytes: 1024 * 1024,
};

/// Bytes of requests that are read before their turn.
const AHEAD_LIMIT_BYTES: usize = 64 * 1024;

/// Bodies above this are passed on as they come, and nothing is started beside them.
const SMALL_BODY_BYTES: u64 = 16 * 1024;

/// Room for bytes that a connection keeps while it has none.
const KEPT_BYTES: usize = 4 * 1024;

/// One caller's connection.
pub(crate) struct CallerConnection {
    pub(crate) node: Rc<RoutedNode>,
    caller: Option<SocketAddr>,
    /// Bytes of a head that the HTTP library takes.
    head_limit_bytes: usize,
    state: RefCell<RowState>,
    /// Bytes of answers that wait for their turn.
    held_bytes: Rc<Cell<usize>>,
    /// The request that is answered now; it counts until its answer is written.
    in_flight: RefCell<Option<InFlightGuard>>,
    /// The answer that is being written.
    writing: RefCell<Option<HeldBytesGuard>>,
    /// Whether the caller has closed the connection.
    caller_left: Cell<bool>,
}

struct RowState {
    /// Bytes that the HTTP library has not got yet.
    unread: BytesMut,
    /// How many of them, from the first one on, are of requests that were started.
    started_bytes: usize,
    /// What the request behind those lacked when it was looked at last.
    missing: Missing,
    phase: Phase,
    /// The request that is passed on or answered.
    frame: RequestFrame,
    row: RequestPipeline<StartedRequest>,
}

/// How far the HTTP library is with a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Phase {
    /// It waits for the next one.
    Between,
    /// It has got a part of it.
    Passing { left_bytes: u64, is_reached: bool },
    /// It has got all of it and has not read it.
    Passed,
    /// It has read it, and waits for the answer.
    Answering,
    /// It gets all bytes as they come, since it can't be told where a request ends.
    Blind,
}

/// What a request lacked when it was looked at last.
///
/// Read anew with each piece, a head that comes byte by byte would cost the square of its
/// length.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Missing {
    /// It was not looked at.
    Unknown,
    /// The end of its head, which is not among the first so many unread bytes.
    HeadEnd { seen_bytes: usize },
    /// Bytes before there are so many unread ones.
    Body { least_bytes: usize },
}

impl Missing {
    /// Whether it may be there now.
    fn may_be_there(self, unread: &[u8]) -> bool {
        match self {
            Self::Unknown => true,
            Self::HeadEnd { seen_bytes } => has_head_end(unread, seen_bytes),
            Self::Body { least_bytes } => unread.len() >= least_bytes,
        }
    }

    /// The first unread bytes were passed on.
    fn pass(&mut self, bytes_count: usize) {
        match self {
            Self::Unknown => {}
            Self::HeadEnd { seen_bytes: bytes } | Self::Body { least_bytes: bytes } => {
                *bytes = bytes.saturating_sub(bytes_count);
            }
        }
    }
}

/// What the HTTP library gets when it asks for bytes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum ReadAction {
    /// Bytes that are there, so many at most.
    Pass(usize),
    /// Whatever the socket has.
    PassDirectly,
    /// Nothing before more bytes came.
    Read,
    /// Nothing now, and so many bytes at most are read ahead.
    ReadAhead(usize),
    /// Nothing now.
    Wait,
}

/// How the request that the HTTP library has reached is answered.
pub(crate) enum RequestSource {
    /// It was started.
    Started(StartedRequest),
    /// Its body is small and there as a whole.
    Whole,
    /// Its body comes.
    Streamed,
}

impl CallerConnection {
    pub(crate) fn new(node: Rc<RoutedNode>, caller: Option<SocketAddr>) -> Rc<Self> {
        let phase = if node.is_on(Mechanism::Pipelining) {
            Phase::Between
        } else {
            Phase::Blind
        };
        Rc::new(Self {
            head_limit_bytes: node.head_limit_bytes(),
            node,
            caller,
            state: RefCell::new(RowState {
                unread: BytesMut::new(),
                started_bytes: 0,
                missing: Missing::Unknown,
                phase,
                frame: RequestFrame::default(),
                row: RequestPipeline::new(LIMITS),
            }),
            held_bytes: Rc::default(),
            in_flight: RefCell::default(),
            writing: RefCell::default(),
            caller_left: Cell::new(false),
        })
    }

    pub(crate) fn head_limit_bytes(&self) -> usize {
        self.head_limit_bytes
    }

    /// What the HTTP library gets now that it asks for bytes.
    pub(crate) fn read_step(&self) -> ReadAction {
        let mut state = self.state.borrow_mut();
        loop {
            let unread_bytes = state.unread.len();
            match state.phase {
                Phase::Blind if unread_bytes == 0 => return ReadAction::PassDirectly,
                Phase::Blind => return ReadAction::Pass(unread_bytes),
                Phase::Between | Phase::Passing { .. } if unread_bytes == 0 => {
                    return ReadAction::Read;
                }
                Phase::Between => {
                    if !self.begin_to_pass(&mut state) {
                        return ReadAction::Read;
                    }
                }
                Phase::Passing { left_bytes, .. } => {
                    let left_bytes = usize::try_from(left_bytes).unwrap_or(usize::MAX);
                    return ReadAction::Pass(left_bytes.min(unread_bytes));
                }
                // The HTTP library asks for more of a request that seemed to be whole.
                Phase::Passed => self.doubt(&mut state),
                Phase::Answering => {
                    self.start_behind(&mut state);
                    return match AHEAD_LIMIT_BYTES.saturating_sub(unread_bytes) {
                        0 => ReadAction::Wait,
                        room_bytes => ReadAction::ReadAhead(room_bytes),
                    };
                }
            }
        }
    }

    /// Takes in bytes from the socket.
    pub(crate) fn on_read(&self, bytes: &[u8]) {
        self.state.borrow_mut().unread.extend_from_slice(bytes);
    }

    /// The socket has no more bytes. Whether those that are there are still passed on.
    pub(crate) fn on_end(&self) -> bool {
        self.caller_left.set(true);
        let mut state = self.state.borrow_mut();
        let has_part = state.phase == Phase::Between && !state.unread.is_empty();
        if has_part {
            state.phase = Phase::Blind;
        }
        has_part
    }

    /// Hands the next bytes, as many as fit, to the HTTP library.
    pub(crate) fn pass(&self, bytes_count: usize, take: impl FnOnce(&[u8])) {
        let mut state = self.state.borrow_mut();
        take(&state.unread[..bytes_count]);
        state.unread.advance(bytes_count);
        state.missing.pass(bytes_count);
        if state.unread.is_empty() && state.unread.capacity() > KEPT_BYTES {
            state.unread = BytesMut::new();
        }
        if let Phase::Passing {
            left_bytes,
            is_reached,
        } = state.phase
        {
            state.phase = match left_bytes - bytes_count as u64 {
                0 if is_reached => Phase::Answering,
                0 => Phase::Passed,
                left_bytes => Phase::Passing {
                    left_bytes,
                    is_reached,
                },
            };
        }
    }

    /// Begins to pass on the request at the start of the bytes, unless its head isn't there.
    fn begin_to_pass(&self, state: &mut RowState) -> bool {
        if let Some(started) = state.row.next_started() {
            let whole_bytes = started.size_bytes;
            state.started_bytes -= whole_bytes;
            state.phase = Phase::Passing {
                left_bytes: whole_bytes as u64,
                is_reached: false,
            };
            return true;
        }
        let unread_bytes = state.unread.len();
        let is_short = unread_bytes < self.head_limit_bytes;
        if is_short && !state.missing.may_be_there(&state.unread) {
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
            Framing::Partial | Framing::Unclear => state.phase = Phase::Blind,
            Framing::Known(frame) => {
                state.frame = frame;
                state.phase = Phase::Passing {
                    left_bytes: frame.whole_bytes(),
                    is_reached: false,
                };
            }
        }
        true
    }

    /// The HTTP library sees other requests than were seen here: from now on it gets all
    /// bytes as they come.
    fn doubt(&self, state: &mut RowState) {
        if state.phase == Phase::Blind {
            return;
        }
        state.phase = Phase::Blind;
        state.started_bytes = 0;
        state.row.abort();
        let caller = self
            .caller
            .map_or_else(String::new, |caller| caller.to_string());
        self.node.metrics.count("pipelined", "unclear");
        if self.node.metrics.take_log_permit(self.node.now()) {
            log::warn!(event = "pipelining_unclear", caller = caller.as_str();
                "where a request ended was read in two ways; nothing more is read ahead on this connection");
        }
    }

    /// Starts the requests that were read ahead and may run beside those before them.
    fn start_behind(&self, state: &mut RowState) {
        while self.may_look_behind(state) {
            let behind = &state.unread[state.started_bytes..];
            let frame = match frame_request(behind) {
                Framing::Known(frame) if frame.body_bytes <= SMALL_BODY_BYTES => frame,
                Framing::Partial => {
                    let seen_bytes = state.unread.len();
                    state.missing = Missing::HeadEnd { seen_bytes };
                    return;
                }
                Framing::Unclear | Framing::Known(_) => return state.row.pause(),
            };
            let whole_bytes = frame.whole_bytes() as usize;
            if behind.len() < whole_bytes {
                let least_bytes = state.started_bytes + whole_bytes;
                state.missing = Missing::Body { least_bytes };
                return;
            }
            let request = read_whole_request(&behind[..whole_bytes], frame);
            let Some(request) = request.filter(|_| frame.head_bytes <= self.head_limit_bytes)
            else {
                return state.row.pause();
            };
            let decisive = self.row_request(request.headers(), request.uri(), frame);
            if !state.row.may_start(decisive) {
                return;
            }
            let started = StartedRequest::start(
                &self.node,
                self.caller(),
                request,
                whole_bytes,
                Rc::clone(&self.held_bytes),
            );
            state.row.start(decisive, started);
            state.started_bytes += whole_bytes;
            state.missing = Missing::Unknown;
        }
    }

    fn may_look_behind(&self, state: &RowState) -> bool {
        state.unread.len() > state.started_bytes
            && state.missing.may_be_there(&state.unread)
            && self.node.stop_phase() == StopPhase::Serving
            && self.node.held_answers.get().has_room_for_pipelined()
            && state.row.can_read_ahead(self.held_bytes.get())
    }

    fn row_request(&self, headers: &HeaderMap, uri: &Uri, frame: RequestFrame) -> PipelinedRequest {
        let table = self.node.routes();
        let route = table.as_ref();
        let route = route.and_then(|table| find_route(table, headers, uri));
        PipelinedRequest {
            is_idempotent: route.is_some_and(|route| route.settings.repeat == Repeat::Idempotent),
            may_close_connection: frame.ends_row,
        }
    }

    /// The HTTP library has read the head of the next request.
    pub(crate) fn reach<B>(&self, request: &Request<B>) -> RequestSource {
        let mut state = self.state.borrow_mut();
        let state = &mut *state;
        match state.phase {
            Phase::Passed => state.phase = Phase::Answering,
            Phase::Passing {
                left_bytes,
                is_reached: false,
            } => {
                state.phase = Phase::Passing {
                    left_bytes,
                    is_reached: true,
                };
            }
            // Two requests where one was seen.
            Phase::Between | Phase::Passing { .. } | Phase::Answering => self.doubt(state),
            Phase::Blind => {}
        }
        state.missing = Missing::Unknown;
        if let Some(started) = state.row.advance_to_started() {
            return RequestSource::Started(started);
        }
        let is_whole = match state.phase {
            Phase::Passing { left_bytes, .. } => left_bytes <= state.unread.len() as u64,
            Phase::Answering => true,
            Phase::Between | Phase::Passed | Phase::Blind => false,
        };
        let has_body = state.frame.body_bytes > 0;
        let is_small = is_whole && state.frame.body_bytes <= SMALL_BODY_BYTES;
        let mut decisive = self.row_request(request.headers(), request.uri(), state.frame);
        decisive.may_close_connection |= !is_small;
        state.row.advance_to(decisive);
        *self.in_flight.borrow_mut() = Some(InFlightGuard::new(&self.node));
        if has_body && is_small {
            RequestSource::Whole
        } else {
            RequestSource::Streamed
        }
    }

    /// The request that was reached has its answer. Whether the connection ends with it.
    pub(crate) fn answered(&self, answer: &Response<BufferedBody>) -> bool {
        *self.writing.borrow_mut() = Some(HeldBytesGuard::new(&self.node, answer));
        let mut state = self.state.borrow_mut();
        state.phase = match state.phase {
            Phase::Answering => Phase::Between,
            // The HTTP library reads the rest of its body, or closes the connection.
            _ => Phase::Blind,
        };
        let is_stopping = self.node.stop_phase() > StopPhase::Serving;
        state.row.on_answered(is_stopping)
    }

    /// The bytes of the answer have left.
    pub(crate) fn on_written(&self) {
        if self.writing.borrow_mut().take().is_some() {
            *self.in_flight.borrow_mut() = None;
        }
    }

    /// Whether the caller has sent bytes that the HTTP library has not got.
    pub(crate) fn has_unread(&self) -> bool {
        !self.state.borrow().unread.is_empty()
    }

    /// The connection has ended: nothing of it goes on.
    pub(crate) fn end(&self) {
        self.state.borrow_mut().row.abort();
        *self.in_flight.borrow_mut() = None;
        *self.writing.borrow_mut() = None;
    }

    /// Whether no request was started that the HTTP library has not reached.
    pub(crate) fn is_alone(&self) -> bool {
        self.state.borrow().row.started_count() == 0
    }

    /// Whether the caller has closed the connection.
    pub(crate) fn caller_left(&self) -> bool {
        self.caller_left.get()
    }

    /// The caller of this connection, as requests carry it.
    pub(crate) fn caller(&self) -> Option<CallerAddress> {
        self.caller.map(CallerAddress)
    }

    /// The answer of a request that was started, if the HTTP library reads the same one.
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
                self.doubt(&mut self.state.borrow_mut());
                *self.in_flight.borrow_mut() = Some(InFlightGuard::new(&self.node));
                Err(request)
            }
        }
    }
}
