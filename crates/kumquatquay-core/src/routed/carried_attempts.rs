//! Which requests a connection to a backend server has carried lately.

use std::{
    collections::{HashMap, VecDeque},
    hash::{DefaultHasher, Hash, Hasher},
    time::Duration,
};

/// How long after an answer a second copy of it may still come.
const LATE_COPY_LIMIT: Duration = Duration::from_secs(15);

/// Requests that a connection carried, each of which may still be answered a second time.
///
/// A backend server may send a second copy of an answer late, where the next answer is expected.
/// The id in it tells to which request it belongs, but not to which attempt: a request that was
/// rejected and is sent again has the same id. If it took the same connection, a copy of the rejection
/// would pass for the answer to the attempt that the backend server is running, and the request would
/// run twice. So no request takes a connection that has carried it lately. Health checks have no id and
/// count as one request.
#[derive(Clone, Debug, Default)]
pub struct CarriedAttempts {
    /// Requests in the order of their answers, and when those came.
    answered: VecDeque<(Duration, u64)>,
    /// When the last answer to each request came.
    last: HashMap<u64, Duration>,
}

impl CarriedAttempts {
    /// Records that the connection has brought the answer to a request; `None` for a health check.
    pub fn on_answered(&mut self, now: Duration, attempt: Option<&str>) {
        self.forget_old(now);
        let key = key_of(attempt);
        self.answered.push_back((now, key));
        self.last.insert(key, now);
    }

    /// Whether a copy of an earlier answer to the same request may still come on the connection.
    pub fn may_answer(&mut self, now: Duration, attempt: Option<&str>) -> bool {
        self.forget_old(now);
        self.last.contains_key(&key_of(attempt))
    }

    fn forget_old(&mut self, now: Duration) {
        while let Some((answered_at, key)) = self.answered.front().copied() {
            if now < answered_at + LATE_COPY_LIMIT {
                return;
            }
            self.answered.pop_front();
            if self.last.get(&key) == Some(&answered_at) {
                self.last.remove(&key);
            }
        }
    }
}

fn key_of(attempt: Option<&str>) -> u64 {
    let mut hasher = DefaultHasher::new();
    attempt.hash(&mut hasher);
    hasher.finish()
}
