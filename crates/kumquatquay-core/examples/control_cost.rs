//! What control costs a node, and how fast news spread, at several sizes.
//!
//! Runs one data centre of real nodes on a virtual clock. Members of the other
//! data centres stand in their tables only, but for the last part, in which 20
//! data centres of 50 real nodes each exchange news. Datagrams are sealed and
//! opened as in the daemon, so the processor time holds that too; it doesn't
//! hold the system calls.
//!
//! ```text
//! cargo run --release -p kumquatquay-core --example control_cost
//! ```

#[path = "../tests/support/mesh.rs"]
mod mesh;

use std::{fs, net::SocketAddr, time::Duration};

use kumquatquay_core::{BulkInput, Counter, Input, Node, OperatorInput};
use kumquatquay_wire::{BulkAnswer, DataCentreMembers, MemberRecord, MemberState, OperatorCommand};
use mesh::{Mesh, Usage, control};
use serde_json::{Value, json};

/// Members of a data centre at the largest size.
const DATA_CENTRE_COUNT: usize = 255;

/// Members in tables, one run each.
const SIZES: [usize; 5] = [10, 50, 255, 1_000, 5_100];

/// Services at the largest size.
const SERVICES_COUNT: usize = 430;

/// Restarts of hosts on a day, over all data centres.
const RESTARTS_PER_DAY: f64 = 470.0;

/// Bytes of a page of memory.
const PAGE_BYTES: usize = 4_096;

/// Looks at one kind of change.
const SAMPLES_COUNT: usize = 10;

fn main() {
    let sizes: Vec<Value> = SIZES.iter().map(|size| measure_size(*size)).collect();
    let silence = measure_silence();
    let spread = measure_spread();
    let result = json!({
        "bench": "control_cost",
        "sizes": sizes,
        "half_silent": silence,
        "data_centres": spread,
    });
    println!("{result}");
}

/// One data centre of real nodes whose tables hold `size` members.
fn measure_size(size: usize) -> Value {
    let near_count = size.min(DATA_CENTRE_COUNT);
    let before_bytes = resident_bytes();
    let mut mesh = Mesh::new(1);
    let table_bytes = fill(&mut mesh, size, near_count);
    mesh.run(Duration::from_secs(10));
    let memory_bytes = resident_bytes().saturating_sub(before_bytes) / near_count;

    mesh.is_measured = true;
    let steady = spent(&mut mesh, |mesh| mesh.run(Duration::from_secs(60)));
    let drains = sample(|nth| time_to_drain(&mut mesh, control(0, nth % near_count)));
    let restart = spent(&mut mesh, |mesh| {
        for nth in 0..SAMPLES_COUNT {
            restart(mesh, control(0, nth % near_count));
        }
    });
    mesh.is_measured = false;
    let deaths = sample(|nth| time_to_detect(&mut mesh, control(0, (nth + 1) % near_count)));

    let restart_s = restart.seconds / SAMPLES_COUNT as f64;
    let restart_bytes = (restart.mean_bytes_per_s - steady.mean_bytes_per_s) * restart_s;
    let near_restarts_per_s = RESTARTS_PER_DAY / 86_400.0 * near_count as f64 / 5_100.0;
    println!(
        "{size:>5} members, {near_count:>3} near: {:>6.0} B/s (most {:>6.0}), {:>5.2} messages/s, \
         {:>6.4} % of a core, {:>8} B of memory, table {:>7} B, drain seen by all in {:.2} s \
         (most {:.2}), death in {:.1} s (most {:.1}), {:>6.0} B a restart",
        steady.mean_bytes_per_s,
        steady.most_bytes_per_s,
        steady.messages_per_s,
        steady.core_percent,
        memory_bytes,
        table_bytes,
        drains.median,
        drains.most,
        deaths.median,
        deaths.most,
        restart_bytes,
    );
    json!({
        "members_count": size,
        "near_count": near_count,
        "steady_bytes_per_s": steady.mean_bytes_per_s,
        "steady_most_bytes_per_s": steady.most_bytes_per_s,
        "steady_messages_per_s": steady.messages_per_s,
        "steady_core_percent": steady.core_percent,
        "memory_bytes": memory_bytes,
        "bulk_table_bytes": table_bytes,
        "drain_median_s": drains.median,
        "drain_most_s": drains.most,
        "detection_median_s": deaths.median,
        "detection_most_s": deaths.most,
        "restart_bytes": restart_bytes,
        "near_restarts_bytes_per_s": restart_bytes * near_restarts_per_s,
        "restarting_core_percent": restart.core_percent,
    })
}

