//! Appends to and reads from the platform's log.

use std::{net::SocketAddr, sync::Arc, time::Duration};

use bytes::Bytes;
use derive_more::{Display, Error, From};
use http::{Method, Request, Response, StatusCode};
use http_body_util::{BodyExt, Full, LengthLimitError, Limited};
use hyper::body::Incoming;
use hyper_util::{
    client::legacy::{self, Client, connect::HttpConnector},
    rt::{TokioExecutor, TokioTimer},
};
use kumquatquay_core::{AppendId, LogInput, ReadId};
use kumquatquay_wire::{LogOffset, StreamName};
use tokio::sync::Semaphore;

use super::log_records::{AppendAnswer, ReadAnswer};
use crate::{engine::Engine, reach::Reach};

/// How long an append may take before its fate is unsure.
const APPEND_TIMEOUT: Duration = Duration::from_secs(2);

/// How long a read may take besides the time that the log may wait.
///
/// A log that is slow is not a log that is down: the core goes on after 12 s.
const READ_TIMEOUT: Duration = Duration::from_secs(10);

/// How long connecting to the log may take.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(2);

/// The longest answer of the log, in bytes.
const ANSWER_LIMIT_BYTES: usize = 4 * 1024 * 1024;

/// Records in one answer.
const RECORDS_LIMIT_COUNT: usize = 256;

/// Exchanges with the log at the same time; more wait their turn.
const EXCHANGES_LIMIT_COUNT: usize = 32;

/// Talks to the platform's log and tells the core what came of it.
#[derive(Clone, Debug)]
pub(crate) struct LogClient {
    engine: Arc<Engine>,
    address: Option<SocketAddr>,
    reach: Reach,
    client: Client<HttpConnector, Full<Bytes>>,
    limit: Arc<Semaphore>,
}

impl LogClient {
    pub(crate) fn new(engine: Arc<Engine>, address: Option<SocketAddr>, reach: Reach) -> Self {
        let mut connector = HttpConnector::new();
        connector.set_connect_timeout(Some(CONNECT_TIMEOUT));
        connector.set_nodelay(true);
        let client = Client::builder(TokioExecutor::new())
            .pool_timer(TokioTimer::new())
            .retry_canceled_requests(false)
            .build(connector);
        Self {
            engine,
            address,
            reach,
            client,
            limit: Arc::new(Semaphore::new(EXCHANGES_LIMIT_COUNT)),
        }
    }

    /// Appends a record.
    pub(crate) async fn append(self, append: AppendId, stream: StreamName, record: Vec<u8>) {
        let _permit = self.limit.acquire().await;
        let input = self.append_input(append, &stream, record).await;
        self.engine.handle(input);
    }

    async fn append_input(&self, append: AppendId, stream: &str, record: Vec<u8>) -> LogInput {
        let Some(address) = self.address else {
            return LogInput::AppendRefused { append };
        };
        let uri = format!("http://{address}/streams/{stream}/records");
        let Ok(request) = request(Method::POST, &uri, record) else {
            return LogInput::AppendRefused { append };
        };
        let exchange = async {
            self.reach.wait_for(address).await;
            match self.client.request(request).await {
                Ok(response) => append_result(append, response).await,
                // Nothing was handed over if there was no connection.
                Err(error) if error.is_connect() => LogInput::AppendRefused { append },
                Err(_) => LogInput::AppendOutcomeUnknown { append },
            }
        };
        let answer = tokio::time::timeout(APPEND_TIMEOUT, exchange).await;
        answer.unwrap_or(LogInput::AppendOutcomeUnknown { append })
    }

    /// Reads records.
    pub(crate) async fn read(
        self,
        read: ReadId,
        stream: StreamName,
        from: LogOffset,
        wait: Duration,
    ) {
        let answer = tokio::time::timeout(wait + READ_TIMEOUT, self.page(&stream, from, wait));
        let input = match answer.await {
            Ok(Ok(page)) => read_input(read, stream, &page),
            Ok(Err(error)) => {
                log::debug!(event = "log_read_failed"; "{error}");
                LogInput::ReadFailed { read }
            }
            Err(_) => LogInput::ReadFailed { read },
        };
        self.engine.handle(input);
    }

