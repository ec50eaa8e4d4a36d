//! Identifies the route of a request and the workspace of its caller.

use std::{sync::Arc, time::Duration};

use http::{HeaderMap, StatusCode, Uri, header, request::Parts};
use kumquatquay_core::routed::{CallerIdentity, PresentedKey, RouteEntry, RouteTable};
use kumquatquay_wire::routed::WorkspaceSettings;
use tokio::time::error::Elapsed;

use super::{count_guard::CountGuard, node::RoutedNode};

/// How long a request with an unknown key waits for a proof that the configuration is the newest.
/// A read of the store takes a few milliseconds, and 250 ms if the store is slow.
const KEY_CHECK_TIMEOUT: Duration = Duration::from_millis(400);

/// Requests that may wait for that at the same time. It bounds the memory that a flood of invalid
/// keys can occupy.
const KEY_CHECKS_LIMIT_COUNT: usize = 64;

/// Route and caller of a request.
pub(crate) struct Identified {
    pub(crate) table: Arc<RouteTable>,
    pub(crate) route: Arc<RouteEntry>,
    /// The workspace to which the caller's key belongs.
    pub(crate) workspace: Option<Arc<WorkspaceSettings>>,
}

/// Why a request is refused before its body is read.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum IdentityRefusal {
    /// No configuration is known yet.
    NoConfiguration,
    /// No route matches.
    NoRoute,
    /// The route requires a key, and the request has none that can be parsed.
    NoKey,
    /// The key belongs to no workspace.
    UnknownKey,
    /// The key is unknown here, but may be valid by a newer configuration.
    UnverifiedKey,
    /// The key was valid, but may have been revoked since.
    NoProof,
}

impl IdentityRefusal {
    /// Name in counters and log lines.
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

    /// Body of the response.
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

/// Identifies the route and the caller of a request, waiting for a proof of the configuration where
/// one is needed.
///
/// An unknown key may have been added a moment ago. It is finally refused only if the configuration
/// is proved to have been the newest when the request arrived.
pub(crate) async fn identify(
    node: &RoutedNode,
    parts: &Parts,
    key: PresentedKey,
) -> Result<Identified, IdentityRefusal> {
    let received_at = node.boot_time();
    let identified = identify_without_waiting(node, parts, key);
    let identified = match identified {
        Err(IdentityRefusal::UnknownKey) if !is_known_invalid(node, key) => {
            wait_for_proof(node, received_at).await?;
            let identified = identify_without_waiting(node, parts, key);
            remember_unknown(node, key, &identified);
            identified?
        }
        identified => identified?,
    };
    if identified.workspace.is_some() {
        let max_wait = node.startup_wait(&identified.route.settings);
        wait_until(node, max_wait, || !node.lacks_valid_proof())
            .await
            .map_err(|_| IdentityRefusal::NoProof)?;
    }
    if identified.table.version() != node.route_version() {
        // The proof holds for the configuration that came into force meanwhile.
        return identify_without_waiting(node, parts, key);
    }
    Ok(identified)
}

/// Whether a key was found unknown before. Without this, callers that keep using a revoked key
/// would flood the store with reads.
fn is_known_invalid(node: &RoutedNode, key: PresentedKey) -> bool {
    let unknown_keys = node.unknown_keys.borrow();
    let PresentedKey::Present(key) = key else {
        return false;
    };
    node.is_configuration_current() && unknown_keys.contains(node.now(), key)
}

fn remember_unknown(
    node: &RoutedNode,
    key: PresentedKey,
    identified: &Result<Identified, IdentityRefusal>,
) {
    if let (PresentedKey::Present(key), Err(IdentityRefusal::UnknownKey)) = (key, identified) {
        node.unknown_keys.borrow_mut().insert(node.now(), key);
    }
}

/// Identifies route and caller by the configuration in force, whether that is the newest or not.
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

/// Finds the route of a request by its host and path.
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

/// Waits until the configuration in force is proved to have been the newest at a moment.
async fn wait_for_proof(node: &RoutedNode, moment: Duration) -> Result<(), IdentityRefusal> {
    if node.key_waits_count.get() >= KEY_CHECKS_LIMIT_COUNT {
        return Err(IdentityRefusal::UnverifiedKey);
    }
    let _guard = CountGuard::new(&node.key_waits_count);
    node.request_proof();
    let proved = wait_until(node, KEY_CHECK_TIMEOUT, || node.proof_covers(moment)).await;
    proved.map_err(|_| IdentityRefusal::UnverifiedKey)
}

/// Waits until a condition holds, checking it at once and after each new proof, for `max_wait` at
/// most.
async fn wait_until(
    node: &RoutedNode,
    max_wait: Duration,
    condition: impl Fn() -> bool,
) -> Result<(), Elapsed> {
    tokio::time::timeout(max_wait, async {
        loop {
            let updated = node.proof_updated.notified();
            if condition() {
                return;
            }
            updated.await;
        }
    })
    .await
}
