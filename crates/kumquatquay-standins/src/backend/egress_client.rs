//! A backend server's way out: the node on its host.

use std::{net::SocketAddr, time::Duration};

use bytes::Bytes;
use eyre::{WrapErr, ensure, eyre};
use http::{HeaderMap, Request, StatusCode, header};
use http_body_util::{BodyExt, Full, Limited};
use hyper_util::{
    client::legacy::{Client, connect::HttpConnector},
    rt::TokioExecutor,
};
use kumquatquay_core::Announcement;

/// Longest answer that is read.
const ANSWER_LIMIT_BYTES: usize = 1024 * 1024;

/// Longest wait for the node to take an announcement.
const ANNOUNCE_TIMEOUT: Duration = Duration::from_secs(2);

/// Sends announcements and calls to the node on the own host.
#[derive(Debug)]
pub(crate) struct EgressClient {
    egress: Option<SocketAddr>,
    client: Client<HttpConnector, Full<Bytes>>,
}

/// Answer to a call.
#[derive(Debug)]
pub(crate) struct CallAnswer {
    pub(crate) status: StatusCode,
    pub(crate) headers: HeaderMap,
    pub(crate) body: Bytes,
}

impl EgressClient {
    pub(crate) fn new(egress: Option<SocketAddr>) -> Self {
        let mut connector = HttpConnector::new();
        connector.set_nodelay(true);
        // The client's own resend on a reused connection would run a call
        // twice without anybody having asked for it.
        let client = Client::builder(TokioExecutor::new())
            .retry_canceled_requests(false)
            .build(connector);
        Self { egress, client }
    }

    pub(crate) async fn announce(&self, announcement: &Announcement) -> eyre::Result<()> {
        let Some(egress) = self.egress else {
            return Ok(());
        };
        let body = serde_json::to_vec(announcement)?;
        let request = Request::post(format!("http://{egress}/announcements"))
            .header(header::CONTENT_TYPE, "application/json")
            .body(Full::new(Bytes::from(body)))?;
        let answer = tokio::time::timeout(ANNOUNCE_TIMEOUT, self.client.request(request))
            .await
            .wrap_err("no answer in time")??;
        ensure!(answer.status().is_success(), "status {}", answer.status());
        Ok(())
    }

    pub(crate) async fn call(&self, mut request: Request<Full<Bytes>>) -> eyre::Result<CallAnswer> {
        let egress = self
            .egress
            .ok_or_else(|| eyre!("no node to call through"))?;
        let path = request
            .uri()
            .path_and_query()
            .map_or("/", |path| path.as_str());
        *request.uri_mut() = format!("http://{egress}{path}").parse()?;
        let (head, body) = self.client.request(request).await?.into_parts();
        let body = Limited::new(body, ANSWER_LIMIT_BYTES).collect().await;
        let body = body.map_err(|error| eyre!("the answer broke off: {error}"))?;
        Ok(CallAnswer {
            status: head.status,
            headers: head.headers,
            body: body.to_bytes(),
        })
    }
}
