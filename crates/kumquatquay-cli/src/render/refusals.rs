//! Why requests were refused, as text.

use kumquatquay_wire::Explanation;

use super::{style::Style, time};

pub(super) fn explanation_text(explanation: &Explanation, style: Style) -> String {
    let mut text = String::new();
    if explanation.refusals.is_empty() {
        text += &format!(
            "this node remembers no refusal of {}; it remembers its own last 1,024, so ask the \
             node where the request entered\n",
            explanation.subject
        );
    }
    for refusal in &explanation.refusals {
        let when = time::utc_text(refusal.refused_unix_ms);
        let heading = format!("{when} {} of {}", refusal.route, refusal.service);
        text += &(style.heading(&heading) + "\n");
        let version = refusal
            .version
            .map_or_else(|| String::from("none"), |version| version.to_string());
        text += &format!(
            "  {}: {}\n  caller {:?}, class {}, {}, trace {}, version {version}\n",
            refusal.reason,
            refusal.detail,
            refusal.caller,
            refusal.class,
            refusal.outcome,
            refusal.trace
        );
    }
    for line in &explanation.intents {
        text += &format!("now: {line}\n");
    }
    if explanation.intents.is_empty() {
        text += "now: no intent names the caller\n";
    }
    text
}
