//! Which route a call takes.

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
    the_longest_prefix_counts: "one.example" "/a/b/c" => Some("/a/b/");
    a_prefix_ends_at_a_slash: "one.example" "/a/bc" => Some("/a/");
    a_path_may_be_the_prefix: "one.example" "/a/b/" => Some("/a/b/");
    a_path_without_its_slash_is_shorter: "one.example" "/c" => Some("/");
    the_root_takes_the_rest: "one.example" "/x/y/z" => Some("/");
    a_port_is_no_part_of_the_host: "one.example:8080" "/c/1" => Some("/c/");
    hosts_have_no_case: "ONE.Example" "/c/1" => Some("/c/");
    hosts_keep_their_routes: "two.example" "/a/b/c" => None;
    an_unknown_host_has_none: "three.example" "/only/1" => None;
}
