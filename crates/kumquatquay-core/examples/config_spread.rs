//! How long a change takes until it is in force at the last node, and what it
//! costs, on a virtual clock.
//!
//! Run with `cargo run --release -p kumquatquay-core --example config_spread`.
//! With `-- large` it runs 1,020 nodes in 20 data centres, which takes minutes.
//! Otherwise three data centres; the network takes 1 ms, a tick 10 ms. The figures are
//! those of the decisions alone: sockets and processors add theirs.

use std::{collections::BTreeMap, time::Duration};

use kumquatquay_wire::{
    AcceptedChange, ConfigurationAnswer, ConfigurationChange, ConfigurationRecord,
    ConfigurationSnapshot, Intent, IntentChange, IntentEdit, IntentEntry, MeshKey, OperatorCommand,
    OperatorReply, Priority, RoutePattern,
};

#[allow(dead_code, reason = "the tests use the rest")]
#[path = "../tests/configuration/fake_log.rs"]
mod fake_log;
#[allow(dead_code, reason = "the tests use the rest")]
#[path = "../tests/configuration/mesh.rs"]
mod mesh;

use mesh::Mesh;

const DATA_CENTRES_COUNT: usize = 3;
const LARGE_DATA_CENTRES_COUNT: usize = 20;
const LARGE_NODES_COUNT: usize = 1_020;
const CHANGES_COUNT: usize = 20;
const SETTLING: Duration = Duration::from_secs(20);
const LARGE_SETTLING: Duration = Duration::from_secs(60);
const PATIENCE: Duration = Duration::from_secs(120);

fn main() {
    let is_large = std::env::args().any(|argument| argument == "large");
    println!("seconds until in force; median and longest of {CHANGES_COUNT} changes");
    println!(
        "nodes  log            accepted         in force at the last  reverts  bulk a node and change"
    );
    if is_large {
        let mut mesh = settled(LARGE_NODES_COUNT, LARGE_DATA_CENTRES_COUNT, LARGE_SETTLING);
        spread(&mut mesh, "up", Duration::from_millis(2));
        return;
    }
    for nodes_count in [12, 60, 240] {
        spread_in_new(nodes_count, "up", Duration::from_millis(2));
        spread_in_new(nodes_count, "slow (1 s)", Duration::from_secs(1));
        spread_in_new(nodes_count, "slow (3 s)", Duration::from_secs(3));
    }
    println!();
    println!("one data centre without log and mesh for 60 s: seconds from healing");
    for nodes_count in [12, 60, 240] {
        heal(nodes_count);
    }
    println!();
    sizes();
}

/// A mesh that has settled.
fn settled(nodes_count: usize, data_centres_count: usize, settling: Duration) -> Mesh {
    let mut mesh = Mesh::new();
    for number in 0..nodes_count {
        let data_centre = data_centre(number % data_centres_count);
        mesh.start(&number.to_string(), &data_centre, None);
    }
    mesh.run(settling);
    mesh
}

fn data_centre(number: usize) -> String {
    format!("hall-{number}")
}

fn plan(mesh: &mut Mesh, at: &str, number: usize) -> String {
    let service = format!("service-{}", number % 5);
    let intent = Intent::new(&service).priority(Priority::caller(format!("caller-{number}")));
    let edit = IntentEdit {
        service,
        intent: Some(intent),
    };
    let command = OperatorCommand::Plan {
        edits: vec![edit],
        allows_unknown: true,
    };
    match mesh.ask_operator(at, command) {
        OperatorReply::Plan(plan) => plan.sealed,
        other => panic!("{other:?}"),
    }
}

/// The lowest version at any node, and whether a node went back.
struct Watch {
    versions: BTreeMap<String, Option<u64>>,
    reverts_count: u64,
}

impl Watch {
    fn new() -> Self {
        Self {
            versions: BTreeMap::new(),
            reverts_count: 0,
        }
    }

    fn look(&mut self, mesh: &Mesh) -> Option<u64> {
        let mut lowest = Some(u64::MAX);
        for (name, host) in &mesh.hosts {
            let version = host.node.configuration_version();
            let before = self.versions.insert(name.clone(), version).flatten();
            self.reverts_count += u64::from(before > version);
            lowest = lowest.min(version);
        }
        lowest
    }

    /// Lets time pass until all nodes have a version; says how long it took.
    fn wait(&mut self, mesh: &mut Mesh, version: u64) -> Duration {
        let start = mesh.now;
        while self.look(mesh) < Some(version) {
            assert!(
                mesh.now < start + PATIENCE,
                "a node never got version {version}"
            );
            mesh.step();
        }
        mesh.now - start
    }
}

fn spread_in_new(nodes_count: usize, name: &str, log_delay: Duration) {
    let mut mesh = settled(nodes_count, DATA_CENTRES_COUNT, SETTLING);
    spread(&mut mesh, name, log_delay);
}

