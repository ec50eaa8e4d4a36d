//! The intents in force, compiled for the classification of calls.

use std::collections::HashMap;

use kumquatquay_wire::{CallerName, Class, IdempotencyRule, Intent, RoutePattern, ServiceName};

use super::classification::{CallerLimit, Classification, DEFAULT_CLASS, is_idempotent_method};

/// Classification of calls by the intents in force, with two hash lookups per call.
///
/// The hash maps are never iterated, so that their order can't affect an output.
#[derive(Clone, Debug, Default)]
pub(crate) struct ClassificationTable {
    services: HashMap<ServiceName, CompiledIntent>,
}

/// One intent, indexed by caller.
#[derive(Clone, Debug, Default)]
struct CompiledIntent {
    callers: HashMap<CallerName, CallerRules>,
    any_caller: Vec<RouteClass>,
    idempotency: Vec<IdempotencyRule>,
}

/// Rules of one intent for one caller.
#[derive(Clone, Debug, Default)]
struct CallerRules {
    classes: Vec<RouteClass>,
    limit: Option<CallerLimit>,
}

/// Class of the requests on a route; on all routes if `route` is `None`.
#[derive(Clone, Debug)]
struct RouteClass {
    class: Class,
    route: Option<RoutePattern>,
}

impl ClassificationTable {
    /// Replaces the intent of a service, or removes it if `None`.
    pub(crate) fn set_intent(&mut self, service: &ServiceName, intent: Option<&Intent>) {
        match intent {
            Some(intent) => {
                self.services
                    .insert(service.clone(), CompiledIntent::compile(intent));
            }
            None => {
                self.services.remove(service);
            }
        }
    }

    /// Classifies a call; a service without an intent has the defaults.
    pub(crate) fn classify(
        &self,
        caller: &str,
        service: &str,
        method: &str,
        path: &str,
    ) -> Classification {
        let Some(intent) = self.services.get(service) else {
            return default_classification(method);
        };
        let rules = intent.callers.get(caller);
        let caller_classes = rules.map_or(&[][..], |rules| &rules.classes);
        let class =
            class_of(caller_classes, method, path).max(class_of(&intent.any_caller, method, path));
        Classification {
            class,
            is_idempotent: intent.is_idempotent(method, path),
            caller_limit: rules.and_then(|rules| rules.limit.clone()),
        }
    }
}

impl CompiledIntent {
    fn compile(intent: &Intent) -> Self {
        let mut compiled = Self::default();
        for (rank, priority) in intent.priorities.iter().enumerate() {
            let classes = match &priority.caller {
                Some(caller) => &mut compiled.callers.entry(caller.clone()).or_default().classes,
                None => &mut compiled.any_caller,
            };
            classes.push(RouteClass {
                class: Intent::class_of_rank(rank),
                route: priority.route.clone(),
            });
        }
        for limit in &intent.limits {
            let rules = compiled.callers.entry(limit.caller.clone()).or_default();
            rules.limit = Some(CallerLimit {
                calls_per_s: limit.calls_per_s,
            });
        }
        compiled.idempotency = intent.idempotency.clone();
        let by_length = |rule: &IdempotencyRule| std::cmp::Reverse(rule.route.path_prefix.len());
        compiled.idempotency.sort_by_key(by_length);
        compiled
    }

    fn is_idempotent(&self, method: &str, path: &str) -> bool {
        let mut rules = self.idempotency.iter();
        let rule = rules.find(|rule| rule.route.matches(method, path));
        rule.map_or_else(|| is_idempotent_method(method), |rule| rule.is_idempotent)
    }
}

/// The class of the first entry that matches; entries are in the order of the priorities.
fn class_of(classes: &[RouteClass], method: &str, path: &str) -> Class {
    let matches = |class: &&RouteClass| match &class.route {
        Some(route) => route.matches(method, path),
        None => true,
    };
    let first_match = classes.iter().find(matches);
    first_match.map_or(DEFAULT_CLASS, |first_match| first_match.class)
}

fn default_classification(method: &str) -> Classification {
    Classification {
        class: DEFAULT_CLASS,
        is_idempotent: is_idempotent_method(method),
        caller_limit: None,
    }
}
