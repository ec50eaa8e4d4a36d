//! Reaction of the node to a store that was restored from a backup.

use std::{
    cell::{Cell, RefCell},
    rc::Rc,
    time::Duration,
};

use kumquatquay_core::routed::EraChange;
use kumquatquay_wire::routed::StoreEra;
use tokio::sync::Notify;

use super::{
    interface::{ObservedEras, PlatformStore},
    node::RoutedNode,
};

/// Minimum interval between log lines on ignored eras: a store or a node with such an era reports
/// it in each answer.
const MIN_LOG_INTERVAL: Duration = Duration::from_secs(60);

/// State about restores of the store.
#[derive(Debug, Default)]
pub(crate) struct StoreRestore {
    /// Notified of each restore.
    restored: Notify,
    /// Whether the last restore has not been handled by [`take`](Self::take) yet.
    is_pending: Cell<bool>,
    malformed_count: Cell<u64>,
    /// When an ignored era was last logged.
    logged_at: RefCell<Option<Duration>>,
    /// Whether the store lacked the configuration in force at the last check.
    is_behind: Cell<bool>,
    /// Whether the store has said which era is settled.
    has_read_settled: Cell<bool>,
    /// Era that the store is known to keep as settled, or is being told.
    kept_settled: Cell<Option<StoreEra>>,
}

impl StoreRestore {
    /// Whether the store was restored since the last call.
    pub(crate) fn take(&self) -> bool {
        self.is_pending.take()
    }

    /// Waits for a restore that was not [taken](Self::take).
    pub(crate) async fn wait(&self) {
        while !self.is_pending.get() {
            self.restored.notified().await;
        }
    }
}

impl RoutedNode {
    /// Handles the eras in the answers of the store.
    pub(crate) fn on_store_eras(&self, observed: ObservedEras) {
        let now = self.now();
        if observed.highest.is_some() || observed.has_answer_without_era {
            let change = self
                .store_poller
                .borrow_mut()
                .on_store_era(now, observed.highest);
            self.on_era_change(change, observed.highest, "store");
        }
        let malformed_count = observed.malformed_count;
        if self.store_restore.malformed_count.replace(malformed_count) != malformed_count {
            self.log_ignored_era(
                "malformed",
                "the era in an answer of the store is not a number",
            );
        }
    }

    /// Handles what an observed era means for the store.
    pub(crate) fn on_era_change(
        &self,
        change: EraChange,
        era: Option<StoreEra>,
        from: &'static str,
    ) {
        match change {
            EraChange::None => {}
            EraChange::First => {
                log::info!(event = "store_era", era = era, from = from;
                    "the store reports its era, which rises when it is restored from a backup");
                self.on_first_era(era.unwrap_or_default());
            }
            EraChange::Implausible => {
                self.log_ignored_era("senseless", "the reported era is too far ahead");
            }
            EraChange::Restored { previous } => {
                let era = era.unwrap_or_default();
                let now = self.boot_time();
                self.proof.borrow_mut().on_store_restored(now, era);
                self.wait_for_settled_era(era);
                self.metrics.count("store_returned", from);
                log::warn!(event = "store_returned_from_copy", era = era, before = previous,
                    from = from, in_force = self.route_version();
                    "the store was restored from a backup and lost recent writes; it is read \
                     again, and this node registers again");
                self.store_restore.is_pending.set(true);
                self.store_restore.restored.notify_one();
                self.store_poller_wake.notify_one();
            }
        }
    }

    /// Handles the era of the store that a node learns first. Unless the whole deployment starts for the
    /// first time, the store may just have been restored.
    fn on_first_era(&self, era: StoreEra) {
        if self.settings.is_first_start || self.settings.bounds.revoke.is_none() {
            return;
        }
        self.proof.borrow_mut().on_first_era(self.boot_time(), era);
        self.wait_for_settled_era(era);
    }

