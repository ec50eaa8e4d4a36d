//! Carries out what the core decides about one piece of work.

use std::{net::SocketAddr, sync::Arc, time::Duration};

use http::{HeaderMap, HeaderValue, Request, Response, StatusCode, header, uri::PathAndQuery};
use hyper::body::Incoming;
use kumquatquay_core::{BackendInput, RunWork, WorkId, WorkInput, WorkResult};
use kumquatquay_wire::{AnswerContext, RequestContext};
use tokio::sync::mpsc::UnboundedReceiver;

use super::{call_driver::insert, server_context::ServerContext};
use crate::{
    continued::Continued,
    engine::WorkEvent,
    http::{
        BackendClient, BackendFailure, HOST_BETWEEN_NODES, NOT_RUN, RelayBody, RequestBody,
        forward_headers, header_text, lost_response, plain_response, refusal_response, tracked,
        write_trace_headers,
    },
};

/// Tells the backend server how long it has.
const DEADLINE_MS: &str = "kumquatquay-deadline-ms";

/// Drives a piece of work to its answer.
///
/// When the sending node has gone, the core decides whether the work goes on.
pub(crate) async fn drive(
    context: &Arc<ServerContext>,
    request_context: RequestContext,
    request: Request<Incoming>,
) -> Response<RelayBody> {
    let (parts, body) = request.into_parts();
    let body = match context.read_body(body).await {
        Ok(body) => body,
        Err(response) => return response,
    };
    let (work, events) = context.engine.begin_work();
    let driver = WorkDriver {
        context: Arc::clone(context),
        work,
        is_idempotent: request_context.is_idempotent,
        parts,
        body,
        events,
    };
    let server = Arc::clone(context);
    let cancel = move || server.engine.handle(WorkInput::Cancelled { work });
    context.engine.handle(WorkInput::Arrived {
        work,
        context: request_context,
    });
    let response = Continued::new(&context.tasks, driver.run(), cancel).await;
    response.unwrap_or_else(|| {
        let text = "the work was given up\n";
        lost_response(StatusCode::BAD_GATEWAY, text)
    })
}

struct WorkDriver {
    context: Arc<ServerContext>,
    work: WorkId,
    is_idempotent: bool,
    parts: http::request::Parts,
    body: RequestBody,
    events: UnboundedReceiver<WorkEvent>,
}

impl WorkDriver {
    async fn run(mut self) -> Option<Response<RelayBody>> {
        let response = self.response().await;
        self.context.engine.end_work(self.work);
        response
    }

    async fn response(&mut self) -> Option<Response<RelayBody>> {
        match self.events.recv().await? {
            WorkEvent::Run(run) => self.exchange(run).await,
            WorkEvent::Refuse(refusal, context) => {
                let mut response = refusal_response(&refusal);
                self.seal(&mut response, &context);
                Some(response)
            }
            WorkEvent::Answer(_) | WorkEvent::Cancel => None,
        }
    }

    /// Hands the work over and waits for the answer or the cancellation.
    async fn exchange(&mut self, run: RunWork) -> Option<Response<RelayBody>> {
        let Some(address) = self.backend_address() else {
            return self.fail(WorkResult::NotSent).await;
        };
        let request = self.backend_request(address, &run);
        let Some(request) = request else {
            return self.fail(WorkResult::NotSent).await;
        };
        let client = self.context.backend.clone();
        let sent = client.send(request, self.is_idempotent);
        let answer = tokio::select! {
            answer = tokio::time::timeout(run.timeout, sent) => answer,
            () = cancelled(&mut self.events) => {
                self.finished();
                return None;
            }
        };
        match answer {
            Ok(Ok(response)) => self.pass_on(response).await,
            Ok(Err(BackendFailure::NotSent)) => {
                self.tell_if_gone(address).await;
                self.fail(WorkResult::NotSent).await
            }
            Ok(Err(BackendFailure::Broken)) => {
                self.tell_if_gone(address).await;
                self.fail(WorkResult::Broken).await
            }
            Err(_) => self.fail(WorkResult::TimedOut).await,
        }
    }

    fn backend_address(&self) -> Option<SocketAddr> {
        let address = self.context.backend_address.load();
        address.as_deref().copied()
    }

    /// Tells the core of the backend server's death before the failures that it
    /// causes, while everything that was in flight still is.
    async fn tell_if_gone(&self, address: SocketAddr) {
        if BackendClient::is_gone(address).await {
            self.context.engine.handle(BackendInput::Died);
        }
    }

