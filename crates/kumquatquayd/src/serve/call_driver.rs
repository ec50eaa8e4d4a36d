//! Carries out what the core decides about one call.

use std::{sync::Arc, time::Duration};

use bytes::Bytes;
use http::{
    HeaderMap, HeaderValue, Method, Request, Response, StatusCode, header, uri::PathAndQuery,
};
use http_body_util::{BodyExt, Limited};
use hyper::body::Incoming;
use kumquatquay_core::{
    AnswerHead, AttemptEnded, AttemptResult, CallArrived, CallEnding, CallId, CallInput, Node,
    StartAttempt, StoredAnswer,
};
use kumquatquay_wire::{AnswerContext, BodyDigest, LoadReport, Outcome, RequestContext, Sequence};
use tokio::sync::mpsc::UnboundedReceiver;

use super::server_context::ServerContext;
use crate::{
    continued::Continued,
    engine::CallEvent,
    http::{
        HOST_BETWEEN_NODES, OUTCOME, PeerFailure, RelayBody, RequestBody, copy_refusal_headers,
        forward_headers, header_text, lost_response, refusal_response, relayed,
    },
};

/// The unchanging part of a call, as it is sent with each attempt.
#[derive(Debug)]
pub(crate) struct CallRequest {
    /// HTTP method.
    pub(crate) method: Method,
    /// Path and query.
    pub(crate) path_and_query: PathAndQuery,
    /// Headers that pass through.
    pub(crate) headers: HeaderMap,
    /// The host that the caller asked for.
    pub(crate) host: Option<String>,
    /// The body.
    pub(crate) body: RequestBody,
    /// Whether the answer is kept for resends.
    pub(crate) is_operation: bool,
    /// The attempt of the node that forwarded an operation to this node, its
    /// home; that node needs an authenticated context with the answer.
    pub(crate) home_attempt: Option<Sequence>,
}

impl CallRequest {
    /// Digest of the body, if the whole body is held.
    pub(crate) fn body_digest(&self) -> Option<BodyDigest> {
        let body = self.body.whole()?;
        Some(*blake3::hash(body).as_bytes())
    }
}

/// Drives a call to its answer.
///
/// When the caller has gone, the core decides whether the call goes on.
pub(crate) async fn drive(
    context: &Arc<ServerContext>,
    request: CallRequest,
    arrived: impl FnOnce(CallId) -> CallArrived,
) -> Response<RelayBody> {
    let (call, events) = context.engine.begin_call();
    let driver = CallDriver {
        context: Arc::clone(context),
        call,
        request,
        events,
        answer: Answer::None,
    };
    let server = Arc::clone(context);
    let abandon = move || server.engine.handle(CallInput::Abandoned { call });
    context.engine.handle(CallInput::Arrived(arrived(call)));
    let response = Continued::new(&context.tasks, driver.run(), abandon).await;
    response.unwrap_or_else(|| {
        let text = "the node failed while it drove the call\n";
        lost_response(StatusCode::INTERNAL_SERVER_ERROR, text)
    })
}

/// The answer of the attempt that ended last.
enum Answer {
    None,
    Streamed(Box<Response<Incoming>>),
    Whole(http::response::Parts, Bytes),
}

struct CallDriver {
    context: Arc<ServerContext>,
    call: CallId,
    request: CallRequest,
    events: UnboundedReceiver<CallEvent>,
    answer: Answer,
}

impl CallDriver {
    async fn run(mut self) -> Option<Response<RelayBody>> {
        let ending = self.ending().await;
        self.context.engine.end_call(self.call);
        Some(self.respond(ending?))
    }

    /// Makes the attempts that the core asks for, until it ends the call.
    async fn ending(&mut self) -> Option<CallEnding> {
        let mut event = self.events.recv().await?;
        loop {
            event = match event {
                CallEvent::Finish(ending) => return Some(ending),
                CallEvent::Cancel(_) => self.events.recv().await?,
                CallEvent::Start(start) => self.attempt(start).await?,
            };
        }
    }

