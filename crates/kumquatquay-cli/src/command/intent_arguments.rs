//! The arguments that say one intent.

use clap::{Arg, ArgAction, ArgMatches};
use eyre::Result;
use kumquatquay_wire::{
    CallerLimit, IdempotencyRule, Intent, IntentEdit, OperatorCommand, Priority, RoutePattern,
};

use crate::{
    ExitStatus,
    exit_status::Failure,
    phrase::{self, PhraseError},
};

pub(crate) fn arguments() -> Vec<Arg> {
    vec![
        Arg::new("service")
            .long("service")
            .value_name("SERVICE")
            .help("The service; its whole intent is replaced by what the flags say"),
        list("protect", "CALLER[@METHOD /path]")
            .help("Who matters most, the most important first; *@METHOD /path for any caller"),
        list("limit", "CALLER=CALLS").help("Calls a second that a caller may make, over all nodes"),
        list("non-idempotent", "METHOD /path").help("Requests that must run at most once"),
        list("idempotent", "METHOD /path").help("Requests that may run more than once"),
        Arg::new("remove")
            .long("remove")
            .action(ArgAction::SetTrue)
            .conflicts_with_all(["protect", "limit", "non-idempotent", "idempotent"])
            .help("Remove the service's intent"),
        Arg::new("allow-unknown")
            .long("allow-unknown")
            .action(ArgAction::SetTrue)
            .help("Take services that no backend server announced yet"),
    ]
}

fn list(name: &'static str, value: &'static str) -> Arg {
    Arg::new(name)
        .long(name)
        .value_name(value)
        .action(ArgAction::Append)
}

/// The command that plans what the flags say. All mistakes are reported together.
pub(crate) fn plan_command(matches: &ArgMatches) -> Result<OperatorCommand> {
    let mut mistakes = Vec::new();
    let service = matches.get_one::<String>("service").cloned();
    if service.is_none() {
        mistakes.push(String::from("--service is missing"));
    }
    let service = service.unwrap_or_default();
    let priorities: Vec<Priority> = read(matches, "protect", phrase::priority, &mut mistakes);
    let limits: Vec<CallerLimit> = read(matches, "limit", phrase::limit, &mut mistakes);
    let once: Vec<RoutePattern> = read(matches, "non-idempotent", phrase::route, &mut mistakes);
    let often: Vec<RoutePattern> = read(matches, "idempotent", phrase::route, &mut mistakes);
    if !mistakes.is_empty() {
        return Err(Failure::new(ExitStatus::Usage, mistakes.join("\n       ")).into());
    }
    let rule = |is_idempotent| {
        move |route| IdempotencyRule {
            route,
            is_idempotent,
        }
    };
    let once = once.into_iter().map(rule(false));
    let idempotency = once.chain(often.into_iter().map(rule(true))).collect();
    let intent = (!matches.get_flag("remove")).then(|| Intent {
        service: service.clone(),
        priorities,
        limits,
        idempotency,
    });
    Ok(OperatorCommand::Plan {
        edits: vec![IntentEdit { service, intent }],
        allows_unknown: matches.get_flag("allow-unknown"),
    })
}

fn read<T>(
    matches: &ArgMatches,
    name: &str,
    phrase: fn(&str) -> Result<T, PhraseError>,
    mistakes: &mut Vec<String>,
) -> Vec<T> {
    let mut values = Vec::new();
    for text in matches.get_many::<String>(name).into_iter().flatten() {
        match phrase(text) {
            Ok(value) => values.push(value),
            Err(error) => mistakes.push(format!("--{name}: {error}")),
        }
    }
    values
}
