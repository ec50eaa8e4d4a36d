//! The client for calls to other nodes, over HTTP/2.

use std::{error::Error, net::SocketAddr};

use derive_more::Display;
use http::{Request, Response};
use hyper::body::Incoming;
use hyper_util::{
    client::legacy::{self, Client, connect::HttpConnector},
    rt::{TokioExecutor, TokioTimer},
};

use super::body::RelayBody;
use crate::reach::Reach;

/// Why an attempt has no answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Display)]
pub(crate) enum PeerFailure {
    /// It is certain that the other node did not process the call.
    #[display("not sent")]
    NotSent,
    /// The call was handed over and the connection broke.
    #[display("broken")]
    Broken,
}

/// Sends calls to other nodes; one connection a node, many calls on it.
#[derive(Clone, Debug)]
pub(crate) struct PeerClient {
    reach: Reach,
    client: Client<HttpConnector, RelayBody>,
}

impl PeerClient {
    pub(crate) fn new(reach: Reach) -> Self {
        let mut connector = HttpConnector::new();
        connector.set_nodelay(true);
        connector.set_connect_timeout(Some(CONNECT_TIMEOUT));
        let client = Client::builder(TokioExecutor::new())
            .timer(TokioTimer::new())
            .pool_timer(TokioTimer::new())
            .http2_only(true)
            .http2_keep_alive_interval(KEEP_ALIVE_INTERVAL)
            .http2_keep_alive_timeout(KEEP_ALIVE_TIMEOUT)
            // The client's own resend would run a call twice without the
            // node's knowledge and outside the retry allowance.
            .retry_canceled_requests(false)
            .build(connector);
        Self { reach, client }
    }

    pub(crate) async fn send(
        &self,
        to: SocketAddr,
        request: Request<RelayBody>,
    ) -> Result<Response<Incoming>, PeerFailure> {
        self.reach.wait_for(to).await;
        let answer = self.client.request(request).await;
        self.reach.wait_for(to).await;
        answer.map_err(|error| failure_of(&error))
    }
}

/// A node in the same region answers a connection attempt in far less.
const CONNECT_TIMEOUT: std::time::Duration = std::time::Duration::from_millis(500);

/// How often an idle connection to a node is checked.
const KEEP_ALIVE_INTERVAL: std::time::Duration = std::time::Duration::from_secs(5);

/// How long a node may take to answer the check.
const KEEP_ALIVE_TIMEOUT: std::time::Duration = std::time::Duration::from_secs(2);

/// Tells certain proofs that a call was not processed from everything else.
pub(crate) fn failure_of(error: &legacy::Error) -> PeerFailure {
    if error.is_connect() || is_unsent(error) {
        PeerFailure::NotSent
    } else {
        PeerFailure::Broken
    }
}

/// Whether the connection proves that the other side did not process the call:
/// the call never left the client's queue, the stream was refused
/// (`REFUSED_STREAM`), or it is above the last stream that GOAWAY names
/// (RFC 9113, sections 6.8 and 8.7).
fn is_unsent(error: &legacy::Error) -> bool {
    let mut source = error.source();
    while let Some(cause) = source {
        if cause
            .downcast_ref::<hyper::Error>()
            .is_some_and(hyper::Error::is_canceled)
        {
            return true;
        }
        if let Some(cause) = cause.downcast_ref::<h2::Error>() {
            return cause.is_reset()
                && cause.is_remote()
                && cause.reason() == Some(h2::Reason::REFUSED_STREAM);
        }
        source = cause.source();
    }
    false
}
