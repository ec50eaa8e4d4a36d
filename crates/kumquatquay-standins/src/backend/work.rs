//! One request while it runs.

use std::{sync::Arc, time::Duration};

use bytes::Bytes;
use http::{HeaderMap, HeaderName, Method, Request};
use http_body_util::Full;
use tokio::time::Instant;

use super::{
    Call,
    egress_client::CallAnswer,
    running_backend_server::{BackendState, crash},
};
use crate::{EffectLedger, MarkedAnswer, RunId, headers};

/// What a backend server knows of a request.
#[derive(Debug)]
pub(crate) struct Work {
    pub(crate) marker: String,
    pub(crate) deadline: Instant,
    method: Method,
    effect: Option<String>,
    crash_service: Option<String>,
    service_time: Option<Duration>,
    passed_on: Vec<(HeaderName, http::HeaderValue)>,
}

/// How the run of a request ended.
pub(crate) enum WorkEnding {
    Completed,
    Expired,
    Crashed,
    /// A call failed, with this answer if there was one.
    CallFailed(Option<CallAnswer>),
}

impl Work {
    pub(crate) fn new(method: Method, head: &HeaderMap, deadline: Instant) -> Self {
        let text = |name: &str| {
            let value = head.get(name).and_then(|value| value.to_str().ok());
            value.map(str::to_owned)
        };
        let passed_on = headers::TRACE.iter().filter_map(|name| {
            let value = head.get(*name)?;
            Some((HeaderName::from_static(name), value.clone()))
        });
        let service_time_ms = text(headers::SERVICE_TIME_MS).and_then(|text| text.parse().ok());
        Self {
            marker: text(headers::MARKER).unwrap_or_default(),
            deadline,
            method,
            effect: text(headers::EFFECT),
            crash_service: text(headers::CRASH),
            service_time: service_time_ms.map(Duration::from_millis),
            passed_on: passed_on.collect(),
        }
    }

    /// What the whole request is about: the same over its resends, as the
    /// marker at the entry is but for the number of the send.
    fn record(&self) -> &str {
        let root = self.marker.split('/').next().unwrap_or_default();
        root.rsplit_once('.').map_or(root, |(record, _)| record)
    }

    /// The effect, if the request is one that must not run twice.
    fn effect_of_run(&self) -> Option<&str> {
        let is_effect = self.method == Method::POST;
        self.effect.as_deref().filter(|_| is_effect)
    }
}

pub(crate) async fn run(state: &Arc<BackendState>, work: &Work) -> WorkEnding {
    let mut running = Running::start(state, work);
    if work.crash_service.as_deref() == Some(state.settings.service.as_str()) {
        crash(state);
        return WorkEnding::Crashed;
    }
    let steps = run_steps(state, work, running.run);
    let ending = tokio::time::timeout_at(work.deadline, steps).await;
    let ending = ending.unwrap_or(WorkEnding::Expired);
    running.end(&ending);
    ending
}

/// Works, calls the other services one after the other, and works again.
async fn run_steps(state: &BackendState, work: &Work, run: RunId) -> WorkEnding {
    let own_time = work
        .service_time
        .unwrap_or_else(|| state.draw_service_time());
    work_for(&state.settings.ledger, run, own_time / 2).await;
    for (index, call) in state.settings.calls.iter().enumerate() {
        if let Err(answer) = make_call(state, work, (run, index), call).await {
            return WorkEnding::CallFailed(answer);
        }
    }
    work_for(&state.settings.ledger, run, own_time / 2).await;
    WorkEnding::Completed
}

/// Takes the time even if the work is dropped half-way.
struct Stopwatch<'a>(&'a EffectLedger, RunId, Instant);

impl Drop for Stopwatch<'_> {
    fn drop(&mut self) {
        self.0.spent(self.1, self.2.elapsed());
    }
}

async fn work_for(ledger: &EffectLedger, run: RunId, duration: Duration) {
    if duration.is_zero() {
        // A timer would take a millisecond even for no time at all.
        return;
    }
    let _stopwatch = Stopwatch(ledger, run, Instant::now());
    tokio::time::sleep(duration).await;
}

async fn make_call(
    state: &BackendState,
    work: &Work,
    (run, index): (RunId, usize),
    call: &Call,
) -> Result<(), Option<CallAnswer>> {
    // A parent that is run again makes calls of its own: without the run, its
    // refused call would look like the one that an earlier run completed.
    let marker = format!("{}/{run}.{index}", work.marker);
    let request = call_request(work, call, &marker);
    let answer = state.client.call(request).await.map_err(|_| None)?;
    let ledger = &state.settings.ledger;
    if answer
        .headers
        .get(headers::OUTCOME)
        .is_some_and(|value| value == "not-run")
    {
        let reason = answer.headers.get(headers::REASON);
        let reason = reason.and_then(|reason| reason.to_str().ok());
        ledger.told_not_run(&marker, reason.unwrap_or_default());
    }
    if !answer.status.is_success() {
        return Err(Some(answer));
    }
    if !MarkedAnswer::is_own(&answer.body, &marker) {
        ledger.answered_foreign();
        return Err(None);
    }
    Ok(())
}

fn call_request(work: &Work, call: &Call, marker: &str) -> Request<Full<Bytes>> {
    let remaining = work.deadline.saturating_duration_since(Instant::now());
    let effect = work.effect.as_ref().filter(|_| call.carries_effect);
    let method = effect.map_or(Method::GET, |_| work.method.clone());
    let mut builder = Request::builder()
        .method(method)
        .uri(format!("/{}?record={}", call.service, work.record()))
        .header(headers::SERVICE, &call.service)
        .header(headers::MARKER, marker)
        .header(headers::TIMEOUT_MS, remaining.as_millis().to_string());
    for (name, value) in &work.passed_on {
        builder = builder.header(name, value);
    }
    if let Some(effect) = effect {
        builder = builder.header(headers::EFFECT, effect);
    }
    if let Some(service) = &work.crash_service {
        builder = builder.header(headers::CRASH, service);
    }
    let request = builder.body(Full::new(Bytes::new()));
    request.expect("names and markers are header text")
}

/// Counts a request from its start to its end, however it ends.
struct Running<'a> {
    state: &'a BackendState,
    run: RunId,
    is_ended: bool,
}

impl<'a> Running<'a> {
    fn start(state: &'a BackendState, work: &Work) -> Self {
        let settings = &state.settings;
        let effect = work.effect_of_run();
        let run = settings
            .ledger
            .started(&work.marker, &settings.service, effect);
        let mut variable = state.lock();
        let statistics = &mut variable.statistics;
        statistics.running_count += 1;
        statistics.running_peak_count = statistics.running_peak_count.max(statistics.running_count);
        drop(variable);
        Self {
            state,
            run,
            is_ended: false,
        }
    }

    fn end(&mut self, ending: &WorkEnding) {
        self.is_ended = true;
        let statistics = &mut self.state.lock().statistics;
        match ending {
            WorkEnding::Completed => statistics.completed_count += 1,
            WorkEnding::Expired => statistics.expired_count += 1,
            WorkEnding::Crashed | WorkEnding::CallFailed(_) => {}
        }
    }
}

impl Drop for Running<'_> {
    fn drop(&mut self) {
        let statistics = &mut self.state.lock().statistics;
        statistics.running_count = statistics.running_count.saturating_sub(1);
        if !self.is_ended {
            statistics.cancelled_count += 1;
        }
    }
}
