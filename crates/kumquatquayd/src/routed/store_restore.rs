//! What the node does when the store comes back from a copy.

use std::{
    cell::{Cell, RefCell},
    time::Duration,
};

use kumquatquay_core::routed::EraChange;
use kumquatquay_wire::routed::StoreEra;
use tokio::sync::Notify;

use super::{interface::ObservedEras, node::RoutedNode};

/// Least time between lines on eras that make no sense: a store or a node that tells one tells it
/// with each answer.
const LINE_PAUSE: Duration = Duration::from_secs(60);

/// What a node keeps of the store's returns.
#[derive(Debug, Default)]
pub(crate) struct StoreRestore {
    /// Told of each return.
    news: Notify,
    /// Whether the register hasn't been told of the last one.
    is_untold: Cell<bool>,
    malformed_count: Cell<u64>,
    /// When the last line on an era that makes no sense was written.
    line_at: RefCell<Option<Duration>>,
    /// Whether the store lacked the configuration in force when that was looked at last.
    is_behind: Cell<bool>,
}

impl StoreRestore {
    /// Whether the store came back since this was asked last.
    pub(crate) fn take(&self) -> bool {
        self.is_untold.take()
    }

    /// Waits for a return that was not [taken](Self::take).
    pub(crate) async fn wait(&self) {
        while !self.is_untold.get() {
            self.news.notified().await;
        }
    }
}

impl RoutedNode {
    /// Takes in what the answers of the store told of its era.
    pub(crate) fn on_store_eras(&self, told: ObservedEras) {
        let now = self.now();
        if told.highest.is_some() || told.has_answer_without_era {
            let news = self
                .store_poller
                .borrow_mut()
                .on_store_era(now, told.highest);
            self.on_era_change(news, told.highest, "store");
        }
        let malformed_count = told.malformed_count;
        if self.store_restore.malformed_count.replace(malformed_count) != malformed_count {
            self.pass_over_era(
                "malformed",
                "an answer of the store tells no number as its era",
            );
        }
    }

    /// Takes in what an era that was told says of the store.
    pub(crate) fn on_era_change(&self, news: EraChange, era: Option<StoreEra>, from: &'static str) {
        match news {
            EraChange::None => {}
            EraChange::First => {
                log::info!(event = "store_era", era = era, from = from;
                    "the store tells its era, which rises if it comes back from a copy");
            }
            EraChange::Implausible => {
                self.pass_over_era("senseless", "a node tells of an era that is too far ahead");
            }
            EraChange::Restored { previous } => {
                let era = era.unwrap_or_default();
                let now = self.boot_time();
                self.proof.borrow_mut().on_store_restored(now, era);
                self.metrics.count("store_returned", from);
                log::warn!(event = "store_returned_from_copy", era = era, before = previous,
                    from = from, in_force = self.route_version();
                    "the store has lost what was written lately; it is read anew, and this node \
                     enters itself again");
                self.store_restore.is_untold.set(true);
                self.store_restore.news.notify_one();
                self.store_poller_wake.notify_one();
            }
        }
    }

    /// The store has answered from an era that is over.
    pub(crate) fn on_outdated_answer(&self) {
        self.pass_over_era("outdated", "an answer is of an era that is over");
    }

    /// Tells operators whether the store lacks the configuration in force.
    pub(crate) fn log_store_behind(&self) {
        let is_behind = self.proof.borrow().is_store_behind();
        if self.store_restore.is_behind.replace(is_behind) == is_behind {
            return;
        }
        let in_force = self.route_version();
        if is_behind {
            self.metrics.count("store_lacks", "configuration");
            log::warn!(event = "store_lacks_configuration", in_force = in_force;
                "the store came back without the configuration in force, which stays; it is to \
                 be written again");
        } else {
            log::info!(event = "store_has_configuration", in_force = in_force;
                "the store has the configuration in force again, or a newer one");
        }
    }

    fn pass_over_era(&self, why: &'static str, text: &str) {
        self.metrics.count("store_era_passed_over", why);
        let now = self.now();
        let mut line_at = self.store_restore.line_at.borrow_mut();
        if line_at.is_none_or(|line_at| now >= line_at + LINE_PAUSE) {
            *line_at = Some(now);
            log::warn!(event = "store_era_passed_over", why = why; "{text}");
        }
    }
}
