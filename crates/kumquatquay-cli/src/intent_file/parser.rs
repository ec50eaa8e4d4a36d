//! From TOML to intents, with all mistakes reported together.

use std::{collections::BTreeMap, ops::Range};

use kumquatquay_wire::{CallerLimit, IdempotencyRule, Intent, IntentEdit, Priority, RoutePattern};
use toml::{
    Spanned,
    de::{DeArray, DeTable, DeValue},
};

use super::{file_finding::FileFinding, position::Position};
use crate::phrase;

const FILE_KEYS: [&str; 1] = ["intent"];
const INTENT_KEYS: [&str; 6] = [
    "service",
    "protect",
    "limit",
    "non_idempotent",
    "idempotent",
    "remove",
];
const PRIORITY_KEYS: [&str; 3] = ["caller", "method", "path"];
const LIMIT_KEYS: [&str; 2] = ["caller", "calls_per_s"];

/// How alike a mistaken key must be to a known one, from 0 to 1.
const SUGGESTION_SIMILARITY: f64 = 0.75;

/// What a file says.
#[derive(Debug, Default)]
pub(crate) struct IntentFile {
    /// The intents that could be read.
    pub(crate) edits: Vec<IntentEdit>,
    /// All mistakes that show without a node.
    pub(crate) findings: Vec<FileFinding>,
    /// Where the parts stand that a node may find fault with, by the name that
    /// the node gives them.
    places: BTreeMap<String, Position>,
}

impl IntentFile {
    /// Where the part stands that a finding of the node is about.
    pub(crate) fn position_of(&self, place: &str) -> Position {
        let service = place.split(", ").next().unwrap_or_default();
        let found = self.places.get(place).or_else(|| self.places.get(service));
        found.copied().unwrap_or(Position { line: 1, column: 1 })
    }
}

/// Reads a file.
pub(crate) fn parse(name: &str, text: &str) -> IntentFile {
    let mut parser = Parser {
        name,
        text,
        file: IntentFile::default(),
    };
    parser.file_of();
    parser.file.findings.sort();
    parser.file
}

struct Parser<'a> {
    name: &'a str,
    text: &'a str,
    file: IntentFile,
}

type Value<'a> = Spanned<DeValue<'a>>;

impl<'a> Parser<'a> {
    fn file_of(&mut self) {
        let (table, errors) = DeTable::parse_recoverable(self.text);
        for error in errors {
            let span = error.span().unwrap_or_default();
            self.find(span, error.message(), None);
        }
        let table = table.into_inner();
        self.check_keys(&table, &FILE_KEYS);
        match table
            .get("intent")
            .map(|value| (value.span(), value.get_ref()))
        {
            Some((_, DeValue::Array(intents))) => {
                for intent in intents {
                    self.intent(intent);
                }
            }
            Some((span, _)) => self.find(span, "intents are tables under [[intent]]", None),
            None => self.find(0..0, "the file has no [[intent]]", None),
        }
    }

    fn intent(&mut self, value: &Value<'a>) {
        let DeValue::Table(table) = value.get_ref() else {
            self.find(value.span(), "an intent is a table under [[intent]]", None);
            return;
        };
        self.check_keys(table, &INTENT_KEYS);
        let Some(service_value) = table.get("service") else {
            self.find(value.span(), "the intent names no service", None);
            return;
        };
        let Some(service) = self.text_of(service_value) else {
            return;
        };
        self.place(&service, service_value.span());
        let mut intent = Intent::new(&service);
        for item in self.items(table, "protect") {
            if let Some(priority) = self.priority(item) {
                intent.priorities.push(priority);
                let place = format!("{service}, protect {}", intent.priorities.len());
                self.place(&place, item.span());
            }
        }
        for item in self.items(table, "limit") {
            if let Some(limit) = self.limit(item) {
                self.place(
                    &format!("{service}, limit of {}", limit.caller),
                    item.span(),
                );
                intent.limits.push(limit);
            }
        }
        for (key, is_idempotent) in [("non_idempotent", false), ("idempotent", true)] {
            for item in self.items(table, key) {
                if let Some(route) = self.route(item) {
                    self.place(&format!("{service}, idempotency of {route}"), item.span());
                    intent.idempotency.push(IdempotencyRule {
                        route,
                        is_idempotent,
                    });
                }
            }
        }
        let is_removed = self.is_removed(table);
        let intent = (!is_removed).then_some(intent);
        self.file.edits.push(IntentEdit { service, intent });
    }

    fn is_removed(&mut self, table: &DeTable<'a>) -> bool {
        let Some(value) = table.get("remove") else {
            return false;
        };
        match value.get_ref() {
            DeValue::Boolean(is_removed) => *is_removed,
            _ => {
                self.find(value.span(), "`remove` is true or false", None);
                false
            }
        }
    }

