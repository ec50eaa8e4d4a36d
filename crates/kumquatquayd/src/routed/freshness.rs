//! Freshness of the configuration in force, and the clock that it is proved by.

use std::time::Duration;

use kumquatquay_core::routed::FreshnessProof;
use kumquatquay_wire::routed::{RouteSettings, SyncState};

use super::node::RoutedNode;
use crate::clock::unsuspended;

/// A proof counts as expired this long before its bound, since a request is read a moment
/// before the proof is checked.
const PROOF_MARGIN: Duration = Duration::from_millis(100);

/// Time after the start in which a node gets what it needs to admit requests with keys.
const STARTUP_TIME: Duration = Duration::from_secs(3);

/// Longest wait of a request for that, as a part of the route's target latency.
const STARTUP_WAIT_RATIO: f64 = 0.5;

impl RoutedNode {
    /// How long a request waits for what a starting node still lacks: a proof, and parts of
    /// quotas. If it was refused, its caller would retry later than the request could have been
    /// served.
    pub(crate) fn startup_wait(&self, route: &RouteSettings) -> Duration {
        if self.now() < STARTUP_TIME {
            route.target_latency.mul_f64(STARTUP_WAIT_RATIO)
        } else {
            Duration::ZERO
        }
    }

    /// Time by the clock that includes suspended time.
    pub(crate) fn boot_time(&self) -> Duration {
        let now = unsuspended();
        self.suspended_offset.set(now.saturating_sub(self.now()));
        now
    }

    /// Present or earlier time by the clock that includes suspended time: a recent suspension
    /// may be missing. It avoids reading that clock. The error is safe, since a question that
    /// is taken to be older than it is never makes a proof younger.
    pub(crate) fn boot_time_at_most(&self, now: Duration) -> Duration {
        now + self.suspended_offset.get()
    }

    /// How far this node follows the configuration, with the age of its proof; this form is for
    /// nodes that asked.
    pub(crate) fn sync_state_with_proof(&self) -> SyncState {
        SyncState {
            proof_age_ms: self.proof_age().and_then(age_ms),
            ..self.sync_state()
        }
    }

    /// Time since the configuration in force was last proved to be the newest; `None` without
    /// proof.
    pub(crate) fn proof_age(&self) -> Option<Duration> {
        self.proof.borrow().age(self.boot_time())
    }

    /// Whether revocations of keys may have been missed for too long for this node to accept
    /// any key.
    ///
    /// A node that has no contact with the store refuses requests that need a key before it
    /// could accept a key for longer after its revocation than allowed.
    pub(crate) fn lacks_valid_proof(&self) -> bool {
        let Some(bound) = self.settings.bounds.revoke else {
            return false;
        };
        let bound = bound.saturating_sub(PROOF_MARGIN);
        self.proof_age().is_none_or(|age| age >= bound)
    }

    /// Whether the proof is so young that a newer configuration needn't be in force yet.
    pub(crate) fn is_configuration_current(&self) -> bool {
        let bound = self.settings.bounds.configuration;
        self.proof_age().is_some_and(|age| age < bound)
    }

    /// Requests a proof from a moment not before now.
    pub(crate) fn request_proof(&self) {
        let nodes_count = self.poller_fleet().nodes_count;
        self.store_poller
            .borrow_mut()
            .request_read(self.now(), nodes_count);
        self.store_poller_wake.notify_one();
    }

    /// Whether the configuration in force is proved to have been the newest up to a moment of
    /// the clock that includes suspended time.
    pub(crate) fn proof_covers(&self, moment: Duration) -> bool {
        self.proof.borrow().covers(moment)
    }

    /// Updates the freshness proof; on success notifies those that wait for one.
    pub(crate) fn update_proof(&self, update: impl FnOnce(&mut FreshnessProof)) {
        let mut proof = self.proof.borrow_mut();
        update(&mut proof);
        if let Some(age) = proof.age(self.boot_time()) {
            let proven = self.now().saturating_sub(age);
            self.store_poller.borrow_mut().on_proof(proven);
            self.proof_updated.notify_waiters();
        }
    }
}

/// Age for other nodes, rounded up, since it must not become younger in transit.
fn age_ms(age: Duration) -> Option<u32> {
    u32::try_from(age.as_millis() + 1).ok()
}
