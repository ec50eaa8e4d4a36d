//! The limits on answers that a node holds because callers don't read them.

use kumquatquay_core::routed::HeldAnswers;
use quickcheck::quickcheck;

const MEMORY_BYTES: usize = 160_000_000;

/// Callers leave more and more answers unread. From a first limit on, pipelined requests are not
/// started ahead of their turn; from a second one on, no request is taken. When callers have read
/// their answers or disconnected, requests are taken again.
#[test]
fn unread_answers_stop_pipelining_first_and_then_all_requests() {
    let mut held = HeldAnswers::new(MEMORY_BYTES);
    assert!(held.has_room_for_pipelined() && held.has_room());
    held.add(16_000_000);
    assert!(!held.has_room_for_pipelined() && held.has_room());
    held.add(24_000_000);
    assert!(!held.has_room_for_pipelined() && !held.has_room());
    held.remove(24_000_000);
    assert!(!held.has_room_for_pipelined() && held.has_room());
    held.remove(16_000_000);
    assert!(held.has_room_for_pipelined() && held.has_room());
}

quickcheck! {
    /// Answers of any size are never read. Requests are taken while there is room, and an answer is
    /// at most as large as the limit, so the held bytes never exceed twice the limit.
    fn held_bytes_are_bounded(sizes: Vec<u32>) -> bool {
        let mut held = HeldAnswers::new(MEMORY_BYTES);
        for size in sizes {
            if held.has_room() {
                held.add(size as usize % (held.answer_limit_bytes() + 1));
            }
        }
        held.bytes() <= 2 * held.answer_limit_bytes()
    }
}
