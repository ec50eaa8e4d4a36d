//! A node is killed and starts again; its backend server, which runs on, then says that it
//! leaves, before its next heartbeat is due.

use std::{
    sync::{
        Arc, Mutex,
        atomic::{AtomicBool, Ordering},
    },
    thread,
    time::{Duration, Instant},
};

use crate::{
    Verdict,
    caller::{Request, send},
    fleet::Stage,
    upstream::{Action, HEARTBEAT, Upstream},
};

/// Services of the hosts; hosts 2, 5 and 8 are in the second zone, where host 2 alone has a
/// server for filings.
const SERVICES: [&str; 9] = [
    "settlement",
    "settlement",
    "settlement",
    "archive",
    "archive",
    "archive",
    "archive",
    "archive",
    "archive",
];

/// Host whose node is killed and whose backend server leaves.
const HOST: u8 = 2;

/// Hosts on which filings begin. Few are sent from each.
const CALLING_HOSTS: [u8; 2] = [5, 8];
const FILING_INTERVAL: Duration = Duration::from_millis(7_000);

const WORK_MS: u64 = 1_000;
const SLOTS_COUNT: u32 = 146;

/// How long the platform takes to start a process again.
const RESTART_PAUSE: Duration = Duration::from_millis(300);

/// When the backend server says that it leaves, after the start of the new process.
const LEAVE_AFTER: Duration = Duration::from_millis(700);

/// How long it still serves then: the drain time, and a little longer.
const STAY: Duration = Duration::from_millis(3_500);

/// Bounds of the settings.
const DRAIN_MS: u64 = 2_000;
const STABILITY_MS: u64 = 3_000;

pub fn play(stage: &Stage, has_trouble: bool) -> std::io::Result<Verdict> {
    let record = &stage.record;
    let mut nodes = Vec::new();
    let mut upstreams: Vec<Arc<Upstream>> = Vec::new();
    for (index, service) in SERVICES.into_iter().enumerate() {
        let host = index as u8 + 1;
        let mut node = stage.node(host, service);
        node.start()?;
        nodes.push(node);
        let decide = Box::new(|_: &crate::http::Message| Action::Work(WORK_MS));
        let instance = format!("i-{host}");
        upstreams.push(stage.upstream(host, service, &instance, SLOTS_COUNT, decide)?);
    }
    if !stage.wait_until_ready(&nodes) {
        return Ok(Verdict::CouldNotRun("a node did not become ready"));
    }
    thread::sleep(Duration::from_secs(4));
    let is_over = Arc::new(AtomicBool::new(false));
    let outcomes = Arc::new(Mutex::new(Vec::new()));
    let begin_at = Instant::now();
    let mut callers = Vec::new();
    for host in CALLING_HOSTS {
        let entry = nodes[usize::from(host) - 1].entry();
        let (record, is_over) = (record.clone(), Arc::clone(&is_over));
        let outcomes = Arc::clone(&outcomes);
        callers.push(thread::spawn(move || {
            let mut number = 0;
            while !is_over.load(Ordering::SeqCst) {
                let id = format!("{host:02x}{number:08x}");
                let path = format!("/settle/{id}");
                let sent_ms = record.now_ms();
                let request = Request {
                    method: "POST",
                    path: &path,
                    id: &id,
                    deadline_ms: 5_000,
                    body: b"filing",
                    key: None,
                };
                let outcome = send(&mut None, entry, &request);
                record.say(format!(
                    "caller on host {host}: {id} POST {path} sent at {sent_ms}: {}",
                    outcome.text()
                ));
                outcomes.lock().unwrap().push((id, sent_ms, outcome));
                number += 1;
                let next = begin_at + FILING_INTERVAL * number;
                thread::sleep(next.saturating_duration_since(Instant::now()));
            }
        }));
    }
    // A filing is answered by each caller, then the node is killed between two of them.
    thread::sleep(Duration::from_millis(1_500));
    let place = usize::from(HOST) - 1;
    let leaving = Arc::clone(&upstreams[place]);
    leaving.stop_heartbeats();
    thread::sleep(HEARTBEAT);
    // The last heartbeat before the kill. The next one would be due 1,500 ms after it.
    leaving.report("ready");
    let started_ms = if has_trouble {
        nodes[place].kill("SIGKILL, and it starts again");
        thread::sleep(RESTART_PAUSE);
        nodes[place].start()?;
        record.now_ms()
    } else {
        thread::sleep(RESTART_PAUSE);
        0
    };
    thread::sleep(LEAVE_AFTER);
    leaving.begin_leaving();
    let status = leaving.delete();
    let acknowledged_ms = record.now_ms();
    thread::sleep(STAY);
    leaving.exit();
    thread::sleep(Duration::from_secs(2));
    is_over.store(true, Ordering::SeqCst);
    for caller in callers {
        let _ = caller.join();
    }
    for node in &mut nodes {
        node.kill("the script ends");
    }
    if status != Some(200) {
        return Ok(Verdict::CouldNotRun("the leaving was not acknowledged"));
    }
    let bound_ms = (acknowledged_ms + DRAIN_MS).max(started_ms + STABILITY_MS);
    record.say(format!(
        "the leaving of i-{HOST} was acknowledged at {acknowledged_ms}; its machine is in touch \
         from {} on; later than {bound_ms} no request may reach it",
        started_ms + STABILITY_MS
    ));
    let runs = stage.runs.lock().unwrap();
    let late = runs
        .iter()
        .filter(|run| run.instance == leaving.instance && run.at_ms > bound_ms);
    let late: Vec<String> = late
        .map(|run| format!("{} at {}", run.id, run.at_ms))
        .collect();
    record.say(format!("requests that reached it later: {late:?}"));
    Ok(if late.is_empty() {
        Verdict::Held
    } else {
        Verdict::Broken
    })
}
