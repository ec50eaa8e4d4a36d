//! Short forms in which operators write parts of an intent.

use derive_more::{Display, Error};
use kumquatquay_wire::{CallerLimit, Priority, RoutePattern};

/// Why a short form can't be read.
#[derive(Clone, Debug, PartialEq, Eq, Display, Error)]
pub(crate) enum PhraseError {
    /// Not a route.
    #[display("{text:?} is no route; write METHOD /path, or * /path for any method")]
    Route { text: String },
    /// Not a limit.
    #[display("{text:?} is no limit; write CALLER=CALLS-A-SECOND")]
    Limit { text: String },
    /// Nobody is named.
    #[display("{text:?} names no caller; write CALLER, CALLER@METHOD /path or *@METHOD /path")]
    Priority { text: String },
}

/// `CALLER`, `CALLER@METHOD /path` or `*@METHOD /path`.
pub(crate) fn priority(text: &str) -> Result<Priority, PhraseError> {
    let (caller, at) = match text.rsplit_once('@') {
        Some((caller, at)) => (caller, Some(at)),
        None => (text, None),
    };
    let is_any = caller == "*";
    if caller.is_empty() || (is_any && at.is_none()) {
        return Err(PhraseError::Priority {
            text: String::from(text),
        });
    }
    Ok(Priority {
        caller: (!is_any).then(|| String::from(caller)),
        route: at.map(route).transpose()?,
    })
}

/// `METHOD /path`; the method `*` stands for any.
pub(crate) fn route(text: &str) -> Result<RoutePattern, PhraseError> {
    match text.split_once(' ') {
        Some((method, path)) if !method.is_empty() && !path.trim().is_empty() => {
            Ok(RoutePattern::new(method, path.trim()))
        }
        _ => Err(PhraseError::Route {
            text: String::from(text),
        }),
    }
}

/// `CALLER=CALLS-A-SECOND`.
pub(crate) fn limit(text: &str) -> Result<CallerLimit, PhraseError> {
    let parts = text.rsplit_once('=');
    let parsed = parts.and_then(|(caller, number)| Some((caller, number.parse().ok()?)));
    match parsed {
        Some((caller, calls_per_s)) if !caller.is_empty() => Ok(CallerLimit {
            caller: String::from(caller),
            calls_per_s,
        }),
        _ => Err(PhraseError::Limit {
            text: String::from(text),
        }),
    }
}
