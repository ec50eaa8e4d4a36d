//! Scripted scenarios; the scripts are in `scripts/`, one a failure.

use std::{collections::BTreeMap, fmt::Write, time::Duration};

use datadriven::TestCase;
use kumquatquay_core::Counter;
use kumquatquay_wire::{CallerLimit, Intent, IntentEdit, OperatorCommand, OperatorReply, Priority};

use crate::{
    fake_log::AppendFault,
    mesh::{Host, Mesh},
};

/// The mesh of one script, and what the script gave names to.
struct Scenario {
    mesh: Mesh,
    plans: BTreeMap<String, String>,
    requests: BTreeMap<String, u64>,
    paused: String,
}

#[test]
fn scripts_run_as_written() {
    datadriven::walk("tests/configuration/scripts", |file| {
        let mut scenario = Scenario {
            mesh: Mesh::new(),
            plans: BTreeMap::new(),
            requests: BTreeMap::new(),
            paused: String::new(),
        };
        file.run(|case| scenario.run(case));
    });
}

impl Scenario {
    fn run(&mut self, case: &TestCase) -> String {
        match case.directive.as_str() {
            "start" => self.start(case),
            "stop" => self.stop(case),
            "run" => self.pass(case),
            "plan" => self.plan(case),
            "revert" => self.revert(case),
            "confirm" => self.confirm(case),
            "await" => self.await_reply(case),
            "versions" => self.versions(),
            "intents" => self.intents(case),
            "history" => self.history(case),
            "status" => self.status(case),
            "start-over" => told(
                &self
                    .mesh
                    .ask_operator(node(case), OperatorCommand::StartOver),
            ),
            "log" => self.log(case),
            "cut" | "heal" => self.cut(case),
            "pause" | "resume" => self.pause(case),
            "pause-at-snapshot" => self.pause_at_snapshot(),
            "counters" => self.counters(case),
            other => panic!("no directive {other:?}"),
        }
    }

    fn start(&mut self, case: &TestCase) -> String {
        for line in case.input.lines() {
            let words: Vec<&str> = line.split_whitespace().collect();
            self.mesh.start(words[0], words[1], words.get(2).copied());
        }
        String::from("ok\n")
    }

    fn stop(&mut self, case: &TestCase) -> String {
        for name in case.args.get("nodes").into_iter().flatten() {
            self.mesh.hosts.remove(name);
        }
        String::from("ok\n")
    }

    fn pass(&mut self, case: &TestCase) -> String {
        let ms = one(case, "ms").unwrap().parse().unwrap();
        self.mesh.run(Duration::from_millis(ms));
        String::from("ok\n")
    }

    /// Each line of the input: SERVICE [protect CALLER]... [limit CALLER=N]... or
    /// SERVICE remove.
    fn plan(&mut self, case: &TestCase) -> String {
        let command = OperatorCommand::Plan {
            edits: case.input.lines().map(edit).collect(),
            allows_unknown: case.args.contains_key("allow-unknown"),
        };
        let reply = self.mesh.ask_operator(node(case), command);
        self.keep_plan(case, reply)
    }

    fn revert(&mut self, case: &TestCase) -> String {
        let version = one(case, "version").map(|version| version.parse().unwrap());
        let command = OperatorCommand::PlanRevert { version };
        let reply = self.mesh.ask_operator(node(case), command);
        self.keep_plan(case, reply)
    }

    fn keep_plan(&mut self, case: &TestCase, reply: OperatorReply) -> String {
        let OperatorReply::Plan(plan) = reply else {
            return told(&reply);
        };
        let name = one(case, "as").unwrap_or("plan");
        let text = if case.args.contains_key("by-id") {
            plan.id
        } else {
            plan.sealed
        };
        self.plans.insert(String::from(name), text);
        let mut lines = String::new();
        if plan.is_empty {
            lines.push_str("nothing changes\n");
        }
        for service in plan.services {
            for difference in &service.differences {
                writeln!(lines, "{}: {difference}", service.service).unwrap();
            }
            for place in &service.data_centres {
                let hosts = place.hosts.len();
                let unreachable = place.unreachable_hosts.len();
                let name = &place.data_centre;
                writeln!(lines, "  {name}: {hosts} hosts, {unreachable} unreachable").unwrap();
            }
            writeln!(
                lines,
                "  refused first: {}",
                service.refusal_order_after.join(", ")
            )
            .unwrap();
        }
        for warning in plan.warnings {
            writeln!(lines, "warning: {warning}").unwrap();
        }
        for unknown in plan
            .unknowns
            .iter()
            .filter(|unknown| !unknown.contains("no calls"))
        {
            writeln!(lines, "unknown: {unknown}").unwrap();
        }
        lines
    }

