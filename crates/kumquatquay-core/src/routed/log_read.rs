//! How a topic of the store's log is read on, also if the store comes back from a copy.

use kumquatquay_wire::routed::StoreEra;

/// Times that one read starts over; the store comes back once in a while, so a read that meets
/// more returns than this is one of a broken store.
const RESTARTS_LIMIT_COUNT: u32 = 3;

/// Where reads of a topic go on: the first offset that was not read yet, in an era of the store.
///
/// A store that comes back from a copy gives offsets out again. A node that has read up to 120
/// and asks a store that has 100 now is told so; one that asks a moment later, when there are
/// 121, would get the last record only and never see those between. The era tells them apart.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct LogPosition {
    era: Option<StoreEra>,
    /// Unknown at first, and after records that were not read have expired.
    next: Option<u64>,
}

impl LogPosition {
    /// Begins a read; several may be under way.
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

    /// All below an offset was read in an era; `true` unless that era is over.
    fn read_through(&mut self, era: Option<StoreEra>, next: u64) -> bool {
        if era < self.era {
            return false;
        }
        let known = self.next.filter(|_| era == self.era);
        self.era = era;
        self.next = Some(known.map_or(next, |known| known.max(next)));
        true
    }
}

/// One call of a read.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum LogStep {
    /// Asks for a page of the newest records of all keys.
    Newest {
        /// Key behind which the page begins.
        after: Option<String>,
    },
    /// Asks for records.
    Records {
        /// Offset of the first one.
        from: u64,
        /// Whether the store may hold the call until there is one.
        may_hold: bool,
    },
    /// The read has ended.
    Done {
        /// The era that it belongs to.
        era: Option<StoreEra>,
        /// Whether all that the store had when it was asked has been read by now.
        is_complete: bool,
    },
    /// The read was answered from an era that is over: records that it brought were confirmed
    /// once, and it says nothing of what the store has now.
    Outdated,
}

/// Answer to one call of a read.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct LogAnswer {
    /// Era that the store told with it; `None` if it told none that can be read.
    pub era: Option<StoreEra>,
    /// What it brought.
    pub page: LogPage,
}

/// What an answer brought, as far as it decides how to go on.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum LogPage {
    /// Newest records.
    Newest {
        /// Key behind which the next page begins, if there is one.
        next_after: Option<String>,
        /// Offset behind the last record of the topic.
        end: u64,
    },
    /// Records from the offset on that was asked for.
    Records {
        /// So many.
        offsets_count: u64,
        /// Offset behind the last record of the topic.
        end: u64,
    },
    /// The store doesn't have that offset: it has expired, or hasn't been given out.
    OffsetUnavailable {
        /// Offset of the oldest record that is kept, if that was told.
        oldest_offset: Option<u64>,
    },
}

/// A read of a topic, call by call: a single one that goes on where the last read ended, or the
/// newest records of all keys and then the history.
///
/// The newest record of a key is the one that was written last. A write that is done late,
/// behind those of higher versions, makes an older configuration the newest record, and a node
/// that took it for the newest configuration would send calls where they may not go any more. So
/// what is kept of the history is read as well.
///
/// Pages of two eras are no whole: between them, records that stood behind the first page may
/// have moved before it. So a page of a higher era starts the read over.
#[derive(Clone, Debug)]
pub struct LogRead {
    /// Era of what was read last.
    era: Option<StoreEra>,
    stage: Stage,
    restarts_count: u32,
    /// End of the topic on the first page of newest records.
    end: Option<u64>,
}

#[derive(Clone, Debug)]
enum Stage {
    Resume { from: u64 },
    Newest { after: Option<String> },
    History { from: u64, has_expired: bool },
    Ended { is_complete: bool },
    Outdated,
}

impl LogRead {
    /// The next call.
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
        // An era that can't be read changes nothing.
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
                self.on_offset_unavailable(position, oldest_offset)
            }
        }
    }

    /// Whether nothing was read yet that another era would contradict.
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

    /// The store doesn't go on where this topic was read to, whatever the era.
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
                // Behind the end of the log: it isn't the one that was read before.
                self.discard_position(position);
                return;
            }
            Stage::Resume { from } | Stage::History { from, .. } => from,
            Stage::Newest { .. } | Stage::Ended { .. } | Stage::Outdated => return,
        };
        self.read_through(position, from + offsets_count, end);
    }

    fn on_offset_unavailable(&mut self, position: &mut LogPosition, oldest_offset: Option<u64>) {
        match self.stage {
            Stage::Resume { .. } => self.discard_position(position),
            Stage::History {
                has_expired: false, ..
            } => {
                // What a store that doesn't tell has kept is behind the end that it told.
                let from = oldest_offset.or(self.end).unwrap_or_default();
                self.stage = Stage::History {
                    from,
                    has_expired: true,
                };
            }
            Stage::History { from, .. } => {
                position.read_through(self.era, from);
                self.stage = Stage::Ended { is_complete: false };
            }
            Stage::Newest { .. } | Stage::Ended { .. } | Stage::Outdated => {}
        }
    }

    fn read_through(&mut self, position: &mut LogPosition, next: u64, end: u64) {
        self.stage = if position.read_through(self.era, next) {
            Stage::Ended {
                is_complete: next >= end,
            }
        } else {
            Stage::Outdated
        };
    }
}
