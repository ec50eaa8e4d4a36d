//! Plans of changes: what a change would do, and on which hosts.

use std::{cmp::Reverse, collections::BTreeMap};

use kumquatquay_wire::{
    CallerLoad, ChangeId, ConfigurationChange, ConfigurationRecord, ConfigurationVersion,
    DataCentrePlan, Intent, IntentChange, IntentEdit, MemberState, OperatorReply, Plan, SealedPlan,
    ServicePlan,
};
use rand::Rng;

use super::{
    differences::differences,
    findings::{self, KnownNames},
    plan_table::plan_id,
    plan_warnings,
};
use crate::{Blackboard, Moment};

/// Limit of the hosts that a plan lists per service and data centre, separately for reachable and
/// unreachable ones.
const HOSTS_LIMIT_COUNT: usize = 100;

/// Limit of the callers whose load a plan lists per service.
const CALLERS_LIMIT_COUNT: usize = 50;

/// Makes a plan of an operator's edits, or returns the mistakes in them.
pub(super) fn plan(
    board: &mut Blackboard,
    now: Moment,
    edits: Vec<IntentEdit>,
    allows_unknown: bool,
) -> OperatorReply {
    let findings = findings::check(&edits, &KnownNames::of(board), allows_unknown);
    if !findings.is_empty() {
        return OperatorReply::Findings { findings };
    }
    make_plan(board, now, edits)
}

/// Makes a plan that restores the intents that a change replaced; the latest change by default.
pub(super) fn plan_revert(
    board: &mut Blackboard,
    now: Moment,
    version: Option<ConfigurationVersion>,
) -> OperatorReply {
    let wanted = version.or(board.configuration.version());
    let Some(edits) = reverting_edits(board, wanted) else {
        return OperatorReply::Refused {
            message: String::from(
                "no change of that version is remembered here; `kumquatquay intent history` \
                 lists those that are",
            ),
        };
    };
    make_plan(board, now, edits)
}

/// The edits that restore the intents that a change replaced.
fn reverting_edits(
    board: &Blackboard,
    version: Option<ConfigurationVersion>,
) -> Option<Vec<IntentEdit>> {
    let mut history = board.configuration.state.history();
    let accepted = history.find(|accepted| Some(accepted.version) == version)?;
    let services = accepted.change.intents.iter();
    let services = services.map(|wanted| wanted.service.clone());
    let edits = services.zip(accepted.replaced.iter().cloned());
    Some(
        edits
            .map(|(service, intent)| IntentEdit { service, intent })
            .collect(),
    )
}

fn make_plan(board: &mut Blackboard, now: Moment, edits: Vec<IntentEdit>) -> OperatorReply {
    let change = change_from_edits(board, now, &edits);
    let record = ConfigurationRecord::Change(change.clone()).to_bytes(&board.settings.key);
    if record.len() > ConfigurationRecord::LIMIT_BYTES {
        return OperatorReply::Refused {
            message: String::from("the change is too large for one record; split the file"),
        };
    }
    let services: Vec<ServicePlan> = edits.iter().map(|edit| service_plan(board, edit)).collect();
    let plan = Plan {
        id: plan_id(change.id),
        sealed: SealedPlan::to_text(&change, &board.settings.key),
        version: board.configuration.version(),
        is_empty: services
            .iter()
            .all(|service| service.differences.is_empty()),
        warnings: edits
            .iter()
            .flat_map(|edit| plan_warnings::warnings(board, edit))
            .collect(),
        unknowns: unknowns(board, &services),
        services,
    };
    if !plan.is_empty {
        board.configuration.plans.insert(now.monotonic, change);
    }
    OperatorReply::Plan(plan)
}

fn change_from_edits(
    board: &mut Blackboard,
    now: Moment,
    edits: &[IntentEdit],
) -> ConfigurationChange {
    let id = new_change_id(board, now);
    let state = &board.configuration.state;
    let intents = edits
        .iter()
        .filter(|edit| state.intent(&edit.service) != edit.intent.as_ref());
    let intents = intents.map(|edit| IntentChange {
        service: edit.service.clone(),
        base: state.entry(&edit.service).map(|entry| entry.version),
        intent: edit.intent.clone(),
    });
    ConfigurationChange {
        id,
        intents: intents.collect(),
        operator: String::new(),
        confirmed_unix_ms: 0,
    }
}

/// A unique id for a change.
///
/// A node that restarts with the same seed draws the same random numbers. So that its plans don't
/// get the ids of earlier changes and count as duplicates of these when they are confirmed, the id
/// is also derived from the incarnation and address of the node and from the time.
fn new_change_id(board: &mut Blackboard, now: Moment) -> ChangeId {
    let mut bytes = Vec::new();
    bytes.extend(board.random.random::<u64>().to_le_bytes());
    bytes.extend(board.settings.incarnation.to_le_bytes());
    bytes.extend(now.unix_ms().to_le_bytes());
    bytes.extend(board.settings.control.to_string().into_bytes());
    board.settings.key.keyed_hash("change id", &bytes)
}