    fn confirm(&mut self, case: &TestCase) -> String {
        let plan = one(case, "plan").unwrap_or("plan");
        let command = OperatorCommand::Confirm {
            plan: self.plans[plan].clone(),
        };
        let operator = one(case, "operator").unwrap_or("mei");
        let request = self.mesh.command(node(case), operator, command);
        if let Some(name) = one(case, "as") {
            self.requests.insert(String::from(name), request);
            return String::from("ok\n");
        }
        told(&self.mesh.wait_for(request))
    }

    fn await_reply(&mut self, case: &TestCase) -> String {
        let request = self.requests[one(case, "reply").unwrap()];
        told(&self.mesh.wait_for(request))
    }

    fn versions(&mut self) -> String {
        let names: Vec<String> = self.mesh.hosts.keys().cloned().collect();
        let mut lines = String::new();
        for name in names {
            if self.mesh.hosts[&name].is_paused {
                writeln!(lines, "{name}: paused").unwrap();
                continue;
            }
            let version = self.mesh.version(&name);
            let version = version.map_or(String::from("none"), |version| version.to_string());
            writeln!(lines, "{name}: {version}").unwrap();
        }
        lines
    }

    fn intents(&mut self, case: &TestCase) -> String {
        told(
            &self
                .mesh
                .ask_operator(node(case), OperatorCommand::IntentList),
        )
    }

    fn history(&mut self, case: &TestCase) -> String {
        let command = OperatorCommand::IntentHistory { service: None };
        told(&self.mesh.ask_operator(node(case), command))
    }

    fn status(&mut self, case: &TestCase) -> String {
        let command = OperatorCommand::Status { version: None };
        told(&self.mesh.ask_operator(node(case), command))
    }

    fn log(&mut self, case: &TestCase) -> String {
        let log = &mut self.mesh.log;
        for (name, values) in &case.args {
            let value = values.first().map(String::as_str).unwrap_or_default();
            match name.as_str() {
                "down" => log.is_down = true,
                "up" => log.is_down = false,
                "silent" => log.is_silent = true,
                "speaks" => log.is_silent = false,
                "lose-answer" => log.next_fault = AppendFault::LostAnswer,
                "down-after-record" => log.next_fault = AppendFault::DownAfterRecord,
                "append-foreign" => {
                    log.append(0, value.as_bytes().to_vec());
                }
                "lose-record" => log.next_fault = AppendFault::LostRecord,
                "delay-ms" => log.delay = Duration::from_millis(value.parse().unwrap()),
                "forget-before" => log.forget_before(value.parse().unwrap()),
                "era" => log.era = Some(value.parse().unwrap()),
                "set-back-to" => log.set_back_to(value.parse().unwrap()),
                other => panic!("no fault {other:?}"),
            }
        }
        format!("offsets {} to {}\n", log.oldest_offset, log.next_offset())
    }

    fn cut(&mut self, case: &TestCase) -> String {
        let is_cut = case.directive == "cut";
        for name in case.args.get("log").into_iter().flatten() {
            self.mesh.hosts.get_mut(name).unwrap().is_cut_from_log = is_cut;
        }
        if let Some(ends) = case.args.get("between") {
            let cut = (ends[0].clone(), ends[1].clone());
            match is_cut {
                true => self.mesh.cuts.insert(cut),
                false => self.mesh.cuts.remove(&cut),
            };
        }
        String::from("ok\n")
    }

    fn pause(&mut self, case: &TestCase) -> String {
        let name = match node(case) {
            "paused" => &self.paused,
            name => name,
        };
        match case.directive.as_str() {
            "pause" => self.mesh.hosts.get_mut(name).unwrap().is_paused = true,
            _ => self.mesh.resume(name),
        }
        String::from("ok\n")
    }

    /// Pauses the first node that appends the state again, before the record
    /// reaches the log. Scripts call it `paused`.
    fn pause_at_snapshot(&mut self) -> String {
        const PATIENCE_TICKS: u32 = 2_000;
        let has_appended = |host: &Host| {
            host.node
                .counters()
                .get(Counter::ConfigurationSnapshotsAppended)
                > 0
        };
        for _ in 0..PATIENCE_TICKS {
            self.mesh.step();
            let mut hosts = self.mesh.hosts.iter_mut();
            if let Some((name, host)) = hosts.find(|(_, host)| has_appended(host)) {
                host.is_paused = true;
                self.paused = name.clone();
                return String::from("ok\n");
            }
        }
        panic!("no node appended the state again");
    }

