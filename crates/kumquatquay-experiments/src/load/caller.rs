//! Sending one request, and again if its class does so.

use std::{net::SocketAddr, sync::Arc, time::Duration};

use bytes::Bytes;
use eyre::eyre;
use http::{HeaderMap, Method, Request};
use http_body_util::{BodyExt, Full, Limited};
use hyper_util::{
    client::legacy::{Client, connect::HttpConnector},
    rt::TokioExecutor,
};
use kumquatquay_standins::{EffectLedger, MarkedAnswer, headers};
use kumquatquay_wire::{CallerProof, MeshKey};
use uuid::Uuid;

use super::{
    CallKind, Ending, LoadClass, OperationNaming, ResendPolicy, operation_client::issue_operation,
};

/// Client that all callers of one generator share.
pub(crate) type HttpClient = Client<HttpConnector, Full<Bytes>>;

/// Longest answer that is read.
const ANSWER_LIMIT_BYTES: usize = 1024 * 1024;

/// Longest pause that a caller heeds.
const PAUSE_LIMIT: Duration = Duration::from_secs(10);

/// Sends requests at the entries of a mesh and notes what it is told.
#[derive(Clone, Debug)]
pub struct Caller {
    client: HttpClient,
    entries: Vec<SocketAddr>,
    ledger: Arc<EffectLedger>,
    key: Option<MeshKey>,
}

/// How one send ended.
#[derive(Clone, Debug)]
pub(crate) struct SendEnding {
    pub(crate) ending: Ending,
    pub(crate) reason: Option<String>,
    pub(crate) retry_after: Option<Duration>,
}

/// What stays the same over the sends of one request.
struct Identity {
    /// Marker of the request; a send adds its number.
    name: String,
    /// Id or key of the operation, as a header.
    operation: Option<(&'static str, String)>,
}

/// How a request with all its sends ended.
pub(crate) struct RequestEnding {
    pub(crate) last: SendEnding,
    pub(crate) markers: Vec<String>,
}

impl Caller {
    /// A caller that knows some entries.
    pub fn new(entries: Vec<SocketAddr>, ledger: Arc<EffectLedger>) -> Self {
        let mut connector = HttpConnector::new();
        connector.set_nodelay(true);
        // The client's own resend on a reused connection would hide an attempt.
        let client = Client::builder(TokioExecutor::new())
            .retry_canceled_requests(false)
            .build(connector);
        Self {
            client,
            entries,
            ledger,
            key: None,
        }
    }

    /// Proves the names of its callers by the mesh's key.
    #[must_use]
    pub fn key(mut self, key: MeshKey) -> Self {
        self.key = Some(key);
        self
    }

    /// The caller's name as its header carries it.
    fn credential(&self, name: &str) -> String {
        match &self.key {
            Some(key) => format!("{name}.{}", CallerProof::of(key, name)),
            None => name.to_owned(),
        }
    }

    /// Number of entries that it knows.
    pub fn entries_count(&self) -> usize {
        self.entries.len()
    }

    /// Sends a request, and again as its class does.
    pub(crate) async fn request(
        &self,
        class: &LoadClass,
        name: String,
        entry: usize,
    ) -> RequestEnding {
        let identity = self.identify(class, name, entry).await;
        let Some(identity) = identity else {
            return RequestEnding::without_id();
        };
        if class.simultaneous_count > 1 {
            return self.request_at_all(class, &identity, entry).await;
        }
        self.request_in_turn(class, &identity, entry).await
    }

    async fn identify(&self, class: &LoadClass, name: String, entry: usize) -> Option<Identity> {
        let operation = match class.kind {
            CallKind::Read | CallKind::Filing(OperationNaming::Unnamed) => None,
            CallKind::Filing(OperationNaming::OwnKey) => {
                Some((headers::IDEMPOTENCY_KEY, Uuid::now_v7().to_string()))
            }
            CallKind::Filing(OperationNaming::Issued) => {
                let caller = self.credential(&class.caller);
                let asking = issue_operation(&self.client, self.entry(entry), &caller);
                let issued = tokio::time::timeout(class.timeout, asking).await;
                Some((headers::OPERATION, issued.ok()?.ok()?))
            }
        };
        Some(Identity { name, operation })
    }

    async fn request_in_turn(
        &self,
        class: &LoadClass,
        identity: &Identity,
        entry: usize,
    ) -> RequestEnding {
        let mut markers = Vec::new();
        loop {
            let send = markers.len();
            markers.push(format!("{}.{send}", identity.name));
            let last = self.send(class, identity, send, entry + send).await;
            let policy = class
                .resend
                .filter(|policy| send < policy.resends_count as usize);
            let Some(policy) = policy.filter(|_| last.ending != Ending::Good) else {
                return RequestEnding { last, markers };
            };
            tokio::time::sleep(pause_after(&last, policy)).await;
        }
    }

    /// Sends the same request at several entries at the same time.
    async fn request_at_all(
        &self,
        class: &LoadClass,
        identity: &Identity,
        entry: usize,
    ) -> RequestEnding {
        let sends = (0..class.simultaneous_count)
            .map(|send| self.send(class, identity, send, entry + send));
        let endings = join_all(sends).await;
        let best = endings.into_iter().min_by_key(|ending| ending.ending);
        RequestEnding {
            last: best.unwrap_or(SendEnding::of(Ending::NotSent)),
            markers: (0..class.simultaneous_count)
                .map(|send| format!("{}.{send}", identity.name))
                .collect(),
        }
    }

