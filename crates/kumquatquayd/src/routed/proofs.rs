//! What the node knows of how new its configuration is.

use std::time::Duration;

use kumquatquay_core::routed::FreshnessProof;
use kumquatquay_wire::routed::{FollowState, RouteSettings};

use super::node::RoutedNode;
use crate::clock::unsuspended;

/// Time before a proof is too old at which it counts as too old: a request is read a moment before
/// that is judged.
const PROOF_MARGIN: Duration = Duration::from_millis(100);

/// Time after a node's start in which it soon learns what it needs to let requests with keys in.
const STARTING_TIME: Duration = Duration::from_secs(3);

/// Part of the time within which an answer is worth most for which a request waits for that.
const STARTING_PATIENCE_RATIO: f64 = 0.5;

impl RoutedNode {
    /// How long a request waits for what a node lacks that has just started: a proof, and parts of
    /// quotas. Refused, its caller would come back later than it could have been served.
    pub(crate) fn startup_wait(&self, route: &RouteSettings) -> Duration {
        if self.now() < STARTING_TIME {
            route.target_latency.mul_f64(STARTING_PATIENCE_RATIO)
        } else {
            Duration::ZERO
        }
    }

    /// Time by the clock that counts suspended time.
    pub(crate) fn boot_time(&self) -> Duration {
        let now = unsuspended();
        self.suspended_offset.set(now.saturating_sub(self.now()));
        now
    }

    /// A moment by that clock that is now or before: time in which the host was suspended lately may
    /// be missing. It costs no reading of that clock, and a question that is taken for older than
    /// it is makes a proof no younger.
    pub(crate) fn boot_time_at_most(&self, now: Duration) -> Duration {
        now + self.suspended_offset.get()
    }

    /// How far this node follows the configuration, as those are told who asked.
    pub(crate) fn follow_state_with_proof(&self) -> FollowState {
        FollowState {
            proof_age_ms: self.proof_age().and_then(age_ms),
            ..self.follow_state()
        }
    }

    /// How long ago the configuration in force was the newest for sure.
    pub(crate) fn proof_age(&self) -> Option<Duration> {
        self.proof.borrow().age(self.boot_time())
    }

    /// Whether keys may have been taken away too long ago for this node to accept any.
    ///
    /// Nodes that stay without word of the store refuse what needs a key before it could be run
    /// with one that was taken away longer ago than is allowed.
    pub(crate) fn lacks_valid_proof(&self) -> bool {
        let Some(bound) = self.settings.bounds.revoke else {
            return false;
        };
        let bound = bound.saturating_sub(PROOF_MARGIN);
        self.proof_age().is_none_or(|age| age >= bound)
    }

    /// Whether the configuration in force is so new that another one needn't be in force yet.
    pub(crate) fn is_configuration_current(&self) -> bool {
        let bound = self.settings.bounds.configuration;
        self.proof_age().is_some_and(|age| age < bound)
    }

    /// Asks for a proof that begins now.
    pub(crate) fn request_proof(&self) {
        let nodes_count = self.poller_fleet().nodes_count;
        self.store_poller
            .borrow_mut()
            .request_read(self.now(), nodes_count);
        self.store_poller_wake.notify_one();
    }

    /// Whether nothing newer than the configuration in force was confirmed before a moment of
    /// the clock that counts suspended time.
    pub(crate) fn proof_covers(&self, moment: Duration) -> bool {
        self.proof.borrow().covers(moment)
    }

    /// Takes in what shows until when the configuration in force was the newest.
    pub(crate) fn update_proof(&self, learn: impl FnOnce(&mut FreshnessProof)) {
        let mut proof = self.proof.borrow_mut();
        learn(&mut proof);
        if let Some(age) = proof.age(self.boot_time()) {
            let proven = self.now().saturating_sub(age);
            self.store_poller.borrow_mut().on_proof(proven);
            self.proof_updated.notify_waiters();
        }
    }
}

/// An age as other nodes are told, rounded up: it must not get younger on the way.
fn age_ms(age: Duration) -> Option<u32> {
    u32::try_from(age.as_millis() + 1).ok()
}
