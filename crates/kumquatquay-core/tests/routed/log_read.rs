//! Tests of reads of a topic whose store is restored from backups, in all orders of events.
//!
//! A reader that ignored or mixed eras would miss records for good, or report a complete read
//! without them.

use std::collections::BTreeSet;

use kumquatquay_core::routed::{LogAnswer, LogPage, LogPosition, LogRead, LogStep};
use kumquatquay_wire::routed::StoreEra;

/// Identifies a record. Records with an even number have one key, the others another.
type RecordId = u32;

/// Records of the topic at the start, and on a page of the history.
const FIRST_COUNT: u32 = 3;
const PAGE_COUNT: usize = 2;

/// Event at the store.
#[derive(Clone, Copy, Debug)]
enum Event {
    /// A record is appended.
    Append,
    /// The store is restored from a backup that lacks this many records.
    Restore(usize),
    /// The lost records are written again.
    Rewrite,
}

const EVENTS: [Event; 4] = [
    Event::Append,
    Event::Restore(1),
    Event::Restore(2),
    Event::Rewrite,
];

/// Order of the steps of two concurrent reads, `a` and `b`: in each step, a read makes a call or
/// gets the answer to it.
const READS: [&[u8; 10]; 4] = [b"aaaaaaaaaa", b"aaaaababab", b"aaaabaabba", b"abababbbaa"];

#[derive(Debug, Default)]
struct Store {
    era: StoreEra,
    records: Vec<RecordId>,
    lost: Vec<RecordId>,
    next: RecordId,
}

impl Store {
    fn on_event(&mut self, event: Event) {
        match event {
            Event::Append => {
                self.records.push(self.next);
                self.next += 1;
            }
            Event::Restore(count) => {
                let kept_count = self.records.len().saturating_sub(count);
                self.lost.extend(self.records.split_off(kept_count));
                self.era += 1;
            }
            Event::Rewrite => self.records.append(&mut self.lost),
        }
    }

    fn answer(&self, step: &LogStep) -> (LogAnswer, Vec<RecordId>) {
        let end = self.records.len() as u64;
        let (page, records) = match step {
            LogStep::Newest { after } => {
                let is_second = after.is_some();
                let of_key = |record: &&RecordId| (**record % 2 == 1) == is_second;
                let newest = self.records.iter().rev().find(of_key);
                let next_after = (!is_second).then(|| String::from("even"));
                let page = LogPage::Newest { next_after, end };
                (page, newest.copied().into_iter().collect())
            }
            LogStep::Records { from, .. } if *from > end => (
                LogPage::OffsetUnavailable {
                    oldest_offset: None,
                },
                vec![],
            ),
            LogStep::Records { from, .. } => {
                let records = self.records[*from as usize..].iter().take(PAGE_COUNT);
                let records: Vec<RecordId> = records.copied().collect();
                let offsets_count = records.len() as u64;
                (LogPage::Records { offsets_count, end }, records)
            }
            LogStep::Done { .. } | LogStep::Outdated => unreachable!("no call"),
        };
        let era = Some(self.era);
        (LogAnswer { era, page }, records)
    }
}

/// Fault of a reader, which the exploration must detect.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum ReaderFault {
    None,
    /// It continues at its position, whatever the era.
    IgnoresEras,
    /// It combines pages of two eras.
    MixesPages,
    /// It attributes an answer of an era that is over to the current one.
    AcceptsLateAnswers,
}

#[derive(Debug, Default)]
struct Reader {
    position: LogPosition,
    reads: [Option<ReadInProgress>; 2],
    seen: BTreeSet<RecordId>,
}

#[derive(Debug)]
struct ReadInProgress {
    read: LogRead,
    pending: Option<(LogAnswer, Vec<RecordId>)>,
    /// Records in the store when the read started, or restarted.
    at_start: Option<Vec<RecordId>>,
}

impl Reader {
    /// Lets a read make a call, or get its answer. Returns the records that a complete read missed.
    fn advance(
        &mut self,
        read_index: usize,
        store: &Store,
        fault: ReaderFault,
    ) -> Option<Vec<RecordId>> {
        let position = &mut self.position;
        let in_progress = self.reads[read_index].get_or_insert_with(|| ReadInProgress {
            read: position.begin(),
            pending: None,
            at_start: None,
        });
        let step = in_progress.read.step();
        let Some((mut answer, records)) = in_progress.pending.take() else {
            if step == (LogStep::Newest { after: None }) {
                in_progress.at_start = None;
            }
            let at_start = &mut in_progress.at_start;
            at_start.get_or_insert_with(|| store.records.clone());
            in_progress.pending = Some(store.answer(&step));
            return None;
        };
        let is_first = step == LogStep::Newest { after: None };
        let is_resumed = matches!(step, LogStep::Records { may_hold: true, .. });
        match fault {
            ReaderFault::IgnoresEras => answer.era = None,
            ReaderFault::MixesPages if !is_first && !is_resumed => answer.era = None,
            ReaderFault::AcceptsLateAnswers => answer.era = Some(store.era),
            ReaderFault::None | ReaderFault::MixesPages => {}
        }
        self.seen.extend(records);
        in_progress.read.on_answer(position, answer);
        let LogStep::Done { is_complete, .. } = in_progress.read.step() else {
            if in_progress.read.step() == LogStep::Outdated {
                self.reads[read_index] = None;
            }
            return None;
        };
        let at_start = self.reads[read_index].take().and_then(|read| read.at_start);
        let missed = at_start.unwrap_or_default();
        let missed = missed.into_iter().filter(|id| !self.seen.contains(id));
        Some(missed.filter(|_| is_complete).collect())
    }
}

