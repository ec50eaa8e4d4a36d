//! From a request to its answer.

use std::{sync::Arc, time::Duration};

use bytes::Bytes;
use http::{HeaderMap, Method, Request, Response, StatusCode};
use http_body_util::{BodyExt, Full};
use hyper::body::Incoming;
use serde::Serialize;
use tokio::{
    sync::{OwnedSemaphorePermit, Semaphore},
    time::Instant,
};

use super::{
    HealthReport, LoadReportMode,
    running_backend_server::BackendState,
    work::{self, Work, WorkEnding},
};
use crate::{
    MarkedAnswer, headers,
    http_listener::{Answer, NoAnswer},
};

/// Time for a request that names no deadline.
const DEFAULT_DEADLINE: Duration = Duration::from_secs(30);

#[derive(Serialize)]
struct LoadAnswer {
    running_count: u64,
}

pub(crate) async fn answer(
    state: Arc<BackendState>,
    request: Request<Incoming>,
) -> Result<Answer, NoAnswer> {
    if !request.headers().contains_key(headers::MARKER) {
        match (request.method(), request.uri().path()) {
            (&Method::GET, "/health") => return Ok(health(&state)),
            (&Method::GET, "/load") => return Ok(load(&state)),
            // Meant for a node; running it would count as work.
            (&Method::POST, "/announcements") => return Ok(plain(StatusCode::NOT_FOUND)),
            _ => {}
        }
    }
    let generation = state.listening.generation();
    let running = serve(&state, request);
    let served = generation.run_until_cancelled(running).await;
    served.unwrap_or(Err(NoAnswer))
}

fn health(state: &BackendState) -> Answer {
    let variable = state.lock();
    let is_healthy = match variable.health {
        HealthReport::Honest => variable.drained.is_none(),
        HealthReport::AlwaysHealthy => true,
        HealthReport::AlwaysSick => false,
    };
    if is_healthy {
        plain(StatusCode::OK)
    } else {
        plain(StatusCode::SERVICE_UNAVAILABLE)
    }
}

fn load(state: &BackendState) -> Answer {
    let variable = state.lock();
    let running_count = match variable.load {
        LoadReportMode::Honest => variable.statistics.running_count,
        LoadReportMode::AlwaysIdle => 0,
        LoadReportMode::AlwaysFull => u64::from(state.settings.slots_count),
    };
    json(StatusCode::OK, &LoadAnswer { running_count })
}

async fn serve(state: &Arc<BackendState>, request: Request<Incoming>) -> Result<Answer, NoAnswer> {
    let (head, body) = request.into_parts();
    let work = Work::new(head.method, &head.headers, deadline_of(&head.headers));
    note_arrival(state, &work);
    read_to_end(body).await?;
    let Some(slot) = wait_for_slot(state, work.deadline).await else {
        state.lock().statistics.shed_count += 1;
        return Ok(shed());
    };
    let ending = work::run(state, &work).await;
    drop(slot);
    answer_ending(state, &work, ending)
}

fn note_arrival(state: &BackendState, work: &Work) {
    state.settings.ledger.arrived(&work.marker);
    let mut variable = state.lock();
    variable.statistics.arrived_count += 1;
    if let Some(drained) = variable.drained {
        let after_drain_ms = drained.elapsed().as_millis() as u64;
        variable.statistics.work_after_drain_ms = Some(after_drain_ms);
    }
}

fn deadline_of(headers: &HeaderMap) -> Instant {
    let value = headers.get(headers::DEADLINE_MS);
    let text = value.and_then(|value| value.to_str().ok());
    let given = text.and_then(|text| text.parse().ok());
    Instant::now() + given.map_or(DEFAULT_DEADLINE, Duration::from_millis)
}

/// Reads the body piece by piece, so that large uploads are never held whole.
async fn read_to_end(mut body: Incoming) -> Result<(), NoAnswer> {
    while let Some(frame) = body.frame().await {
        frame.map_err(|_| NoAnswer)?;
    }
    Ok(())
}

/// A place in the queue, given back when the wait ends in whatever way.
struct QueuePlace<'a>(&'a BackendState, Arc<Semaphore>);

impl Drop for QueuePlace<'_> {
    fn drop(&mut self) {
        let mut variable = self.0.lock();
        // After a crash the new process counts its own queue.
        if Arc::ptr_eq(&variable.slots, &self.1) {
            variable.waiting_count -= 1;
        }
    }
}

async fn wait_for_slot(state: &BackendState, deadline: Instant) -> Option<OwnedSemaphorePermit> {
    let place = {
        let mut variable = state.lock();
        let slots = variable.slots.clone();
        if let Ok(slot) = slots.clone().try_acquire_owned() {
            return Some(slot);
        }
        if variable.waiting_count >= state.settings.queue_count {
            return None;
        }
        variable.waiting_count += 1;
        QueuePlace(state, slots)
    };
    let waiting = place.1.clone().acquire_owned();
    let slot = tokio::time::timeout_at(deadline, waiting).await;
    slot.ok()?.ok()
}

fn answer_ending(
    state: &Arc<BackendState>,
    work: &Work,
    ending: WorkEnding,
) -> Result<Answer, NoAnswer> {
    match ending {
        WorkEnding::Crashed => Err(NoAnswer),
        WorkEnding::Expired => Ok(plain(StatusCode::GATEWAY_TIMEOUT)),
        WorkEnding::CallFailed(Some(refusal)) if state.settings.passes_on_refusals => {
            Ok(pass_on(refusal.status, &refusal.headers))
        }
        WorkEnding::CallFailed(_) => Ok(plain(StatusCode::BAD_GATEWAY)),
        WorkEnding::Completed if state.settings.refuses_after_run => {
            Ok(plain(StatusCode::SERVICE_UNAVAILABLE))
        }
        WorkEnding::Completed => Ok(complete(state, work)),
    }
}

fn complete(state: &BackendState, work: &Work) -> Answer {
    let mut variable = state.lock();
    let previous = std::mem::replace(&mut variable.last_marker, work.marker.clone());
    drop(variable);
    let marker = if state.settings.swaps_answers {
        previous
    } else {
        work.marker.clone()
    };
    let answer = MarkedAnswer {
        marker,
        service: state.settings.service.clone(),
        filler: String::new(),
    };
    json(StatusCode::OK, &answer)
}

/// Says by the documented statement that the request was not run.
fn shed() -> Answer {
    let mut answer = plain(StatusCode::SERVICE_UNAVAILABLE);
    let value = http::HeaderValue::from_static("true");
    answer.headers_mut().insert(headers::NOT_RUN, value);
    answer
}

fn pass_on(status: StatusCode, from: &HeaderMap) -> Answer {
    let mut answer = plain(status);
    for name in [headers::OUTCOME, headers::REASON, headers::NOT_RUN] {
        if let Some(value) = from.get(name) {
            answer.headers_mut().insert(name, value.clone());
        }
    }
    answer
}

fn plain(status: StatusCode) -> Answer {
    let mut answer = Response::new(Full::new(Bytes::new()));
    *answer.status_mut() = status;
    answer
}

fn json(status: StatusCode, value: &impl Serialize) -> Answer {
    let body = serde_json::to_vec(value).expect("an answer of a stand-in is always JSON");
    let mut answer = Response::new(Full::new(Bytes::from(body)));
    *answer.status_mut() = status;
    answer
}