/// Starts the near nodes and gives each the table of all others; says how long
/// that is.
fn fill(mesh: &mut Mesh, size: usize, near_count: usize) -> usize {
    for host in 0..near_count {
        let own = control(0, host);
        let seed = control(0, (host + 1) % near_count);
        mesh.start(own, &data_centre(0), 1_000_000, vec![seed]);
        let answer = table_without(size, own);
        let input = BulkInput::Answered { from: seed, answer };
        mesh.handle(own, input.into());
        mesh.announce(own, &service(0, host), MemberState::Serving);
    }
    table_without(size, control(0, near_count)).len()
}

fn table_without(size: usize, own: SocketAddr) -> Vec<u8> {
    let data_centres = (0..size.div_ceil(DATA_CENTRE_COUNT)).map(|place| {
        let count = DATA_CENTRE_COUNT.min(size - place * DATA_CENTRE_COUNT);
        let records = (0..count).map(|host| record(place, host));
        DataCentreMembers {
            data_centre: data_centre(place),
            is_complete: true,
            records: records.filter(|record| record.control != own).collect(),
        }
    });
    let answer = BulkAnswer::Members {
        data_centres: data_centres.collect(),
    };
    answer.to_bytes()
}

fn data_centre(place: usize) -> String {
    format!("region-{}-hall-{place:02}", place % 7)
}

fn service(place: usize, host: usize) -> String {
    format!(
        "service-{}",
        (place * DATA_CENTRE_COUNT + host) % SERVICES_COUNT
    )
}

fn record(place: usize, host: usize) -> MemberRecord {
    let control = control(place, host);
    MemberRecord {
        control,
        peer: SocketAddr::new(control.ip(), control.port() + 1),
        data_centre: data_centre(place),
        service: Some(service(place, host)),
        life: None,
        incarnation: 1_000_000,
        revision: 1,
        state: MemberState::Serving,
        is_suspect: false,
        slots_count: 10,
    }
}

/// A host stops in good order and is replaced at once by a cold one.
fn restart(mesh: &mut Mesh, host: SocketAddr) {
    let record = mesh.hosts[&host].node.member(host);
    let record = record.expect("a node knows itself").clone();
    let grace = Duration::from_secs(5);
    mesh.handle(host, Input::Stopping { grace });
    mesh.run(Duration::from_secs(4));
    let service = record.service.clone().unwrap_or_default();
    replace(mesh, host, &record);
    mesh.announce(host, &service, MemberState::Warming);
    mesh.run(Duration::from_secs(5));
    mesh.announce(host, &service, MemberState::Serving);
    mesh.run(Duration::from_secs(5));
}

fn replace(mesh: &mut Mesh, host: SocketAddr, record: &MemberRecord) {
    let others = mesh.hosts.keys().copied().filter(|other| *other != host);
    let seeds = others.take(3).collect();
    mesh.start(host, &record.data_centre, record.incarnation + 1, seeds);
}

/// Seconds from a drain until every node knows.
fn time_to_drain(mesh: &mut Mesh, host: SocketAddr) -> f64 {
    operate(mesh, host, OperatorCommand::Drain);
    let seconds = time_until_all_see(mesh, host, MemberState::Draining);
    operate(mesh, host, OperatorCommand::Undrain);
    mesh.run(Duration::from_secs(5));
    seconds
}

/// Seconds from a death without a word until every node knows.
fn time_to_detect(mesh: &mut Mesh, host: SocketAddr) -> f64 {
    let record = mesh.hosts[&host].node.member(host);
    let record = record.expect("a node knows itself").clone();
    mesh.hosts.remove(&host);
    let seconds = time_until_all_see(mesh, host, MemberState::Gone);
    replace(mesh, host, &record);
    mesh.announce(
        host,
        &record.service.unwrap_or_default(),
        MemberState::Serving,
    );
    mesh.run(Duration::from_secs(10));
    seconds
}

fn operate(mesh: &mut Mesh, host: SocketAddr, command: OperatorCommand) {
    let input = OperatorInput {
        request: 1,
        operator: String::from("bench"),
        command,
    };
    mesh.handle(host, input.into());
}

fn time_until_all_see(mesh: &mut Mesh, host: SocketAddr, state: MemberState) -> f64 {
    let began = mesh.now;
    loop {
        let mut others = mesh.hosts.iter().filter(|(control, _)| **control != host);
        let sees = |node: &Node| {
            node.member(host)
                .is_some_and(|member| member.state == state)
        };
        let waited = (mesh.now - began).as_secs_f64();
        if others.all(|(_, other)| sees(&other.node)) || waited > 120.0 {
            return waited;
        }
        mesh.run(Duration::from_millis(10));
    }
}

