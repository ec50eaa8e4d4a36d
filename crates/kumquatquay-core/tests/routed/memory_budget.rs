//! The budget of the bodies that a node holds.

use std::time::Duration;

use kumquatquay_core::routed::{BodyKind, Growth, MemoryBudget};
use quickcheck::quickcheck;

const MEMORY_BYTES: usize = 100_000;
const LIMIT_BYTES: usize = 60_000;
const CHUNK_BYTES: usize = 1_000;

/// The time where it doesn't matter.
const NOW: Duration = Duration::ZERO;

/// Guards against the end of a node by a dozen answers without an end, each within its own limit.
#[test]
fn answers_without_an_end_give_way_to_each_other_and_to_short_ones() {
    let mut budget = MemoryBudget::new(MEMORY_BYTES);
    let mut endless: Vec<_> = (0..12).map(|_| budget.add(BodyKind::Answer, NOW)).collect();
    for _ in 0..100 {
        for id in endless.clone() {
            if let Growth::GrantedInPlaceOf(other) = budget.grow(id, CHUNK_BYTES, NOW) {
                budget.remove(other);
                endless.retain(|kept| *kept != other);
            }
            assert!(budget.held_bytes() <= LIMIT_BYTES);
        }
        let short = budget.add(BodyKind::Answer, NOW);
        match budget.grow(short, CHUNK_BYTES, NOW) {
            Growth::Granted => {}
            Growth::GrantedInPlaceOf(other) => {
                budget.remove(other);
                endless.retain(|kept| *kept != other);
            }
            Growth::Refused => panic!("a short answer is read"),
        }
        budget.remove(short);
    }
    assert!(endless.len() < 12);
}

/// Guards against uploads that leave no memory for the answers to other requests.
#[test]
fn requests_leave_room_for_answers() {
    let mut budget = MemoryBudget::new(MEMORY_BYTES);
    let upload = budget.add(BodyKind::Request, NOW);
    assert_eq!(budget.grow(upload, 48_000, NOW), Growth::Granted);
    let next = budget.add(BodyKind::Request, NOW);
    assert_eq!(budget.grow(next, CHUNK_BYTES, NOW), Growth::Refused);
    let answer = budget.add(BodyKind::Answer, NOW);
    assert_eq!(budget.grow(answer, 12_000, NOW), Growth::Granted);
    budget.remove(upload);
    assert_eq!(budget.grow(next, CHUNK_BYTES, NOW), Growth::Granted);
}

/// Guards against an answer that is given up after it has been read whole.
#[test]
fn an_answer_that_is_whole_is_kept() {
    let mut budget = MemoryBudget::new(MEMORY_BYTES);
    let whole = budget.add(BodyKind::Answer, NOW);
    assert_eq!(budget.grow(whole, LIMIT_BYTES, NOW), Growth::Granted);
    budget.on_whole(whole);
    let next = budget.add(BodyKind::Answer, NOW);
    assert_eq!(budget.grow(next, CHUNK_BYTES, NOW), Growth::Refused);
    budget.remove(whole);
    assert_eq!(budget.grow(next, CHUNK_BYTES, NOW), Growth::Granted);
}

/// Guards against uploads that stop short of their end and keep their memory from all others.
#[test]
fn a_request_that_arrives_for_too_long_gives_way() {
    let mut budget = MemoryBudget::new(MEMORY_BYTES);
    let stopped = budget.add(BodyKind::Request, NOW);
    assert_eq!(budget.grow(stopped, 40_000, NOW), Growth::Granted);
    let later = budget.add(BodyKind::Request, NOW + Duration::from_millis(999));
    // The first one may still be on its way.
    let soon = NOW + Duration::from_millis(999);
    assert_eq!(budget.grow(later, 20_000, soon), Growth::Refused);
    let late = NOW + Duration::from_secs(1);
    let growth = budget.grow(later, 20_000, late);
    assert_eq!(growth, Growth::GrantedInPlaceOf(stopped));
    // Its memory isn't free yet.
    let next = budget.add(BodyKind::Request, late);
    assert_eq!(budget.grow(next, 40_000, late * 10), Growth::Refused);
    budget.remove(stopped);
    assert_eq!(budget.grow(next, 20_000, late), Growth::Granted);
}

/// Guards against requests that have arrived and are being answered when memory gets short.
#[test]
fn a_request_that_is_whole_is_kept() {
    let mut budget = MemoryBudget::new(MEMORY_BYTES);
    let whole = budget.add(BodyKind::Request, NOW);
    assert_eq!(budget.grow(whole, 48_000, NOW), Growth::Granted);
    budget.on_whole(whole);
    let late = NOW + Duration::from_secs(60);
    let next = budget.add(BodyKind::Request, late);
    assert_eq!(budget.grow(next, CHUNK_BYTES, late), Growth::Refused);
}

/// Guards against connections that take the memory of bodies, or more than there is.
#[test]
fn connections_have_a_share_of_their_own() {
    let mut budget = MemoryBudget::new(1_000 * MEMORY_BYTES);
    let mut connections_count = 0;
    while budget.add_connection() {
        connections_count += 1;
    }
    assert!(connections_count > 0);
    assert!(budget.connections_bytes() <= 200 * MEMORY_BYTES);
    let upload = budget.add(BodyKind::Request, NOW);
    assert_eq!(
        budget.grow(upload, 480 * MEMORY_BYTES, NOW),
        Growth::Granted
    );
    budget.remove_connection();
    assert!(budget.add_connection());
    assert!(!budget.add_connection());
}

quickcheck! {
    /// Bodies grow, are read whole and end in any order. What isn't given up is within the limit, and
    /// nothing stays counted when all have ended.
    fn held_bytes_are_within_the_limit(steps: Vec<(u8, u16)>) -> bool {
        let mut budget = MemoryBudget::new(MEMORY_BYTES);
        let mut ids = Vec::new();
        let mut given_up = Vec::new();
        let mut is_within = true;
        for (choice, bytes) in steps {
            let place = usize::from(choice / 5);
            let id = ids.get(place % ids.len().max(1)).copied();
            match (choice % 5, id) {
                (0, _) => ids.push(budget.add(BodyKind::Request, NOW)),
                (1, _) | (_, None) => ids.push(budget.add(BodyKind::Answer, NOW)),
                (2, Some(id)) => budget.on_whole(id),
                (3, Some(id)) => {
                    budget.remove(id);
                    ids.retain(|kept| *kept != id);
                    given_up.retain(|kept| *kept != id);
                }
                (_, Some(id)) => {
                    if let Growth::GrantedInPlaceOf(other) = budget.grow(id, usize::from(bytes), NOW) {
                        given_up.push(other);
                    }
                }
            }
            is_within &= !given_up.is_empty() || budget.held_bytes() <= budget.limit_bytes();
        }
        for id in ids {
            budget.remove(id);
        }
        is_within && budget.held_bytes() == 0
    }
}