    fn backend_request(
        &mut self,
        address: SocketAddr,
        run: &RunWork,
    ) -> Option<Request<RelayBody>> {
        let body = self.body.take(self.context.settings.body_limit_bytes)?;
        let root = PathAndQuery::from_static("/");
        let path = self.parts.uri.path_and_query().unwrap_or(&root);
        let mut request = Request::builder()
            .method(self.parts.method.clone())
            .uri(format!("http://{address}{path}"))
            .body(body)
            .ok()?;
        let mut headers = forward_headers(&self.parts.headers);
        if let Some(host) = header_text(&self.parts.headers, HOST_BETWEEN_NODES) {
            insert_host(&mut headers, host);
        }
        write_trace_headers(&mut headers, run.trace, run.token);
        insert(
            &mut headers,
            DEADLINE_MS,
            &run.timeout.as_millis().to_string(),
        );
        *request.headers_mut() = headers;
        Some(request)
    }

    async fn pass_on(&mut self, answer: Response<Incoming>) -> Option<Response<RelayBody>> {
        let status = answer.status();
        let result = WorkResult::Answered {
            status: status.as_u16(),
            says_not_run: says_not_run(status, answer.headers()),
        };
        let context = self.report(result).await;
        let (parts, body) = answer.into_parts();
        let server = Arc::clone(&self.context);
        let work = self.work;
        let body = tracked(body, move || {
            server.engine.handle(WorkInput::Finished { work });
        });
        let mut response = Response::new(body);
        *response.status_mut() = status;
        *response.headers_mut() = forward_headers(&parts.headers);
        self.seal(&mut response, &context?);
        Some(response)
    }

    /// Reports that there is no answer; the core's context says what is known.
    async fn fail(&mut self, result: WorkResult) -> Option<Response<RelayBody>> {
        let context = self.report(result).await;
        self.finished();
        let mut response = plain_response(status_of(result), "text/plain", "no answer\n");
        let context = context?;
        insert(
            response.headers_mut(),
            crate::http::OUTCOME,
            &context.outcome.to_string(),
        );
        self.seal(&mut response, &context);
        Some(response)
    }

    /// Tells the core what came of the work; returns what goes with the answer.
    async fn report(&mut self, result: WorkResult) -> Option<AnswerContext> {
        let work = self.work;
        self.context
            .engine
            .handle(WorkInput::Answered { work, result });
        loop {
            match self.events.recv().await? {
                WorkEvent::Answer(context) => return Some(context),
                WorkEvent::Cancel => return None,
                WorkEvent::Run(_) | WorkEvent::Refuse(..) => {}
            }
        }
    }

    fn finished(&self) {
        let work = self.work;
        self.context.engine.handle(WorkInput::Finished { work });
    }

    fn seal(&self, response: &mut Response<RelayBody>, context: &AnswerContext) {
        let sealed = context.to_header(&self.context.key);
        insert(response.headers_mut(), AnswerContext::HEADER, &sealed);
    }
}

/// The status for work without an answer. A broken connection must look unlike
/// a timeout: the sending node takes the first for a sign of a crash.
fn status_of(result: WorkResult) -> StatusCode {
    match result {
        WorkResult::NotSent => StatusCode::SERVICE_UNAVAILABLE,
        WorkResult::TimedOut => StatusCode::GATEWAY_TIMEOUT,
        WorkResult::Broken | WorkResult::Answered { .. } => StatusCode::BAD_GATEWAY,
    }
}

/// Waits until the core cancels the work.
async fn cancelled(events: &mut UnboundedReceiver<WorkEvent>) {
    loop {
        match events.recv().await {
            Some(WorkEvent::Cancel) => return,
            Some(_) => {}
            // The engine keeps its sender until the work has ended.
            None => tokio::time::sleep(Duration::MAX).await,
        }
    }
}

fn insert_host(headers: &mut HeaderMap, host: &str) {
    if let Ok(host) = HeaderValue::from_str(host) {
        headers.insert(header::HOST, host);
    }
}

/// The documented statement of a backend server that it did not run a request.
///
/// The status alone is no proof: a backend server may say 503 after it ran.
fn says_not_run(status: StatusCode, headers: &HeaderMap) -> bool {
    let may_say =
        status == StatusCode::SERVICE_UNAVAILABLE || status == StatusCode::TOO_MANY_REQUESTS;
    may_say && header_text(headers, NOT_RUN) == Some("true")
}
