//! Backend servers shed a share of their requests, and send some answers a second time, late.

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
    caller::{Request, send},
    fleet::Stage,
    http::Message,
    upstream::Action,
};

/// Services of the hosts; filings run on the first three.
const SERVICES: [&str; 6] = [
    "settlement",
    "settlement",
    "settlement",
    "archive",
    "archive",
    "archive",
];

/// Hosts on which filings begin, and callers on each: some 14 filings a second and host.
const CALLING_HOSTS: [u8; 6] = [1, 2, 3, 4, 5, 6];
const CALLERS_COUNT: u32 = 3;
const THINK_MS: u64 = 150;

/// Work of a filing, which makes no calls.
const WORK_MS: u64 = 63;
const SLOTS_COUNT: u32 = 234;

/// Of a hundred requests, so many are shed by all servers of the service.
const SHED_PERCENT: u64 = 45;

/// One of so many answers is sent twice: a share of 0.03.
const EXTRA_INTERVAL_COUNT: u64 = 34;

/// Hosts whose servers do so: two of three servers.
const EXTRA_HOSTS: [u8; 2] = [1, 2];

/// When the trouble begins, how long it lasts, and how often it comes.
const TROUBLE_AT: Duration = Duration::from_secs(10);
const TROUBLE: Duration = Duration::from_secs(5);
const TROUBLE_INTERVAL: Duration = Duration::from_secs(10);
const TROUBLES_COUNT: u32 = 4;

pub fn play(stage: &Stage, has_trouble: bool) -> std::io::Result<Verdict> {
    let record = &stage.record;
    let is_troubled = Arc::new(AtomicBool::new(false));
    let mut nodes = Vec::new();
    let mut upstreams = Vec::new();
    for (index, service) in SERVICES.into_iter().enumerate() {
        let host = index as u8 + 1;
        let mut node = stage.node(host, service);
        node.start()?;
        nodes.push(node);
        let (is_shedding, is_spoiling) = (Arc::clone(&is_troubled), Arc::clone(&is_troubled));
        let (requests_count, answers_count) = (AtomicU64::new(0), AtomicU64::new(0));
        let decide = move |_: &Message| {
            let count = requests_count.fetch_add(1, Ordering::SeqCst);
            // Spread over the requests, without a pattern that repeats soon.
            let is_shed = count.wrapping_mul(0x9e37_79b9_7f4a_7c15) >> 32 & 0xff;
            let is_shed = is_shed * 100 / 256 < SHED_PERCENT;
            if is_shed && is_shedding.load(Ordering::SeqCst) {
                Action::Shed
            } else {
                Action::Work(WORK_MS)
            }
        };
        let sends_extra = move || {
            let is_on = EXTRA_HOSTS.contains(&host) && is_spoiling.load(Ordering::SeqCst);
            is_on && answers_count.fetch_add(1, Ordering::SeqCst) % EXTRA_INTERVAL_COUNT == 0
        };
        let instance = format!("i-{host}");
        upstreams.push(stage.upstream_with_extra(
            host,
            service,
            &instance,
            SLOTS_COUNT,
            Box::new(decide),
            Box::new(sends_extra),
        )?);
    }
    if !stage.wait_until_ready(&nodes) {
        return Ok(Verdict::CouldNotRun("a node did not become ready"));
    }
    thread::sleep(Duration::from_secs(3));
    let is_over = Arc::new(AtomicBool::new(false));
    let answers = Arc::new(Mutex::new(BTreeMap::new()));
    let mut callers = Vec::new();
    for host in CALLING_HOSTS {
        let entry = nodes[usize::from(host) - 1].entry();
        for caller in 0..CALLERS_COUNT {
            let (record, is_over) = (record.clone(), Arc::clone(&is_over));
            let answers = Arc::clone(&answers);
            callers.push(thread::spawn(move || {
                let mut kept = None;
                let mut number = 0;
                while !is_over.load(Ordering::SeqCst) {
                    let id = format!("{host:02x}{caller:04x}{number:08x}");
                    let path = format!("/settle/{id}");
                    let request = Request {
                        method: "POST",
                        path: &path,
                        id: &id,
                        deadline_ms: 5_000,
                        body: b"filing",
                        key: None,
                    };
                    let sent_ms = record.now_ms();
                    let outcome = send(&mut kept, entry, &request);
                    record.line(format!(
                        "caller on host {host}: {id} POST {path} sent at {sent_ms}: {}",
                        outcome.text()
                    ));
                    answers.lock().unwrap().insert(id, outcome);
                    number += 1;
                    thread::sleep(Duration::from_millis(THINK_MS));
                }
            }));
        }
    }
    let started = Instant::now();
    while started.elapsed() < TROUBLE_AT + TROUBLE_INTERVAL * TROUBLES_COUNT {
        let since = started.elapsed();
        let is_on = (0..TROUBLES_COUNT)
            .map(|number| TROUBLE_AT + TROUBLE_INTERVAL * number)
            .any(|at| has_trouble && since >= at && since < at + TROUBLE);
        if is_troubled.swap(is_on, Ordering::SeqCst) != is_on {
            record.say(format!("servers shed and send answers twice: {is_on}"));
        }
        thread::sleep(Duration::from_millis(20));
    }
    is_over.store(true, Ordering::SeqCst);
    for caller in callers {
        let _ = caller.join();
    }
    for node in &mut nodes {
        node.kill("the script ends");
    }
    let mut runs = BTreeMap::<String, Vec<String>>::new();
    for run in stage.runs.lock().unwrap().iter() {
        let text = format!("{} at {}", run.instance, run.at_ms);
        runs.entry(run.id.clone()).or_default().push(text);
    }
    let answers = answers.lock().unwrap();
    record.say(format!(
        "{} filings were sent, {} ran",
        answers.len(),
        runs.len()
    ));
    let mut is_broken = false;
    for (id, outcome) in answers.iter() {
        let runs = runs.get(id).map(Vec::as_slice).unwrap_or_default();
        let is_refused = matches!(outcome.status(), Some(408 | 421 | 429 | 503));
        if runs.len() > 1 {
            record.say(format!(
                "TWICE: {id} ran {runs:?}; answer: {}",
                outcome.text()
            ));
            is_broken = true;
        }
        if is_refused && !runs.is_empty() {
            record.say(format!(
                "REFUSED: {id} ran {runs:?}; answer: {}",
                outcome.text()
            ));
            is_broken = true;
        }
    }
    Ok(if is_broken {
        Verdict::Broken
    } else {
        Verdict::Held
    })
}
