//! Crashes in several lives of all nodes.

use std::time::Duration;

use kumquatquay_core::Input;
use kumquatquay_wire::CrashReport;

use crate::gates::{CRASHING, Gates, innocents};

/// All nodes are killed after each crash; each reads what the store keeps, and only then runs anything.
#[test]
fn crashes_that_the_store_keeps_count_after_all_nodes_start_anew() {
    let mut gates = Gates::start(54);
    let mut kept: Vec<CrashReport> = Vec::new();
    let mut crashes_count = 0;
    while !gates.are_refused(CRASHING) {
        let gate = crashes_count % 4;
        let mut running = innocents(crashes_count as u64 * 100, 50);
        running.push(CRASHING);
        gates.crash(gate, &running);
        crashes_count += 1;
        let moment = gates.mesh.moment();
        let node = &gates.mesh.hosts[&gates.controls[gate]].node;
        let own = node.known_crashes(moment).into_iter();
        kept.extend(own.filter(|crash| crash.is_own).map(|crash| crash.report));
        for gate in 0..4 {
            gates.start_anew(gate);
            for report in &kept {
                let input = Input::KeptCrash(report.clone());
                gates.mesh.handle(gates.controls[gate], input);
            }
        }
        gates.mesh.run(Duration::from_secs(2));
    }
    assert_eq!(crashes_count, 3);
}
