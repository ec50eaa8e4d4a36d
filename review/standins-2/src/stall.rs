//! A backend server ends the head of an answer and then sends the size of a chunk that never ends.

use std::{
    net::SocketAddr,
    sync::{
        Arc, Mutex,
        atomic::{AtomicBool, AtomicU64, Ordering},
    },
    thread,
    time::{Duration, Instant},
};

use crate::{
    Verdict,
    caller::{Outcome, Request, send},
    fleet::{CONFIGURATION, Stage},
    http::{Connection, Message},
    record::Record,
    upstream::Action,
};

/// Services of the hosts.
const SERVICES: [&str; 6] = [
    "archive",
    "archive",
    "archive",
    "settlement",
    "settlement",
    "settlement",
];

/// Host with the backend server in trouble, one of three of its service.
const TROUBLED_HOST: u8 = 2;

/// Callers on each host. Each sends its next request a while after the answer to the last one:
/// some 20 look-ups and 20 filings a second and host.
const CALLERS_COUNT: u32 = 16;
const THINK: Duration = Duration::from_millis(200);

const ARCHIVE_WORK_MS: u64 = 160;
const SETTLEMENT_WORK_MS: u64 = 210;
const SLOTS_COUNT: u32 = 146;

/// One of so many requests of the one server is answered so: a share of 0.05.
const ENDLESS_INTERVAL_COUNT: u64 = 20;

/// When the server begins to do so, for how long, and how much longer it is played.
const TROUBLE_AT: Duration = Duration::from_secs(8);
const TROUBLE: Duration = Duration::from_millis(5_000);
const REST: Duration = Duration::from_secs(6);

/// Time-out of the route of filings, and how long after it their answers may come.
const TIMEOUT_MS: u64 = 800;
const SLACK_MS: u64 = 500;

/// Requests beyond their time-out that a verdict needs.
const LEAST_COUNT: usize = 4;

/// A filing: its id, its host, when it was sent and ended, and what came of it.
struct Filing {
    id: String,
    host: u8,
    sent_ms: u64,
    ended_ms: u64,
    outcome: Outcome,
}

