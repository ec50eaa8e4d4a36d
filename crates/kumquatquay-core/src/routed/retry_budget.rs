//! Limits what a node sends once more.

use std::{collections::VecDeque, time::Duration};

/// Parts of the window; what leaves it leaves a tenth at a time.
const PARTS_COUNT: u32 = 10;

/// Requests and repeats of one service within a sliding window.
///
/// All nodes share one budget: `ratio` of the requests plus `extra` in each window.
/// Each node uses the ratio of its own requests and an equal part of the extra, so
/// the sum keeps to the budget and no node asks another. The window here is one
/// part longer than the shared one, which keeps any placement of that one within
/// the budget.
#[derive(Debug)]
pub struct RetryBudget {
    ratio: f64,
    extra_count: f64,
    part: Duration,
    parts: VecDeque<Part>,
}

#[derive(Clone, Copy, Debug, Default)]
struct Part {
    began: Duration,
    requests_count: f64,
    repeats_count: f64,
}

impl RetryBudget {
    /// A window in which `ratio` of the requests and `extra_count` may be repeated.
    pub fn new(window: Duration, ratio: f64, extra_count: f64) -> Self {
        Self {
            ratio,
            extra_count,
            part: window / PARTS_COUNT,
            parts: VecDeque::new(),
        }
    }

    /// Changes this node's part of the extra, as nodes come and go.
    pub fn set_extra_count(&mut self, extra_count: f64) {
        self.extra_count = extra_count;
    }

    /// Counts requests; a request that makes calls counts for several there.
    pub fn on_requests(&mut self, now: Duration, count: f64) {
        self.part_at(now).requests_count += count;
    }

    /// Whether this many repeats fit into the budget.
    pub fn has_room(&mut self, now: Duration, count: f64) -> bool {
        self.part_at(now);
        let requests: f64 = self.parts.iter().map(|part| part.requests_count).sum();
        let repeats: f64 = self.parts.iter().map(|part| part.repeats_count).sum();
        repeats + count <= self.ratio * requests + self.extra_count
    }

    /// Counts repeats that are made.
    pub fn on_retries(&mut self, now: Duration, count: f64) {
        self.part_at(now).repeats_count += count;
    }

    fn part_at(&mut self, now: Duration) -> &mut Part {
        let window = self.part * (PARTS_COUNT + 1);
        while self
            .parts
            .front()
            .is_some_and(|part| now >= part.began + window)
        {
            self.parts.pop_front();
        }
        let is_due = self
            .parts
            .back()
            .is_none_or(|part| now >= part.began + self.part);
        if is_due {
            self.parts.push_back(Part {
                began: now,
                ..Part::default()
            });
        }
        self.parts.back_mut().expect("a part was pushed just now")
    }
}
