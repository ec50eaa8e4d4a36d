//! A call on its way from the entry of this host, and its progress.

use std::{
    cell::{Cell, OnceCell},
    net::SocketAddr,
    sync::Arc,
    time::Duration,
};

use kumquatquay_core::routed::RouteEntry;
use kumquatquay_wire::{
    Fingerprint, ServiceName,
    routed::{Payload, Priority, RouteVersion, WorkspaceSettings},
};

use super::{call_fingerprint::fingerprint_at_entry, link_answer::MayHaveRun};

/// A call that was received at the entry of this host and is forwarded to a backend server.
#[derive(Debug)]
pub(crate) struct OutgoingCall {
    pub(crate) caller: Option<SocketAddr>,
    pub(crate) route: Arc<RouteEntry>,
    pub(crate) service: ServiceName,
    pub(crate) version: RouteVersion,
    /// Workspace to which the caller's key belongs.
    pub(crate) workspace: Option<Arc<WorkspaceSettings>>,
    /// Priority of the root request that the call belongs to. Until the run that made the call is
    /// known, it is computed as if the call were a root request.
    pub(crate) request_priority: Cell<Priority>,
    /// Whether a run of the backend server of this host made the call, as far as that can be told.
    pub(crate) is_of_local_run: Cell<bool>,
    /// Whether a repeated run of the backend server of this host may have made the call.
    pub(crate) may_be_of_repeated_run: bool,
    pub(crate) attempt_id: String,
    pub(crate) deadline: Duration,
    pub(crate) method: String,
    pub(crate) target: String,
    pub(crate) payload: Payload,
    /// Progress so far. It is kept here so that it can be logged if the deadline passes before
    /// [`forward`] returns.
    pub(crate) progress: Cell<Progress>,
    /// Whether a backend server may have received the call.
    pub(crate) may_have_run: MayHaveRun,
    /// Computed when it is first needed, which is only while some request is a suspect.
    pub(super) known_fingerprint: OnceCell<Fingerprint>,
}

impl OutgoingCall {
    /// Identifies the call when its caller sends it again.
    pub(super) fn fingerprint(&self) -> Fingerprint {
        let known = &self.known_fingerprint;
        *known.get_or_init(|| fingerprint_at_entry(self))
    }

    /// Priority of this call alone, without that of its root request.
    pub(super) fn priority(&self) -> Priority {
        let workspace = self.workspace.as_ref();
        let priority = workspace.and_then(|workspace| workspace.priority);
        priority.unwrap_or(self.route.settings.priority)
    }
}

/// Attempts and refusals of a call so far.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct Progress {
    /// Attempts that a backend server rejected or failed, or whose outcome is unknown. A hedged
    /// attempt counts when it starts.
    pub(crate) sends_count: u32,
    /// Nodes that refused it, and searches that found only rate-limited endpoints.
    pub(crate) refusals_count: usize,
    /// Control address of the node to which it was sent last.
    pub(crate) last_node: Option<SocketAddr>,
}
