//! The measures of an experiment as a table.

use std::collections::BTreeMap;

use serde_json::Value;

use super::{ExperimentReport, Table};

/// A row for each measure and a column for each arm; ranges in brackets.
pub fn measures_table(report: &ExperimentReport) -> Table {
    let mut table =
        Table::new(std::iter::once("measure").chain(report.arms.keys().map(String::as_str)));
    let cells: Vec<_> = report
        .arms
        .iter()
        .map(|(arm, value)| cells_of(report, arm, value))
        .collect();
    let mut names: Vec<&String> = Vec::new();
    for name in cells.iter().flat_map(BTreeMap::keys) {
        if !names.contains(&name) {
            names.push(name);
        }
    }
    for name in names {
        let row = cells
            .iter()
            .map(|cells| cells.get(name).cloned().unwrap_or_default());
        table.row(std::iter::once(name.clone()).chain(row));
    }
    table
}

/// The table in Markdown under a heading.
pub fn to_markdown(report: &ExperimentReport) -> String {
    let runs = match report.seeds_count {
        1 => format!("seed {}", report.seed),
        count => format!(
            "medians of {count} runs from seed {}, with ranges",
            report.seed
        ),
    };
    let table = measures_table(report).to_markdown();
    format!("## {}: {runs}\n\n{table}", report.experiment)
}

fn cells_of(report: &ExperimentReport, arm: &str, value: &Value) -> BTreeMap<String, String> {
    let mut cells = BTreeMap::new();
    add_cells("", value, report.ranges.get(arm), &mut cells);
    cells
}

fn add_cells(
    prefix: &str,
    value: &Value,
    range: Option<&Value>,
    cells: &mut BTreeMap<String, String>,
) {
    match value {
        Value::Object(fields) => {
            for (name, value) in fields {
                let range = range.and_then(|range| range.get(name));
                let name = if prefix.is_empty() {
                    name.clone()
                } else {
                    format!("{prefix}.{name}")
                };
                add_cells(&name, value, range, cells);
            }
        }
        Value::Array(_) => {}
        _ => {
            cells.insert(prefix.to_owned(), cell(value, range));
        }
    }
}

fn cell(value: &Value, range: Option<&Value>) -> String {
    match range.and_then(Value::as_array).map(Vec::as_slice) {
        Some([least, greatest]) if least != greatest => {
            format!(
                "{} [{}, {}]",
                number(value),
                number(least),
                number(greatest)
            )
        }
        _ => number(value),
    }
}

fn number(value: &Value) -> String {
    match value.as_f64() {
        Some(number) if number.fract() != 0.0 => format!("{number:.3}"),
        Some(number) => format!("{number}"),
        None => String::from("-"),
    }
}
