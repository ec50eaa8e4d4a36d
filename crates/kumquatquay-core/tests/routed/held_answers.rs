//! What a node does while callers leave answers unread.

use kumquatquay_core::routed::HeldAnswers;
use quickcheck::quickcheck;

const MEMORY_BYTES: usize = 160_000_000;

/// Callers leave more and more unread. First nothing is started before its turn, then no
/// request is taken; as they read or leave, all goes on.
#[test]
fn what_is_unread_ends_early_starts_first_and_requests_then() {
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
    /// Callers with answers of any size come and stay for good. Each is let in while there is
    /// room, and the longest answer is as large as the limit: twice that is never passed.
    fn what_is_held_is_bounded(sizes: Vec<u32>) -> bool {
        let mut held = HeldAnswers::new(MEMORY_BYTES);
        for size in sizes {
            if held.has_room() {
                held.add(size as usize % (held.answer_limit_bytes() + 1));
            }
        }
        held.bytes() <= 2 * held.answer_limit_bytes()
    }
}
