//! Tracks until when the configuration in force is proved to have been the newest.

use std::time::Duration;

use kumquatquay_wire::routed::{RouteVersion, StoreEra};

use super::era_tracker::{REWRITE_TIME, UNWITNESSED_REWRITE_TIME};

/// Proof that the configuration in force was the newest at some moment.
///
/// A revoked key must not be accepted for long, even by a node that learns of no newer
/// configuration because it is cut off or was suspended. The version in force doesn't show that.
/// So a node tracks the latest moment before which, provably, nothing newer than its version in
/// force was confirmed.
///
/// That moment is the one at which a question was *sent*: a read of the store that returned nothing
/// newer, or a question to another node, minus the age of that node's proof. The proof doesn't
/// cover what is confirmed while the answer is in transit, however late the answer arrives, and
/// clocks of two hosts are never compared.
///
/// What was confirmed stays confirmed even if the store is restored from a backup that lacks it: a
/// key that was revoked by such a configuration must not be accepted, although the store has it
/// again. So a proof from before the restore stays valid, and a proof from after it counts only
/// once operators have written again what was lost: some time after the restore, and not while
/// the store lacks the version in force. Nodes keep that version in the meantime.
///
/// A node that starts doesn't know whether the store was restored a moment before: of the backup it sees no
/// more than a node that started long ago sees of the whole. So its own reads count only once
/// operators have written again what may be lost, or once the store says that another node saw that
/// time pass in this era ([`on_era_settled`](Self::on_era_settled)). Proofs of other nodes count
/// at once, since these follow the same rules.
///
/// All times are of one clock that also advances while the host is suspended. They may be relative
/// to any moment well before the node's start.
#[derive(Debug, Default)]
pub struct FreshnessProof {
    version: RouteVersion,
    /// Nothing newer than the version in force was confirmed before this moment.
    proven_until: Option<Duration>,
    /// The same for a newer version that another node has in force.
    ahead: Option<(RouteVersion, Duration)>,
    /// The last restore of the store from a backup.
    restore: Option<Restore>,
    /// Era in which operators have written again what was lost, and when this node learned that.
    settled: Option<(StoreEra, Duration)>,
}

#[derive(Debug)]
struct Restore {
    era: StoreEra,
    /// When operators have written again what was lost.
    rewritten_at: Duration,
    /// Version in force on this node when it learned of the restore.
    version: RouteVersion,
    /// Highest version that the store had in this era; `None` before it was read.
    stored: Option<RouteVersion>,
    /// Whether this node had a proof before it. Otherwise there may have been no restore, or one long ago.
    is_witnessed: bool,
}

impl Restore {
    fn is_rewritten(&self, asked: Duration) -> bool {
        asked >= self.rewritten_at
    }

    /// Whether the store isn't known to have this version, or a higher one, in this era.
    fn may_lack(&self, version: RouteVersion) -> bool {
        self.stored.unwrap_or_default() < version
    }

    /// Whether a statement from this era was made after the restore.
    fn precedes(&self, era: Option<StoreEra>) -> bool {
        era >= Some(self.era)
    }
}

/// Freshness proof that another node reports.
#[derive(Clone, Copy, Debug)]
pub struct PeerProof {
    /// When the node was asked.
    pub asked: Duration,
    /// Version in force on that node.
    pub version: RouteVersion,
    /// Age of its proof; `None` if it has none.
    pub age: Option<Duration>,
    /// Highest era of the store that it knows of.
    pub era: Option<StoreEra>,
}

impl FreshnessProof {
    /// A configuration was put in force; a version lower than the current one is ignored.
    pub fn on_applied(&mut self, version: RouteVersion) {
        self.version = self.version.max(version);
        if let Some((ahead, moment)) = self.ahead
            && ahead <= self.version
        {
            self.ahead = None;
            self.prove(moment);
        }
    }

    /// The store was restored from a backup, which started this era.
    pub fn on_store_restored(&mut self, now: Duration, era: StoreEra) {
        if self.proven_until.is_none() {
            return self.on_first_era(now, era);
        }
        self.await_rewrite(now + REWRITE_TIME, era, true);
    }

    /// A node that has started learns of the era of the store for the first time, or of another one before
    /// it has any proof.
    pub fn on_first_era(&mut self, now: Duration, era: StoreEra) {
        self.await_rewrite(now + UNWITNESSED_REWRITE_TIME, era, false);
    }

