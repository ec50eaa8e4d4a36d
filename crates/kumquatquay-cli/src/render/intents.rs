//! Intents and their history as text.

use kumquatquay_wire::{AcceptedChange, ConfigurationVersion, Intent, IntentEntry};

use super::{style::Style, time};

pub(super) fn list_text(
    version: Option<ConfigurationVersion>,
    doubts: &[String],
    entries: &[IntentEntry],
    style: Style,
) -> String {
    let mut text = String::new();
    for doubt in doubts {
        text += &(style.warning(&format!("doubt: {doubt}")) + "\n");
    }
    match version {
        None => text += "no intent was ever confirmed\n",
        Some(version) => text += &format!("version {version}\n"),
    }
    for entry in entries {
        text += &(style.heading(&entry.service) + "\n");
        if let Some(intent) = &entry.intent {
            text += &intent_lines(intent);
        }
        let when = time::utc_text(entry.confirmed_unix_ms);
        text += &format!(
            "  version {} by {} at {when}\n",
            entry.version, entry.operator
        );
    }
    text
}

fn intent_lines(intent: &Intent) -> String {
    let mut text = String::new();
    for (rank, priority) in intent.priorities.iter().enumerate() {
        text += &format!("  protects {priority}, place {}\n", rank + 1);
    }
    for limit in &intent.limits {
        text += &format!(
            "  limits {} to {} calls a second\n",
            limit.caller, limit.calls_per_s
        );
    }
    for rule in &intent.idempotency {
        let kind = if rule.is_idempotent {
            "idempotent"
        } else {
            "non-idempotent"
        };
        text += &format!("  treats {} as {kind}\n", rule.route);
    }
    if text.is_empty() {
        text += "  protects nobody\n";
    }
    text
}

pub(super) fn history_text(changes: &[AcceptedChange], style: Style) -> String {
    if changes.is_empty() {
        return String::from("no change is remembered\n");
    }
    let mut text = String::new();
    for accepted in changes {
        let change = &accepted.change;
        let when = time::utc_text(change.confirmed_unix_ms);
        let heading = format!(
            "version {} by {} at {when}",
            accepted.version, change.operator
        );
        text += &(style.heading(&heading) + "\n");
        for (wanted, replaced) in change.intents.iter().zip(&accepted.replaced) {
            let what = match (replaced, &wanted.intent) {
                (None, Some(_)) => "first intent",
                (Some(_), Some(_)) => "changed",
                (Some(_), None) => "removed",
                (None, None) => "nothing",
            };
            text += &format!("  {}: {what}\n", wanted.service);
        }
    }
    text
}
