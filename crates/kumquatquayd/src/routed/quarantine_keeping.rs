//! Keeps records of requests that crash backend servers in the platform's store, and reads them.

use std::{
    rc::Rc,
    time::{Duration, UNIX_EPOCH},
};

use kumquatquay_core::{Input, KeepStep, KeptRecords, RecordToKeep};
use rand::Rng;

use super::{
    interface::{PlatformStore, QuarantineRead, StoreError, StoredQuarantine},
    node::RoutedNode,
};

/// Interval at which the records of this node are compared with those that the store keeps.
const WRITE_INTERVAL: Duration = Duration::from_millis(500);

/// Probability that a node writes a record of another host's crash in one interval. The nodes of a
/// service spread their writes over some seconds.
const OTHER_WRITE_PROBABILITY: f64 = 0.2;

/// How long the store may hold a read until there is a record.
const READ_HOLD: Duration = Duration::from_secs(25);

/// Pause before the first read. It shows meanwhile which nodes read the store for others.
const START_PAUSE: Duration = Duration::from_millis(300);

/// The same when the deployment starts for the first time, and the store keeps no records yet.
const FIRST_START_PAUSE: Duration = Duration::from_secs(3);

/// Pause after a read, doubled with each one that fails, up to a limit.
const READ_PAUSE: Duration = Duration::from_millis(500);
const MAX_READ_PAUSE: Duration = Duration::from_secs(4);

/// Writes the records of this node and, if it reads the store for others, reads those that the store
/// keeps. What it reads reaches the others by gossip.
pub(crate) async fn keep_quarantine(node: Rc<RoutedNode>, store: PlatformStore) {
    tokio::join!(write_on(&node, &store), read_on(&node, &store));
}

/// Reads the records that the store keeps. After all nodes were killed nobody else knows them, and a data
/// centre that is cut off from the others learns here of their crashes.
async fn read_on(node: &Rc<RoutedNode>, store: &PlatformStore) {
    let start_pause = if node.settings.is_first_start {
        FIRST_START_PAUSE
    } else {
        START_PAUSE
    };
    tokio::time::sleep(start_pause).await;
    let mut hold = Duration::ZERO;
    let mut pause = READ_PAUSE;
    loop {
        if node.store_readers.get().is_reader {
            match read(node, store, hold).await {
                Ok(()) => {
                    hold = READ_HOLD;
                    pause = READ_PAUSE;
                }
                Err(_) => pause = MAX_READ_PAUSE.min(pause * 2),
            }
        }
        tokio::time::sleep(pause).await;
    }
}

async fn read(node: &RoutedNode, store: &PlatformStore, hold: Duration) -> Result<(), StoreError> {
    let read = (store.read_quarantine)(hold).await;
    match read {
        Ok(read) => {
            apply(node, read);
            Ok(())
        }
        Err(error) => {
            node.metrics.count("store_failed", "quarantine");
            log::debug!(event = "quarantine_unread"; "{error}");
            Err(error)
        }
    }
}

fn apply(node: &RoutedNode, read: QuarantineRead) {
    if read.malformed_count > 0 {
        log::warn!(event = "quarantine_malformed", count = read.malformed_count;
            "records in the store can't be read and are ignored");
    }
    let now_unix_ms = unix_ms(node);
    for stored in read.records {
        let mut record = stored.record;
        if record.service == node.settings.service {
            node.kept_records.borrow_mut().on_kept(&record);
        }
        let remaining_ms = stored.expires_unix_ms.saturating_sub(now_unix_ms);
        record.remaining_ms = u32::try_from(remaining_ms).unwrap_or(u32::MAX);
        node.engine.handle(Input::Quarantine(record));
    }
}

async fn write_on(node: &Rc<RoutedNode>, store: &PlatformStore) {
    let mut era = node.store_poller.borrow().era();
    loop {
        tokio::select! {
            () = tokio::time::sleep(WRITE_INTERVAL) => {}
            () = node.crash_recorded.notified() => {}
        }
        let now_era = node.store_poller.borrow().era();
        if std::mem::replace(&mut era, now_era) != now_era {
            node.kept_records.borrow_mut().on_store_restored();
        }
        write_due(node, store).await;
    }
}

async fn write_due(node: &Rc<RoutedNode>, store: &PlatformStore) {
    while let Some(step) = next_step(node) {
        if !is_turn(node, &step) {
            return;
        }
        if let Err(error) = carry_out(node, store, step).await {
            node.metrics.count("store_failed", "quarantine");
            log::debug!(event = "quarantine_unkept"; "{error}");
            return;
        }
    }
}

fn next_step(node: &RoutedNode) -> Option<KeepStep> {
    let current = node.engine.records_to_keep();
    let kept: &KeptRecords = &node.kept_records.borrow();
    kept.next_step(&current)
}

fn is_turn(node: &RoutedNode, step: &KeepStep) -> bool {
    match step {
        KeepStep::Write(RecordToKeep { is_own: true, .. }) | KeepStep::Remove(_) => true,
        KeepStep::Write(_) => {
            let mut random = node.random.borrow_mut();
            random.random_bool(OTHER_WRITE_PROBABILITY)
        }
    }
}

async fn carry_out(
    node: &RoutedNode,
    store: &PlatformStore,
    step: KeepStep,
) -> Result<(), StoreError> {
    match step {
        KeepStep::Write(RecordToKeep { record, .. }) => {
            let stored = StoredQuarantine {
                expires_unix_ms: unix_ms(node) + u64::from(record.remaining_ms),
                record: record.clone(),
            };
            (store.write_quarantine)(stored).await?;
            node.metrics.count("quarantine", "kept");
            log::info!(event = "quarantine_kept", service = record.service.as_str(),
                fingerprint:% = format_args!("{:016x}", record.fingerprint),
                crashes = record.crashes_count();
                "the store keeps the record of a request that crashes backend servers");
            node.kept_records.borrow_mut().on_kept(&record);
        }
        KeepStep::Remove(fingerprint) => {
            (store.remove_quarantine)(node.settings.service.clone(), fingerprint).await?;
            node.kept_records.borrow_mut().on_removed(fingerprint);
        }
    }
    Ok(())
}

/// Time of day, in milliseconds since 1970.
fn unix_ms(node: &RoutedNode) -> u64 {
    let since = node.engine.now().wall.duration_since(UNIX_EPOCH);
    since.unwrap_or_default().as_millis() as u64
}
