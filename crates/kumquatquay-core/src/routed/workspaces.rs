//! Who a caller is, by the key that it shows.

use std::{collections::HashMap, sync::Arc};

use kumquatquay_wire::routed::{
    KeyDigest, Priority, Quota, RouteSettings, WorkspaceName, WorkspaceSettings,
};

/// Ranks of routes that are told apart within one rank of workspaces.
const ROUTE_RANKS_COUNT: Priority = 64;

/// The key that a caller shows.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum PresentedKey {
    /// None.
    #[default]
    Missing,
    /// One.
    Present(KeyDigest),
    /// What it shows can't be read, or there are several.
    Malformed,
}

/// What a key says of a caller.
#[derive(Clone, Debug, PartialEq)]
pub enum CallerIdentity {
    /// The route asks for no key, and none that is known was shown.
    Anonymous,
    /// The key is held by this workspace.
    Workspace(Arc<WorkspaceSettings>),
    /// The route asks for a key and none that can be read was shown.
    MissingKey,
    /// No workspace of this configuration holds the key; a newer one may know it.
    UnknownKey,
}

/// The workspaces of a configuration, by their keys.
#[derive(Debug, Default)]
pub struct Workspaces {
    /// Whether routes that aren't public ask for a key.
    asks_for_keys: bool,
    by_key: HashMap<KeyDigest, Arc<WorkspaceSettings>>,
    quotas: HashMap<WorkspaceName, Quota>,
}

impl Workspaces {
    /// Lays out workspaces; `None` asks nobody for a key.
    pub fn new(workspaces: Option<Vec<WorkspaceSettings>>) -> Self {
        let asks_for_keys = workspaces.is_some();
        let workspaces: Vec<_> = workspaces.into_iter().flatten().map(Arc::new).collect();
        let quotas = workspaces
            .iter()
            .filter_map(|workspace| Some((workspace.name.clone(), workspace.quota?)));
        let quotas = quotas.collect();
        let by_key = workspaces.into_iter().flat_map(|workspace| {
            let keys = workspace.keys.clone().into_iter();
            keys.map(move |key| (key, Arc::clone(&workspace)))
        });
        Self {
            asks_for_keys,
            by_key: by_key.collect(),
            quotas,
        }
    }

    /// Whether any route may ask for a key.
    pub fn require_keys(&self) -> bool {
        self.asks_for_keys
    }

    /// Whether any workspace has a quota.
    pub fn have_quotas(&self) -> bool {
        !self.quotas.is_empty()
    }

    /// The quota of a workspace, if it has one.
    pub fn quota(&self, workspace: &str) -> Option<Quota> {
        self.quotas.get(workspace).copied()
    }

    /// Keys that these workspaces hold and others don't.
    pub fn keys_not_in<'a>(&'a self, others: &'a Self) -> impl Iterator<Item = KeyDigest> + 'a {
        let keys = self.by_key.keys().copied();
        keys.filter(|key| !others.by_key.contains_key(key))
    }

    /// Finds out who a caller on a route is.
    pub fn identify(&self, route: &RouteSettings, key: PresentedKey) -> CallerIdentity {
        if !self.asks_for_keys {
            return CallerIdentity::Anonymous;
        }
        let known = match key {
            PresentedKey::Present(key) => self.by_key.get(&key),
            PresentedKey::Missing | PresentedKey::Malformed => None,
        };
        match (known, key) {
            (Some(workspace), _) => CallerIdentity::Workspace(Arc::clone(workspace)),
            (None, _) if route.is_public => CallerIdentity::Anonymous,
            (None, PresentedKey::Present(_)) => CallerIdentity::UnknownKey,
            (None, PresentedKey::Missing | PresentedKey::Malformed) => CallerIdentity::MissingKey,
        }
    }
}

/// Rank of a whole request: by its workspace first, where that has a rank, then by its route.
///
/// Workspaces of one rank send requests of all kinds. Without the second part a filing would be
/// refused for a shortage as often as a look-up beside it.
pub fn request_priority(route: &RouteSettings, workspace: Option<&WorkspaceSettings>) -> Priority {
    let own = workspace.and_then(|workspace| workspace.priority);
    let first = own.unwrap_or(route.priority);
    let second = route.priority.min(ROUTE_RANKS_COUNT - 1);
    first
        .saturating_mul(ROUTE_RANKS_COUNT)
        .saturating_add(second)
}
