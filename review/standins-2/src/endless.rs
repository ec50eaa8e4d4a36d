//! A backend server sends a body without an end in some of its answers.

use std::{
    collections::BTreeMap,
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
    fleet::Stage,
    http::{Connection, Message},
    node::{MEMORY_MB, NodeProcess},
    upstream::Action,
};

/// Services of the hosts; hosts 1, 4 and 7 are in the first zone, 2 and 5 in the second, 3 and 6
/// in the third.
const SERVICES: [&str; 7] = [
    "settlement",
    "settlement",
    "settlement",
    "archive",
    "archive",
    "archive",
    "settlement",
];

/// Host with the backend server in trouble.
const TROUBLED_HOST: u8 = 2;

/// Callers on each host. Each sends its next request a while after the answer to the last one:
/// some 20 filings and 45 look-ups a second and host.
const CALLERS_COUNT: u32 = 20;
const THINK_MS: u64 = 50;
const THINK_SPREAD_MS: u64 = 100;

/// Work of a request of each service.
const ARCHIVE_WORK_MS: u64 = 160;
const SETTLEMENT_WORK_MS: u64 = 210;

/// Slots of each backend server.
const SLOTS_COUNT: u32 = 146;

/// One of so many requests of the one server is answered so: a share of 0.05.
const ENDLESS_INTERVAL_COUNT: u64 = 20;

/// When the server begins to do so, for how long, and how often.
const TROUBLE_AT: Duration = Duration::from_secs(8);
const TROUBLE: Duration = Duration::from_millis(5_000);
const TROUBLE_INTERVAL: Duration = Duration::from_secs(13);
const TROUBLES_COUNT: u32 = 3;

/// Requests on kept connections that a machine may lose by the rule.
const MOST_LOST: usize = 3;

/// A request of a caller, with what came of it.
struct Sent {
    id: String,
    host: u8,
    is_on_kept: bool,
    sent_ms: u64,
    ended_ms: u64,
    outcome: Outcome,
}

pub fn play(stage: &Stage, has_trouble: bool) -> std::io::Result<Verdict> {
    let record = &stage.record;
    let is_troubled = Arc::new(AtomicBool::new(false));
    let mut upstreams = Vec::new();
    let mut nodes = Vec::new();
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
                Action::Endless(work_ms)
            } else {
                Action::Work(work_ms)
            }
        };
        let instance = instance_of(host);
        upstreams.push(stage.upstream(host, service, &instance, SLOTS_COUNT, Box::new(decide))?);
    }
    if !stage.wait_until_ready(&nodes) {
        return Ok(Verdict::CouldNotRun("a node did not become ready"));
    }
    thread::sleep(Duration::from_secs(3));
    let sent = Arc::new(Mutex::new(Vec::new()));
    let is_over = Arc::new(AtomicBool::new(false));
    let mut callers = Vec::new();
    for node in &nodes {
        for caller in 0..CALLERS_COUNT {
            let (entry, host) = (node.entry(), callers.len() / CALLERS_COUNT as usize + 1);
            let (sent, is_over, record) = (Arc::clone(&sent), Arc::clone(&is_over), record.clone());
            callers.push(thread::spawn(move || {
                let mut kept = None;
                let mut number = 0;
                while !is_over.load(Ordering::SeqCst) {
                    number += 1;
                    let one = call(&record, &mut kept, entry, host as u8, caller, number);
                    sent.lock().unwrap().push(one);
                    let think_ms = THINK_MS + hash_pair(caller, number) % THINK_SPREAD_MS;
                    thread::sleep(Duration::from_millis(think_ms));
                }
            }));
        }
    }
    let started = Instant::now();
    let end_at = TROUBLE_AT + TROUBLE_INTERVAL * TROUBLES_COUNT;
    let mut peak_mb = BTreeMap::new();
    let mut kills = Vec::new();
    let mut restarts: Vec<(usize, Instant)> = Vec::new();
    while started.elapsed() < end_at {
        let since = started.elapsed();
        let is_on = (0..TROUBLES_COUNT)
            .map(|number| TROUBLE_AT + TROUBLE_INTERVAL * number)
            .any(|at| has_trouble && since >= at && since < at + TROUBLE);
        if is_troubled.swap(is_on, Ordering::SeqCst) != is_on {
            record.say(format!(
                "backend server of host {TROUBLED_HOST} sends bodies without end: {is_on}"
            ));
        }
        watch_memory(stage, &mut nodes, &mut peak_mb, &mut kills, &mut restarts)?;
        thread::sleep(Duration::from_millis(20));
    }
    is_over.store(true, Ordering::SeqCst);
    for caller in callers {
        let _ = caller.join();
    }
    for node in &mut nodes {
        node.kill("the script ends");
    }
    record.say(format!(
        "most memory of each host's node, in megabytes: {peak_mb:?}"
    ));
    let sent = sent.lock().unwrap();
    Ok(judge(stage, &sent, &kills))
}