/// Half of a data centre is cut off from the other half for a minute.
fn measure_silence() -> Value {
    let mut mesh = Mesh::new(2);
    fill(&mut mesh, DATA_CENTRE_COUNT, DATA_CENTRE_COUNT);
    mesh.run(Duration::from_secs(10));
    let hosts: Vec<SocketAddr> = mesh.hosts.keys().copied().collect();
    let (left, right) = hosts.split_at(hosts.len() / 2);
    cut_off(&mut mesh, left, right);
    mesh.is_measured = true;
    let cut = spent(&mut mesh, |mesh| mesh.run(Duration::from_secs(60)));
    let declared_count = declared_gone_count(&mesh);
    mesh.cuts.clear();
    let healed = spent(&mut mesh, run_until_calm);
    println!(
        "half of 255 silent for 60 s: {declared_count} declared gone, {:.0} B/s (most {:.0}), \
         {:.4} % of a core; nobody suspected {:.1} s after the heal, {:.0} B/s (most {:.0})",
        cut.mean_bytes_per_s,
        cut.most_bytes_per_s,
        cut.core_percent,
        healed.seconds,
        healed.mean_bytes_per_s,
        healed.most_bytes_per_s,
    );
    json!({
        "declared_gone_count": declared_count,
        "cut_bytes_per_s": cut.mean_bytes_per_s,
        "cut_most_bytes_per_s": cut.most_bytes_per_s,
        "cut_core_percent": cut.core_percent,
        "heal_s": healed.seconds,
        "heal_bytes_per_s": healed.mean_bytes_per_s,
        "heal_most_bytes_per_s": healed.most_bytes_per_s,
    })
}

/// Twenty data centres of real nodes: spread, a cut and its heal.
fn measure_spread() -> Value {
    let mut mesh = Mesh::new(3);
    for place in 0..20 {
        for host in 0..50 {
            let seeds = vec![control(place, 0), control((place + 1) % 20, 0)];
            let own = control(place, host);
            mesh.start(own, &data_centre(place), 1_000_000, seeds);
            mesh.announce(own, &service(place, host), MemberState::Serving);
        }
    }
    let start = spent(&mut mesh, run_until_agreed);
    mesh.run(Duration::from_secs(20));
    mesh.is_measured = true;
    let steady = spent(&mut mesh, |mesh| mesh.run(Duration::from_secs(30)));
    let drains = sample(|nth| time_to_drain(&mut mesh, control(nth, nth + 1)));
    let deaths = sample(|nth| time_to_detect(&mut mesh, control(nth, nth + 2)));
    mesh.run(Duration::from_secs(30));
    cut_data_centre(&mut mesh, 7);
    for place in 0..10 {
        operate(&mut mesh, control(place, 20), OperatorCommand::Drain);
    }
    let cut = spent(&mut mesh, |mesh| mesh.run(Duration::from_secs(60)));
    mesh.cuts.clear();
    let healed = spent(&mut mesh, run_until_agreed);
    println!(
        "20 data centres of 50: all start at once and agree after {:.0} s, {:.0} B/s (most {:.0}); \
         then {:.0} B/s (most {:.0}), {:.4} % of a core; drain seen by all in {:.2} s (most \
         {:.2}), death in {:.1} s (most {:.1}); one cut off for 60 s: {:.0} B/s (most {:.0}); all \
         agree {:.1} s after the heal, {:.0} B/s (most {:.0}), tables of {:.0} B a node",
        start.seconds,
        start.mean_bytes_per_s,
        start.most_bytes_per_s,
        steady.mean_bytes_per_s,
        steady.most_bytes_per_s,
        steady.core_percent,
        drains.median,
        drains.most,
        deaths.median,
        deaths.most,
        cut.mean_bytes_per_s,
        cut.most_bytes_per_s,
        healed.seconds,
        healed.mean_bytes_per_s,
        healed.most_bytes_per_s,
        healed.bulk_bytes,
    );
    json!({
        "start_s": start.seconds,
        "start_bytes_per_s": start.mean_bytes_per_s,
        "steady_bytes_per_s": steady.mean_bytes_per_s,
        "steady_most_bytes_per_s": steady.most_bytes_per_s,
        "steady_core_percent": steady.core_percent,
        "drain_median_s": drains.median,
        "drain_most_s": drains.most,
        "detection_median_s": deaths.median,
        "detection_most_s": deaths.most,
        "cut_bytes_per_s": cut.mean_bytes_per_s,
        "cut_most_bytes_per_s": cut.most_bytes_per_s,
        "heal_s": healed.seconds,
        "heal_bytes_per_s": healed.mean_bytes_per_s,
        "heal_bulk_bytes": healed.bulk_bytes,
    })
}