    /// Makes one attempt; returns the event that follows it.
    async fn attempt(&mut self, start: StartAttempt) -> Option<CallEvent> {
        let attempt = start.attempt;
        let request = self.peer_request(&start);
        let peers = self.context.peers.clone();
        let is_operation = self.request.is_operation;
        let exchange = async move {
            let Some(request) = request else {
                return Exchange::Failed(AttemptResult::NotSent);
            };
            let answer =
                tokio::time::timeout(start.timeout, peers.send(start.target, request)).await;
            Exchange::of(answer, is_operation).await
        };
        tokio::pin!(exchange);
        loop {
            tokio::select! {
                exchange = &mut exchange => {
                    let result = self.take_answer(exchange);
                    self.end_attempt(attempt, result);
                    return self.events.recv().await;
                }
                event = self.events.recv() => match event? {
                    CallEvent::Cancel(cancelled) if cancelled == attempt => {
                        return self.events.recv().await;
                    }
                    CallEvent::Cancel(_) => {}
                    event => return Some(event),
                },
            }
        }
    }

    fn end_attempt(&self, attempt: u64, result: AttemptResult) {
        let ended = AttemptEnded {
            call: self.call,
            attempt,
            result,
        };
        self.context.engine.handle(CallInput::AttemptEnded(ended));
    }

    /// Builds the request to the other node; `None` if the body is spent.
    fn peer_request(&mut self, start: &StartAttempt) -> Option<Request<RelayBody>> {
        let body = self
            .request
            .body
            .take(self.context.settings.body_limit_bytes)?;
        let uri = format!("http://{}{}", start.target, self.request.path_and_query);
        let mut request = Request::builder()
            .method(self.request.method.clone())
            .uri(uri)
            .body(body)
            .ok()?;
        *request.headers_mut() = self.request.headers.clone();
        let context = start.context.to_header(&self.context.key);
        insert(request.headers_mut(), RequestContext::HEADER, &context);
        if let Some(host) = &self.request.host {
            insert(request.headers_mut(), HOST_BETWEEN_NODES, host);
        }
        Some(request)
    }

    /// Keeps the answer for the call's end and tells what the core needs of it.
    fn take_answer(&mut self, exchange: Exchange) -> AttemptResult {
        let (result, answer) = match exchange {
            Exchange::Failed(result) => (result, Answer::None),
            Exchange::Streamed(response) => {
                let head = self.head_of(response.status(), response.headers(), None);
                (AttemptResult::Answered(head), Answer::Streamed(response))
            }
            Exchange::Whole(parts, body) => {
                let stored = stored_answer(&parts, &body);
                let head = self.head_of(parts.status, &parts.headers, stored);
                (AttemptResult::Answered(head), Answer::Whole(parts, body))
            }
        };
        self.answer = answer;
        result
    }

    fn head_of(
        &self,
        status: StatusCode,
        headers: &HeaderMap,
        stored: Option<StoredAnswer>,
    ) -> AnswerHead {
        let context = header_text(headers, AnswerContext::HEADER);
        AnswerHead {
            status: status.as_u16(),
            context: context
                .and_then(|text| AnswerContext::from_header(text, &self.context.key).ok()),
            stored,
        }
    }

    fn respond(&mut self, ending: CallEnding) -> Response<RelayBody> {
        let known = Known::of(&ending);
        let mut response = match ending {
            CallEnding::Refuse(refusal) => refusal_response(&refusal),
            CallEnding::Replay(stored) => replay(stored),
            CallEnding::PassAnswer { outcome, .. } => self.pass_answer(outcome),
        };
        if let Some(attempt) = self.request.home_attempt {
            let context = known.answer_context(attempt).to_header(&self.context.key);
            insert(response.headers_mut(), AnswerContext::HEADER, &context);
        }
        response
    }

    fn pass_answer(&mut self, outcome: Outcome) -> Response<RelayBody> {
        let (parts, body) = match std::mem::replace(&mut self.answer, Answer::None) {
            Answer::Streamed(response) => {
                let (parts, body) = response.into_parts();
                (parts, relayed(body))
            }
            Answer::Whole(parts, body) => (parts, crate::http::whole_body(body)),
            Answer::None => {
                let text = "the answer was lost in the node\n";
                return lost_response(StatusCode::BAD_GATEWAY, text);
            }
        };
        let mut response = Response::new(body);
        *response.status_mut() = parts.status;
        *response.headers_mut() = forward_headers(&parts.headers);
        copy_refusal_headers(&parts.headers, response.headers_mut());
        insert(response.headers_mut(), OUTCOME, &outcome.to_string());
        response
    }
}