    /// Reads one page, a shorter one if the whole is over the limit.
    ///
    /// Records may be large. A page that is always too long would be asked for
    /// again and again, and nothing after it would ever be read.
    async fn page(
        &self,
        stream: &str,
        from: LogOffset,
        wait: Duration,
    ) -> Result<ReadAnswer, PageError> {
        let mut limit_count = RECORDS_LIMIT_COUNT;
        loop {
            match self.page_of(stream, from, wait, limit_count).await {
                Err(PageError::TooLong) if limit_count > 1 => limit_count /= 2,
                ended => return ended,
            }
        }
    }

    async fn page_of(
        &self,
        stream: &str,
        from: LogOffset,
        wait: Duration,
        limit_count: usize,
    ) -> Result<ReadAnswer, PageError> {
        let address = self.address.ok_or(PageError::NoLog)?;
        let wait_ms = wait.as_millis();
        let uri = format!(
            "http://{address}/streams/{stream}/records\
             ?from={from}&limit_count={limit_count}&wait_ms={wait_ms}"
        );
        self.reach.wait_for(address).await;
        let request = request(Method::GET, &uri, Vec::new())?;
        let response = self.client.request(request).await?;
        self.reach.wait_for(address).await;
        if response.status() != StatusCode::OK {
            return Err(PageError::Status(response.status()));
        }
        let body = body_of(response).await?;
        Ok(serde_json::from_slice(&body)?)
    }
}

/// Why a page of the log was not read.
#[derive(Debug, Display, Error, From)]
enum PageError {
    /// No log is set.
    #[display("no log is set")]
    #[from(skip)]
    NoLog,
    /// The page is longer than an answer may be.
    #[display("the page is over {ANSWER_LIMIT_BYTES} bytes")]
    #[from(skip)]
    TooLong,
    /// The log answered with another status.
    #[display("the log says {_0}")]
    #[from(skip)]
    Status(#[error(not(source))] StatusCode),
    /// The name of the stream fits no request.
    #[display("not a request: {_0}")]
    Request(http::Error),
    /// The log can't be reached or broke off.
    #[display("the log does not answer: {_0}")]
    Client(legacy::Error),
    /// The answer broke off.
    #[display("the answer broke off: {_0}")]
    Broken(#[error(not(source))] Box<dyn std::error::Error + Send + Sync>),
    /// The answer is not what the protocol says.
    #[display("not an answer of the log: {_0}")]
    Json(serde_json::Error),
}

fn request(method: Method, uri: &str, body: Vec<u8>) -> http::Result<Request<Full<Bytes>>> {
    Request::builder()
        .method(method)
        .uri(uri)
        .body(Full::new(Bytes::from(body)))
}

async fn append_result(append: AppendId, response: Response<Incoming>) -> LogInput {
    match response.status() {
        StatusCode::CREATED => {
            let body = body_of(response).await;
            let answer = body.and_then(|body| Ok(serde_json::from_slice::<AppendAnswer>(&body)?));
            match answer {
                Ok(AppendAnswer { offset }) => LogInput::Appended { append, offset },
                Err(_) => LogInput::AppendOutcomeUnknown { append },
            }
        }
        StatusCode::SERVICE_UNAVAILABLE | StatusCode::TOO_MANY_REQUESTS => {
            LogInput::AppendRefused { append }
        }
        _ => LogInput::AppendOutcomeUnknown { append },
    }
}

async fn body_of(response: Response<Incoming>) -> Result<Bytes, PageError> {
    let body = Limited::new(response.into_body(), ANSWER_LIMIT_BYTES);
    match body.collect().await {
        Ok(body) => Ok(body.to_bytes()),
        Err(error) if error.is::<LengthLimitError>() => Err(PageError::TooLong),
        Err(error) => Err(PageError::Broken(error)),
    }
}

fn read_input(read: ReadId, stream: StreamName, page: &ReadAnswer) -> LogInput {
    match page.records() {
        Ok(records) => LogInput::Read {
            read,
            stream,
            records,
            oldest_offset: page.oldest_offset,
            next_offset: page.next_offset,
            era: page.era,
        },
        Err(error) => {
            log::warn!(event = "log_record_unreadable"; "{error:#}");
            LogInput::ReadFailed { read }
        }
    }
}
