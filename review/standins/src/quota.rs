//! A workspace's quota while a host is added and its node is restarted.

use std::{
    collections::HashMap,
    io,
    net::SocketAddr,
    path::Path,
    sync::{
        Arc, Mutex,
        atomic::{AtomicBool, AtomicU32, Ordering},
    },
    thread,
    time::Duration,
};

use crate::{
    Verdict,
    borrower::order_for_half,
    fleet::{Fleet, Host},
    http::send,
    record::Record,
};

/// The workspace's quota.
const RATE_PER_S: f64 = 20.0;
const BURST_COUNT: f64 = 100.0;

/// The bounds of the rule.
const WINDOW: Duration = Duration::from_secs(5);
const OVERAGE_RATIO: f64 = 0.1;
const SLACK_COUNT: f64 = 20.0;

/// The clients of the workspace poll: so many requests at once, this often.
const POLL_INTERVAL: Duration = Duration::from_millis(2_200);
const USUAL_COUNT: usize = 17;

/// How many times as many requests a poll has when the workspace is hot, and for how long it is.
const HOT_FACTOR: f64 = 7.5;
const HOT_TIME: Duration = Duration::from_millis(6_500);

/// How long a machine is there before the next change.
const CALM_TIME: Duration = Duration::from_secs(20);

/// How long the workspace is hot when the node stops.
const STOP_AFTER: Duration = Duration::from_millis(1_500);

const HOSTS_COUNT: usize = 4;

const BOUNDS: &str =
    "terms.contracts=base,drain,config,cost,retry,recover,pressure,tenants,quota,platform
terms.fault_tolerance.machines=2
terms.fault_tolerance.zones=1
terms.fault_tolerance.regions=0
terms.bounds.seed_lag_s=3
terms.bounds.reuse_after_s=2
terms.bounds.stability_ms=3000
terms.bounds.ack_ms=5000
terms.bounds.catch_up_s=6
terms.bounds.drain_ms=2500
terms.bounds.grace_s=6
terms.bounds.loss_slack_ms=200
terms.bounds.config_deadline_ms=2500
terms.bounds.rollback_slack_ms=250
terms.bounds.max_stretch_ms=5000
terms.bounds.strict_revoke=true
terms.bounds.revoke_ms=5000
terms.bounds.budget_ratio=0.2
terms.bounds.budget_window_s=10
terms.bounds.budget_extra=49
terms.bounds.quota_window_s=5
terms.bounds.quota_overage=0.1
terms.bounds.quota_slack=20
terms.bounds.recover_s=15
";

fn configuration() -> String {
    format!(
        r#"{{"version":"r7",
"limits":{{"max_header_bytes":16384,"max_body_bytes":1048576,"header_timeout_ms":3000,"idle_timeout_ms":15000}},
"tenants":[{{"name":"north","api_keys":["k-north"],"rate_per_s":{RATE_PER_S},"burst":{BURST_COUNT}}}],
"listeners":[{{"host":"fares.example","rules":[
 {{"name":"quote","route_type":"idempotent","target_latency_ms":1500,"priority":1,
  "match":{{"path_prefix":"/quote/"}},
  "action":{{"service":"fares","timeout_ms":5000,"attempts":1}}}}]}}],
"clusters":[{{"name":"fares","health_path":"/healthz","max_connections":530}}]}}"#
    )
}

struct Sent {
    at: Duration,
    attempt: String,
}

/// What the clients of the workspace share.
struct Clients {
    record: Arc<Record>,
    sent: Mutex<Vec<Sent>>,
    sent_count: AtomicU32,
    is_hot: AtomicBool,
    has_ended: AtomicBool,
    polls_count: Mutex<u32>,
}