fn service_plan(board: &Blackboard, edit: &IntentEdit) -> ServicePlan {
    let before = board.configuration.state.intent(&edit.service);
    let after = edit.intent.as_ref();
    ServicePlan {
        service: edit.service.clone(),
        differences: differences(before, after),
        data_centres: places(board, &edit.service),
        load: load(board, &edit.service, before, after),
        refusal_order_before: refusal_order(before),
        refusal_order_after: refusal_order(after),
        before: before.cloned(),
        after: after.cloned(),
    }
}

pub(super) fn places(board: &Blackboard, service: &str) -> Vec<DataCentrePlan> {
    let mut places: BTreeMap<&str, DataCentrePlan> = BTreeMap::new();
    for member in board.members.iter() {
        if member.service.as_deref() != Some(service) || member.state == MemberState::Gone {
            continue;
        }
        let place = places
            .entry(&member.data_centre)
            .or_insert_with(|| DataCentrePlan {
                data_centre: member.data_centre.clone(),
                ..DataCentrePlan::default()
            });
        let hosts = match member.is_suspect {
            true => &mut place.unreachable_hosts,
            false => &mut place.hosts,
        };
        if hosts.len() < HOSTS_LIMIT_COUNT {
            hosts.push(member.control.to_string());
        }
        if member.state == MemberState::Serving && !member.is_suspect {
            place.slots_count += member.slots_count;
        }
    }
    places.into_values().collect()
}

/// The callers observed at this node recently: their call rate and their rank before and after the
/// change.
fn load(
    board: &Blackboard,
    service: &str,
    before: Option<&Intent>,
    after: Option<&Intent>,
) -> Vec<CallerLoad> {
    let demand = &board.configuration.demand;
    let callers = demand.callers_of(service);
    let mut load: Vec<CallerLoad> = callers
        .map(|(caller, calls_per_s)| CallerLoad {
            caller: caller.clone(),
            calls_per_s,
            rank_before: best_rank(before, caller),
            rank_after: best_rank(after, caller),
        })
        .collect();
    load.sort_by_key(|load| Reverse(load.rank_after.unwrap_or(usize::MAX)));
    load.truncate(CALLERS_LIMIT_COUNT);
    load
}

/// The rank of a caller's most important requests, from 1.
fn best_rank(intent: Option<&Intent>, caller: &str) -> Option<usize> {
    let mut priorities = intent?.priorities.iter();
    let rank = priorities.position(|priority| priority.caller.as_deref() == Some(caller));
    rank.map(|rank| rank + 1)
}

/// The order in which requests are refused in an overload, the first to be refused first.
fn refusal_order(intent: Option<&Intent>) -> Vec<String> {
    let mut order = Vec::new();
    let limits = intent.map_or(&[][..], |intent| &intent.limits);
    order.extend(limits.iter().map(|limit| {
        format!(
            "{} beyond {} calls a second",
            limit.caller, limit.calls_per_s
        )
    }));
    let priorities = intent.map_or(&[][..], |intent| &intent.priorities);
    order.push(String::from(match priorities.is_empty() {
        true => "all callers alike",
        false => "all other requests",
    }));
    order.extend(priorities.iter().rev().map(ToString::to_string));
    order
}

fn unknowns(board: &Blackboard, services: &[ServicePlan]) -> Vec<String> {
    let mut unknowns = board.configuration.doubts();
    for service in services {
        let name = &service.service;
        if service.data_centres.is_empty() {
            unknowns.push(format!(
                "{name}: no backend server of it is known to this node"
            ));
        }
        for place in &service.data_centres {
            let count = place.unreachable_hosts.len();
            if count > 0 {
                unknowns.push(format!(
                    "{name}: {count} hosts in {} are unreachable from here; they take the change \
                     when they are back",
                    place.data_centre
                ));
            }
        }
        if board
            .configuration
            .demand
            .service_calls_per_s(name)
            .is_none()
        {
            unknowns.push(format!(
                "{name}: no calls to it entered at this node in the last 10 s, so there is no \
                 load to estimate from"
            ));
        }
    }
    unknowns
}

/// The services and callers whose names this node knows, against which names in intents are
/// checked.
pub(super) fn names(board: &Blackboard) -> OperatorReply {
    let names = KnownNames::of(board);
    OperatorReply::Names {
        services: names.services.into_iter().collect(),
        callers: names.callers.into_iter().collect(),
    }
}
