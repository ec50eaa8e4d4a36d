//! Requests at a node that is asked to stop, while no backend server of their service takes calls.

use std::{
    io,
    path::Path,
    sync::{Arc, Mutex},
    thread,
    time::Duration,
};

use crate::{
    Verdict,
    fleet::{Fleet, Host},
    http::send,
    record::Record,
};

/// Pause between two requests of the clients of a host.
const REQUEST_GAP: Duration = Duration::from_millis(100);

/// Deadline of the requests, and timeout of their route.
const DEADLINE_MS: u64 = 10_000;

/// The platform's bounds that the rule names.
const LOSS_SLACK: Duration = Duration::from_millis(200);
const GRACE: Duration = Duration::from_secs(6);

/// After its stop a node is up again for this long before the next one stops.
const STOP_GAP: Duration = Duration::from_secs(4);

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

const SERVICES: [&str; 3] = ["archive", "settlement", "survey"];

fn configuration() -> String {
    let route = |service: &str, name: &str, kind: &str| {
        format!(
            r#"{{"name":"{service}-{name}","route_type":"{kind}","target_latency_ms":5000,"priority":1,
 "match":{{"path_prefix":"/{service}/{name}/"}},
 "action":{{"service":"{service}","timeout_ms":{DEADLINE_MS},"attempts":2}}}}"#
        )
    };
    let routes = SERVICES.map(|service| {
        let look_up = route(service, "look-up", "idempotent");
        let filing = route(service, "filing", "non_idempotent");
        format!("{look_up},{filing}")
    });
    let services = SERVICES.map(|service| {
        format!(r#"{{"name":"{service}","health_path":"/healthz","max_connections":754}}"#)
    });
    format!(
        r#"{{"version":"r7",
"limits":{{"max_header_bytes":16384,"max_body_bytes":1048576,"header_timeout_ms":3000,"idle_timeout_ms":15000}},
"listeners":[{{"host":"pits.example","rules":[{}]}}],
"clusters":[{}]}}"#,
        routes.join(","),
        services.join(",")
    )
}

/// A request whose connection ended without a complete answer.
struct Cut {
    attempt: String,
    /// Whether it must not run twice, so that its client can't send it again.
    is_filing: bool,
    host: String,
    sent_at: Duration,
    cut_at: Duration,
}

pub fn play(root: &Path, has_trouble: bool, record: &Arc<Record>) -> io::Result<Verdict> {
    let work = Duration::from_millis(90);
    let fleet = Fleet::start_all(root, &SERVICES, BOUNDS, work, record)?;
    fleet.store.put("keyed.op", "config", &configuration());
    if !fleet.wait_until_ready(Duration::from_secs(15)) {
        return Err(io::Error::other("the nodes aren't ready in time"));
    }
    fleet.ask_readiness();
    let cuts = Arc::new(Mutex::new(Vec::new()));
    for (index, host) in fleet.hosts.iter().enumerate() {
        let (host, cuts, record) = (Arc::clone(host), Arc::clone(&cuts), Arc::clone(record));
        thread::spawn(move || run_clients(index, &host, &cuts, &record));
    }
    thread::sleep(CALM_TIME);
    let mut stops = Vec::new();
    for host in &fleet.hosts {
        if has_trouble {
            host.wait_for_question();
            stops.push((host.name.clone(), record.now()));
            host.restart();
            if !fleet.wait_until_ready(Duration::from_secs(15)) {
                return Err(io::Error::other("a node isn't ready again in time"));
            }
        }
        thread::sleep(STOP_GAP);
    }
    thread::sleep(CALM_TIME);
    Ok(judge(&cuts.lock().unwrap(), &stops))
}

/// Sends look-ups and filings in turn, for the service of the host, while its clients get work.
fn run_clients(index: usize, host: &Arc<Host>, cuts: &Arc<Mutex<Vec<Cut>>>, record: &Arc<Record>) {
    for number in 0_u64.. {
        thread::sleep(REQUEST_GAP);
        if !host.is_in() {
            continue;
        }
        let (host, cuts, record) = (Arc::clone(host), Arc::clone(cuts), Arc::clone(record));
        thread::spawn(move || send_one(index, number, &host, &cuts, &record));
    }
}

fn send_one(index: usize, number: u64, host: &Host, cuts: &Mutex<Vec<Cut>>, record: &Record) {
    let attempt = format!("{index:02x}{number:014x}");
    let deadline_ms = DEADLINE_MS.to_string();
    let fields = [
        ("host", "pits.example"),
        ("kumquatquay-attempt-id", attempt.as_str()),
        ("kumquatquay-deadline-ms", deadline_ms.as_str()),
    ];
    let (method, name) = if number.is_multiple_of(2) {
        ("GET", "look-up")
    } else {
        ("POST", "filing")
    };
    let target = format!("/{}/{name}/{number}", SERVICES[index]);
    let sent_at = record.add(format!("sent {attempt} {method} {target} to {}", host.name));
    let patience = Duration::from_millis(DEADLINE_MS);
    match send(host.outbound(), method, &target, &fields, b"", patience) {
        Ok(answer) => {
            record.add(format!("{attempt} answered {}", answer.status));
        }
        // Nobody has read it: the node doesn't run. Its client tries again.
        Err(error) if error.kind() == io::ErrorKind::ConnectionRefused => {
            record.add(format!("{attempt} no connection"));
        }
        Err(error) => {
            let cut_at = record.add(format!(
                "{attempt} connection ended without an answer: {error}"
            ));
            cuts.lock().unwrap().push(Cut {
                attempt,
                is_filing: method == "POST",
                host: host.name.clone(),
                sent_at,
                cut_at,
            });
        }
    }
}

/// Requests whose connection ended later than the slack after they were sent, within the time of the
/// planned stop of their node. No backend server was at work on them: each takes 90 ms for a request.
fn judge(cuts: &[Cut], stops: &[(String, Duration)]) -> Verdict {
    let is_lost = |cut: &&Cut| {
        let is_read = cut.cut_at > cut.sent_at + LOSS_SLACK;
        let until = GRACE + Duration::from_secs(1);
        let of_stop = stops.iter().any(|(host, stopped_at)| {
            *host == cut.host && cut.cut_at >= *stopped_at && cut.cut_at <= *stopped_at + until
        });
        is_read && of_stop
    };
    let lost: Vec<&Cut> = cuts.iter().filter(is_lost).collect();
    let Some(first) = lost.first() else {
        return Verdict::Held(String::from(
            "LOST: every request that was read got an answer",
        ));
    };
    Verdict::Broken(format!(
        "LOST: {} requests got no answer, {} of them filings; the first {} sent to {} at {:.3} s, its connection ended at \
         {:.3} s",
        lost.len(),
        lost.iter().filter(|cut| cut.is_filing).count(),
        first.attempt,
        first.host,
        first.sent_at.as_secs_f64(),
        first.cut_at.as_secs_f64()
    ))
}
