//! Replies as text for people.

mod intents;
mod plan;
mod refusals;
mod status;
mod style;
mod time;

use kumquatquay_wire::{Conflict, Finding, OperatorReply, QuarantineRecord};

use crate::ExitStatus;

pub(crate) use style::Style;

/// A reply as text, each line ended.
pub(crate) fn reply_text(reply: &OperatorReply, style: Style) -> String {
    match reply {
        OperatorReply::Done { message } => format!("{message}\n"),
        OperatorReply::Refused { message } => style.bad(&format!("refused: {message}")) + "\n",
        OperatorReply::Undecided { message } => style.bad(&format!("undecided: {message}")) + "\n",
        OperatorReply::Accepted { message, .. } => style.good(message) + "\n",
        OperatorReply::Conflict { conflicts, message } => conflict_text(conflicts, message, style),
        OperatorReply::Findings { findings } => findings_text(findings),
        OperatorReply::Intents {
            version,
            doubts,
            entries,
        } => intents::list_text(*version, doubts, entries, style),
        OperatorReply::History { changes } => intents::history_text(changes, style),
        OperatorReply::Plan(plan) => plan::plan_text(plan, style),
        OperatorReply::Status(status) => status::status_text(status, style),
        OperatorReply::Explanation(explanation) => refusals::explanation_text(explanation, style),
        OperatorReply::Quarantine { records } => quarantine_text(records),
        OperatorReply::Names { services, callers } => format!(
            "services: {}\ncallers: {}\n",
            services.join(", "),
            callers.join(", ")
        ),
    }
}

/// What a reply means for a script.
pub(crate) fn reply_status(reply: &OperatorReply) -> ExitStatus {
    match reply {
        OperatorReply::Refused { .. } => ExitStatus::Refused,
        OperatorReply::Conflict { .. } => ExitStatus::Conflict,
        OperatorReply::Undecided { .. } => ExitStatus::Undecided,
        OperatorReply::Findings { .. } => ExitStatus::Usage,
        _ => ExitStatus::Done,
    }
}

fn conflict_text(conflicts: &[Conflict], message: &str, style: Style) -> String {
    let mut text = style.bad(&format!("conflict: {message}")) + "\n";
    for conflict in conflicts {
        let when = time::utc_text(conflict.confirmed_unix_ms);
        let version = conflict
            .version
            .map_or_else(|| String::from("none"), |version| version.to_string());
        let (service, operator) = (&conflict.service, &conflict.operator);
        text += &format!("{service}: version {version} by {operator} at {when}\n");
        for difference in &conflict.differences {
            text += &format!("  unlike what is in force, this plan {difference}\n");
        }
    }
    text
}

fn findings_text(findings: &[Finding]) -> String {
    findings
        .iter()
        .map(|finding| format!("{finding}\n"))
        .collect()
}

fn quarantine_text(records: &[QuarantineRecord]) -> String {
    if records.is_empty() {
        return String::from("no request is suspected or quarantined\n");
    }
    let mut text = String::new();
    for record in records {
        let evidence = record.evidence();
        let state = match evidence.is_quarantined() {
            true => "quarantined",
            false => "suspected",
        };
        text += &format!(
            "{} {:016x} {state}, {} crashes, lapses in {} s\n",
            record.services().join(","),
            record.fingerprint,
            evidence.crashes_count,
            record.remaining_ms / 1_000
        );
    }
    text
}
