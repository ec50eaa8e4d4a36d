//! Which route a request is for, and whose it is.

use std::{sync::Arc, time::Duration};

use http::{HeaderMap, StatusCode, Uri, header, request::Parts};
use kumquatquay_core::routed::{CallerIdentity, PresentedKey, RouteEntry, RouteTable};
use kumquatquay_wire::routed::WorkspaceSettings;
use tokio::time::error::Elapsed;

use super::{count_guard::CountGuard, node::RoutedNode};

/// How long a request waits at most until it is known whether its key is; a read of the store
/// takes some milliseconds, and a quarter of a second where the store is slow.
const KEY_PATIENCE: Duration = Duration::from_millis(400);

/// Requests that may wait for that at the same time. A flood of keys of nobody holds no more
/// memory than this.
const KEY_WAITS_LIMIT_COUNT: usize = 64;

/// A request whose route and caller are known.
pub(crate) struct Identified {
    pub(crate) table: Arc<RouteTable>,
    pub(crate) route: Arc<RouteEntry>,
    /// The workspace that holds the caller's key.
    pub(crate) workspace: Option<Arc<WorkspaceSettings>>,
}

/// Why a request is refused before anything else is looked at.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum IdentityRefusal {
    /// No configuration is known yet.
    NoConfiguration,
    /// No route leads anywhere.
    NoRoute,
    /// The route asks for a key and none that can be read was shown.
    NoKey,
    /// No workspace holds the key.
    UnknownKey,
    /// Whether any workspace holds the key isn't known.
    UnverifiedKey,
    /// The key may have been taken away.
    NoProof,
}

impl IdentityRefusal {
    /// What counters and log lines call it.
    pub(crate) fn name(self) -> &'static str {
        match self {
            Self::NoConfiguration => "no_configuration",
            Self::NoRoute => "no_route",
            Self::NoKey => "no_key",
            Self::UnknownKey => "unknown_key",
            Self::UnverifiedKey => "unsure_key",
            Self::NoProof => "no_proof",
        }
    }

    pub(crate) fn status(self) -> StatusCode {
        match self {
            Self::NoRoute => StatusCode::NOT_FOUND,
            Self::NoKey | Self::UnknownKey => StatusCode::UNAUTHORIZED,
            Self::NoConfiguration | Self::UnverifiedKey | Self::NoProof => {
                StatusCode::SERVICE_UNAVAILABLE
            }
        }
    }

    /// What the caller reads.
    pub(crate) fn text(self) -> &'static str {
        match self {
            Self::NoConfiguration => "no configuration yet\n",
            Self::NoRoute => "no route\n",
            Self::NoKey => "this route asks for a key\n",
            Self::UnknownKey => "this key is not known\n",
            Self::UnverifiedKey => "whether this key is known is not known yet\n",
            Self::NoProof => "this node can't tell whether the key is still good\n",
        }
    }
}

/// Finds the route of a request and whose it is.
///
/// A key that isn't known may have been added a moment ago. It is refused for good only by a node
/// whose configuration is proved to be the newest at the moment of the request.
pub(crate) async fn identify(
    node: &RoutedNode,
    parts: &Parts,
    key: PresentedKey,
) -> Result<Identified, IdentityRefusal> {
    let read_at = node.boot_time();
    let found = identify_without_waiting(node, parts, key);
    let found = match found {
        Err(IdentityRefusal::UnknownKey) if !is_refused_again(node, key) => {
            wait_for_proof(node, read_at).await?;
            let found = identify_without_waiting(node, parts, key);
            remember_unknown(node, key, &found);
            found?
        }
        found => found?,
    };
    if found.workspace.is_some() {
        let patience = node.startup_wait(&found.route.settings);
        wait_for(node, patience, || !node.lacks_valid_proof())
            .await
            .map_err(|_| IdentityRefusal::NoProof)?;
    }
    if found.table.version() != node.route_version() {
        // The proof is one of the configuration that came meanwhile.
        return identify_without_waiting(node, parts, key);
    }
    Ok(found)
}

/// Whether the key was found to be one of nobody before. Asked again each time, the store would
/// be flooded by callers who go on with a key that was taken away.
fn is_refused_again(node: &RoutedNode, key: PresentedKey) -> bool {
    let unknown_keys = node.unknown_keys.borrow();
    let PresentedKey::Present(key) = key else {
        return false;
    };
    node.is_configuration_current() && unknown_keys.contains(node.now(), key)
}

fn remember_unknown(
    node: &RoutedNode,
    key: PresentedKey,
    found: &Result<Identified, IdentityRefusal>,
) {
    if let (PresentedKey::Present(key), Err(IdentityRefusal::UnknownKey)) = (key, found) {
        node.unknown_keys.borrow_mut().insert(node.now(), key);
    }
}

/// Finds out the same by the configuration in force, whether that is the newest or not.
pub(crate) fn identify_without_waiting(
    node: &RoutedNode,
    parts: &Parts,
    key: PresentedKey,
) -> Result<Identified, IdentityRefusal> {
    let table = node.routes().ok_or(IdentityRefusal::NoConfiguration)?;
    let route = find_route(&table, &parts.headers, &parts.uri).ok_or(IdentityRefusal::NoRoute)?;
    let route = Arc::clone(route);
    let workspace = match table.workspaces().identify(&route.settings, key) {
        CallerIdentity::Anonymous => None,
        CallerIdentity::Workspace(workspace) => Some(workspace),
        CallerIdentity::MissingKey => return Err(IdentityRefusal::NoKey),
        CallerIdentity::UnknownKey => return Err(IdentityRefusal::UnknownKey),
    };
    Ok(Identified {
        table,
        route,
        workspace,
    })
}

/// The route of a request.
pub(crate) fn find_route<'a>(
    table: &'a RouteTable,
    headers: &HeaderMap,
    uri: &Uri,
) -> Option<&'a Arc<RouteEntry>> {
    let host = headers.get(header::HOST);
    let host = host.and_then(|host| host.to_str().ok());
    let host = host.or_else(|| uri.host())?;
    table.find(host, uri.path())
}

/// Waits until the configuration in force is proved to be as new as a moment.
async fn wait_for_proof(node: &RoutedNode, moment: Duration) -> Result<(), IdentityRefusal> {
    if node.key_waits_count.get() >= KEY_WAITS_LIMIT_COUNT {
        return Err(IdentityRefusal::UnverifiedKey);
    }
    let _waits = CountGuard::new(&node.key_waits_count);
    node.request_proof();
    let proved = wait_for(node, KEY_PATIENCE, || node.proof_covers(moment)).await;
    proved.map_err(|_| IdentityRefusal::UnverifiedKey)
}

/// Waits for a proof after which something is true; without time to wait it is looked at once.
async fn wait_for(
    node: &RoutedNode,
    patience: Duration,
    is_true: impl Fn() -> bool,
) -> Result<(), Elapsed> {
    tokio::time::timeout(patience, async {
        loop {
            let news = node.proof_updated.notified();
            if is_true() {
                return;
            }
            news.await;
        }
    })
    .await
}