/// Lets events happen before these steps of the reads. Returns a description of the records that
/// were missed.
fn simulate(reads: &[u8], events: &[(usize, Event)], fault: ReaderFault) -> Option<String> {
    let mut store = Store::default();
    (0..FIRST_COUNT).for_each(|_| store.on_event(Event::Append));
    let mut reader = Reader::default();
    let mut events = events.iter().peekable();
    for (step, read) in reads.iter().enumerate() {
        while let Some((_, event)) = events.next_if(|(before, _)| *before <= step) {
            store.on_event(*event);
        }
        let read_index = usize::from(*read == b'b');
        let missed = reader
            .advance(read_index, &store, fault)
            .unwrap_or_default();
        if !missed.is_empty() {
            return Some(format!("claims to have all without {missed:?}"));
        }
    }
    events.for_each(|(_, event)| store.on_event(*event));
    store.on_event(Event::Rewrite);
    for _ in 0..40 {
        reader.advance(0, &store, fault);
    }
    let missed = store.records.iter().filter(|id| !reader.seen.contains(id));
    let missed: Vec<_> = missed.collect();
    (!missed.is_empty()).then(|| format!("never sees {missed:?}"))
}

/// Simulates all sequences of three events, each before any step. Returns the first sequence in
/// which records are missed.
fn explore(fault: ReaderFault) -> Option<String> {
    for reads in READS {
        let steps = 0..=reads.len();
        for first in steps.clone() {
            for second in first..=reads.len() {
                for third in second..=reads.len() {
                    for kinds in 0..EVENTS.len().pow(3) {
                        let kind =
                            |index: u32| EVENTS[kinds / EVENTS.len().pow(index) % EVENTS.len()];
                        let events = [(first, kind(0)), (second, kind(1)), (third, kind(2))];
                        if let Some(missed) = simulate(reads, &events, fault) {
                            return Some(format!("{events:?}: {missed}"));
                        }
                    }
                }
            }
        }
    }
    None
}

#[test]
fn no_order_of_restores_hides_a_record() {
    assert_eq!(explore(ReaderFault::None), None);
}

/// Defines a test for each fault of a reader: the exploration finds an order that shows it.
macro_rules! is_detected {
    ($($name:ident: $fault:expr,)*) => {$(
        #[test]
        fn $name() {
            assert!(explore($fault).is_some());
        }
    )*};
}

is_detected! {
    a_reader_that_ignores_eras: ReaderFault::IgnoresEras,
    a_reader_that_mixes_pages_of_two_eras: ReaderFault::MixesPages,
    a_reader_that_accepts_late_answers: ReaderFault::AcceptsLateAnswers,
}

/// Defines a test for each answer of the store to a reader that has read up to offset 120 in era 4,
/// with the next step of the reader.
macro_rules! next_step {
    ($($name:ident: ($era:expr, $page:expr) => $step:expr;)*) => {$(
        #[test]
        fn $name() {
            let mut position = read_up_to_120();
            let mut read = position.begin();
            let answer = LogAnswer { era: $era, page: $page };
            read.on_answer(&mut position, answer);
            assert_eq!(read.step(), $step);
        }
    )*};
}

fn read_up_to_120() -> LogPosition {
    let mut position = LogPosition::default();
    let mut read = position.begin();
    let era = Some(4);
    let newest = LogPage::Newest {
        next_after: None,
        end: 120,
    };
    read.on_answer(&mut position, LogAnswer { era, page: newest });
    read.on_answer(
        &mut position,
        LogAnswer {
            era,
            page: records(120, 120),
        },
    );
    assert!(matches!(
        read.step(),
        LogStep::Done {
            is_complete: true,
            ..
        }
    ));
    position
}

fn records(offsets_count: u64, end: u64) -> LogPage {
    LogPage::Records { offsets_count, end }
}

const RESTART: LogStep = LogStep::Newest { after: None };

next_step! {
    one_more_record: (Some(4), records(1, 121)) => LogStep::Done { era: Some(4), is_complete: true };
    some_of_the_new_records: (Some(4), records(1, 130)) => LogStep::Done { era: Some(4), is_complete: false };
    an_offset_that_was_assigned_again: (Some(5), records(1, 121)) => RESTART;
    an_end_before_what_was_read: (None, records(0, 100)) => RESTART;
    an_offset_that_the_store_lacks: (Some(5), LogPage::OffsetUnavailable { oldest_offset: Some(0) }) => RESTART;
    the_same_without_eras: (None, LogPage::OffsetUnavailable { oldest_offset: None }) => RESTART;
    a_late_answer: (Some(3), records(1, 121)) => LogStep::Outdated;
    an_answer_without_a_valid_era: (None, records(1, 121)) =>
        LogStep::Done { era: Some(4), is_complete: true };
}

/// A broken store sends a higher era with each answer. Without a limit on the number of restarts, a
/// read would never end.
#[test]
fn a_higher_era_with_each_answer_ends_the_read() {
    let mut position = LogPosition::default();
    let mut read = position.begin();
    for era in 0..100 {
        if let LogStep::Done { is_complete, .. } = read.step() {
            assert!(!is_complete);
            return;
        }
        let next_after = Some(String::from("a"));
        let page = LogPage::Newest { next_after, end: 9 };
        read.on_answer(
            &mut position,
            LogAnswer {
                era: Some(era),
                page,
            },
        );
    }
    panic!("{read:?}");
}
