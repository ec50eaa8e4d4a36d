//! What it costs to run filings at most once, in appends, round trips to the log
//! and memory: claims of callers' keys against issued ids.
//!
//! Nodes, backend servers and the log are wired by the queue of the tests; the
//! clock is virtual, so that only counts and memory are measured. The costs of
//! the ways that lost are worked out in `docs/design/operations.md`.
//!
//! ```sh
//! cargo run --release -p kumquatquay-core --example operation_costs
//! ```

#[path = "../tests/operations/support/mod.rs"]
mod support;

use kumquatquay_core::Policy;
use kumquatquay_wire::Outcome;
use support::{LogMode, Mesh, Request};

const FILINGS_COUNT: usize = 3_000;
const STORED_COUNT: usize = 60_000;

/// What a number of filings took.
#[derive(Default)]
struct Costs {
    appends_count: u64,
    reads_count: u64,
    read_bytes: u64,
    ran_count: usize,
}

/// Files with keys of the caller, a number at the same time at each of three
/// nodes.
fn claims(together_count: usize, mode: LogMode) -> Costs {
    let mut mesh = Mesh::new(&["a", "b", "c"], Policy::all());
    mesh.log_mode = mode;
    let mut filed_count = 0;
    while filed_count < FILINGS_COUNT {
        for node in 0..3 {
            for _ in 0..together_count {
                let name = format!("key{filed_count}");
                let key = Some(mesh.key(&name, 0));
                let request = Request {
                    key,
                    ..Request::filing(&name)
                };
                mesh.send(node, request);
                filed_count += 1;
            }
        }
        mesh.settle();
        mesh.advance_by(100, 50);
    }
    mesh.advance_by(5_000, 50);
    costs(&mesh, filed_count)
}

/// Files under issued ids, each entering at another node than its home.
fn issued_ids(mode: LogMode) -> Costs {
    let mut mesh = Mesh::new(&["a", "b", "c"], Policy::all());
    mesh.log_mode = mode;
    for filing in 0..FILINGS_COUNT {
        let id = Some(mesh.issue(filing % 3, "foreman"));
        let body = format!("filing{filing}");
        let request = Request {
            id,
            ..Request::filing(&body)
        };
        mesh.send((filing + 1) % 3, request);
        mesh.settle();
        mesh.advance_by(5, 5);
    }
    mesh.advance_by(5_000, 50);
    costs(&mesh, FILINGS_COUNT)
}

fn costs(mesh: &Mesh, filed_count: usize) -> Costs {
    let endings = mesh.endings.values();
    let ran_count = endings
        .filter(|ending| ending.outcome() == Outcome::Ran)
        .count();
    assert_eq!(mesh.endings.len(), filed_count);
    Costs {
        appends_count: mesh.log.appends_count,
        reads_count: mesh.log.reads_count,
        read_bytes: mesh.log.read_bytes,
        ran_count,
    }
}

fn print(name: &str, costs: &Costs, filed_count: usize) {
    let per = |count: u64| count as f64 / filed_count as f64;
    println!(
        "{name:<44} {:>9.2} {:>9.2} {:>9.0} {:>8.1} %",
        per(costs.appends_count),
        per(costs.reads_count),
        per(costs.read_bytes),
        100.0 * (1.0 - costs.ran_count as f64 / filed_count as f64),
    );
}

/// Requests to the log that one filing waits for: on a node that has not read
/// its stream, and on one that has.
fn round_trips() {
    let mut mesh = Mesh::new(&["a", "b", "c"], Policy::all());
    let mut first = None;
    for filing in 0.. {
        let key = Some(mesh.key(&format!("key{filing}"), 0));
        let request = Request {
            key,
            ..Request::filing("royalty")
        };
        let before = (
            mesh.log.appends_count + mesh.log.reads_count,
            mesh.log.streams.len(),
        );
        mesh.send(0, request);
        mesh.settle();
        let count = mesh.log.appends_count + mesh.log.reads_count - before.0;
        let is_new_stream = mesh.log.streams.len() > before.1;
        match (first, is_new_stream) {
            (None, _) => first = Some(count),
            (Some(first), false) => {
                println!("requests to the log that one filing waits for: {first} on a stream");
                println!("  not read before, {count} on a stream read before");
                return;
            }
            (Some(_), true) => {}
        }
    }
}

fn resident_bytes() -> u64 {
    let status = std::fs::read_to_string("/proc/self/status").unwrap_or_default();
    let line = status.lines().find(|line| line.starts_with("VmRSS:"));
    let kib = line.and_then(|line| line.split_whitespace().nth(1)?.parse::<u64>().ok());
    kib.unwrap_or_default() * 1_024
}

/// Memory of stored operations, with answers of a given size.
fn memory(answer_bytes: usize) {
    let mut mesh = Mesh::new(&["a"], Policy::all());
    let body = "x".repeat(answer_bytes);
    let before = resident_bytes();
    for _ in 0..STORED_COUNT {
        let id = Some(mesh.issue(0, "foreman"));
        let request = Request {
            id,
            ..Request::filing(&body)
        };
        mesh.send(0, request);
        mesh.settle();
        mesh.forget_past();
    }
    let grown = resident_bytes().saturating_sub(before);
    let each = grown / STORED_COUNT as u64;
    // Freed memory would be used again by the next measurement.
    std::mem::forget(mesh);
    println!("resident memory of an operation with an answer of {answer_bytes} B: {each} B");
}

fn main() {
    println!(
        "{:<44} {:>9} {:>9} {:>9} {:>10}",
        "per filing", "appends", "reads", "B read", "not run"
    );
    for together_count in [1, 10, 100] {
        let name = format!("claims, {together_count} at a time at each node");
        print(&name, &claims(together_count, LogMode::Up), FILINGS_COUNT);
    }
    let name = "claims, answers of appends lost";
    print(name, &claims(1, LogMode::LosesAnswers), FILINGS_COUNT);
    print("claims, log down", &claims(1, LogMode::Down), FILINGS_COUNT);
    print("issued ids", &issued_ids(LogMode::Up), FILINGS_COUNT);
    print(
        "issued ids, log down",
        &issued_ids(LogMode::Down),
        FILINGS_COUNT,
    );
    round_trips();
    memory(0);
    memory(200);
}