pub fn play(stage: &Stage, has_trouble: bool) -> std::io::Result<Verdict> {
    let record = &stage.record;
    let slow = r#"{"service":"settlement","timeout_ms":5000"#;
    let quick = format!(r#"{{"service":"settlement","timeout_ms":{TIMEOUT_MS}"#);
    let configuration = CONFIGURATION
        .replace("\"r7\"", "\"r8\"")
        .replace(slow, &quick);
    stage
        .store
        .put("keyed.op", "config", configuration.as_bytes());
    let is_troubled = Arc::new(AtomicBool::new(false));
    let mut nodes = Vec::new();
    let mut upstreams = Vec::new();
    for (index, service) in SERVICES.into_iter().enumerate() {
        let host = index as u8 + 1;
        let mut node = stage.node(host, service);
        node.start()?;
        nodes.push(node);
        let is_troubled = Arc::clone(&is_troubled);
        let requests_count = AtomicU64::new(0);
        let work_ms = if service == "archive" {
            ARCHIVE_WORK_MS
        } else {
            SETTLEMENT_WORK_MS
        };
        let decide = move |_: &Message| {
            let is_on = host == TROUBLED_HOST && is_troubled.load(Ordering::SeqCst);
            let count = requests_count.fetch_add(1, Ordering::SeqCst);
            if is_on && count % ENDLESS_INTERVAL_COUNT == 0 {
                Action::EndlessSize(work_ms)
            } else {
                Action::Work(work_ms)
            }
        };
        let instance = format!("i-{host}");
        upstreams.push(stage.upstream(host, service, &instance, SLOTS_COUNT, Box::new(decide))?);
    }
    if !stage.wait_until_ready(&nodes) {
        return Ok(Verdict::CouldNotRun("a node did not become ready"));
    }
    thread::sleep(Duration::from_secs(3));
    let filings = Arc::new(Mutex::new(Vec::new()));
    let is_over = Arc::new(AtomicBool::new(false));
    let mut callers = Vec::new();
    for (index, node) in nodes.iter().enumerate() {
        for caller in 0..CALLERS_COUNT {
            let (entry, host, record) = (node.entry(), index as u8 + 1, record.clone());
            let (filings, is_over) = (Arc::clone(&filings), Arc::clone(&is_over));
            callers.push(thread::spawn(move || {
                let mut kept = None;
                let mut number = 0;
                while !is_over.load(Ordering::SeqCst) {
                    let sent = call(&record, &mut kept, entry, host, caller, number);
                    filings.lock().unwrap().extend(sent);
                    number += 1;
                    thread::sleep(THINK);
                }
            }));
        }
    }
    let started = Instant::now();
    let mut missed_count = 0;
    while started.elapsed() < TROUBLE_AT + TROUBLE + REST {
        let since = started.elapsed();
        let is_on = has_trouble && since >= TROUBLE_AT && since < TROUBLE_AT + TROUBLE;
        if is_troubled.swap(is_on, Ordering::SeqCst) != is_on {
            record.say(format!(
                "backend server of host {TROUBLED_HOST} sends sizes without end: {is_on}"
            ));
        }
        if !nodes[usize::from(TROUBLED_HOST) - 1].is_ready() {
            missed_count += 1;
            record.line(format!(
                "host {TROUBLED_HOST}: no 200 to the readiness check in 0.5 s"
            ));
        }
        thread::sleep(Duration::from_millis(100));
    }
    is_over.store(true, Ordering::SeqCst);
    for caller in callers {
        let _ = caller.join();
    }
    for node in &mut nodes {
        node.kill("the script ends");
    }
    record.say(format!(
        "readiness checks of host {TROUBLED_HOST} without a 200 in 0.5 s: {missed_count}"
    ));
    let filings = filings.lock().unwrap();
    Ok(judge(record, &filings))
}

/// Sends a look-up and a filing in turn; the filing.
fn call(
    record: &Record,
    kept: &mut Option<Connection>,
    entry: SocketAddr,
    host: u8,
    caller: u32,
    number: u64,
) -> Option<Filing> {
    let id = format!("{host:02x}{caller:04x}{number:08x}");
    let is_filing = (number + u64::from(caller)) % 2 == 0;
    let (method, path) = if is_filing {
        ("POST", format!("/settle/{id}"))
    } else {
        ("GET", format!("/history/{id}"))
    };
    let request = Request {
        method,
        path: &path,
        id: &id,
        deadline_ms: 5_000,
        body: if is_filing { b"settlement" } else { b"" },
        key: None,
    };
    let sent_ms = record.now_ms();
    let outcome = send(kept, entry, &request);
    record.line(format!(
        "caller on host {host}: {id} {method} {path} sent at {sent_ms}: {}",
        outcome.text()
    ));
    is_filing.then(|| Filing {
        id,
        host,
        sent_ms,
        ended_ms: record.now_ms(),
        outcome,
    })
}

/// CONFIG: of the requests that are unanswered at their route's time-out, more than half have no
/// answer half a second later.
fn judge(record: &Record, filings: &[Filing]) -> Verdict {
    let lasted = |filing: &&Filing, ms: u64| filing.ended_ms > filing.sent_ms + ms;
    let beyond = filings.iter().filter(|filing| lasted(filing, TIMEOUT_MS));
    let beyond: Vec<&Filing> = beyond.collect();
    let late = beyond
        .iter()
        .filter(|filing| lasted(filing, TIMEOUT_MS + SLACK_MS));
    let late: Vec<&&Filing> = late.collect();
    for filing in &late {
        record.line(format!(
            "LATE at host {}: {} sent {} ended {}: {}",
            filing.host,
            filing.id,
            filing.sent_ms,
            filing.ended_ms,
            filing.outcome.text()
        ));
    }
    record.say(format!(
        "{} filings, {} unanswered at the time-out of {TIMEOUT_MS} ms, {} of them {SLACK_MS} ms later",
        filings.len(),
        beyond.len(),
        late.len()
    ));
    if late.len() >= LEAST_COUNT && 2 * late.len() > beyond.len() {
        Verdict::Broken
    } else {
        Verdict::Held
    }
}
