//! Identification of callers by the keys of their workspaces.

use std::{collections::HashMap, sync::Arc};

use kumquatquay_wire::routed::{
    KeyDigest, Priority, Quota, RouteSettings, WorkspaceName, WorkspaceSettings,
};

/// Priorities of routes that are distinguished within one priority of workspaces.
const ROUTE_PRIORITIES_COUNT: Priority = 64;

/// The key that a caller presents.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum PresentedKey {
    /// No key.
    #[default]
    Missing,
    /// A well-formed key.
    Present(KeyDigest),
    /// A malformed key, or several keys.
    Malformed,
}

/// Identity of a caller according to its key.
#[derive(Clone, Debug, PartialEq)]
pub enum CallerIdentity {
    /// No known key was presented, and the route requires none.
    Anonymous,
    /// The workspace that holds the key.
    Workspace(Arc<WorkspaceSettings>),
    /// The route requires a key, and none or only a malformed one was presented.
    MissingKey,
    /// No workspace of this configuration holds the key; one of a newer configuration may.
    UnknownKey,
}

/// The workspaces of a configuration, by their keys.
#[derive(Debug, Default)]
pub struct Workspaces {
    /// Whether routes that aren't public require a key.
    requires_keys: bool,
    by_key: HashMap<KeyDigest, Arc<WorkspaceSettings>>,
    quotas: HashMap<WorkspaceName, Quota>,
}

impl Workspaces {
    /// Indexes workspaces by their keys; with `None` no route requires a key.
    pub fn new(workspaces: Option<Vec<WorkspaceSettings>>) -> Self {
        let requires_keys = workspaces.is_some();
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
            requires_keys,
            by_key: by_key.collect(),
            quotas,
        }
    }

    /// Whether routes that aren't public require a key.
    pub fn require_keys(&self) -> bool {
        self.requires_keys
    }

    /// Whether any workspace has a quota.
    pub fn have_quotas(&self) -> bool {
        !self.quotas.is_empty()
    }

    /// The quota of a workspace, if it has one.
    pub fn quota(&self, workspace: &str) -> Option<Quota> {
        self.quotas.get(workspace).copied()
    }

    /// Keys that these workspaces hold and `others` don't.
    pub fn keys_not_in<'a>(&'a self, others: &'a Self) -> impl Iterator<Item = KeyDigest> + 'a {
        let keys = self.by_key.keys().copied();
        keys.filter(|key| !others.by_key.contains_key(key))
    }

    /// Identifies a caller on a route by its key.
    pub fn identify(&self, route: &RouteSettings, key: PresentedKey) -> CallerIdentity {
        if !self.requires_keys {
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

/// Priority of a root request: first by the priority of its workspace, if that has one, and then
/// by the priority of its route.
///
/// Workspaces of the same priority send requests of all kinds. Without the second criterion a
/// filing would be refused in an overload as often as a look-up.
pub fn request_priority(route: &RouteSettings, workspace: Option<&WorkspaceSettings>) -> Priority {
    let workspace_priority = workspace.and_then(|workspace| workspace.priority);
    let major = workspace_priority.unwrap_or(route.priority);
    let minor = route.priority.min(ROUTE_PRIORITIES_COUNT - 1);
    major
        .saturating_mul(ROUTE_PRIORITIES_COUNT)
        .saturating_add(minor)
}
