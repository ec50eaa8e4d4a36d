//! Tracks the era of the store, as a node knows it.

use std::time::Duration;

use kumquatquay_wire::routed::StoreEra;

/// Time after a restore of the store from a backup within which operators write again what it
/// lost. A read that starts within it may miss what was confirmed before.
pub(super) const REWRITE_TIME: Duration = Duration::from_secs(1);

/// The same for a node that knows nothing from before the restore. The others also compare the store
/// with the version that they have in force.
pub(super) const UNWITNESSED_REWRITE_TIME: Duration = Duration::from_secs(3);

/// Eras by which another node may be ahead. A store is restored now and then; without the limit, a
/// broken node that reports a far higher era would hide the real ones for good.
const AHEAD_LIMIT_COUNT: StoreEra = 1_000;

/// Eras of a store that may be restored from an older backup.
///
/// A restore loses what the store acknowledged lately, and the store assigns offsets a second time:
/// offset 121 of one era is unrelated to offset 121 of the next. So everything that a node knows of
/// the store belongs to an era, and a higher era, in any answer of the store or reported by another
/// node, invalidates it. A configuration in force stays in force.
///
/// All answers of a store that sends no era count. If a store starts to send one, it may have been
/// restored.
#[derive(Clone, Copy, Debug, Default)]
pub struct EraTracker {
    highest: Option<StoreEra>,
    /// Whether the store answered without an era before it sent one.
    has_answer_without_era: bool,
}

/// What an observed era says about the store.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum EraChange {
    /// Nothing new: the era is unchanged, or lower because the answer came late.
    None,
    /// It is the first known era.
    First,
    /// The store has been restored from a backup.
    Restored {
        /// Highest era known before; `None` if the store sent none.
        previous: Option<StoreEra>,
    },
    /// The era is too far ahead to be real.
    Implausible,
}

impl EraTracker {
    /// Highest known era.
    pub fn highest(&self) -> Option<StoreEra> {
        self.highest
    }

    /// Whether an answer with this era is from an era that is over.
    pub fn is_past(&self, era: Option<StoreEra>) -> bool {
        era.is_some() && era < self.highest
    }

    /// An answer of the store had this era, or none.
    pub fn observe(&mut self, era: Option<StoreEra>) -> EraChange {
        let Some(era) = era else {
            self.has_answer_without_era |= self.highest.is_none();
            return EraChange::None;
        };
        let previous = self.highest;
        if previous.is_some_and(|previous| era <= previous) {
            return EraChange::None;
        }
        self.highest = Some(era);
        if previous.is_some() || self.has_answer_without_era {
            EraChange::Restored { previous }
        } else {
            EraChange::First
        }
    }

    /// Another node that knows of answers of the store reported this era, or none.
    pub fn observe_from_peer(&mut self, era: Option<StoreEra>) -> EraChange {
        let limit = self
            .highest
            .map(|highest| highest.saturating_add(AHEAD_LIMIT_COUNT));
        match (era, limit) {
            (Some(era), Some(limit)) if era > limit => EraChange::Implausible,
            _ => self.observe(era),
        }
    }
}
