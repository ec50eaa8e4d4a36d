//! Services that the same requests reach.

use std::time::Duration;

use kumquatquay_core::routed::sibling_services;
use kumquatquay_wire::routed::{
    CallerLimits, Destination, HostRoutes, Repeat, RouteConfiguration, RouteSettings,
};

fn route(path_prefix: &str, services: &[&str]) -> RouteSettings {
    let destinations = services.iter().map(|service| Destination {
        service: String::from(*service),
        weight: 1,
    });
    RouteSettings {
        name: String::from(path_prefix),
        path_prefix: String::from(path_prefix),
        repeat: Repeat::Idempotent,
        target_latency: Duration::from_secs(1),
        priority: 0,
        is_public: true,
        destinations: destinations.collect(),
        timeout: Duration::from_secs(5),
        attempts_count: 2,
    }
}

fn configuration(routes: &[(&str, &[&str])]) -> RouteConfiguration {
    let routes = routes
        .iter()
        .map(|(path_prefix, services)| route(path_prefix, services));
    RouteConfiguration {
        version: 1,
        limits: CallerLimits {
            head_limit_bytes: 8 * 1024,
            body_limit_bytes: 1024,
            head_timeout: Duration::from_secs(1),
            idle_timeout: Duration::from_secs(10),
        },
        hosts: vec![HostRoutes {
            host: String::from("pits.example"),
            routes: routes.collect(),
        }],
        services: Vec::new(),
        workspaces: None,
    }
}

macro_rules! siblings {
    ($($(#[$failure:meta])* $name:ident: $before:expr, $now:expr => $siblings:expr;)*) => {
        $($(#[$failure])* #[test] fn $name() {
            let before: Option<RouteConfiguration> = $before;
            let siblings = sibling_services("a", before.as_ref(), &$now);
            let expected: &[&str] = &$siblings;
            assert_eq!(siblings, expected);
        })*
    };
}

siblings! {
    /// The other parts of a split would go on to run what crashes servers of one.
    parts_of_a_split: None, configuration(&[("/look/", &["c", "a", "b"]), ("/file/", &["d"])])
        => ["b", "c"];
    /// The service to which a route moves would begin with nothing.
    the_service_that_gets_a_route: Some(configuration(&[("/look/", &["a"])])),
        configuration(&[("/look/", &["b"])]) => ["b"];
    /// The service that had a route would tell nobody of its last crashes.
    the_service_that_had_a_route: Some(configuration(&[("/look/", &["b"])])),
        configuration(&[("/look/", &["a"])]) => ["b"];
    /// Each service would tell all others of a crash.
    services_of_other_routes: Some(configuration(&[("/look/", &["a"]), ("/file/", &["b"])])),
        configuration(&[("/look/", &["a"]), ("/file/", &["c"])]) => [];
}
