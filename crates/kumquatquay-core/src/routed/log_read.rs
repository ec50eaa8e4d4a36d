//! Reads a topic of the store's log, also across restores of the store from a backup.

use kumquatquay_wire::routed::StoreEra;

/// Maximum number of restarts of one read. The store is restored once in a while; a read that meets
/// more restores than this is of a broken store.
const RESTARTS_LIMIT_COUNT: u32 = 3;

/// Position from which reads of a topic resume: the first unread offset, in an era of the store.
///
/// A store that was restored from a backup assigns offsets a second time. A node that has read up
/// to offset 120 notices this if the restored store ends at 100. If the store has grown to 121 by
/// then, the node would get the last record only and never see those between. The era
/// distinguishes the two cases.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct LogPosition {
    era: Option<StoreEra>,
    /// Unknown at first, after a restore of the store, and after unread records have expired.
    next: Option<u64>,
}

impl LogPosition {
    /// Starts a read; several may be in progress.
    pub fn begin(&self) -> LogRead {
        let stage = match self.next {
            Some(from) => Stage::Resume { from },
            None => Stage::Newest { after: None },
        };
        LogRead {
            era: self.era,
            stage,
            restarts_count: 0,
            end: None,
        }
    }

    /// Advances to an offset below which everything was read in an era. Returns `false`, without
    /// effect, if that era is over.
    fn advance_to(&mut self, era: Option<StoreEra>, next: u64) -> bool {
        if era < self.era {
            return false;
        }
        let known = self.next.filter(|_| era == self.era);
        self.era = era;
        self.next = Some(known.map_or(next, |known| known.max(next)));
        true
    }
}

/// Next step of a read.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum LogStep {
    /// Call the store for a page of the newest records of all keys.
    Newest {
        /// Key after which the page starts.
        after: Option<String>,
    },
    /// Call the store for records.
    Records {
        /// Offset of the first record.
        from: u64,
        /// Whether the store may hold the call until there is a record.
        may_hold: bool,
    },
    /// The read has ended.
    Done {
        /// Era in which it was answered.
        era: Option<StoreEra>,
        /// Whether everything that the store had when it was called has been read.
        is_complete: bool,
    },
    /// The read was answered in an era that is over. The records that it returned were once
    /// confirmed, but it says nothing about what the store has now.
    Outdated,
}

/// Answer to one call of a read.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct LogAnswer {
    /// Era that the store sent with it; `None` if it sent none, or a malformed one.
    pub era: Option<StoreEra>,
    /// Summary of the records.
    pub page: LogPage,
}

/// Summary of an answer's records, as needed to decide on the next step.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum LogPage {
    /// A page of the newest records of all keys.
    Newest {
        /// Key after which the next page starts, if there is one.
        next_after: Option<String>,
        /// Offset after the last record of the topic.
        end: u64,
    },
    /// Records from the requested offset on.
    Records {
        /// Number of offsets that they span.
        offsets_count: u64,
        /// Offset after the last record of the topic.
        end: u64,
    },
    /// The store doesn't have the requested offset: it has expired, or wasn't assigned yet.
    OffsetUnavailable {
        /// Offset of the oldest record that the store retains, if it said so.
        oldest_offset: Option<u64>,
    },
}

/// A read of a topic, call by call. It either resumes after the previous read with a single call,
/// or reads the newest records of all keys and then the retained history.
///
/// The newest record of a key is the one that was written last. A write that is delayed until
/// after those of higher versions makes an older configuration the newest record; a node that took
/// it for the newest configuration would send calls to destinations that are no longer allowed. So
/// the retained history is read as well.
///
/// Pages of two eras don't form a consistent snapshot: records that were after the first page may
/// be before it in the next era. So a page of a higher era restarts the read.
#[derive(Clone, Debug)]
pub struct LogRead {
    /// Era of the last answer.
    era: Option<StoreEra>,
    stage: Stage,
    restarts_count: u32,
    /// Offset after the last record of the topic, by the first page of newest records.
    end: Option<u64>,
}

#[derive(Clone, Debug)]
enum Stage {
    /// Reads on from the position of the previous read.
    Resume {
        from: u64,
    },
    Newest {
        after: Option<String>,
    },
    History {
        from: u64,
        has_expired: bool,
    },
    Ended {
        is_complete: bool,
    },
    Outdated,
}