    fn items<'t>(&mut self, table: &'t DeTable<'a>, key: &str) -> &'t [Value<'a>] {
        let Some(value) = table.get(key) else {
            return &[];
        };
        if let DeValue::Array(array) = value.get_ref() {
            return as_slice(array);
        }
        self.find(
            value.span(),
            &format!("`{key}` is a list, in square brackets"),
            None,
        );
        &[]
    }

    fn priority(&mut self, value: &Value<'a>) -> Option<Priority> {
        match value.get_ref() {
            DeValue::String(text) => match phrase::priority(text) {
                Ok(priority) => Some(priority),
                Err(error) => {
                    self.find(value.span(), &error.to_string(), None);
                    None
                }
            },
            DeValue::Table(table) => self.priority_table(value, table),
            _ => {
                let message = "a protected caller is a name, \"NAME@METHOD /path\" or a table";
                self.find(value.span(), message, None);
                None
            }
        }
    }

    fn priority_table(&mut self, value: &Value<'a>, table: &DeTable<'a>) -> Option<Priority> {
        self.check_keys(table, &PRIORITY_KEYS);
        let caller = self.optional_text(table, "caller");
        let method = self.optional_text(table, "method");
        let path = self.optional_text(table, "path");
        if method.is_some() && path.is_none() {
            self.find(value.span(), "a method needs a path", None);
            return None;
        }
        let route = path.map(|path_prefix| RoutePattern {
            method,
            path_prefix,
        });
        Some(Priority { caller, route })
    }

    fn limit(&mut self, value: &Value<'a>) -> Option<CallerLimit> {
        let DeValue::Table(table) = value.get_ref() else {
            let message = "a limit is a table: { caller = \"NAME\", calls_per_s = 50 }";
            self.find(value.span(), message, None);
            return None;
        };
        self.check_keys(table, &LIMIT_KEYS);
        let caller = self.required_text(value, table, "caller");
        let calls_per_s = self.calls_per_s(value, table);
        Some(CallerLimit {
            caller: caller?,
            calls_per_s: calls_per_s?,
        })
    }

    fn calls_per_s(&mut self, limit: &Value<'a>, table: &DeTable<'a>) -> Option<u32> {
        let Some(value) = table.get("calls_per_s") else {
            self.find(limit.span(), "the limit says no `calls_per_s`", None);
            return None;
        };
        let number = match value.get_ref() {
            DeValue::Integer(integer) => {
                u32::from_str_radix(integer.as_str(), integer.radix()).ok()
            }
            _ => None,
        };
        if number.is_none() {
            let message = format!("`calls_per_s` is a whole number from 0 to {}", u32::MAX);
            self.find(value.span(), &message, None);
        }
        number
    }

    fn route(&mut self, value: &Value<'a>) -> Option<RoutePattern> {
        let DeValue::String(text) = value.get_ref() else {
            self.find(value.span(), "a route is text: \"METHOD /path\"", None);
            return None;
        };
        match phrase::route(text) {
            Ok(route) => Some(route),
            Err(error) => {
                self.find(value.span(), &error.to_string(), None);
                None
            }
        }
    }

    fn required_text(&mut self, of: &Value<'a>, table: &DeTable<'a>, key: &str) -> Option<String> {
        let Some(value) = table.get(key) else {
            self.find(of.span(), &format!("`{key}` is missing"), None);
            return None;
        };
        self.text_of(value)
    }

    fn optional_text(&mut self, table: &DeTable<'a>, key: &str) -> Option<String> {
        let value = table.get(key)?;
        self.text_of(value)
    }

    fn text_of(&mut self, value: &Value<'a>) -> Option<String> {
        match value.get_ref() {
            DeValue::String(text) => Some(text.to_string()),
            _ => {
                self.find(value.span(), "this is text, in quotation marks", None);
                None
            }
        }
    }

    fn check_keys(&mut self, table: &DeTable<'a>, known: &[&str]) {
        for key in table.keys() {
            let name = key.get_ref().as_ref();
            if !known.contains(&name) {
                let message = format!("unknown key `{name}`; known are {}", known.join(", "));
                self.find(key.span(), &message, nearest(name, known));
            }
        }
    }

    fn place(&mut self, name: &str, span: Range<usize>) {
        let position = Position::of(self.text, span.start);
        self.file
            .places
            .entry(String::from(name))
            .or_insert(position);
    }

    fn find(&mut self, span: Range<usize>, message: &str, suggestion: Option<String>) {
        self.file.findings.push(FileFinding {
            file: String::from(self.name),
            position: Position::of(self.text, span.start),
            message: String::from(message),
            suggestion,
        });
    }
}

fn as_slice<'t, 'a>(array: &'t DeArray<'a>) -> &'t [Value<'a>] {
    array
}

fn nearest(name: &str, known: &[&str]) -> Option<String> {
    let similarity = |other: &&&str| strsim::jaro_winkler(name, other);
    let alike = known
        .iter()
        .filter(|other| similarity(other) >= SUGGESTION_SIMILARITY);
    let nearest = alike.max_by(|one, other| similarity(one).total_cmp(&similarity(other)));
    nearest.map(|nearest| String::from(*nearest))
}
