//! Which crashes the platform's store keeps, and what is to be written.

use std::{collections::BTreeMap, time::Duration};

use kumquatquay_wire::{CrashId, CrashReport, CrashSuspect, Fingerprint};

/// How long the node whose backend server crashed has to write the crash before another one does. It may be
/// gone, or the store may not serve it.
const WRITE_TIME: Duration = Duration::from_secs(3);

/// Pause after the first write of a crash until it is written again with fewer suspects; it doubles with each
/// write. Most of them run again, and are cleared, within seconds.
const REWRITE_PAUSE: Duration = Duration::from_secs(5);
const MAX_REWRITE_PAUSE: Duration = Duration::from_secs(80);

/// A crash that this node knows.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct KnownCrash {
    /// The crash, with the suspects that aren't cleared.
    pub report: CrashReport,
    /// Suspects that ran at its service since, or were released.
    pub cleared: Vec<Fingerprint>,
    /// Whether the backend server of this host crashed.
    pub is_own: bool,
}

/// What to do at the store next.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct KeepStep {
    /// What to do.
    pub action: KeepAction,
    /// Whether it is about a crash of the backend server of this host, so that this node does it. Otherwise any
    /// node that reads the store may.
    pub is_own: bool,
}

/// A change of what the store keeps.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum KeepAction {
    /// Write a crash, in place of what was kept of it before.
    Write(CrashReport),
    /// Remove a crash.
    Remove(CrashId),
}

/// Crashes that the platform's store keeps, as far as this node knows.
///
/// All nodes may be killed after a crash, and what they know goes with them.
#[derive(Clone, Debug, Default)]
pub struct KeptCrashes {
    kept: BTreeMap<CrashId, KeptCrash>,
    /// Since when this node knows a crash that isn't kept, on the monotonic clock.
    missing_since: BTreeMap<CrashId, Duration>,
}

#[derive(Clone, Debug)]
struct KeptCrash {
    suspects: Vec<CrashSuspect>,
    /// On the monotonic clock, as are the other times.
    expires: Duration,
    changed_at: Duration,
    rewrite_pause: Duration,
}

impl KeptCrashes {
    /// The store keeps this crash: it was read or written.
    pub fn on_kept(&mut self, now: Duration, report: &CrashReport) {
        let remaining = Duration::from_millis(u64::from(report.remaining_ms));
        let before = self.kept.get(&report.id);
        let rewrite_pause = match before {
            None => REWRITE_PAUSE,
            Some(before) if before.suspects == report.suspects => before.rewrite_pause,
            Some(before) => MAX_REWRITE_PAUSE.min(before.rewrite_pause * 2),
        };
        let crash = KeptCrash {
            suspects: report.suspects.clone(),
            expires: now + remaining,
            changed_at: now,
            rewrite_pause,
        };
        self.kept.insert(report.id, crash);
    }

    /// The store doesn't keep a crash any more.
    pub fn on_removed(&mut self, id: CrashId) {
        self.kept.remove(&id);
    }

    /// The store was restored from a backup, and may lack any crash.
    pub fn on_store_restored(&mut self) {
        self.kept.clear();
    }

    /// The next step that leaves the store with the crashes that this node knows; own ones come first.
    pub fn next_step(&mut self, now: Duration, known: &[KnownCrash]) -> Option<KeepStep> {
        self.note_missing(now, known);
        let own = known.iter().filter(|crash| crash.is_own);
        let others = known.iter().filter(|crash| !crash.is_own);
        let step = own.chain(others).find_map(|crash| {
            let action = self.action_on(now, crash)?;
            let is_own = crash.is_own;
            Some(KeepStep { action, is_own })
        });
        step.or_else(|| self.expired(now))
    }

    fn note_missing(&mut self, now: Duration, known: &[KnownCrash]) {
        let mut since_before = std::mem::take(&mut self.missing_since);
        for crash in known {
            let id = crash.report.id;
            if !self.kept.contains_key(&id) && !crash.report.suspects.is_empty() {
                let since = since_before.remove(&id).unwrap_or(now);
                self.missing_since.insert(id, since);
            }
        }
    }

    fn action_on(&self, now: Duration, crash: &KnownCrash) -> Option<KeepAction> {
        let id = crash.report.id;
        let Some(kept) = self.kept.get(&id) else {
            let since = self.missing_since.get(&id)?;
            let is_due = crash.is_own || now >= *since + WRITE_TIME;
            return is_due.then(|| KeepAction::Write(crash.report.clone()));
        };
        if now < kept.changed_at + kept.rewrite_pause {
            return None;
        }
        let remaining = kept.without_cleared(crash);
        if remaining == kept.suspects {
            None
        } else if remaining.is_empty() {
            Some(KeepAction::Remove(id))
        } else {
            let suspects = remaining;
            Some(KeepAction::Write(CrashReport {
                suspects,
                ..crash.report.clone()
            }))
        }
    }

    /// Step that removes a crash which no longer counts.
    fn expired(&self, now: Duration) -> Option<KeepStep> {
        let mut kept = self.kept.iter();
        let (id, _) = kept.find(|(_, crash)| crash.expires <= now)?;
        Some(KeepStep {
            action: KeepAction::Remove(*id),
            is_own: false,
        })
    }
}

impl KeptCrash {
    /// The suspects that are still to be kept, as they are known now.
    fn without_cleared(&self, crash: &KnownCrash) -> Vec<CrashSuspect> {
        let suspects = self.suspects.iter();
        let remaining = suspects.filter(|suspect| !crash.cleared.contains(&suspect.fingerprint));
        let as_known = |kept: &CrashSuspect| {
            let mut known = crash.report.suspects.iter();
            let known = known.find(|known| known.fingerprint == kept.fingerprint);
            known.unwrap_or(kept).clone()
        };
        remaining.map(as_known).collect()
    }
}
