//! A key is taken away; a few seconds later the store is away for a moment and comes back from a
//! copy from before that, while all nodes are killed and start again.

use std::{
    net::SocketAddr,
    sync::{
        Arc, Mutex,
        atomic::{AtomicBool, Ordering},
    },
    thread,
    time::Duration,
};

use crate::{
    Verdict,
    caller::{Outcome, Request, send},
    fleet::{CONFIGURATION, Stage},
    http::Message,
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

/// Key that is taken away, and one that stays.
const TAKEN_KEY: &str = "key-that-is-taken-away";
const KEPT_KEY: &str = "key-that-stays";

/// Settings of a deployment with keys.
const STRICT: &str = "terms.bounds.strict_revoke=true\nterms.bounds.revoke_ms=5000\n\
                      terms.bounds.quota_window_s=5\nterms.bounds.quota_overage=0.1\n\
                      terms.bounds.quota_slack=20\n";

/// Bound of the settings.
const REVOKE_MS: u64 = 5_000;

/// Age of the copy when the store goes away, and how long it is away.
const COPY_AGE: Duration = Duration::from_millis(4_000);
const AWAY: Duration = Duration::from_millis(1_300);

/// How long after that the operator writes again what was lost.
const REWRITE_AFTER: Duration = Duration::from_millis(800);

/// Pause of each caller between two requests.
const THINK: Duration = Duration::from_millis(50);

const SLOTS_COUNT: u32 = 109;
const WORK_MS: u64 = 20;

/// A request with the key that is taken away: its id, when it was sent, and what came of it.
type Sent = (String, u64, Outcome);

/// The configuration of a version, with these keys.
fn configuration(version: u32, keys: &[&str]) -> String {
    let keys: Vec<String> = keys.iter().map(|key| format!("\"{key}\"")).collect();
    let tenants = format!(
        r#","tenants":[{{"name":"board","api_keys":[{}],"rate_per_s":0,"burst":0}}]}}"#,
        keys.join(",")
    );
    let text = CONFIGURATION.replace("\"r7\"", &format!("\"r{version}\""));
    let open = text.trim_end().strip_suffix('}').unwrap_or_default();
    format!("{open}{tenants}")
}

pub fn play(stage: &Stage, has_trouble: bool) -> std::io::Result<Verdict> {
    let record = &stage.record;
    let first = configuration(7, &[TAKEN_KEY, KEPT_KEY]);
    let second = configuration(9, &[KEPT_KEY]);
    stage.store.put("keyed.op", "config", first.as_bytes());
    let mut nodes = Vec::new();
    let mut upstreams = Vec::new();
    for (index, service) in SERVICES.into_iter().enumerate() {
        let host = index as u8 + 1;
        let mut node = stage.node(host, service);
        node.plan.more = String::from(STRICT);
        node.start()?;
        nodes.push(node);
        let decide = Box::new(|_: &Message| Action::Work(WORK_MS));
        let instance = format!("i-{host}");
        upstreams.push(stage.upstream(host, service, &instance, SLOTS_COUNT, decide)?);
    }
    if !stage.wait_until_ready(&nodes) {
        return Ok(Verdict::CouldNotRun("a node did not become ready"));
    }
    thread::sleep(Duration::from_secs(4));
    let is_over = Arc::new(AtomicBool::new(false));
    let with_taken = Arc::new(Mutex::new(Vec::new()));
    let mut callers = Vec::new();
    for node in &nodes {
        for key in [KEPT_KEY, TAKEN_KEY] {
            let (entry, record) = (node.entry(), record.clone());
            let (is_over, with_taken) = (Arc::clone(&is_over), Arc::clone(&with_taken));
            callers.push(thread::spawn(move || {
                let mut number = 0;
                while !is_over.load(Ordering::SeqCst) {
                    let sent = call(&record, entry, key, number);
                    if key == TAKEN_KEY {
                        with_taken.lock().unwrap().push(sent);
                    }
                    number += 1;
                    thread::sleep(THINK);
                }
            }));
        }
    }
    thread::sleep(Duration::from_secs(2));
    let copy = stage.store.copy();
    stage.store.put("keyed.op", "config", second.as_bytes());
    let acknowledged_ms = record.now_ms();
    record.say("r9, which takes the key away, is acknowledged");
    thread::sleep(COPY_AGE);
    if has_trouble {
        stage.store.go_away();
        record.say("the store is away");
        for node in &mut nodes {
            node.kill("SIGKILL, and it starts again");
        }
        thread::sleep(AWAY);
        stage.store.come_back_from(copy);
        record.say("the store is back from a copy, in the next era");
        for node in &mut nodes {
            node.start()?;
        }
        thread::sleep(REWRITE_AFTER);
        stage.store.put("keyed.op", "config", second.as_bytes());
        record.say("the operator writes r9 again");
    }
    thread::sleep(Duration::from_secs(5));
    is_over.store(true, Ordering::SeqCst);
    for caller in callers {
        let _ = caller.join();
    }
    for node in &mut nodes {
        node.kill("the script ends");
    }
    let with_taken = with_taken.lock().unwrap();
    Ok(judge(stage, acknowledged_ms, &with_taken))
}

fn call(record: &Record, entry: SocketAddr, key: &str, number: u64) -> Sent {
    let id = format!("{}-{key}-{number}", entry.ip());
    let path = format!("/history/{number}");
    let request = Request {
        method: "GET",
        path: &path,
        id: &id,
        deadline_ms: 2_000,
        body: b"",
        key: Some(key),
    };
    let sent_ms = record.now_ms();
    let outcome = send(&mut None, entry, &request);
    record.line(format!(
        "caller: {id} GET {path} sent at {sent_ms}: {}",
        outcome.text()
    ));
    (id, sent_ms, outcome)
}

fn judge(stage: &Stage, acknowledged_ms: u64, with_taken: &[Sent]) -> Verdict {
    let record = &stage.record;
    let runs = stage.runs.lock().unwrap();
    let mut late_count = 0;
    for (id, sent_ms, outcome) in with_taken {
        let run = runs.iter().find(|run| run.id == *id);
        if let Some(run) = run.filter(|_| *sent_ms > acknowledged_ms + REVOKE_MS) {
            late_count += 1;
            record.line(format!(
                "LATE: {id} sent {} ms after the acknowledgement, run at {} by {}: {}",
                sent_ms - acknowledged_ms,
                run.at_ms,
                run.instance,
                outcome.text()
            ));
        }
    }
    record.say(format!(
        "{late_count} requests with the key that was taken away, sent later than {REVOKE_MS} ms \
         after the acknowledgement, ran"
    ));
    if late_count == 0 {
        Verdict::Held
    } else {
        Verdict::Broken
    }
}
