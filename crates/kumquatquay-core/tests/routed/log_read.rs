//! Reads of a topic whose store comes back from copies, in every order of what happens.

use std::collections::BTreeSet;

use kumquatquay_core::routed::{LogAnswer, LogPage, LogPosition, LogRead, LogStep};
use kumquatquay_wire::routed::StoreEra;

/// A record; those with even numbers have one key, the others another.
type RecordId = u32;

/// Records of the topic at first, and on a page of the history.
const FIRST_COUNT: u32 = 3;
const PAGE_COUNT: usize = 2;

/// What happens to the store.
#[derive(Clone, Copy, Debug)]
enum Event {
    /// A record is added.
    Append,
    /// It comes back without so many records.
    Return(usize),
    /// What it lost is written again.
    Rewrite,
}

const EVENTS: [Event; 4] = [
    Event::Append,
    Event::Return(1),
    Event::Return(2),
    Event::Rewrite,
];

/// What happens to two reads, in turn: each letter has one of them call, or be answered.
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
            Event::Return(count) => {
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

/// How a reader is broken; the exploration must notice.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Broken {
    No,
    /// It goes on where it was, whatever the era.
    IgnoresEras,
    /// Pages of two eras count as one whole.
    MixesPages,
    /// An answer of an era that is over counts for the present one.
    TakesLateAnswers,
}

#[derive(Debug, Default)]
struct Reader {
    position: LogPosition,
    reads: [Option<UnderWay>; 2],
    seen: BTreeSet<RecordId>,
}

#[derive(Debug)]
struct UnderWay {
    read: LogRead,
    pending: Option<(LogAnswer, Vec<RecordId>)>,
    /// What the store had when the read began, or began anew.
    at_begin: Option<Vec<RecordId>>,
}

impl Reader {
    /// Has a read call or be answered; what it missed, if it claims to have all.
    fn go_on(&mut self, place: usize, store: &Store, broken: Broken) -> Option<Vec<RecordId>> {
        let position = &mut self.position;
        let under_way = self.reads[place].get_or_insert_with(|| UnderWay {
            read: position.begin(),
            pending: None,
            at_begin: None,
        });
        let step = under_way.read.step();
        let Some((mut answer, records)) = under_way.pending.take() else {
            if step == (LogStep::Newest { after: None }) {
                under_way.at_begin = None;
            }
            let at_begin = &mut under_way.at_begin;
            at_begin.get_or_insert_with(|| store.records.clone());
            under_way.pending = Some(store.answer(&step));
            return None;
        };
        let is_first = step == LogStep::Newest { after: None };
        let goes_on = matches!(step, LogStep::Records { may_hold: true, .. });
        match broken {
            Broken::IgnoresEras => answer.era = None,
            Broken::MixesPages if !is_first && !goes_on => answer.era = None,
            Broken::TakesLateAnswers => answer.era = Some(store.era),
            Broken::No | Broken::MixesPages => {}
        }
        self.seen.extend(records);
        under_way.read.on_answer(position, answer);
        let LogStep::Done { is_complete, .. } = under_way.read.step() else {
            if under_way.read.step() == LogStep::Outdated {
                self.reads[place] = None;
            }
            return None;
        };
        let at_begin = self.reads[place].take().and_then(|read| read.at_begin);
        let missed = at_begin.unwrap_or_default();
        let missed = missed.into_iter().filter(|id| !self.seen.contains(id));
        Some(missed.filter(|_| is_complete).collect())
    }
}

/// Plays events at these moments among the steps of the reads; what was missed.
fn play(reads: &[u8], events: &[(usize, Event)], broken: Broken) -> Option<String> {
    let mut store = Store::default();
    (0..FIRST_COUNT).for_each(|_| store.on_event(Event::Append));
    let mut reader = Reader::default();
    let mut events = events.iter().peekable();
    for (moment, read) in reads.iter().enumerate() {
        while let Some((_, event)) = events.next_if(|(at, _)| *at <= moment) {
            store.on_event(*event);
        }
        let place = usize::from(*read == b'b');
        let missed = reader.go_on(place, &store, broken).unwrap_or_default();
        if !missed.is_empty() {
            return Some(format!("claims to have all without {missed:?}"));
        }
    }
    events.for_each(|(_, event)| store.on_event(*event));
    store.on_event(Event::Rewrite);
    for _ in 0..40 {
        reader.go_on(0, &store, broken);
    }
    let missed = store.records.iter().filter(|id| !reader.seen.contains(id));
    let missed: Vec<_> = missed.collect();
    (!missed.is_empty()).then(|| format!("never sees {missed:?}"))
}

/// Plays all orders of three events, each at any moment; the first in which something is missed.
fn explore(broken: Broken) -> Option<String> {
    for reads in READS {
        let moments = 0..=reads.len();
        for first in moments.clone() {
            for second in first..=reads.len() {
                for third in second..=reads.len() {
                    for kinds in 0..EVENTS.len().pow(3) {
                        let kind =
                            |place: u32| EVENTS[kinds / EVENTS.len().pow(place) % EVENTS.len()];
                        let events = [(first, kind(0)), (second, kind(1)), (third, kind(2))];
                        if let Some(missed) = play(reads, &events, broken) {
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
fn no_order_of_returns_hides_a_record() {
    assert_eq!(explore(Broken::No), None);
}

/// Names each way in which a reader is broken; the exploration finds an order that shows it.
macro_rules! is_noticed {
    ($($name:ident: $broken:expr,)*) => {$(
        #[test]
        fn $name() {
            assert!(explore($broken).is_some());
        }
    )*};
}

is_noticed! {
    a_reader_that_ignores_eras: Broken::IgnoresEras,
    a_reader_that_mixes_pages_of_two_eras: Broken::MixesPages,
    a_reader_that_takes_late_answers: Broken::TakesLateAnswers,
}

/// Names what a store answers to a reader that has read up to 120 in era 4, and what the reader
/// does next.
macro_rules! goes_on {
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

const ANEW: LogStep = LogStep::Newest { after: None };

goes_on! {
    a_record_more: (Some(4), records(1, 121)) => LogStep::Done { era: Some(4), is_complete: true };
    part_of_what_there_is: (Some(4), records(1, 130)) => LogStep::Done { era: Some(4), is_complete: false };
    an_offset_that_was_given_out_again: (Some(5), records(1, 121)) => ANEW;
    an_end_before_what_was_read: (None, records(0, 100)) => ANEW;
    an_offset_that_the_store_lacks: (Some(5), LogPage::OffsetUnavailable { oldest_offset: Some(0) }) => ANEW;
    the_same_without_eras: (None, LogPage::OffsetUnavailable { oldest_offset: None }) => ANEW;
    a_late_answer: (Some(3), records(1, 121)) => LogStep::Outdated;
    an_era_that_cannot_be_read: (None, records(1, 121)) =>
        LogStep::Done { era: Some(4), is_complete: true };
}

/// A store that tells a higher era with each answer would be read anew for ever.
#[test]
fn a_store_that_returns_with_each_answer_ends_the_read() {
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
