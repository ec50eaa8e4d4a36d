//! The log's HTTP interface.

use std::{
    sync::Arc,
    time::{Duration, SystemTime},
};

use base64::{Engine, engine::general_purpose::URL_SAFE_NO_PAD};
use bytes::Bytes;
use http::{Method, Request, Response, StatusCode};
use http_body_util::{BodyExt, Full, Limited};
use hyper::body::Incoming;
use serde::Serialize;
use tokio::time::Instant;

use super::{
    LogFault,
    platform_log::LogState,
    stream_table::{Page, StoredRecord},
};
use crate::http_listener::{Answer, NoAnswer};

/// Longest record.
const RECORD_LIMIT_BYTES: usize = 1024 * 1024;

/// Longest wait of a read.
const WAIT_LIMIT: Duration = Duration::from_secs(30);

/// Records a read, unless it asks for fewer.
const PAGE_LIMIT_COUNT: usize = 1000;

#[derive(Serialize)]
struct AppendAnswer {
    offset: u64,
}

#[derive(Serialize)]
struct ReadAnswer {
    oldest_offset: u64,
    next_offset: u64,
    era: u64,
    records: Vec<RecordAnswer>,
}

#[derive(Serialize)]
struct RecordAnswer {
    offset: u64,
    appended_unix_ms: u64,
    bytes: String,
}

/// What a read asks for.
struct ReadQuery {
    from: u64,
    limit_count: usize,
    wait: Duration,
}

pub(crate) async fn answer(
    state: Arc<LogState>,
    request: Request<Incoming>,
) -> Result<Answer, NoAnswer> {
    if let LogFault::Slow(delay) = state.fault() {
        tokio::time::sleep(delay).await;
    }
    match state.fault() {
        LogFault::Down => return Err(NoAnswer),
        LogFault::Refusing => return Ok(plain(StatusCode::SERVICE_UNAVAILABLE)),
        _ => {}
    }
    let Some(stream) = stream_of(request.uri().path()) else {
        return Ok(plain(StatusCode::NOT_FOUND));
    };
    match *request.method() {
        Method::POST => append(&state, &stream, request).await,
        Method::GET => Ok(read(&state, &stream, request.uri().query()).await),
        _ => Ok(plain(StatusCode::METHOD_NOT_ALLOWED)),
    }
}

/// The stream in `/streams/{stream}/records`; its name may contain slashes.
fn stream_of(path: &str) -> Option<String> {
    let stream = path.strip_prefix("/streams/")?.strip_suffix("/records")?;
    (!stream.is_empty()).then(|| stream.to_owned())
}

async fn append(
    state: &LogState,
    stream: &str,
    request: Request<Incoming>,
) -> Result<Answer, NoAnswer> {
    let body = Limited::new(request.into_body(), RECORD_LIMIT_BYTES)
        .collect()
        .await;
    let Ok(body) = body else {
        return Ok(plain(StatusCode::PAYLOAD_TOO_LARGE));
    };
    if state.fault() == LogFault::AnswerLostBeforeAppend {
        return Err(NoAnswer);
    }
    let Some(offset) = state.append(stream, body.to_bytes()) else {
        return Ok(plain(StatusCode::SERVICE_UNAVAILABLE));
    };
    if state.fault() == LogFault::AnswerLostAfterAppend {
        return Err(NoAnswer);
    }
    Ok(json(StatusCode::CREATED, &AppendAnswer { offset }))
}

async fn read(state: &LogState, stream: &str, query: Option<&str>) -> Answer {
    let query = ReadQuery::of(query.unwrap_or_default());
    let end = Instant::now() + query.wait;
    let mut changes = state.changes();
    loop {
        changes.borrow_and_update();
        let page = state.read(stream, query.from, query.limit_count);
        let is_late = Instant::now() >= end;
        if is_late || !page.records.is_empty() || page.oldest_offset > query.from {
            return json(StatusCode::OK, &ReadAnswer::of(page));
        }
        let _ = tokio::time::timeout_at(end, changes.changed()).await;
    }
}

impl ReadQuery {
    fn of(query: &str) -> Self {
        let value = |name: &str| {
            let mut pairs = query.split('&').filter_map(|pair| pair.split_once('='));
            let found = pairs.find(|(key, _)| *key == name);
            found.and_then(|(_, value)| value.parse::<u64>().ok())
        };
        let limit_count = value("limit_count").unwrap_or(u64::MAX);
        Self {
            from: value("from").unwrap_or_default(),
            limit_count: limit_count.min(PAGE_LIMIT_COUNT as u64) as usize,
            wait: Duration::from_millis(value("wait_ms").unwrap_or_default()).min(WAIT_LIMIT),
        }
    }
}

impl ReadAnswer {
    fn of(page: Page) -> Self {
        Self {
            oldest_offset: page.oldest_offset,
            next_offset: page.next_offset,
            era: page.era,
            records: page.records.iter().map(RecordAnswer::of).collect(),
        }
    }
}

impl RecordAnswer {
    fn of(record: &StoredRecord) -> Self {
        let since_epoch = record.appended.duration_since(SystemTime::UNIX_EPOCH);
        Self {
            offset: record.offset,
            appended_unix_ms: since_epoch.map_or(0, |age| age.as_millis() as u64),
            bytes: URL_SAFE_NO_PAD.encode(&record.bytes),
        }
    }
}

fn plain(status: StatusCode) -> Answer {
    let mut answer = Response::new(Full::new(Bytes::new()));
    *answer.status_mut() = status;
    answer
}

fn json(status: StatusCode, value: &impl Serialize) -> Answer {
    let body = serde_json::to_vec(value).expect("an answer of the log is always JSON");
    let mut answer = Response::new(Full::new(Bytes::from(body)));
    *answer.status_mut() = status;
    answer
}
