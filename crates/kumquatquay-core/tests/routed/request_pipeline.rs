//! Which requests of a connection run beside each other, and where it ends.

use kumquatquay_core::routed::{PipelineLimits, PipelinedRequest, RequestPipeline};
use quickcheck::quickcheck;

const LIMITS: PipelineLimits = PipelineLimits {
    started_count: 4,
    held_bytes: 1_000,
};

const LOOK_UP: PipelinedRequest = PipelinedRequest {
    is_idempotent: true,
    may_close_connection: false,
};

const LAST_LOOK_UP: PipelinedRequest = PipelinedRequest {
    is_idempotent: true,
    may_close_connection: true,
};

const FILING: PipelinedRequest = PipelinedRequest {
    is_idempotent: false,
    may_close_connection: false,
};

/// Starts what may be started of the requests behind, as a connection does; how many.
fn start_behind(row: &mut RequestPipeline<usize>, behind: &[PipelinedRequest]) -> usize {
    let mut started_count = 0;
    for request in behind {
        if !row.can_read_ahead(0) || !row.may_start(*request) {
            break;
        }
        row.start(*request, started_count);
        started_count += 1;
    }
    started_count
}

macro_rules! starts {
    ($($name:ident: $first:expr, $behind:expr => $count:expr;)*) => {
        $(
            #[test]
            fn $name() {
                let mut row = RequestPipeline::new(LIMITS);
                row.advance_to($first);
                assert_eq!(start_behind(&mut row, &$behind), $count);
            }
        )*
    };
}

starts! {
    look_ups_run_side_by_side: LOOK_UP, [LOOK_UP; 3] => 3;
    no_more_than_the_limit_run: LOOK_UP, [LOOK_UP; 9] => 4;
    nothing_runs_beside_a_filing: FILING, [LOOK_UP; 3] => 0;
    a_filing_waits_with_all_behind_it: LOOK_UP, [LOOK_UP, FILING, LOOK_UP] => 1;
    the_last_one_runs_beside_others: LOOK_UP, [LAST_LOOK_UP, LOOK_UP] => 1;
    nothing_runs_behind_the_last_one: LAST_LOOK_UP, [LOOK_UP] => 0;
}

/// Nothing was reached, so what comes next is for the server to read first.
#[test]
fn nothing_is_started_before_the_first_is_reached() {
    let row = RequestPipeline::<usize>::new(LIMITS);
    assert!(!row.can_read_ahead(0));
}

/// A caller asks for large answers and doesn't read them. What waits is bounded.
#[test]
fn nothing_is_started_while_too_much_is_held() {
    let mut row = RequestPipeline::<usize>::new(LIMITS);
    row.advance_to(LOOK_UP);
    assert!(row.can_read_ahead(999));
    assert!(!row.can_read_ahead(1_000));
}

/// A node stops while three requests run. Were the connection closed with the first answer,
/// the two others would have run for nothing.
#[test]
fn a_connection_ends_with_the_last_that_was_started() {
    let mut row = RequestPipeline::new(LIMITS);
    row.advance_to(LOOK_UP);
    assert_eq!(start_behind(&mut row, &[LOOK_UP; 2]), 2);
    assert!(!row.on_answered(true));
    assert_eq!(row.advance_to_started(), Some(0));
    // Nothing is started any more.
    assert!(!row.can_read_ahead(0));
    assert!(!row.on_answered(true));
    assert_eq!(row.advance_to_started(), Some(1));
    assert!(row.on_answered(true));
}

quickcheck! {
    /// Whatever comes, and whenever it is looked at: answers come in order, a filing runs
    /// alone, and nothing that was started stands behind an answer that ends the connection.
    fn a_row_keeps_its_order(kinds: Vec<u8>, looks: Vec<bool>, stops_at: u8) -> bool {
        let kinds: Vec<PipelinedRequest> = kinds
            .iter()
            .map(|kind| [LOOK_UP, LOOK_UP, FILING, LAST_LOOK_UP][usize::from(kind % 4)])
            .collect();
        let mut row = RequestPipeline::<usize>::new(LIMITS);
        let mut looks = looks.into_iter().chain(std::iter::repeat(true));
        let mut started_to = 0;
        for (place, kind) in kinds.iter().enumerate() {
            if let Some(ticket) = row.advance_to_started() {
                if ticket != place || !kind.is_idempotent {
                    return false;
                }
            } else {
                row.advance_to(*kind);
                started_to = started_to.max(place + 1);
            }
            while started_to < kinds.len() && looks.next() == Some(true) && row.can_read_ahead(0) {
                if !row.may_start(kinds[started_to]) {
                    break;
                }
                row.start(kinds[started_to], started_to);
                started_to += 1;
            }
            let runs_alone = started_to == place + 1;
            let is_bounded = row.started_count() <= LIMITS.started_count;
            if !is_bounded || (!kind.is_idempotent || kind.may_close_connection) && !runs_alone {
                return false;
            }
            let is_stopping = place >= usize::from(stops_at);
            if row.on_answered(is_stopping) || kind.may_close_connection {
                return row.started_count() == 0;
            }
        }
        true
    }
}
