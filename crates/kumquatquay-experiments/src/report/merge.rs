//! Medians and ranges over runs with several seeds.

use serde_json::{Map, Number, Value};

/// Fields of which the worst run counts, not the middle one.
const WORST_FIELDS: [&str; 7] = [
    "ran_twice",
    "foreign_answers",
    "not_run_but_ran",
    "flights_cut",
    "attempts_per_request_max",
    "backend_servers_crashed",
    "reverts",
];

/// Several results as one.
#[derive(Clone, Debug, PartialEq)]
pub struct Merged {
    /// Medians; of counts of broken promises the greatest.
    pub medians: Value,
    /// The least and the greatest of each, as `[least, greatest]`; a `null`
    /// stands at the end where a run had none.
    pub ranges: Value,
}

/// Merges results of the same shape field by field. A series is taken from the
/// first result.
pub fn merge(values: &[Value]) -> Merged {
    merge_field("", values)
}

fn merge_field(name: &str, values: &[Value]) -> Merged {
    match values.first() {
        Some(Value::Object(_)) => merge_objects(values),
        Some(Value::Number(_) | Value::Null) => merge_numbers(name, values),
        Some(first) => Merged {
            medians: first.clone(),
            ranges: Value::Null,
        },
        None => Merged {
            medians: Value::Null,
            ranges: Value::Null,
        },
    }
}

fn merge_objects(values: &[Value]) -> Merged {
    let objects: Vec<_> = values.iter().filter_map(Value::as_object).collect();
    let mut medians = Map::new();
    let mut ranges = Map::new();
    for object in &objects {
        for key in object
            .keys()
            .filter(|key| !medians.contains_key(*key))
            .collect::<Vec<_>>()
        {
            let fields = objects.iter().filter_map(|object| object.get(key));
            let merged = merge_field(key, &fields.cloned().collect::<Vec<_>>());
            medians.insert(key.clone(), merged.medians);
            if !merged.ranges.is_null() {
                ranges.insert(key.clone(), merged.ranges);
            }
        }
    }
    Merged {
        medians: Value::Object(medians),
        ranges: Value::Object(ranges),
    }
}

/// A `null` stands for "not within the run" and sorts after all numbers.
fn merge_numbers(name: &str, values: &[Value]) -> Merged {
    let mut sorted = values.to_vec();
    let key = |value: &Value| value.as_f64().unwrap_or(f64::INFINITY);
    sorted.sort_by(|left, right| key(left).total_cmp(&key(right)));
    let least = sorted.first().cloned().unwrap_or_default();
    let greatest = sorted.last().cloned().unwrap_or_default();
    let medians = if WORST_FIELDS.contains(&name) {
        greatest.clone()
    } else {
        median(&sorted)
    };
    Merged {
        medians,
        ranges: Value::Array(vec![least, greatest]),
    }
}

fn median(sorted: &[Value]) -> Value {
    let upper = &sorted[sorted.len() / 2];
    if sorted.len() % 2 == 1 {
        return upper.clone();
    }
    let lower = &sorted[sorted.len() / 2 - 1];
    match (lower.as_f64(), upper.as_f64()) {
        (Some(lower), Some(upper)) => {
            Number::from_f64(f64::midpoint(lower, upper)).map_or(Value::Null, Value::Number)
        }
        _ => Value::Null,
    }
}
