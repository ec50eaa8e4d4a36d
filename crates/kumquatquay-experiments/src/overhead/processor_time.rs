//! Processor time of this process.

use std::{fs, time::Duration};

/// Clock ticks a second of `/proc/self/stat`, fixed on Linux.
const TICKS_PER_S: u64 = 100;

/// Places of user and system time after the closing bracket of the name.
const TIMES: [usize; 2] = [11, 12];

/// Processor time that this process used so far; `None` where it can't be read.
pub(crate) fn processor_time() -> Option<Duration> {
    let stat = fs::read_to_string("/proc/self/stat").ok()?;
    let (_, after_name) = stat.rsplit_once(')')?;
    let fields: Vec<&str> = after_name.split_whitespace().collect();
    let ticks = TIMES
        .iter()
        .map(|place| fields.get(*place)?.parse::<u64>().ok());
    let ticks: u64 = ticks.sum::<Option<u64>>()?;
    Some(Duration::from_millis(ticks * 1000 / TICKS_PER_S))
}
