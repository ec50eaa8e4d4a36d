//! Which era the store is in, as far as a node knows.

use std::time::Duration;

use kumquatquay_wire::routed::StoreEra;

/// Time after the store's return from a copy in which operators write again what it lost. A read
/// that begins in it may miss what was confirmed before.
pub(super) const REWRITE_TIME: Duration = Duration::from_secs(1);

/// Eras by which another node may be ahead. A store comes back from a copy now and then; a broken
/// node that tells of a far era would else drown the true ones for good.
const AHEAD_LIMIT_COUNT: StoreEra = 1_000;

/// The eras of a store that may come back from an older copy.
///
/// What the store acknowledged lately is gone then, and offsets are given out again: the number
/// 121 of one era says nothing of the number 121 of the next. So all that a node knows of the
/// store belongs to an era, and a higher one, in any answer or told by another node, starts it
/// anew. What is in force stays in force.
///
/// A store that tells no era costs nothing: all its answers count. One that begins to tell it may
/// do so since it came back.
#[derive(Clone, Copy, Debug, Default)]
pub struct EraTracker {
    known: Option<StoreEra>,
    /// Whether the store answered without an era, before it told any.
    has_answer_without_era: bool,
}

/// What an era says of the store.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum EraChange {
    /// Nothing new; the one of an answer that came late is no higher either.
    None,
    /// It is the first one that is known.
    First,
    /// The store has come back from a copy since.
    Restored {
        /// The highest one that was known before; `None` if the store told none.
        previous: Option<StoreEra>,
    },
    /// It is too far ahead to be true.
    Implausible,
}

impl EraTracker {
    /// The highest one that is known.
    pub fn highest(&self) -> Option<StoreEra> {
        self.known
    }

    /// Whether an answer that tells this is of an era that is over.
    pub fn is_past(&self, era: Option<StoreEra>) -> bool {
        era.is_some() && era < self.known
    }

    /// An answer of the store told it, or none.
    pub fn observe(&mut self, era: Option<StoreEra>) -> EraChange {
        let Some(era) = era else {
            self.has_answer_without_era |= self.known.is_none();
            return EraChange::None;
        };
        let previous = self.known;
        if previous.is_some_and(|previous| era <= previous) {
            return EraChange::None;
        }
        self.known = Some(era);
        if previous.is_some() || self.has_answer_without_era {
            EraChange::Restored { previous }
        } else {
            EraChange::First
        }
    }

    /// Another node, which knows of answers of the store, told it, or knows none.
    pub fn observe_from_peer(&mut self, era: Option<StoreEra>) -> EraChange {
        let most = self
            .known
            .map(|known| known.saturating_add(AHEAD_LIMIT_COUNT));
        match (era, most) {
            (Some(era), Some(most)) if era > most => EraChange::Implausible,
            _ => self.observe(era),
        }
    }
}