    async fn send(
        &self,
        class: &LoadClass,
        identity: &Identity,
        send: usize,
        entry: usize,
    ) -> SendEnding {
        let marker = format!("{}.{send}", identity.name);
        let request = match self.build(class, identity, send, &marker, entry) {
            Ok(request) => request,
            Err(error) => {
                log::error!("a request could not be written: {error}");
                return SendEnding::of(Ending::NotSent);
            }
        };
        let exchange = tokio::time::timeout(class.timeout, self.exchange(request));
        match exchange.await {
            Ok(Ok((head, body))) => self.judge(&marker, &head, &body),
            Ok(Err(_)) => SendEnding::of(Ending::Broken),
            Err(_) => SendEnding::of(Ending::TimedOut),
        }
    }

    async fn exchange(
        &self,
        request: Request<Full<Bytes>>,
    ) -> eyre::Result<(http::response::Parts, Bytes)> {
        let (head, body) = self.client.request(request).await?.into_parts();
        let body = Limited::new(body, ANSWER_LIMIT_BYTES).collect().await;
        let body = body.map_err(|error| eyre!("the answer broke off: {error}"))?;
        Ok((head, body.to_bytes()))
    }

    fn build(
        &self,
        class: &LoadClass,
        identity: &Identity,
        send: usize,
        marker: &str,
        entry: usize,
    ) -> eyre::Result<Request<Full<Bytes>>> {
        let method = match class.kind {
            CallKind::Read => Method::GET,
            CallKind::Filing(_) => Method::POST,
        };
        let mut builder = Request::builder()
            .method(method)
            .uri(format!(
                "http://{}/{}?record={}",
                self.entry(entry),
                class.service,
                identity.name
            ))
            .header(headers::SERVICE, &class.service)
            .header(headers::CALLER, self.credential(&class.caller))
            .header(headers::TIMEOUT_MS, class.timeout.as_millis().to_string())
            .header(headers::MARKER, marker);
        if class.kind != CallKind::Read {
            builder = builder.header(headers::EFFECT, &identity.name);
        }
        if let Some((name, value)) = &identity.operation {
            builder = builder.header(*name, value);
        }
        if let Some(service) = &class.crashes {
            builder = builder.header(headers::CRASH, service);
        }
        if send > 0 && class.resend.is_some_and(|policy| policy.is_marked) {
            builder = builder.header(headers::RESEND, "1");
        }
        Ok(builder.body(Full::new(body_of(class, identity)))?)
    }

    fn entry(&self, entry: usize) -> SocketAddr {
        self.entries[entry % self.entries.len()]
    }

    /// Notes what the caller is told, for the promises.
    fn judge(&self, marker: &str, head: &http::response::Parts, body: &[u8]) -> SendEnding {
        let is_not_run = head
            .headers
            .get(headers::OUTCOME)
            .is_some_and(|it| it == "not-run");
        let reason = text_of(&head.headers, headers::REASON);
        if is_not_run {
            let reason = reason.as_deref().unwrap_or_default();
            self.ledger.told_not_run(marker, reason);
        }
        let ending = if head.status.is_success() {
            if MarkedAnswer::is_own(body, marker) {
                Ending::Good
            } else {
                self.note_foreign(marker, body)
            }
        } else if is_not_run {
            Ending::Refused
        } else {
            Ending::Failed
        };
        SendEnding {
            ending,
            reason,
            retry_after: text_of(&head.headers, headers::RETRY_AFTER_MS)
                .and_then(|text| text.parse().ok())
                .map(Duration::from_millis),
        }
    }

    /// A stored answer of another send of the same request is the caller's own.
    fn note_foreign(&self, marker: &str, body: &[u8]) -> Ending {
        let name = marker.rsplit_once('.').map_or(marker, |(name, _)| name);
        let answer: Option<MarkedAnswer> = serde_json::from_slice(body).ok();
        let answered = answer
            .as_ref()
            .and_then(|answer| answer.marker.rsplit_once('.'));
        if answered.is_some_and(|(answered, _)| answered == name) {
            return Ending::Good;
        }
        self.ledger.answered_foreign();
        Ending::Failed
    }
}

impl SendEnding {
    fn of(ending: Ending) -> Self {
        Self {
            ending,
            reason: None,
            retry_after: None,
        }
    }
}

impl RequestEnding {
    fn without_id() -> Self {
        Self {
            last: SendEnding {
                ending: Ending::Broken,
                reason: Some(String::from("no-operation-id")),
                retry_after: None,
            },
            markers: Vec::new(),
        }
    }
}

/// The same over all sends of a request, and different between requests.
fn body_of(class: &LoadClass, identity: &Identity) -> Bytes {
    match class.kind {
        CallKind::Read if class.crashes.is_none() => Bytes::new(),
        _ => Bytes::from(format!("{{\"filing\":\"{}\"}}", identity.name)),
    }
}

fn pause_after(last: &SendEnding, policy: ResendPolicy) -> Duration {
    let told = last.retry_after.filter(|_| policy.heeds_retry_after);
    told.unwrap_or(policy.pause).min(PAUSE_LIMIT)
}

fn text_of(headers: &HeaderMap, name: &str) -> Option<String> {
    let value = headers.get(name)?.to_str().ok()?;
    Some(value.to_owned())
}

/// Runs futures side by side in this task.
async fn join_all<F: Future>(futures: impl Iterator<Item = F>) -> Vec<F::Output> {
    let mut pending: Vec<_> = futures.map(|future| (Box::pin(future), None)).collect();
    std::future::poll_fn(|context| {
        let mut is_ready = true;
        for (future, output) in &mut pending {
            if output.is_none() {
                match future.as_mut().poll(context) {
                    std::task::Poll::Ready(value) => *output = Some(value),
                    std::task::Poll::Pending => is_ready = false,
                }
            }
        }
        if is_ready {
            std::task::Poll::Ready(())
        } else {
            std::task::Poll::Pending
        }
    })
    .await;
    pending
        .into_iter()
        .filter_map(|(_, output)| output)
        .collect()
}