    /// Reads nothing for a proof that no read can give yet, if this node has none.
    fn wait_for_settled_era(&self, era: StoreEra) {
        let is_settled = self.proof.borrow().is_era_settled(self.boot_time());
        let needs_proof = self.settings.bounds.revoke.is_some() && self.proof_age().is_none();
        if is_settled || !needs_proof {
            return;
        }
        self.store_poller.borrow_mut().on_unsettled_era(self.now());
        self.store_poller_wake.notify_one();
        self.metrics.count("store_era", "unsettled");
        log::info!(event = "store_era_unsettled", era = era;
            "the store may just have been restored from a backup: until operators have written again \
             what it may have lost, or another node vouches for it, requests with keys wait");
    }

    /// Asks the store, as the node starts, which era is settled. It is asked before the configurations:
    /// only a read that starts after the answer has all that was written again by then.
    pub(crate) async fn read_settled_era(&self, store: &PlatformStore) {
        let is_needed = self.settings.bounds.revoke.is_some() && !self.settings.is_first_start;
        let has_read = self.store_restore.has_read_settled.get();
        if !is_needed || has_read || self.proof_age().is_some() {
            return;
        }
        match (store.read_settled_era)().await {
            Ok(settled) => {
                self.store_restore.has_read_settled.set(true);
                self.store_restore.kept_settled.set(settled);
                if let Some(era) = settled {
                    let now = self.boot_time();
                    self.proof.borrow_mut().on_era_settled(now, era);
                }
                if settled > (store.eras)().highest {
                    let text = "the era that is kept as settled is later than that of the store";
                    self.log_ignored_era("settled_ahead", text);
                }
            }
            Err(error) => log::debug!(event = "settled_era_unread"; "{error}"),
        }
    }

    /// Has the store keep that an era is settled, once a read of it has proved something, for nodes that
    /// start later without others that know it.
    pub(crate) fn keep_settled_era(self: &Rc<Self>, store: &PlatformStore, era: Option<StoreEra>) {
        let kept = &self.store_restore.kept_settled;
        let is_needed = self.settings.bounds.revoke.is_some() && era != kept.get();
        let Some(era) = era.filter(|_| is_needed && self.store_readers.get().is_reader) else {
            return;
        };
        let before = kept.replace(Some(era));
        let write = (store.write_settled_era)(era);
        let node = Rc::clone(self);
        self.tasks.spawn_local(async move {
            if let Err(error) = write.await {
                log::debug!(event = "settled_era_unkept", era = era; "{error}");
                node.store_restore.kept_settled.set(before);
            }
        });
    }

    /// Handles an answer of the store from a past era.
    pub(crate) fn on_outdated_answer(&self) {
        self.log_ignored_era("outdated", "the store answered from a past era");
    }

    /// Logs when the store begins to lack the configuration in force, and when it has it again.
    pub(crate) fn log_store_behind(&self) {
        let is_behind = self.proof.borrow().is_store_behind();
        if self.store_restore.is_behind.replace(is_behind) == is_behind {
            return;
        }
        let in_force = self.route_version();
        if is_behind {
            self.metrics.count("store_lacks", "configuration");
            log::warn!(event = "store_lacks_configuration", in_force = in_force;
                "the restored store lacks the configuration in force, which stays in force; write \
                 it to the store again");
        } else {
            log::info!(event = "store_has_configuration", in_force = in_force;
                "the store has the configuration in force again, or a newer one");
        }
    }

    fn log_ignored_era(&self, why: &'static str, text: &str) {
        self.metrics.count("store_era_passed_over", why);
        let now = self.now();
        let mut logged_at = self.store_restore.logged_at.borrow_mut();
        if logged_at.is_none_or(|logged_at| now >= logged_at + MIN_LOG_INTERVAL) {
            *logged_at = Some(now);
            log::warn!(event = "store_era_passed_over", why = why; "{text}");
        }
    }
}
