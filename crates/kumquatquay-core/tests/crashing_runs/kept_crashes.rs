//! What the platform's store keeps of crashes.

use std::time::Duration;

use kumquatquay_core::{KeepAction, KeepStep, KeptCrashes, KnownCrash};
use kumquatquay_wire::{CrashReport, CrashSuspect, Fingerprint};

use crate::gates::SERVICE;

const CRASH: u64 = 7;
const START: Duration = Duration::from_secs(100);

fn report(fingerprints: &[Fingerprint]) -> CrashReport {
    let suspects = fingerprints.iter().map(|fingerprint| CrashSuspect {
        fingerprint: *fingerprint,
        score_milli: 500,
        ran_at: Vec::new(),
    });
    CrashReport {
        id: CRASH,
        service: String::from(SERVICE),
        suspects: suspects.collect(),
        remaining_ms: 60_000,
    }
}

fn known(is_own: bool, suspects: &[Fingerprint], cleared: &[Fingerprint]) -> Vec<KnownCrash> {
    vec![KnownCrash {
        report: report(suspects),
        cleared: cleared.to_vec(),
        is_own,
    }]
}

fn write(is_own: bool, suspects: &[Fingerprint]) -> Option<KeepStep> {
    let action = KeepAction::Write(report(suspects));
    Some(KeepStep { action, is_own })
}

fn remove(is_own: bool) -> Option<KeepStep> {
    let action = KeepAction::Remove(CRASH);
    Some(KeepStep { action, is_own })
}

macro_rules! kept_crashes {
    ($($(#[$failure:meta])* $name:ident: $kept:expr, $known:expr, after $seconds:expr => $step:expr;)*) => {
        $($(#[$failure])* #[test] fn $name() {
            let mut kept = KeptCrashes::default();
            let before: Option<CrashReport> = $kept;
            before.iter().for_each(|report| kept.on_kept(START, report));
            let known: Vec<KnownCrash> = $known;
            let _ = kept.next_step(START, &known);
            let step = kept.next_step(START + Duration::from_secs($seconds), &known);
            assert_eq!(step, $step);
        })*
    };
}

kept_crashes! {
    /// The first crash of a request went with the nodes that knew it.
    an_own_crash_is_written: None, known(true, &[1, 2], &[]), after 0 => write(true, &[1, 2]);
    /// The node that saw the crash may be gone.
    a_crash_of_another_host_is_written_later: None, known(false, &[1, 2], &[]), after 4
        => write(false, &[1, 2]);
    /// Each node would write each crash.
    a_crash_of_another_host_is_left_to_it: None, known(false, &[1, 2], &[]), after 1 => None;
    /// What is kept would be written again and again.
    a_kept_crash_is_not_written: Some(report(&[1, 2])), known(true, &[1, 2], &[]), after 9 => None;
    /// A node that knows fewer suspects would take the others out.
    unknown_suspects_stay_kept: Some(report(&[1, 2, 3])), known(true, &[1], &[]), after 9 => None;
    /// Requests that ran since would be suspects again after a restart of all nodes.
    cleared_suspects_are_taken_out: Some(report(&[1, 2, 3])), known(true, &[1, 3], &[2]), after 9
        => write(true, &[1, 3]);
    /// Each suspect that runs would cost a write.
    cleared_suspects_are_taken_out_together: Some(report(&[1, 2])), known(true, &[1], &[2]), after 2
        => None;
    /// A released request would be refused again after a restart.
    a_cleared_crash_is_removed: Some(report(&[1])), known(false, &[], &[1]), after 9 => remove(false);
    /// Expired crashes would stay in the store for good.
    an_expired_crash_is_removed: Some(report(&[1])), vec![], after 61 => remove(false);
}

/// The store comes back from a copy that lacks the crash.
#[test]
fn a_crash_is_written_again_after_a_restore() {
    let mut kept = KeptCrashes::default();
    kept.on_kept(START, &report(&[1]));
    kept.on_store_restored();
    let step = kept.next_step(START, &known(true, &[1], &[]));
    assert_eq!(step, write(true, &[1]));
}

/// A suspect is cleared each second, and the crash was written seven times in half a minute.
#[test]
fn a_crash_is_written_less_and_less_often() {
    let suspects: Vec<Fingerprint> = (0..60).collect();
    let mut kept = KeptCrashes::default();
    let mut writes_count = 0;
    for second in 0..30 {
        let (cleared, remaining) = suspects.split_at(second);
        let now = START + Duration::from_secs(second as u64);
        let step = kept.next_step(now, &known(true, remaining, cleared));
        if let Some(KeepStep {
            action: KeepAction::Write(report),
            ..
        }) = step
        {
            kept.on_kept(now, &report);
            writes_count += 1;
        }
    }
    assert_eq!(writes_count, 3);
}