impl LogRead {
    /// The next step.
    pub fn step(&self) -> LogStep {
        match &self.stage {
            Stage::Resume { from } => LogStep::Records {
                from: *from,
                may_hold: true,
            },
            Stage::Newest { after } => LogStep::Newest {
                after: after.clone(),
            },
            Stage::History { from, .. } => LogStep::Records {
                from: *from,
                may_hold: false,
            },
            Stage::Ended { is_complete } => LogStep::Done {
                era: self.era,
                is_complete: *is_complete,
            },
            Stage::Outdated => LogStep::Outdated,
        }
    }

    /// The call was answered.
    pub fn on_answer(&mut self, position: &mut LogPosition, answer: LogAnswer) {
        // An answer without a valid era counts as one in the era of the last answer.
        let era = answer.era.or(self.era);
        if era < self.era || era < position.era {
            self.stage = Stage::Outdated;
            return;
        }
        let is_first = self.is_first_call();
        if era > self.era && !is_first {
            self.restart_in_era(position, era);
            return;
        }
        self.era = era;
        match answer.page {
            LogPage::Newest { next_after, end } => self.on_newest(next_after, end),
            LogPage::Records { offsets_count, end } => {
                self.on_records(position, offsets_count, end);
            }
            LogPage::OffsetUnavailable { oldest_offset } => {
                self.on_offset_unavailable(position, oldest_offset);
            }
        }
    }

    /// Whether nothing was read yet that would be inconsistent with another era.
    fn is_first_call(&self) -> bool {
        matches!(self.stage, Stage::Newest { after: None })
    }

    fn restart_in_era(&mut self, position: &mut LogPosition, era: Option<StoreEra>) {
        if position.era < era {
            *position = LogPosition { era, next: None };
        }
        self.era = era;
        self.restart();
    }

    /// The store's log doesn't continue what was read, whatever its era says.
    fn discard_position(&mut self, position: &mut LogPosition) {
        if position.era == self.era {
            position.next = None;
        }
        self.restart();
    }

    fn restart(&mut self) {
        self.end = None;
        self.restarts_count += 1;
        self.stage = if self.restarts_count > RESTARTS_LIMIT_COUNT {
            Stage::Ended { is_complete: false }
        } else {
            Stage::Newest { after: None }
        };
    }

    fn on_newest(&mut self, next_after: Option<String>, end: u64) {
        self.end.get_or_insert(end);
        self.stage = match next_after {
            Some(after) => Stage::Newest { after: Some(after) },
            None => Stage::History {
                from: 0,
                has_expired: false,
            },
        };
    }

    fn on_records(&mut self, position: &mut LogPosition, offsets_count: u64, end: u64) {
        let from = match self.stage {
            Stage::Resume { from } if end < from => {
                // The log ends before this offset, so it isn't the log that was read before.
                self.discard_position(position);
                return;
            }
            Stage::Resume { from } | Stage::History { from, .. } => from,
            Stage::Newest { .. } | Stage::Ended { .. } | Stage::Outdated => return,
        };
        self.advance_to(position, from.saturating_add(offsets_count), end);
    }

    fn on_offset_unavailable(&mut self, position: &mut LogPosition, oldest_offset: Option<u64>) {
        match self.stage {
            Stage::Resume { .. } => self.discard_position(position),
            Stage::History {
                has_expired: false, ..
            } => {
                // If the store doesn't name its oldest record, continue at the end that it sent.
                let from = oldest_offset.or(self.end).unwrap_or_default();
                self.stage = Stage::History {
                    from,
                    has_expired: true,
                };
            }
            Stage::History { from, .. } => {
                position.advance_to(self.era, from);
                self.stage = Stage::Ended { is_complete: false };
            }
            Stage::Newest { .. } | Stage::Ended { .. } | Stage::Outdated => {}
        }
    }

    fn advance_to(&mut self, position: &mut LogPosition, next: u64, end: u64) {
        self.stage = if position.advance_to(self.era, next) {
            Stage::Ended {
                is_complete: next >= end,
            }
        } else {
            Stage::Outdated
        };
    }
}