/// Kills a process that has more memory than its machine, as the platform does, and starts it
/// again a second later.
fn watch_memory(
    stage: &Stage,
    nodes: &mut [NodeProcess],
    peak_mb: &mut BTreeMap<u8, u64>,
    kills: &mut Vec<(u8, u64)>,
    restarts: &mut Vec<(usize, Instant)>,
) -> std::io::Result<()> {
    for (index, node) in nodes.iter_mut().enumerate() {
        let host = index as u8 + 1;
        if let Some(at) = restarts.iter().position(|(place, _)| *place == index) {
            if Instant::now() >= restarts[at].1 {
                restarts.remove(at);
                node.start()?;
            }
            continue;
        }
        if node.has_ended() {
            kills.push((host, stage.record.now_ms()));
            restarts.push((index, Instant::now() + Duration::from_secs(1)));
            continue;
        }
        let Some(memory_mb) = node.memory_mb() else {
            continue;
        };
        let peak = peak_mb.entry(host).or_default();
        *peak = memory_mb.max(*peak);
        if memory_mb > MEMORY_MB {
            let why = format!("{memory_mb} MB, its machine has {MEMORY_MB} MB");
            kills.push((host, stage.record.now_ms()));
            node.kill(&why);
            restarts.push((index, Instant::now() + Duration::from_secs(1)));
        }
    }
    Ok(())
}

fn call(
    record: &crate::record::Record,
    kept: &mut Option<Connection>,
    entry: std::net::SocketAddr,
    host: u8,
    caller: u32,
    number: u64,
) -> Sent {
    let id = format!("{host:02x}{caller:04x}{number:08x}");
    let is_filing = number % 10 < 3;
    let (method, path) = if is_filing {
        ("POST", format!("/settle/{id}"))
    } else {
        ("GET", format!("/history/{id}"))
    };
    let is_on_kept = kept.is_some();
    let sent_ms = record.now_ms();
    let request = Request {
        method,
        path: &path,
        id: &id,
        deadline_ms: 6_000,
        body: if is_filing { b"settlement" } else { b"" },
        key: None,
    };
    let outcome = send(kept, entry, &request);
    record.line(format!(
        "caller on host {host}: {id} {method} {path} sent at {sent_ms}, on a kept connection: \
         {is_on_kept}: {}",
        outcome.text()
    ));
    Sent {
        id,
        host,
        is_on_kept,
        sent_ms,
        ended_ms: record.now_ms(),
        outcome,
    }
}

/// LOST: a machine passes requests from kept connections on to a sound backend server and
/// closes these connections without an answer, more than three times.
fn judge(stage: &Stage, sent: &[Sent], kills: &[(u8, u64)]) -> Verdict {
    let record = &stage.record;
    let runs = stage.runs.lock().unwrap();
    let sound: BTreeMap<&str, u64> = runs
        .iter()
        .filter(|run| run.is_sound && run.instance != instance_of(TROUBLED_HOST))
        .map(|run| (run.id.as_str(), run.at_ms))
        .collect();
    let answered = |status| {
        let with = |one: &&Sent| one.outcome.status() == Some(status);
        sent.iter().filter(with).count()
    };
    record.say(format!(
        "{} requests sent; answered 200: {}, 502: {}, 503: {}, 504: {}; processes over their \
         memory: {kills:?}",
        sent.len(),
        answered(200),
        answered(502),
        answered(503),
        answered(504)
    ));
    let mut lost = BTreeMap::<u8, Vec<&Sent>>::new();
    for one in sent {
        let is_closed = matches!(one.outcome, Outcome::Closed);
        if is_closed && one.is_on_kept && sound.contains_key(one.id.as_str()) {
            lost.entry(one.host).or_default().push(one);
        }
    }
    let mut is_broken = false;
    for (host, lost) in &lost {
        for one in lost {
            record.line(format!(
                "LOST at host {host}: {} sent {} run {} closed {}",
                one.id,
                one.sent_ms,
                sound[one.id.as_str()],
                one.ended_ms
            ));
        }
        record.say(format!(
            "host {host}: {} requests from kept connections were passed on to sound servers and \
             closed without an answer; {MOST_LOST} are allowed",
            lost.len()
        ));
        is_broken |= lost.len() > MOST_LOST;
    }
    if is_broken {
        Verdict::Broken
    } else {
        Verdict::Held
    }
}

fn instance_of(host: u8) -> String {
    format!("i-{host}")
}

fn hash(text: &str) -> u64 {
    let step = |hash: u64, byte: u8| (hash ^ u64::from(byte)).wrapping_mul(0x0100_0000_01b3);
    let hash = text.bytes().fold(0xcbf2_9ce4_8422_2325, step);
    (hash ^ hash >> 29).wrapping_mul(0xbf58_476d_1ce4_e5b9) >> 32
}

fn hash_pair(one: u32, other: u64) -> u64 {
    hash(&format!("{one}-{other}"))
}
