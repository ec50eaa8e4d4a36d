//! Where a version is in force, as text.

use kumquatquay_wire::{ConfigurationStatus, Laggard};

use super::style::Style;

pub(super) fn status_text(status: &ConfigurationStatus, style: Style) -> String {
    let mut text = String::new();
    for doubt in &status.doubts {
        text += &(style.warning(&format!("doubt: {doubt}")) + "\n");
    }
    let Some(wanted) = status.wanted else {
        return text + "no intent was ever confirmed\n";
    };
    let count = format!(
        "version {wanted} is in force at {} of {} nodes known",
        status.in_force_count, status.members_count
    );
    text += &match status.is_everywhere() {
        true => style.good(&count) + "\n",
        false => style.warning(&count) + "\n",
    };
    for laggard in &status.laggards {
        text += &laggard_text(laggard);
    }
    let listed = status.in_force_count + status.laggards.len();
    if listed < status.members_count {
        text += &format!("  and {} more\n", status.members_count - listed);
    }
    text
}

fn laggard_text(laggard: &Laggard) -> String {
    let has = match (laggard.version, laggard.last_report_age_ms) {
        (Some(version), Some(ago_ms)) => format!("had version {version} {} s ago", ago_ms / 1_000),
        _ => String::from("has not told its version"),
    };
    let unreachable = if laggard.is_unreachable {
        ", unreachable"
    } else {
        ""
    };
    format!(
        "  {} in {} {has}, behind for {:.1} s{unreachable}\n",
        laggard.control,
        laggard.data_centre,
        laggard.behind_ms as f64 / 1_000.0
    )
}
