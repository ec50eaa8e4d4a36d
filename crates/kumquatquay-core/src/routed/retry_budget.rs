//! Retry budget over a sliding window.

use std::{collections::VecDeque, time::Duration};

/// Number of buckets in the window, of which one expires at a time.
const BUCKETS_COUNT: u32 = 10;

/// Requests and retries of one service within a sliding window.
///
/// All nodes share one budget: `ratio` of the requests plus an extra number of retries in each
/// window. Each node uses the ratio of its own requests and an equal part of the extra, so that the
/// sum stays within the budget without coordination. This window is one bucket longer than the
/// shared one, so that the budget holds for any position of that one.
#[derive(Debug)]
pub struct RetryBudget {
    ratio: f64,
    extra_count: f64,
    bucket_duration: Duration,
    buckets: VecDeque<Bucket>,
}

#[derive(Clone, Copy, Debug, Default)]
struct Bucket {
    started: Duration,
    requests_count: f64,
    retries_count: f64,
}

impl RetryBudget {
    /// Creates a budget of `ratio` of the requests plus `extra_count` retries in each window.
    pub fn new(window: Duration, ratio: f64, extra_count: f64) -> Self {
        Self {
            ratio,
            extra_count,
            bucket_duration: window / BUCKETS_COUNT,
            buckets: VecDeque::new(),
        }
    }

    /// Changes the extra of this node, when the number of nodes changes.
    pub fn set_extra_count(&mut self, extra_count: f64) {
        self.extra_count = extra_count;
    }

    /// Counts requests; `count` may exceed 1 for a request that makes several calls.
    pub fn on_requests(&mut self, now: Duration, count: f64) {
        self.current_bucket(now).requests_count += count;
    }

    /// Whether this many retries fit into the budget.
    pub fn has_room(&mut self, now: Duration, count: f64) -> bool {
        self.current_bucket(now);
        let requests_count: f64 = self
            .buckets
            .iter()
            .map(|bucket| bucket.requests_count)
            .sum();
        let retries_count: f64 = self.buckets.iter().map(|bucket| bucket.retries_count).sum();
        retries_count + count <= self.ratio * requests_count + self.extra_count
    }

    /// Counts retries that are made.
    pub fn on_retries(&mut self, now: Duration, count: f64) {
        self.current_bucket(now).retries_count += count;
    }

    fn current_bucket(&mut self, now: Duration) -> &mut Bucket {
        let window = self.bucket_duration * (BUCKETS_COUNT + 1);
        while self
            .buckets
            .front()
            .is_some_and(|bucket| now >= bucket.started + window)
        {
            self.buckets.pop_front();
        }
        let needs_bucket = self
            .buckets
            .back()
            .is_none_or(|bucket| now >= bucket.started + self.bucket_duration);
        if needs_bucket {
            self.buckets.push_back(Bucket {
                started: now,
                ..Bucket::default()
            });
        }
        self.buckets
            .back_mut()
            .expect("a bucket was pushed just now")
    }
}
