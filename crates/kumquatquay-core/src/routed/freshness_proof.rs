//! Until when the configuration in force is known to have been the newest.

use std::time::Duration;

use kumquatquay_wire::routed::{RouteVersion, StoreEra};

use super::era_tracker::REWRITE_TIME;

/// Proof that a configuration was the newest at some moment.
///
/// A key that was taken away must not be accepted for long, also by a node that hears of no
/// newer configuration, since it is cut off or was suspended. A version tells nothing of that.
/// So a node keeps the latest moment before which, as is proved, nothing newer than what it has
/// in force was confirmed.
///
/// The moment is that at which a question was *sent*: a read of the store that brought nothing
/// newer, or a question to another node, less the age that its own proof had there. What is
/// confirmed while the answer is on its way is not covered by it, however late the answer
/// comes; and no clocks of two hosts are compared.
///
/// What was confirmed stays confirmed, also if the store comes back from a copy without it: a key
/// that was taken away by such a configuration must not be accepted, though the store knows it
/// again. So a proof from before the return stands, and one from after it counts only once
/// operators have written again what was lost: some time after the return, and not while the
/// store lacks the version in force. Nodes keep that version meanwhile.
///
/// All times are of one clock that also counts while the host is suspended. They may be
/// measured from any moment well before the node's start.
#[derive(Debug, Default)]
pub struct FreshnessProof {
    version: RouteVersion,
    /// Nothing newer than the version in force was confirmed before this.
    proven: Option<Duration>,
    /// The same, for a newer version that another node has.
    ahead: Option<(RouteVersion, Duration)>,
    /// The store's last return from a copy.
    returned: Option<Return>,
}

#[derive(Debug)]
struct Return {
    era: StoreEra,
    /// When what was lost is written again.
    rewritten: Duration,
    /// Configuration in force here when it became known.
    version: RouteVersion,
    /// Highest version that the store had in this era; `None` before it was read.
    stored: Option<RouteVersion>,
}

impl Return {
    fn is_over(&self, asked: Duration) -> bool {
        asked >= self.rewritten
    }

    /// Whether the store isn't known to have a version, or a higher one, in this era.
    fn may_lack(&self, version: RouteVersion) -> bool {
        self.stored.unwrap_or_default() < version
    }

    /// Whether something was told in this era, or in a later one.
    fn holds_in(&self, era: Option<StoreEra>) -> bool {
        era >= Some(self.era)
    }
}

/// What another node tells of its proof.
#[derive(Clone, Copy, Debug)]
pub struct PeerProof {
    /// When it was asked.
    pub asked: Duration,
    /// Configuration in force there.
    pub version: RouteVersion,
    /// How old the proof was; `None` if there was none.
    pub age: Option<Duration>,
    /// Highest era of the store that it knows of.
    pub era: Option<StoreEra>,
}

impl FreshnessProof {
    /// A configuration is in force now; a lower version changes nothing.
    pub fn on_applied(&mut self, version: RouteVersion) {
        self.version = self.version.max(version);
        if let Some((ahead, moment)) = self.ahead
            && ahead <= self.version
        {
            self.ahead = None;
            self.prove(moment);
        }
    }

    /// The store has come back from a copy, in this era.
    pub fn on_store_restored(&mut self, now: Duration, era: StoreEra) {
        if self.returned.as_ref().is_none_or(|known| era > known.era) {
            self.returned = Some(Return {
                era,
                rewritten: now + REWRITE_TIME,
                version: self.version,
                stored: None,
            });
        }
    }

    /// The store has a configuration in an era.
    pub fn on_store_version(&mut self, era: Option<StoreEra>, version: RouteVersion) {
        if let Some(returned) = &mut self.returned
            && returned.holds_in(era)
        {
            returned.stored = returned.stored.max(Some(version));
        }
    }

    /// Whether the store came back without the configuration that was in force, and was still seen
    /// to lack it.
    pub fn is_store_behind(&self) -> bool {
        let returned = self.returned.as_ref();
        returned.is_some_and(|returned| {
            let stored = returned.stored;
            stored.is_some_and(|stored| stored < returned.version)
        })
    }

    /// A read of the store that began at `asked` was answered in an era, and all that it brought
    /// is in force or older.
    pub fn on_store_read(&mut self, asked: Duration, era: Option<StoreEra>) {
        let returned = self.returned.as_ref();
        let returned = returned.filter(|returned| returned.holds_in(era));
        let may_lack = returned
            .is_some_and(|returned| !returned.is_over(asked) || returned.may_lack(self.version));
        if !may_lack {
            self.prove(asked);
        }
    }

    /// Another node has told of its proof.
    ///
    /// What makes no sense is passed over: a question from the future, a proof from before the
    /// clock began. So is a proof from the time in which the store is filled again, or of a node
    /// that lacks what the store lost: one that has just started doesn't know of the return.
    pub fn on_peer_proof(&mut self, now: Duration, told: PeerProof) {
        let Some(moment) = told.age.and_then(|age| told.asked.checked_sub(age)) else {
            return;
        };
        let returned = self.returned.as_ref();
        let returned = returned.filter(|returned| returned.holds_in(told.era));
        let may_lack = returned.is_some_and(|returned| {
            let is_behind = returned.may_lack(self.version) && told.version < self.version;
            !returned.is_over(moment) || is_behind
        });
        if told.asked > now || may_lack {
            return;
        }
        let version = told.version;
        if version <= self.version {
            self.prove(moment);
        } else if self.ahead.is_none_or(|(_, known)| moment > known) {
            self.ahead = Some((version, moment));
        }
    }

    /// How long ago the configuration in force was the newest for sure.
    pub fn age(&self, now: Duration) -> Option<Duration> {
        self.proven.map(|proven| now.saturating_sub(proven))
    }

    /// Whether a key that the configuration in force doesn't know was not known to any that had
    /// been confirmed at this moment.
    pub fn covers(&self, moment: Duration) -> bool {
        self.proven.is_some_and(|proven| proven >= moment)
    }

    fn prove(&mut self, moment: Duration) {
        // Proofs come out of order.
        self.proven = self.proven.max(Some(moment));
    }
}
