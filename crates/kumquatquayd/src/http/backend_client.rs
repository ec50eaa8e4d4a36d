//! The client for the backend server of this host, over HTTP/1.1.

use std::{net::SocketAddr, time::Duration};

use http::{Request, Response};
use hyper::body::Incoming;
use hyper_util::{
    client::legacy::{Client, connect::HttpConnector},
    rt::{TokioExecutor, TokioTimer},
};
use tokio::net::TcpStream;

use super::{
    body::RelayBody,
    peer_client::{PeerFailure, failure_of},
};

/// Why the backend server has not answered; the kinds are those of a node.
pub(crate) type BackendFailure = PeerFailure;

/// Sends work to the backend server of this host.
#[derive(Clone, Debug)]
pub(crate) struct BackendClient {
    /// Reuses connections; for idempotent work.
    pooled: Client<HttpConnector, RelayBody>,
    /// A connection each; for work that must not run twice.
    fresh: Client<HttpConnector, RelayBody>,
}

/// A host answers its own connection attempts at once.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);

/// How long an idle connection is kept; shorter than servers keep theirs.
const IDLE_TIMEOUT: Duration = Duration::from_secs(4);

impl BackendClient {
    pub(crate) fn new() -> Self {
        Self {
            pooled: client(usize::MAX),
            fresh: client(0),
        }
    }

    /// Sends one piece of work.
    ///
    /// A backend server may close an idle connection while a request is on its
    /// way there; the client then can't know whether the request ran. Work that
    /// must not run twice would end as `unknown` for no other reason, so it gets
    /// a connection of its own, about 1 ms, where this can't happen.
    pub(crate) async fn send(
        &self,
        request: Request<RelayBody>,
        is_idempotent: bool,
    ) -> Result<Response<Incoming>, BackendFailure> {
        let client = if is_idempotent {
            &self.pooled
        } else {
            &self.fresh
        };
        let answer = client.request(request).await;
        answer.map_err(|error| failure_of(&error))
    }

    /// Whether nothing listens at the backend server's address any more.
    pub(crate) async fn is_gone(address: SocketAddr) -> bool {
        let connect = TcpStream::connect(address);
        matches!(
            tokio::time::timeout(CONNECT_TIMEOUT, connect).await,
            Ok(Err(_))
        )
    }
}

fn client(idle_count: usize) -> Client<HttpConnector, RelayBody> {
    let mut connector = HttpConnector::new();
    connector.set_nodelay(true);
    connector.set_connect_timeout(Some(CONNECT_TIMEOUT));
    Client::builder(TokioExecutor::new())
        .pool_timer(TokioTimer::new())
        .pool_idle_timeout(IDLE_TIMEOUT)
        .pool_max_idle_per_host(idle_count)
        .retry_canceled_requests(false)
        .build(connector)
}
