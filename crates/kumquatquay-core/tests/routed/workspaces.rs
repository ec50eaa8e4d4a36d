//! The workspace of a caller and the priority of its requests.

use std::time::Duration;

use kumquatquay_core::routed::{CallerIdentity, PresentedKey, Workspaces, request_priority};
use kumquatquay_wire::routed::{KeyDigest, Priority, Repeat, RouteSettings, WorkspaceSettings};

fn route(is_public: bool, priority: Priority) -> RouteSettings {
    RouteSettings {
        name: String::from("history"),
        path_prefix: String::from("/history/"),
        repeat: Repeat::Idempotent,
        target_latency: Duration::from_secs(1),
        priority,
        is_public,
        destinations: Vec::new(),
        timeout: Duration::from_secs(2),
        attempts_count: 2,
    }
}

fn workspace(name: &str, key: &str, priority: Option<Priority>) -> WorkspaceSettings {
    WorkspaceSettings {
        name: String::from(name),
        keys: vec![KeyDigest::of(key.as_bytes())],
        priority,
        quota: None,
    }
}

fn present(key: &str) -> PresentedKey {
    PresentedKey::Present(KeyDigest::of(key.as_bytes()))
}

fn identify(is_public: bool, key: PresentedKey) -> String {
    let workspaces = vec![
        workspace("north", "k1", None),
        workspace("south", "k2", None),
    ];
    match Workspaces::new(Some(workspaces)).identify(&route(is_public, 1), key) {
        CallerIdentity::Anonymous => String::from("anonymous"),
        CallerIdentity::Workspace(workspace) => workspace.name.clone(),
        CallerIdentity::MissingKey => String::from("missing"),
        CallerIdentity::UnknownKey => String::from("unknown"),
    }
}

macro_rules! identifies {
    ($($name:ident: $is_public:literal, $key:expr => $identity:literal;)*) => {
        $(
            #[test]
            fn $name() {
                assert_eq!(identify($is_public, $key), $identity);
            }
        )*
    };
}

identifies! {
    a_key_identifies_its_workspace: false, present("k2") => "south";
    a_key_of_no_workspace_is_unknown: false, present("k3") => "unknown";
    a_route_requires_a_key: false, PresentedKey::Missing => "missing";
    a_malformed_key_counts_as_missing: false, PresentedKey::Malformed => "missing";
    a_public_route_requires_no_key: true, PresentedKey::Missing => "anonymous";
    a_public_route_ignores_an_unknown_key: true, present("k3") => "anonymous";
    a_key_identifies_its_workspace_on_a_public_route: true, present("k1") => "north";
}

/// An operator removes the last workspace from the list. That must not open the routes to callers
/// without keys.
#[test]
fn an_empty_list_of_workspaces_opens_no_route() {
    let workspaces = Workspaces::new(Some(Vec::new()));
    let identity = workspaces.identify(&route(false, 1), PresentedKey::Missing);
    assert_eq!(identity, CallerIdentity::MissingKey);
}

#[test]
fn without_workspaces_no_key_is_required() {
    let identity = Workspaces::new(None).identify(&route(false, 1), present("k1"));
    assert_eq!(identity, CallerIdentity::Anonymous);
}

/// A digest in a state dump, a log line or a panic would reveal which key was used.
#[test]
fn the_debug_output_of_a_digest_reveals_nothing() {
    let printed = format!("{:?}", workspace("north", "k1", None));
    assert!(printed.contains("keys: [KeyDigest]"), "{printed}");
}

#[test]
fn the_priority_of_a_workspace_comes_before_that_of_the_route() {
    let important = workspace("north", "k1", Some(0));
    let other = workspace("south", "k2", Some(1));
    let lookup = request_priority(&route(false, 2), Some(&important));
    let filing = request_priority(&route(false, 0), Some(&other));
    assert!(lookup < filing);
}

/// Workspaces of one priority send filings and lookups. Among these requests, filings are refused
/// last.
#[test]
fn within_a_workspace_priority_routes_are_ordered() {
    let workspace = workspace("north", "k1", Some(1));
    let filing = request_priority(&route(false, 0), Some(&workspace));
    let lookup = request_priority(&route(false, 2), Some(&workspace));
    assert!(filing < lookup);
}