    /// The counters of the configuration that are not zero, but for the ones
    /// that depend on how often nodes ask each other.
    fn counters(&mut self, case: &TestCase) -> String {
        let host = &self.mesh.hosts[node(case)];
        let mut lines = String::new();
        for (counter, count) in host.node.counters().iter() {
            let name = counter.to_string();
            let is_steady = !name.contains("questions") && !name.contains("failed");
            if name.starts_with("configuration_") && is_steady {
                writeln!(lines, "{name} {count}").unwrap();
            }
        }
        lines
    }
}

fn one<'a>(case: &'a TestCase, name: &str) -> Option<&'a str> {
    case.args.get(name)?.first().map(String::as_str)
}

fn node(case: &TestCase) -> &str {
    one(case, "node").unwrap_or("a")
}

fn edit(line: &str) -> IntentEdit {
    let mut words = line.split_whitespace();
    let service = String::from(words.next().unwrap());
    let mut intent = Intent::new(&service);
    while let Some(word) = words.next() {
        match word {
            "remove" => {
                return IntentEdit {
                    service,
                    intent: None,
                };
            }
            "protect" => intent
                .priorities
                .push(Priority::caller(words.next().unwrap())),
            "limit" => {
                let (caller, calls_per_s) = words.next().unwrap().split_once('=').unwrap();
                intent.limits.push(CallerLimit {
                    caller: String::from(caller),
                    calls_per_s: calls_per_s.parse().unwrap(),
                });
            }
            other => panic!("no word {other:?}"),
        }
    }
    IntentEdit {
        service,
        intent: Some(intent),
    }
}

/// A reply as the scripts show it.
fn told(reply: &OperatorReply) -> String {
    let mut lines = String::new();
    match reply {
        OperatorReply::Accepted {
            version, is_repeat, ..
        } => {
            let repeat = if *is_repeat { " (repeat)" } else { "" };
            writeln!(lines, "accepted as {version}{repeat}").unwrap();
        }
        OperatorReply::Conflict { conflicts, .. } => {
            for conflict in conflicts {
                let base = conflict
                    .base
                    .map_or(String::from("none"), |base| base.to_string());
                let version = conflict.version.unwrap_or_default();
                let (service, operator) = (&conflict.service, &conflict.operator);
                writeln!(
                    lines,
                    "conflict at {service}: {operator} made {version} of {base}"
                )
                .unwrap();
                for difference in &conflict.differences {
                    writeln!(lines, "  this plan {difference}").unwrap();
                }
            }
        }
        OperatorReply::Done { message } => writeln!(lines, "{message}").unwrap(),
        OperatorReply::Refused { message } => writeln!(lines, "refused: {message}").unwrap(),
        OperatorReply::Undecided { message } => writeln!(lines, "undecided: {message}").unwrap(),
        OperatorReply::Findings { findings } => {
            for finding in findings {
                writeln!(lines, "{finding}").unwrap();
            }
        }
        OperatorReply::Intents {
            entries, doubts, ..
        } => {
            for entry in entries {
                let intent = entry.intent.as_ref().unwrap();
                let protected: Vec<String> =
                    intent.priorities.iter().map(ToString::to_string).collect();
                let (service, version) = (&entry.service, entry.version);
                writeln!(lines, "{service} at {version}: {}", protected.join(", ")).unwrap();
            }
            if entries.is_empty() {
                lines.push_str("no intents\n");
            }
            for doubt in doubts {
                writeln!(lines, "doubt: {doubt}").unwrap();
            }
        }
        OperatorReply::History { changes } => {
            for accepted in changes {
                let intents = accepted.change.intents.iter();
                let services: Vec<&str> = intents.map(|intent| intent.service.as_str()).collect();
                let (version, operator) = (accepted.version, &accepted.change.operator);
                writeln!(lines, "{version} by {operator}: {}", services.join(", ")).unwrap();
            }
        }
        OperatorReply::Status(status) => {
            let (count, all) = (status.in_force_count, status.members_count);
            writeln!(lines, "in force at {count} of {all}").unwrap();
            for laggard in &status.laggards {
                let version = laggard.version;
                writeln!(lines, "  {} has {version:?}", laggard.control).unwrap();
            }
        }
        other => writeln!(lines, "{other:?}").unwrap(),
    }
    lines
}
