//! Which connection of a caller gives way to another one.

use std::time::Duration;

use kumquatquay_core::routed::{ConnectionStage, ConnectionTable, ConnectionTimes};
use quickcheck::quickcheck;

const DESCRIPTORS_COUNT: usize = 100;
const LIMIT_COUNT: usize = 60;

const TIMES: ConnectionTimes = ConnectionTimes {
    head: Duration::from_secs(3),
    idle: Duration::from_secs(15),
};

fn at(seconds: u64) -> Duration {
    Duration::from_secs(seconds)
}

macro_rules! gives_way {
    ($($(#[$fault:meta])* $name:ident: $first:ident at $first_s:expr, $second:ident at $second_s:expr;)*) => {
        $(
            $(#[$fault])*
            #[test]
            fn $name() {
                let mut table = ConnectionTable::new(DESCRIPTORS_COUNT);
                // In an order that decides nothing.
                let second = table.add(at(0));
                let first = table.add(at(0));
                table.enter(first, ConnectionStage::$first, at($first_s));
                table.enter(second, ConnectionStage::$second, at($second_s));
                assert_eq!(table.evict(at(10)), Some(first));
                assert_eq!(table.evict(at(10)), Some(second));
                assert_eq!(table.evict(at(10)), None);
            }
        )*
    };
}

gives_way! {
    one_that_is_closed_goes_first: Closing at 9, ReceivingBody at 1;
    /// Guards against idle connections of ordinary callers that end before those that stop in a body.
    an_overdue_body_goes_before_an_idle_one: ReceivingBody at 8, Idle at 1;
    an_overdue_head_goes_before_an_idle_one: ReceivingHead at 8, Idle at 1;
    /// Guards against requests of ordinary callers that are cut while they arrive.
    an_idle_one_goes_before_a_request_that_arrives: Idle at 9, ReceivingBody at 10;
    the_one_that_is_idle_for_longest_goes_first: Idle at 1, Idle at 2;
    the_request_that_arrives_for_longest_goes_first: ReceivingHead at 1, ReceivingBody at 2;
}

/// Guards against a request that is broken off while a backend server is at work on it.
#[test]
fn none_gives_way_while_a_request_is_answered() {
    let mut table = ConnectionTable::new(DESCRIPTORS_COUNT);
    let id = table.add(at(0));
    table.enter(id, ConnectionStage::Answering, at(1));
    assert_eq!(table.evict(at(100)), None);
    assert_eq!(table.evict_overdue(at(100), TIMES), []);
}

#[test]
fn callers_may_take_as_long_as_the_configuration_allows() {
    let mut table = ConnectionTable::new(DESCRIPTORS_COUNT);
    let head = table.add(at(0));
    table.enter(head, ConnectionStage::ReceivingHead, at(0));
    let idle = table.add(at(0));
    table.enter(idle, ConnectionStage::Idle, at(0));
    assert_eq!(table.evict_overdue(at(3), TIMES), []);
    assert_eq!(table.evict_overdue(at(4), TIMES), [head]);
    assert_eq!(table.evict_overdue(at(15), TIMES), []);
    assert_eq!(table.evict_overdue(at(16), TIMES), [idle]);
}

quickcheck! {
    /// Connections come, change their stage, give way and end in any order. There are never more than the
    /// limit if a new one waits for room, and nothing stays counted when all have ended.
    fn the_count_is_within_the_limit(steps: Vec<(u8, u8)>) -> bool {
        let stages = [
            ConnectionStage::ReceivingHead,
            ConnectionStage::ReceivingBody,
            ConnectionStage::Answering,
            ConnectionStage::Idle,
            ConnectionStage::Closing,
        ];
        let mut table = ConnectionTable::new(DESCRIPTORS_COUNT);
        let mut ids = Vec::new();
        let mut is_within = true;
        for (second, (choice, place)) in (0..).zip(steps) {
            let now = at(second);
            let id = ids.get(usize::from(place) % ids.len().max(1)).copied();
            match (choice % 4, id) {
                (0, Some(id)) => {
                    table.remove(id);
                    ids.retain(|kept| *kept != id);
                }
                (1, Some(id)) => table.enter(id, stages[usize::from(choice / 4) % 5], now),
                (2, _) => {
                    table.evict(now);
                }
                _ if table.has_room() => ids.push(table.add(now)),
                _ => {}
            }
            is_within &= table.count() == ids.len() && table.count() <= LIMIT_COUNT;
        }
        for id in ids {
            table.remove(id);
        }
        is_within && table.count() == 0 && table.evicted_count() == 0 && table.evict(at(1)).is_none()
    }
}