/// What the home of an operation tells the node that forwarded it.
struct Known {
    outcome: Outcome,
    allowance_returned_count: u16,
    retry_after: Option<Duration>,
}

impl Known {
    fn of(ending: &CallEnding) -> Self {
        let (outcome, allowance_returned_count, retry_after) = match ending {
            CallEnding::PassAnswer {
                outcome,
                allowance_returned_count,
                ..
            } => (*outcome, *allowance_returned_count, None),
            CallEnding::Replay(_) => (Outcome::Ran, 0, None),
            CallEnding::Refuse(refusal) => (refusal.outcome, 0, refusal.retry_after),
        };
        Self {
            outcome,
            allowance_returned_count,
            retry_after,
        }
    }

    fn answer_context(&self, attempt: Sequence) -> AnswerContext {
        let retry_after = self.retry_after.unwrap_or_default();
        AnswerContext {
            attempts_count: 0,
            attempt,
            outcome: self.outcome,
            allowance_returned_count: self.allowance_returned_count,
            levels: Vec::new(),
            load: LoadReport::default(),
            is_leaving: false,
            retry_after_ms: retry_after.as_millis() as u32,
        }
    }
}

/// What came of sending an attempt.
enum Exchange {
    Failed(AttemptResult),
    Streamed(Box<Response<Incoming>>),
    Whole(http::response::Parts, Bytes),
}

impl Exchange {
    async fn of(
        answer: Result<Result<Response<Incoming>, PeerFailure>, tokio::time::error::Elapsed>,
        is_operation: bool,
    ) -> Self {
        match answer {
            Err(_) => Self::Failed(AttemptResult::TimedOut),
            Ok(Err(PeerFailure::NotSent)) => Self::Failed(AttemptResult::NotSent),
            Ok(Err(PeerFailure::Broken)) => Self::Failed(AttemptResult::Broken),
            Ok(Ok(response)) if is_operation => Self::whole(response).await,
            Ok(Ok(response)) => Self::Streamed(Box::new(response)),
        }
    }

    /// Reads the answer of an operation whole, so that it can be kept.
    async fn whole(response: Response<Incoming>) -> Self {
        let length = response.headers().get(header::CONTENT_LENGTH);
        let length = length.and_then(|value| value.to_str().ok()?.parse::<usize>().ok());
        if length.is_none_or(|length| length > Node::STORED_ANSWER_LIMIT_BYTES) {
            return Self::Streamed(Box::new(response));
        }
        let (parts, body) = response.into_parts();
        let body = Limited::new(body, Node::STORED_ANSWER_LIMIT_BYTES);
        match tokio::time::timeout(WHOLE_ANSWER_TIMEOUT, body.collect()).await {
            Ok(Ok(body)) => Self::Whole(parts, body.to_bytes()),
            Ok(Err(_)) => Self::Failed(AttemptResult::Broken),
            Err(_) => Self::Failed(AttemptResult::TimedOut),
        }
    }
}

/// How long the body of an operation's answer may take after its head.
const WHOLE_ANSWER_TIMEOUT: Duration = Duration::from_secs(10);

fn stored_answer(parts: &http::response::Parts, body: &Bytes) -> Option<StoredAnswer> {
    let content_type = header_text(&parts.headers, header::CONTENT_TYPE.as_str());
    Some(StoredAnswer {
        status: parts.status.as_u16(),
        content_type: content_type.map(String::from),
        body: body.to_vec(),
    })
}

fn replay(stored: StoredAnswer) -> Response<RelayBody> {
    let mut response = Response::new(crate::http::whole_body(Bytes::from(stored.body)));
    *response.status_mut() = StatusCode::from_u16(stored.status).unwrap_or(StatusCode::OK);
    if let Some(content_type) = &stored.content_type {
        insert(
            response.headers_mut(),
            header::CONTENT_TYPE.as_str(),
            content_type,
        );
    }
    insert(response.headers_mut(), OUTCOME, &Outcome::Ran.to_string());
    response
}

/// Sets a header; a value that HTTP can't carry is left out.
pub(crate) fn insert(headers: &mut HeaderMap, name: &'static str, value: &str) {
    if let Ok(value) = HeaderValue::from_str(value) {
        headers.insert(name, value);
    }
}
