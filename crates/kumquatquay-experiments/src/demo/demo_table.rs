//! The table at the end of the demonstration.

use std::collections::BTreeMap;

use super::{DemoArm, DemoResult};
use crate::report::Table;

/// A row for each measure and a column for each deployment and arm.
pub fn demo_table(result: &DemoResult) -> Table {
    let head = result
        .arms
        .iter()
        .map(|arm| format!("{}: {}", arm.deployment, arm.arm));
    let mut table = Table::new(std::iter::once(String::from("during the surge")).chain(head));
    number_row(
        &mut table,
        result,
        "whole requests completed a second",
        |arm| format!("{:.0}", arm.report.trigger_goodput_per_s),
    );
    number_row(
        &mut table,
        result,
        "  of what the deepest service can run",
        |arm| percent(arm.report.capacity_ratio),
    );
    class_rows(&mut table, result, "completed", |arm| {
        &arm.report.goodput_by_class
    });
    class_rows(&mut table, result, "refused", |arm| {
        &arm.report.refused_by_class
    });
    number_row(&mut table, result, "attempts a request, mean", |arm| {
        format!("{:.2}", arm.report.attempts_per_request_mean)
    });
    number_row(&mut table, result, "attempts a request, most", |arm| {
        arm.report.attempts_per_request_max.to_string()
    });
    number_row(&mut table, result, "work thrown away", |arm| {
        percent(arm.report.wasted_work_ratio)
    });
    number_row(&mut table, result, "recovery time after the surge", |arm| {
        let recovery_s = arm.report.recovery_s;
        recovery_s.map_or(String::from("not within 6 s"), |s| format!("{s:.2} s"))
    });
    number_row(&mut table, result, "promises broken", |arm| {
        let report = &arm.report;
        (report.ran_twice + report.foreign_answers + report.not_run_but_ran).to_string()
    });
    table
}

fn number_row(
    table: &mut Table,
    result: &DemoResult,
    name: &str,
    cell: impl Fn(&DemoArm) -> String,
) {
    let cells = result.arms.iter().map(cell);
    table.row(std::iter::once(name.to_owned()).chain(cells));
}

fn class_rows(
    table: &mut Table,
    result: &DemoResult,
    name: &str,
    classes: impl Fn(&DemoArm) -> &BTreeMap<String, f64>,
) {
    let mut names: Vec<&String> = result
        .arms
        .iter()
        .flat_map(|arm| classes(arm).keys())
        .collect();
    names.sort();
    names.dedup();
    for class in names {
        number_row(table, result, &format!("{name}, {class}"), |arm| {
            classes(arm)
                .get(class)
                .map_or(String::from("-"), |ratio| percent(*ratio))
        });
    }
}

fn percent(ratio: f64) -> String {
    format!("{:.1} %", ratio * 100.0)
}
