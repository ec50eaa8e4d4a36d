//! Intents: what operators want protected at a service.

use std::fmt;

use serde::{Deserialize, Serialize};

use crate::{CallerName, Class, ServiceName};

/// Priorities, limits of callers and idempotency rules of one service.
///
/// # Examples
///
/// ```
/// use kumquatquay_wire::{Intent, Priority};
///
/// let intent = Intent::new("settlement")
///     .priority(Priority::caller("inspector"))
///     .priority(Priority::caller("foreman").route("POST", "/settlements"));
/// assert_eq!(intent.priorities[1].to_string(), "foreman at POST /settlements");
/// assert!(Intent::class_of_rank(0) > Intent::class_of_rank(1));
/// ```
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Intent {
    /// The service at which a request enters.
    pub service: ServiceName,
    /// Priorities, most important first; all other requests come after them.
    #[serde(default)]
    pub priorities: Vec<Priority>,
    /// Rate limits of callers, over all nodes.
    #[serde(default)]
    pub limits: Vec<CallerLimit>,
    /// Exceptions to the idempotent methods of RFC 9110.
    #[serde(default)]
    pub idempotency: Vec<IdempotencyRule>,
}

impl Intent {
    /// Maximum number of priorities, of limits and of idempotency rules in an intent.
    pub const LIST_LIMIT_COUNT: usize = 100;

    /// Maximum size of a name or path prefix, in bytes.
    pub const NAME_LIMIT_BYTES: usize = 128;

    /// Creates an intent without priorities, limits and rules.
    pub fn new(service: impl Into<ServiceName>) -> Self {
        Self {
            service: service.into(),
            ..Self::default()
        }
    }

    /// Appends a priority, less important than the previous ones.
    #[must_use]
    pub fn priority(mut self, priority: Priority) -> Self {
        self.priorities.push(priority);
        self
    }

    /// Adds a limit.
    #[must_use]
    pub fn limit(mut self, caller: impl Into<CallerName>, calls_per_s: u32) -> Self {
        self.limits.push(CallerLimit {
            caller: caller.into(),
            calls_per_s,
        });
        self
    }

    /// Adds an idempotency rule.
    #[must_use]
    pub fn idempotency(mut self, route: RoutePattern, is_idempotent: bool) -> Self {
        self.idempotency.push(IdempotencyRule {
            route,
            is_idempotent,
        });
        self
    }

    /// Returns the class of the priority at a rank; rank 0 is the most important.
    ///
    /// Equal ranks at different services have the same class, since a request passes through
    /// many services with one class.
    pub const fn class_of_rank(rank: usize) -> Class {
        let rank = if rank < Self::LIST_LIMIT_COUNT {
            rank
        } else {
            Self::LIST_LIMIT_COUNT
        };
        Class::MAX - rank as Class
    }
}

/// Requests with a priority: those of a caller, those on a route, or those of a caller on a
/// route.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Priority {
    /// The caller; any caller if `None`.
    #[serde(default)]
    pub caller: Option<CallerName>,
    /// The route; any route if `None`.
    #[serde(default)]
    pub route: Option<RoutePattern>,
}

impl Priority {
    /// Matches all requests of a caller.
    pub fn caller(caller: impl Into<CallerName>) -> Self {
        Self {
            caller: Some(caller.into()),
            route: None,
        }
    }

    /// Matches the requests of all callers; combined with [`Priority::route`].
    pub fn any_caller() -> Self {
        Self::default()
    }

    /// Restricts the priority to a route.
    #[must_use]
    pub fn route(mut self, method: &str, path_prefix: &str) -> Self {
        self.route = Some(RoutePattern::new(method, path_prefix));
        self
    }
}

impl fmt::Display for Priority {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        let caller = self.caller.as_deref().unwrap_or("any caller");
        match &self.route {
            None => formatter.write_str(caller),
            Some(route) => write!(formatter, "{caller} at {route}"),
        }
    }
}

/// Requests by method and path prefix.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct RoutePattern {
    /// HTTP method; any method if `None`.
    #[serde(default)]
    pub method: Option<String>,
    /// Path prefix; matches the path itself and all paths below it, by complete segments.
    pub path_prefix: String,
}

impl RoutePattern {
    /// Creates a pattern; the method `*` matches any method.
    pub fn new(method: &str, path_prefix: &str) -> Self {
        Self {
            method: (method != "*").then(|| String::from(method)),
            path_prefix: String::from(path_prefix),
        }
    }

    /// Whether a request matches the pattern.
    ///
    /// Only complete segments match: if a rule for `/settlements` also matched
    /// `/settlements-archive`, requests that the operator didn't mean would be protected, or run
    /// twice.
    pub fn matches(&self, method: &str, path: &str) -> bool {
        let is_method = self.method.as_ref().is_none_or(|wanted| wanted == method);
        is_method && self.matches_path(path)
    }

    fn matches_path(&self, path: &str) -> bool {
        let prefix = self.path_prefix.trim_end_matches('/');
        match path.strip_prefix(prefix) {
            Some(rest) => rest.is_empty() || rest.starts_with('/'),
            None => false,
        }
    }
}

impl fmt::Display for RoutePattern {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        let method = self.method.as_deref().unwrap_or("*");
        write!(formatter, "{method} {}", self.path_prefix)
    }
}

/// Rate limit of a caller at a service, over all nodes.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct CallerLimit {
    /// The caller.
    pub caller: CallerName,
    /// Calls per second that it may make.
    pub calls_per_s: u32,
}

/// An exception to the idempotent methods of RFC 9110.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct IdempotencyRule {
    /// Route to which it applies; the rule with the longest matching path prefix applies.
    pub route: RoutePattern,
    /// Whether running a request twice has the same effect as running it once.
    pub is_idempotent: bool,
}
