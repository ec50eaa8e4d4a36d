//! Tests of which requests of a connection run concurrently, and of when the connection is closed.

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

/// Starts as many of the later requests as may be started, as a connection does. Returns their
/// number.
fn start_ahead(pipeline: &mut RequestPipeline<usize>, later: &[PipelinedRequest]) -> usize {
    let mut started_count = 0;
    for request in later {
        if !pipeline.can_read_ahead(0) || !pipeline.may_start(*request) {
            break;
        }
        pipeline.start(*request, started_count);
        started_count += 1;
    }
    started_count
}

macro_rules! starts {
    ($($name:ident: $first:expr, $later:expr => $count:expr;)*) => {
        $(
            #[test]
            fn $name() {
                let mut pipeline = RequestPipeline::new(LIMITS);
                pipeline.advance_to($first);
                assert_eq!(start_ahead(&mut pipeline, &$later), $count);
            }
        )*
    };
}

starts! {
    look_ups_run_concurrently: LOOK_UP, [LOOK_UP; 3] => 3;
    no_more_run_than_the_limit_allows: LOOK_UP, [LOOK_UP; 9] => 4;
    nothing_runs_concurrently_with_a_filing: FILING, [LOOK_UP; 3] => 0;
    a_filing_and_all_later_requests_wait: LOOK_UP, [LOOK_UP, FILING, LOOK_UP] => 1;
    the_last_request_runs_concurrently_with_others: LOOK_UP, [LAST_LOOK_UP, LOOK_UP] => 1;
    nothing_runs_after_the_last_request: LAST_LOOK_UP, [LOOK_UP] => 0;
}

/// The server hasn't reached any request, so it reads the next one itself.
#[test]
fn nothing_is_started_before_the_first_request_is_reached() {
    let pipeline = RequestPipeline::<usize>::new(LIMITS);
    assert!(!pipeline.can_read_ahead(0));
}

/// A caller requests large answers and doesn't read them. The memory for held answers is bounded.
#[test]
fn nothing_is_started_while_too_many_bytes_are_held() {
    let mut pipeline = RequestPipeline::<usize>::new(LIMITS);
    pipeline.advance_to(LOOK_UP);
    assert!(pipeline.can_read_ahead(999));
    assert!(!pipeline.can_read_ahead(1_000));
}

/// A node shuts down while three requests run. If it closed the connection after the first answer,
/// the two others would have run in vain.
#[test]
fn a_connection_is_closed_after_the_last_started_request() {
    let mut pipeline = RequestPipeline::new(LIMITS);
    pipeline.advance_to(LOOK_UP);
    assert_eq!(start_ahead(&mut pipeline, &[LOOK_UP; 2]), 2);
    assert!(!pipeline.on_answered(true));
    assert_eq!(pipeline.advance_to_started(), Some(0));
    // No more requests are started.
    assert!(!pipeline.can_read_ahead(0));
    assert!(!pipeline.on_answered(true));
    assert_eq!(pipeline.advance_to_started(), Some(1));
    assert!(pipeline.on_answered(true));
}

quickcheck! {
    /// For any requests, and however far the connection reads ahead: answers are in order, a filing
    /// runs alone, and no started request comes after an answer that closes the connection.
    fn a_pipeline_keeps_its_order(kinds: Vec<u8>, reads_ahead: Vec<bool>, stops_at: u8) -> bool {
        let kinds: Vec<PipelinedRequest> = kinds
            .iter()
            .map(|kind| [LOOK_UP, LOOK_UP, FILING, LAST_LOOK_UP][usize::from(kind % 4)])
            .collect();
        let mut pipeline = RequestPipeline::<usize>::new(LIMITS);
        let mut reads_ahead = reads_ahead.into_iter().chain(std::iter::repeat(true));
        let mut started_to = 0;
        for (index, kind) in kinds.iter().enumerate() {
            if let Some(ticket) = pipeline.advance_to_started() {
                if ticket != index || !kind.is_idempotent {
                    return false;
                }
            } else {
                pipeline.advance_to(*kind);
                started_to = started_to.max(index + 1);
            }
            while started_to < kinds.len()
                && reads_ahead.next() == Some(true)
                && pipeline.can_read_ahead(0)
            {
                if !pipeline.may_start(kinds[started_to]) {
                    break;
                }
                pipeline.start(kinds[started_to], started_to);
                started_to += 1;
            }
            let runs_alone = started_to == index + 1;
            let is_bounded = pipeline.started_count() <= LIMITS.started_count;
            if !is_bounded || (!kind.is_idempotent || kind.may_close_connection) && !runs_alone {
                return false;
            }
            let is_stopping = index >= usize::from(stops_at);
            if pipeline.on_answered(is_stopping) || kind.may_close_connection {
                return pipeline.started_count() == 0;
            }
        }
        true
    }
}
