//! Plans as text.

use kumquatquay_wire::{CallerLoad, DataCentrePlan, Plan, ServicePlan};

use super::style::Style;

pub(super) fn plan_text(plan: &Plan, style: Style) -> String {
    if plan.is_empty {
        return String::from("nothing changes: this is in force already\n");
    }
    let mut text = String::new();
    for service in &plan.services {
        text += &service_text(service, style);
    }
    for warning in &plan.warnings {
        text += &(style.warning(&format!("warning: {warning}")) + "\n");
    }
    for unknown in &plan.unknowns {
        text += &format!("not known: {unknown}\n");
    }
    text += "nothing is in force yet; to bring it in force:\n";
    text += &format!("  kumquatquay confirm {}\n", plan.id);
    text
}

fn service_text(service: &ServicePlan, style: Style) -> String {
    let mut text = style.heading(&service.service) + "\n";
    if service.differences.is_empty() {
        text += "  stays as it is\n";
    }
    for difference in &service.differences {
        text += &format!("  {difference}\n");
    }
    for place in &service.data_centres {
        text += &place_text(place);
    }
    text += &format!(
        "  in an overload, refused first to last\n    now:  {}\n    then: {}\n",
        service.refusal_order_before.join(" < "),
        service.refusal_order_after.join(" < ")
    );
    for load in &service.load {
        text += &load_text(load);
    }
    text
}

fn place_text(place: &DataCentrePlan) -> String {
    let hosts = place.hosts.len();
    let mut text = format!(
        "  in {}: {hosts} hosts with {} slots: {}\n",
        place.data_centre,
        place.slots_count,
        place.hosts.join(", ")
    );
    if !place.unreachable_hosts.is_empty() {
        text += &format!(
            "    unreachable now: {}\n",
            place.unreachable_hosts.join(", ")
        );
    }
    text
}

fn load_text(load: &CallerLoad) -> String {
    let caller = match load.caller.as_str() {
        "" => "callers without a proved name",
        caller => caller,
    };
    let place = |rank: Option<usize>| match rank {
        Some(rank) => format!("place {rank}"),
        None => String::from("unprotected"),
    };
    format!(
        "  load here: {caller} {:.1} calls a second, {} now, {} then\n",
        load.calls_per_s,
        place(load.rank_before),
        place(load.rank_after)
    )
}