    fn await_rewrite(&mut self, rewritten_at: Duration, era: StoreEra, is_witnessed: bool) {
        if self.restore.as_ref().is_some_and(|known| era <= known.era) {
            return;
        }
        let settled = self.settled.filter(|(settled, _)| *settled == era);
        let rewritten_at = settled.map_or(rewritten_at, |(_, at)| at.min(rewritten_at));
        self.restore = Some(Restore {
            era,
            rewritten_at,
            version: self.version,
            stored: None,
            is_witnessed,
        });
    }

    /// The store says that a node saw the time pass in which operators write again what was lost
    /// before this era.
    ///
    /// It says nothing of other eras: a store can't have been told of a later one than its own, and
    /// a record that names one would make the reads after each restore count at once.
    pub fn on_era_settled(&mut self, now: Duration, era: StoreEra) {
        if self.settled.is_some_and(|(settled, _)| settled == era) {
            return;
        }
        self.settled = Some((era, now));
        if let Some(restore) = &mut self.restore
            && restore.era == era
        {
            restore.rewritten_at = restore.rewritten_at.min(now);
        }
    }

    /// Whether a read that starts at this moment has all that was confirmed before the era of the store.
    pub fn is_era_settled(&self, moment: Duration) -> bool {
        let restore = self.restore.as_ref();
        restore.is_none_or(|restore| restore.is_rewritten(moment))
    }

    /// The store has a configuration of this version in an era.
    pub fn on_store_version(&mut self, era: Option<StoreEra>, version: RouteVersion) {
        if let Some(restore) = &mut self.restore
            && restore.precedes(era)
        {
            restore.stored = restore.stored.max(Some(version));
        }
    }

    /// Whether the store was restored without the version that was in force, and still lacked it
    /// when it was last read.
    pub fn is_store_behind(&self) -> bool {
        let restore = self.restore.as_ref();
        restore.is_some_and(|restore| {
            let stored = restore.stored;
            stored.is_some_and(|stored| stored < restore.version)
        })
    }

    /// A read of the store that started at `asked` was answered in an era, and everything that it
    /// returned is in force or older.
    pub fn on_store_read(&mut self, asked: Duration, era: Option<StoreEra>) {
        let restore = self.restore.as_ref();
        let restore = restore.filter(|restore| restore.precedes(era));
        let may_lack = restore
            .is_some_and(|restore| !restore.is_rewritten(asked) || restore.may_lack(self.version));
        if !may_lack {
            self.prove(asked);
        }
    }

    /// Another node has reported its proof.
    ///
    /// Implausible reports are ignored: a question from the future, or a proof from before the
    /// clock started. So are proofs from the time in which the store's lost records are written
    /// again, and proofs of nodes that lack what the store lost: a node that has just started
    /// doesn't know of the restore.
    pub fn on_peer_proof(&mut self, now: Duration, report: PeerProof) {
        let Some(moment) = report.age.and_then(|age| report.asked.checked_sub(age)) else {
            return;
        };
        let restore = self.restore.as_ref();
        let restore =
            restore.filter(|restore| restore.is_witnessed && restore.precedes(report.era));
        let may_lack = restore.is_some_and(|restore| {
            let is_behind = restore.may_lack(self.version) && report.version < self.version;
            !restore.is_rewritten(moment) || is_behind
        });
        if report.asked > now || may_lack {
            return;
        }
        let version = report.version;
        if version <= self.version {
            self.prove(moment);
        } else if self.ahead.is_none_or(|(_, known)| moment > known) {
            self.ahead = Some((version, moment));
        }
    }

    /// Age of the proof: how long ago the configuration in force was provably the newest.
    pub fn age(&self, now: Duration) -> Option<Duration> {
        self.proven_until
            .map(|proven_until| now.saturating_sub(proven_until))
    }

    /// Whether the proof covers this moment: a key that the configuration in force lacks was in no
    /// configuration that had been confirmed by then.
    pub fn covers(&self, moment: Duration) -> bool {
        self.proven_until
            .is_some_and(|proven_until| proven_until >= moment)
    }

    fn prove(&mut self, moment: Duration) {
        // Proofs arrive out of order.
        self.proven_until = self.proven_until.max(Some(moment));
    }
}