fn spread(mesh: &mut Mesh, name: &str, log_delay: Duration) {
    let nodes_count = mesh.hosts.len();
    mesh.log.delay = log_delay;
    mesh.run(SETTLING);
    mesh.bulk_bytes = 0;
    let mut watch = Watch::new();
    let (mut accepted, mut in_force) = (Vec::new(), Vec::new());
    for number in 0..CHANGES_COUNT {
        let at = (number * 7 % nodes_count).to_string();
        let sealed = plan(mesh, &at, number);
        let start = mesh.now;
        let command = OperatorCommand::Confirm { plan: sealed };
        let version = match mesh.ask_operator(&at, command) {
            OperatorReply::Accepted { version, .. } => version,
            other => panic!("{other:?}"),
        };
        accepted.push(mesh.now - start);
        watch.wait(mesh, version);
        in_force.push(mesh.now - start);
        mesh.run(Duration::from_millis(730));
        watch.look(mesh);
    }
    let bulk_bytes = mesh.bulk_bytes / (CHANGES_COUNT * nodes_count) as u64;
    println!(
        "{nodes_count:5}  {name:12}  {}  {}  {:7}  {bulk_bytes:4} bytes",
        shown(&mut accepted),
        shown(&mut in_force),
        watch.reverts_count
    );
}

fn shown(durations: &mut [Duration]) -> String {
    durations.sort();
    let median = durations[durations.len() / 2].as_secs_f64();
    let longest = durations[durations.len() - 1].as_secs_f64();
    format!("{median:6.2} / {longest:6.2}")
}

fn heal(nodes_count: usize) {
    let mut mesh = settled(nodes_count, DATA_CENTRES_COUNT, SETTLING);
    let mut watch = Watch::new();
    let cuts = [(0, 2), (1, 2)];
    let mut healing = Vec::new();
    for number in 0..5 {
        for (one, other) in cuts {
            mesh.cuts.insert((data_centre(one), data_centre(other)));
        }
        set_cut_from_log(&mut mesh, true);
        mesh.run(Duration::from_secs(1));
        let sealed = plan(&mut mesh, "0", number);
        let command = OperatorCommand::Confirm { plan: sealed };
        let OperatorReply::Accepted { version, .. } = mesh.ask_operator("0", command) else {
            panic!("the change was not accepted");
        };
        mesh.run(Duration::from_secs(59));
        watch.look(&mesh);
        mesh.cuts.clear();
        set_cut_from_log(&mut mesh, false);
        healing.push(watch.wait(&mut mesh, version));
        mesh.run(SETTLING);
    }
    let reverts_count = watch.reverts_count;
    println!(
        "{nodes_count:5}  {}  reverts {reverts_count}",
        shown(&mut healing)
    );
}

fn set_cut_from_log(mesh: &mut Mesh, is_cut: bool) {
    let hosts = mesh.hosts.values_mut();
    for host in hosts.filter(|host| host.data_centre == data_centre(2)) {
        host.is_cut_from_log = is_cut;
    }
}

fn sizes() {
    const SERVICES_COUNT: u64 = 430;
    const HISTORY_COUNT: u64 = 64;
    let key = MeshKey::from_secret("secret");
    let change = change();
    let record = ConfigurationRecord::Change(change.clone()).to_bytes(&key);
    let accepted = AcceptedChange {
        version: 100_000,
        appended_unix_ms: 1_764_700_000_000,
        replaced: vec![change.intents[0].intent.clone()],
        change,
    };
    let answer = ConfigurationAnswer::Changes {
        after: 100_000,
        through: 100_001,
        digest: u64::MAX,
        changes: vec![accepted.clone()],
    };
    let snapshot = ConfigurationSnapshot {
        through: 100_001,
        digest: u64::MAX,
        version: Some(100_001),
        entries: (0..SERVICES_COUNT).map(entry).collect(),
        history: (0..HISTORY_COUNT).map(|_| accepted.clone()).collect(),
        history_after: Some(99_000),
    };
    let snapshot = ConfigurationRecord::Snapshot(snapshot).to_bytes(&key);
    println!("an intent of 3 priorities, 2 limits and 1 rule");
    println!("  change record              {:7} bytes", record.len());
    println!(
        "  one change between nodes   {:7} bytes",
        answer.to_bytes().len()
    );
    println!(
        "  snapshot, {SERVICES_COUNT} services      {:7} bytes",
        snapshot.len()
    );
}

fn intent() -> Intent {
    Intent::new("settlement")
        .priority(Priority::caller("inspector"))
        .priority(Priority::caller("foreman").route("POST", "/settlements"))
        .priority(Priority::any_caller().route("GET", "/status"))
        .limit("survey-bot", 50)
        .limit("archive-sync", 20)
        .idempotency(RoutePattern::new("POST", "/settlements"), false)
}

fn change() -> ConfigurationChange {
    ConfigurationChange {
        id: u64::MAX,
        intents: vec![IntentChange {
            service: String::from("settlement"),
            base: Some(99_999),
            intent: Some(intent()),
        }],
        operator: String::from("mei.lin"),
        confirmed_unix_ms: 1_764_700_000_000,
    }
}

fn entry(number: u64) -> IntentEntry {
    IntentEntry {
        service: format!("settlement-{number}"),
        version: 100_000 + number,
        change: u64::MAX,
        operator: String::from("mei.lin"),
        confirmed_unix_ms: 1_764_700_000_000,
        intent: Some(intent()),
    }
}
