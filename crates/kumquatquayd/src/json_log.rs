//! Log lines as JSON objects, one a line.

use std::{
    io::{self, Write},
    time::{SystemTime, UNIX_EPOCH},
};

use env_logger::{Builder, Env, Target, fmt::Formatter};
use log::{
    Record,
    kv::{Error as KvError, Key, Value, VisitSource},
};
use serde_json::{Map, Value as Json};

use crate::line_queue::LineQueue;

/// Name of the environment variable that selects levels, such as `info`.
const LEVEL_VARIABLE: &str = "KUMQUATQUAY_LOG_LEVEL";

/// Starts logging for the whole process; a second call does nothing.
pub fn init() {
    init_to(Target::Stderr);
}

/// [`init`], with the lines on standard output and without ever waiting for whoever
/// reads them. The returned queue is flushed before the process ends.
pub fn init_to_stdout() -> LineQueue {
    let queue = LineQueue::start(io::stdout());
    init_to(Target::Pipe(Box::new(queue.clone())));
    queue
}

fn init_to(target: Target) {
    let env = Env::new().filter_or(LEVEL_VARIABLE, "info");
    let mut builder = Builder::from_env(env);
    builder.target(target).format(write_line);
    // A second start in one process, as in tests, keeps the first logger.
    let _ = builder.try_init();
}

fn write_line(formatter: &mut Formatter, record: &Record<'_>) -> io::Result<()> {
    let mut line = Map::new();
    line.insert(String::from("unix_ms"), Json::from(unix_ms()));
    let level = record.level().as_str().to_lowercase();
    line.insert(String::from("level"), Json::from(level));
    line.insert(
        String::from("message"),
        Json::from(record.args().to_string()),
    );
    // A field that can't be written must not cost the line.
    let _ = record.key_values().visit(&mut Fields(&mut line));
    writeln!(formatter, "{}", Json::Object(line))
}

fn unix_ms() -> u64 {
    let since_epoch = SystemTime::now().duration_since(UNIX_EPOCH);
    since_epoch.map_or(0, |duration| duration.as_millis() as u64)
}

/// Collects the fields of a line.
struct Fields<'a>(&'a mut Map<String, Json>);

impl<'kvs> VisitSource<'kvs> for Fields<'_> {
    fn visit_pair(&mut self, key: Key<'kvs>, value: Value<'kvs>) -> Result<(), KvError> {
        let json = value
            .to_u64()
            .map_or_else(|| Json::from(value.to_string()), Json::from);
        self.0.insert(key.to_string(), json);
        Ok(())
    }
}
