//! Tests of the selection of the route of a call.

use std::time::Duration;

use kumquatquay_core::routed::RouteTable;
use kumquatquay_wire::routed::{
    CallerLimits, Destination, HostRoutes, Repeat, RouteConfiguration, RouteSettings,
};

fn route(path_prefix: &str) -> RouteSettings {
    RouteSettings {
        name: String::from(path_prefix),
        path_prefix: String::from(path_prefix),
        repeat: Repeat::Idempotent,
        target_latency: Duration::from_millis(100),
        priority: 1,
        is_public: false,
        destinations: vec![Destination {
            service: String::from("archive"),
            weight: 1,
        }],
        timeout: Duration::from_secs(1),
        attempts_count: 2,
    }
}

fn table() -> RouteTable {
    let prefixes = ["/", "/a/", "/a/b/", "/c/"];
    let configuration = RouteConfiguration {
        version: 3,
        limits: CallerLimits {
            head_limit_bytes: 16_384,
            body_limit_bytes: 1_000_000,
            head_timeout: Duration::from_secs(3),
            idle_timeout: Duration::from_secs(15),
        },
        hosts: vec![
            HostRoutes {
                host: String::from("one.example"),
                routes: prefixes.map(route).to_vec(),
            },
            HostRoutes {
                host: String::from("two.example"),
                routes: vec![route("/only/")],
            },
        ],
        services: Vec::new(),
        workspaces: None,
    };
    RouteTable::new(configuration, 0.0)
}

macro_rules! finds {
    ($($name:ident: $host:literal $path:literal => $found:expr;)*) => {
        $(
            #[test]
            fn $name() {
                let table = table();
                let found = table.find($host, $path);
                let found = found.map(|route| route.settings.name.as_str());
                let expected: Option<&str> = $found;
                assert_eq!(found, expected);
            }
        )*
    };
}

finds! {
    the_longest_prefix_is_used: "one.example" "/a/b/c" => Some("/a/b/");
    a_prefix_ends_at_a_slash: "one.example" "/a/bc" => Some("/a/");
    a_path_may_equal_the_prefix: "one.example" "/a/b/" => Some("/a/b/");
    a_path_without_the_final_slash_does_not_match: "one.example" "/c" => Some("/");
    the_root_matches_all_other_paths: "one.example" "/x/y/z" => Some("/");
    the_port_is_ignored: "one.example:8080" "/c/1" => Some("/c/");
    the_case_of_the_host_is_ignored: "ONE.Example" "/c/1" => Some("/c/");
    routes_of_other_hosts_are_not_used: "two.example" "/a/b/c" => None;
    an_unknown_host_has_no_routes: "three.example" "/only/1" => None;
}
