//! State of the gate.

use std::collections::HashMap;

use rand::Rng;

use super::{CallerLimits, ConcurrencyLimit, GateQueue, RunningWork};
use crate::{WorkId, overload::LevelController};

/// State of the gate: queued and running work, and the limits on it.
#[derive(Debug)]
pub(crate) struct GateTable {
    /// Whether the health endpoint of the backend server reports that it is unhealthy.
    pub(crate) is_reported_ill: bool,
    pub(crate) running: HashMap<WorkId, RunningWork>,
    pub(crate) queue: GateQueue,
    pub(crate) limit: ConcurrencyLimit,
    pub(crate) level_controller: LevelController,
    pub(crate) caller_limits: CallerLimits,
    /// Number of connections that the backend server accepts.
    pub(crate) connections_count: usize,
}

impl GateTable {
    pub(crate) fn new(random: &mut impl Rng) -> Self {
        Self {
            is_reported_ill: false,
            running: HashMap::new(),
            queue: GateQueue::default(),
            limit: ConcurrencyLimit::default(),
            level_controller: LevelController::default(),
            caller_limits: CallerLimits::new(random.random()),
            connections_count: 0,
        }
    }

    pub(crate) fn running_count(&self) -> usize {
        self.running.len()
    }

    pub(crate) fn queued_count(&self) -> usize {
        self.queue.len()
    }
}