pub fn play(root: &Path, has_trouble: bool, record: &Arc<Record>) -> io::Result<Verdict> {
    let services = ["fares"; HOSTS_COUNT];
    let work = Duration::from_millis(10);
    // The host that borrows the second half once the added one has left lends the first half to another
    // one, as in nearly all cases where there are many hosts.
    let is_suitable = |controls: &[SocketAddr]| {
        let (first, second) = (order_for_half(controls, 0), order_for_half(controls, 1));
        first[0] != second[1]
    };
    let fleet = Fleet::start(root, &services, BOUNDS, work, record, is_suitable)?;
    let controls: Vec<SocketAddr> = fleet.hosts.iter().map(|host| host.control()).collect();
    let order = order_for_half(&controls, 1);
    let added = &fleet.hosts[order[0]];
    for host in &fleet.hosts {
        if !has_trouble || host.name != added.name {
            host.start_node(true)?;
        }
    }
    fleet.store.put("keyed.op", "config", &configuration());
    wait_until_ready(&fleet)?;
    fleet.ask_readiness();
    let clients = Arc::new(Clients {
        record: Arc::clone(record),
        sent: Mutex::default(),
        sent_count: AtomicU32::new(0),
        is_hot: AtomicBool::new(false),
        has_ended: AtomicBool::new(false),
        polls_count: Mutex::default(),
    });
    let (polling, clients_host) = (Arc::clone(&clients), Arc::clone(&fleet.hosts[order[2]]));
    thread::spawn(move || polling.poll(&clients_host));
    thread::sleep(CALM_TIME);
    if has_trouble {
        record.add(format!("{} is added", added.name));
        added.start_node(false)?;
        wait_until_ready(&fleet)?;
    }
    thread::sleep(CALM_TIME);
    record.add("the workspace is hot from its next poll on");
    clients.is_hot.store(true, Ordering::Relaxed);
    clients.wait_for_poll();
    if has_trouble {
        let added = Arc::clone(added);
        thread::spawn(move || {
            thread::sleep(STOP_AFTER);
            added.restart();
        });
    }
    thread::sleep(HOT_TIME);
    clients.is_hot.store(false, Ordering::Relaxed);
    record.add("the workspace is as usual again");
    thread::sleep(WINDOW);
    clients.has_ended.store(true, Ordering::Relaxed);
    Ok(judge(&fleet, &clients))
}

fn wait_until_ready(fleet: &Fleet) -> io::Result<()> {
    if fleet.wait_until_ready(Duration::from_secs(15)) {
        return Ok(());
    }
    Err(io::Error::other("the nodes aren't ready in time"))
}

impl Clients {
    fn poll(self: &Arc<Self>, host: &Arc<Host>) {
        while !self.has_ended.load(Ordering::Relaxed) {
            let factor = if self.is_hot.load(Ordering::Relaxed) {
                HOT_FACTOR
            } else {
                1.0
            };
            let count = (USUAL_COUNT as f64 * factor) as usize;
            *self.polls_count.lock().unwrap() += 1;
            if host.is_in() {
                for _ in 0..count {
                    let (clients, host) = (Arc::clone(self), Arc::clone(host));
                    thread::spawn(move || clients.send_one(&host));
                }
            }
            thread::sleep(POLL_INTERVAL);
        }
    }

    /// Waits until the next poll begins.
    fn wait_for_poll(&self) {
        let polls_count = *self.polls_count.lock().unwrap();
        while *self.polls_count.lock().unwrap() == polls_count {
            thread::sleep(Duration::from_millis(2));
        }
    }

    fn send_one(&self, host: &Host) {
        let number = self.sent_count.fetch_add(1, Ordering::Relaxed);
        let attempt = format!("{number:016x}");
        let fields = [
            ("host", "fares.example"),
            ("kumquatquay-attempt-id", attempt.as_str()),
            ("kumquatquay-deadline-ms", "5000"),
            ("authorization", "Bearer k-north"),
        ];
        let at = self.record.add(format!("sent {attempt} to {}", host.name));
        self.sent.lock().unwrap().push(Sent {
            at,
            attempt: attempt.clone(),
        });
        let target = format!("/quote/{number}");
        let patience = Duration::from_secs(6);
        let answer = send(host.outbound(), "GET", &target, &fields, b"", patience);
        let outcome = match answer {
            Ok(answer) => format!("answered {}", answer.status),
            Err(error) => format!("no answer: {error}"),
        };
        self.record.add(format!("{attempt} {outcome}"));
    }
}

/// The most requests in any window that were both sent and run in it.
fn judge(fleet: &Fleet, clients: &Clients) -> Verdict {
    let runs = fleet.hosts.iter().flat_map(|host| host.backend.runs());
    let runs: HashMap<String, Duration> = runs.map(|run| (run.attempt, run.at)).collect();
    let sent = clients.sent.lock().unwrap();
    let mut ran: Vec<(Duration, Duration)> = sent
        .iter()
        .filter_map(|sent| Some((sent.at, *runs.get(&sent.attempt)?)))
        .collect();
    ran.sort();
    let count_from = |from: Duration| {
        let inside = ran
            .iter()
            .filter(|(sent, run)| *sent >= from && *run <= from + WINDOW);
        inside.count()
    };
    let windows = ran.iter().map(|(sent, _)| (count_from(*sent), *sent));
    let (most_count, from) = windows.max().unwrap_or_default();
    let bound =
        (RATE_PER_S * WINDOW.as_secs_f64() + BURST_COUNT) * (1.0 + OVERAGE_RATIO) + SLACK_COUNT;
    let line = format!(
        "QUOTA: {most_count} requests of the workspace sent and run in the {} s from {:.3} s; the most \
         allowed is {bound:.0}",
        WINDOW.as_secs(),
        from.as_secs_f64()
    );
    if most_count as f64 > bound {
        Verdict::Broken(line)
    } else {
        Verdict::Held(line)
    }
}
