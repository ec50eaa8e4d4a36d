//! Uploads within the operator's limit, at nodes with the memory of the users' machines.

use std::{io, path::Path, sync::Arc, thread, time::Duration};

use crate::{
    Verdict,
    fleet::{Fleet, Host},
    http::send,
    record::Record,
};

/// The operator's limit of a body, that of the platform's example.
const BODY_LIMIT_BYTES: usize = 64 * 1024 * 1024;

/// Size of an upload: large ones, and those without trouble.
const LARGE_BYTES: usize = 60 * 1024 * 1024;
const USUAL_BYTES: usize = 60 * 1000;

const HOSTS_COUNT: usize = 4;

/// Hosts whose clients upload, and how many of these do so at the same moment.
const BUSY_HOSTS_COUNT: usize = 2;
const UPLOADS_COUNT: usize = 3;

/// How often they do so.
const ROUNDS_COUNT: usize = 3;

/// `memory_mb` of the settings.
const MEMORY_LIMIT_KB: u64 = 260 * 1024;

const MEMORY_CHECK_INTERVAL: Duration = Duration::from_millis(5);

/// What the rule counts as a fault: so many ends on each of so many machines.
const FAULT_ENDS_COUNT: u32 = 3;
const FAULT_HOSTS_COUNT: usize = 2;

const CALM_TIME: Duration = Duration::from_secs(6);

const BOUNDS: &str = "terms.contracts=base,drain,config,cost,retry,recover,pressure,platform
terms.fault_tolerance.machines=2
terms.fault_tolerance.zones=1
terms.fault_tolerance.regions=0
terms.bounds.seed_lag_s=3
terms.bounds.reuse_after_s=2
terms.bounds.stability_ms=3000
terms.bounds.ack_ms=4000
terms.bounds.catch_up_s=4
terms.bounds.drain_ms=2000
terms.bounds.grace_s=6
terms.bounds.loss_slack_ms=200
terms.bounds.config_deadline_ms=2000
terms.bounds.rollback_slack_ms=250
terms.bounds.max_stretch_ms=5000
terms.bounds.budget_ratio=0.2
terms.bounds.budget_window_s=10
terms.bounds.budget_extra=49
terms.bounds.recover_s=15
";

fn configuration() -> String {
    format!(
        r#"{{"version":"r7",
"limits":{{"max_header_bytes":16384,"max_body_bytes":{BODY_LIMIT_BYTES},"header_timeout_ms":3000,"idle_timeout_ms":15000}},
"listeners":[{{"host":"pits.example","rules":[
 {{"name":"survey-upload","route_type":"upload","target_latency_ms":5000,"priority":1,
  "match":{{"path_prefix":"/survey/"}},
  "action":{{"service":"survey","timeout_ms":10000,"attempts":2}}}}]}}],
"clusters":[{{"name":"survey","health_path":"/healthz","max_connections":1414}}]}}"#
    )
}

pub fn play(root: &Path, has_trouble: bool, record: &Arc<Record>) -> io::Result<Verdict> {
    let work = Duration::from_millis(110);
    let fleet = Fleet::start_all(root, &["survey"; HOSTS_COUNT], BOUNDS, work, record)?;
    fleet.store.put("keyed.op", "config", &configuration());
    if !fleet.wait_until_ready(Duration::from_secs(15)) {
        return Err(io::Error::other("the nodes aren't ready in time"));
    }
    fleet.ask_readiness();
    for host in &fleet.hosts {
        let (host, record) = (Arc::clone(host), Arc::clone(record));
        thread::spawn(move || enforce_memory_limit(&host, &record));
    }
    thread::sleep(CALM_TIME);
    let size_bytes = if has_trouble {
        LARGE_BYTES
    } else {
        USUAL_BYTES
    };
    for round in 0..ROUNDS_COUNT {
        thread::scope(|scope| {
            for (index, host) in fleet.hosts[..BUSY_HOSTS_COUNT].iter().enumerate() {
                for upload_index in 0..UPLOADS_COUNT {
                    let number = (round * BUSY_HOSTS_COUNT + index) * UPLOADS_COUNT + upload_index;
                    scope.spawn(move || upload(number, host, size_bytes, record));
                }
            }
        });
        thread::sleep(CALM_TIME);
        if !fleet.wait_until_ready(Duration::from_secs(15)) {
            return Err(io::Error::other("a node isn't ready again in time"));
        }
    }
    Ok(judge(&fleet))
}

/// What the platform does: a process that exceeds its memory is killed and started again.
fn enforce_memory_limit(host: &Host, record: &Record) {
    loop {
        thread::sleep(MEMORY_CHECK_INTERVAL);
        let Some(memory_kb) = host.memory_kb() else {
            continue;
        };
        if memory_kb > MEMORY_LIMIT_KB {
            let name = &host.name;
            record.add(format!(
                "{name} has {memory_kb} kB, more than {MEMORY_LIMIT_KB} kB"
            ));
            host.end_for_memory();
        }
    }
}

fn upload(number: usize, host: &Host, size_bytes: usize, record: &Record) {
    let attempt = format!("{number:016x}");
    let fields = [
        ("host", "pits.example"),
        ("kumquatquay-attempt-id", attempt.as_str()),
        ("kumquatquay-deadline-ms", "10000"),
    ];
    let body = vec![b'a'; size_bytes];
    record.add(format!(
        "sent {attempt} with {size_bytes} bytes to {}",
        host.name
    ));
    let target = format!("/survey/{number}");
    let patience = Duration::from_secs(11);
    let outcome = match send(host.outbound(), "POST", &target, &fields, &body, patience) {
        Ok(answer) => format!("answered {}", answer.status),
        Err(error) => format!("no answer: {error}"),
    };
    record.add(format!("{attempt} {outcome}"));
}

fn judge(fleet: &Fleet) -> Verdict {
    let ends = fleet.hosts.iter().map(|host| host.memory_ends_count());
    let ends: Vec<u32> = ends.collect();
    let often_count = ends
        .iter()
        .filter(|count| **count >= FAULT_ENDS_COUNT)
        .count();
    let line = format!(
        "Fault: processes over their memory limit, by host: {ends:?}; {FAULT_ENDS_COUNT} times on \
         {FAULT_HOSTS_COUNT} hosts are a fault"
    );
    if often_count >= FAULT_HOSTS_COUNT {
        Verdict::Broken(line)
    } else {
        Verdict::Held(line)
    }
}