fn cut_data_centre(mesh: &mut Mesh, place: usize) {
    let name = data_centre(place);
    let controls: Vec<SocketAddr> = mesh.hosts.keys().copied().collect();
    let is_inside = |control: &SocketAddr| mesh.hosts[control].data_centre == name;
    let (inside, outside): (Vec<_>, Vec<_>) = controls.into_iter().partition(is_inside);
    cut_off(mesh, &inside, &outside);
}

fn cut_off(mesh: &mut Mesh, left: &[SocketAddr], right: &[SocketAddr]) {
    for from in left {
        for to in right {
            mesh.cuts.extend([(*from, *to), (*to, *from)]);
        }
    }
}

/// Lets time pass until all nodes see the same members, five minutes at most.
fn run_until_agreed(mesh: &mut Mesh) {
    let end = mesh.now + Duration::from_secs(300);
    while !agrees(mesh) && mesh.now < end {
        mesh.run(Duration::from_millis(200));
    }
}

/// Lets time pass until no node suspects another, five minutes at most.
fn run_until_calm(mesh: &mut Mesh) {
    let end = mesh.now + Duration::from_secs(300);
    while suspects_count(mesh) > 0 && mesh.now < end {
        mesh.run(Duration::from_millis(500));
    }
}

fn suspects_count(mesh: &Mesh) -> usize {
    let hosts = mesh.hosts.values();
    let dumps = hosts.map(|host| host.node.state_dump(mesh.moment()));
    dumps.map(|dump| dump.membership.suspects_count).sum()
}

fn agrees(mesh: &Mesh) -> bool {
    let mut digests = mesh.hosts.values().map(|host| host.node.members_digest());
    let first = digests.next();
    digests.all(|digest| Some(digest) == first)
}

fn declared_gone_count(mesh: &Mesh) -> u64 {
    let hosts = mesh.hosts.values();
    hosts
        .map(|host| host.node.counters().get(Counter::MembersDeclaredGone))
        .sum()
}

/// What the nodes spent over a while.
struct Spent {
    seconds: f64,
    mean_bytes_per_s: f64,
    most_bytes_per_s: f64,
    messages_per_s: f64,
    core_percent: f64,
    bulk_bytes: f64,
}

fn spent(mesh: &mut Mesh, act: impl FnOnce(&mut Mesh)) -> Spent {
    for host in mesh.hosts.values_mut() {
        host.usage = Usage::default();
    }
    let began = mesh.now;
    act(mesh);
    let seconds = (mesh.now - began).as_secs_f64().max(0.01);
    let usages: Vec<Usage> = mesh.hosts.values().map(|host| host.usage).collect();
    let mean =
        |value: &dyn Fn(&Usage) -> f64| usages.iter().map(value).sum::<f64>() / usages.len() as f64;
    let bytes = |usage: &Usage| {
        let datagrams = usage.sent_bytes + usage.received_bytes;
        (datagrams + usage.bulk_sent_bytes + usage.bulk_received_bytes) as f64
    };
    Spent {
        seconds,
        mean_bytes_per_s: mean(&bytes) / seconds,
        most_bytes_per_s: usages.iter().map(bytes).fold(0.0, f64::max) / seconds,
        messages_per_s: mean(&|usage| (usage.sent_count + usage.received_count) as f64) / seconds,
        core_percent: mean(&|usage| usage.busy.as_secs_f64()) / seconds * 100.0,
        bulk_bytes: mean(&|usage| (usage.bulk_sent_bytes + usage.bulk_received_bytes) as f64),
    }
}

/// The middle and the largest of some values.
struct Sample {
    median: f64,
    most: f64,
}

fn sample(mut look: impl FnMut(usize) -> f64) -> Sample {
    let mut values: Vec<f64> = (0..SAMPLES_COUNT).map(&mut look).collect();
    values.sort_by(f64::total_cmp);
    Sample {
        median: values[values.len() / 2],
        most: values[values.len() - 1],
    }
}

/// Memory of this process.
fn resident_bytes() -> usize {
    let statm = fs::read_to_string("/proc/self/statm").unwrap_or_default();
    let pages = statm.split_whitespace().nth(1);
    let pages: usize = pages
        .and_then(|pages| pages.parse().ok())
        .unwrap_or_default();
    pages * PAGE_BYTES
}
