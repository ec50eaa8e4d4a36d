//! Flags and environment variables of the daemon.

use std::{net::SocketAddr, str::FromStr, time::Duration};

use clap::{Arg, ArgMatches, Command};

use super::{
    DaemonSettings, Finding, Findings, OperatorAccount,
    daemon_settings::{DEFAULT_BODY_LIMIT_BYTES, DEFAULT_CONNECTIONS_LIMIT_COUNT, DEFAULT_GRACE},
};

/// The daemon's command line.
pub fn command() -> Command {
    Command::new("kumquatquayd")
        .version(env!("CARGO_PKG_VERSION"))
        .about("A node: overload control between callers and the backend server of this host")
        .after_help(
            "Every flag can be given as an environment variable instead. All wrong settings are \
             reported together.\n\nExit status: 0 after a graceful stop, 1 if the node could not \
             start, 2 for wrong settings.\n\nExample:\n  KUMQUATQUAY_SECRET=… kumquatquayd \
             --data-centre hall-a --entry 10.0.0.7:7000 --egress 127.0.0.1:7001 \\\n    \
             --peer 10.0.0.7:7002 --control 10.0.0.7:7003 --operator 127.0.0.1:7004 \\\n    \
             --seeds 10.0.0.8:7003,10.0.0.9:7003 --log 10.0.9.1:9000",
        )
        .args(listener_arguments())
        .args(other_arguments())
}

fn setting(id: &'static str, variable: &'static str, value: &'static str) -> Arg {
    Arg::new(id).long(id).env(variable).value_name(value)
}

fn listener_arguments() -> [Arg; 6] {
    [
        setting("data-centre", "KUMQUATQUAY_DATA_CENTRE", "NAME").help("Data centre of this host"),
        setting("entry", "KUMQUATQUAY_ENTRY", "IP:PORT")
            .default_value("127.0.0.1:7000")
            .help("Where outside callers come in"),
        setting("egress", "KUMQUATQUAY_EGRESS", "IP:PORT")
            .default_value("127.0.0.1:7001")
            .help("Where the backend server of this host announces itself and makes its calls"),
        setting("peer", "KUMQUATQUAY_PEER", "IP:PORT")
            .default_value("127.0.0.1:7002")
            .help("Where other nodes send calls for the backend server of this host"),
        setting("control", "KUMQUATQUAY_CONTROL", "IP:PORT")
            .default_value("127.0.0.1:7003")
            .help("Where other nodes send control messages (UDP and TCP)"),
        setting("operator", "KUMQUATQUAY_OPERATOR", "IP:PORT")
            .default_value("127.0.0.1:7004")
            .help("Where operators send commands"),
    ]
}

fn other_arguments() -> [Arg; 9] {
    [
        setting("seeds", "KUMQUATQUAY_SEEDS", "IP:PORT,…")
            .default_value("")
            .help("Control addresses of some other nodes"),
        setting("log", "KUMQUATQUAY_LOG", "IP:PORT").help("The platform's log"),
        setting("metrics", "KUMQUATQUAY_METRICS", "IP:PORT")
            .help("Where metrics go, as statsd datagrams; off if unset"),
        setting("secret", "KUMQUATQUAY_SECRET", "TEXT")
            .hide_env_values(true)
            .help("Secret shared by all nodes; better given by the environment than by a flag"),
        setting("operators", "KUMQUATQUAY_OPERATORS", "NAME:TOKEN,…")
            .hide_env_values(true)
            .default_value("")
            .help("Who may send commands"),
        setting("grace-s", "KUMQUATQUAY_GRACE_S", "SECONDS")
            .default_value(DEFAULT_GRACE.as_secs().to_string())
            .help("Time that requests in flight have to finish after a stop"),
        setting(
            "connections-limit-count",
            "KUMQUATQUAY_CONNECTIONS_LIMIT_COUNT",
            "COUNT",
        )
        .default_value(DEFAULT_CONNECTIONS_LIMIT_COUNT.to_string())
        .help("Connections that each listener holds open"),
        setting("body-limit-bytes", "KUMQUATQUAY_BODY_LIMIT_BYTES", "BYTES")
            .default_value(DEFAULT_BODY_LIMIT_BYTES.to_string())
            .help("The longest body that passes through"),
        setting("random-seed", "KUMQUATQUAY_RANDOM_SEED", "NUMBER")
            .help("Seed of the random choices; drawn from the operating system if unset"),
    ]
}

/// Reads the settings and finds all that is wrong with them.
///
/// # Errors
///
/// [`Findings`] with one entry for each mistake.
pub fn from_matches(matches: &ArgMatches) -> Result<DaemonSettings, Findings> {
    let mut reader = Reader {
        matches,
        findings: Vec::new(),
    };
    let settings = reader.settings();
    let mut findings = reader.findings;
    if let Err(more) = settings.check() {
        findings.extend(more.findings);
    }
    if findings.is_empty() {
        Ok(settings)
    } else {
        Err(Findings { findings })
    }
}

/// Reads settings one by one and collects what is wrong.
struct Reader<'a> {
    matches: &'a ArgMatches,
    findings: Vec<Finding>,
}

impl Reader<'_> {
    fn settings(&mut self) -> DaemonSettings {
        let mut settings = DaemonSettings::new(self.required_text("data-centre"));
        self.read("entry", &mut settings.entry);
        self.read("egress", &mut settings.egress);
        self.read("peer", &mut settings.peer);
        self.read("control", &mut settings.control);
        self.read("operator", &mut settings.operator);
        settings.seeds = self.seeds();
        settings.log = self.optional("log");
        settings.metrics = self.optional("metrics");
        settings.secret = self.text("secret").map(String::from);
        settings.operators = self.operators();
        let mut grace_s = settings.grace.as_secs();
        self.read("grace-s", &mut grace_s);
        settings.grace = Duration::from_secs(grace_s);
        self.read(
            "connections-limit-count",
            &mut settings.connections_limit_count,
        );
        self.read("body-limit-bytes", &mut settings.body_limit_bytes);
        settings.random_seed = self.optional("random-seed");
        settings
    }

    fn text(&self, id: &str) -> Option<&str> {
        self.matches.get_one::<String>(id).map(String::as_str)
    }

    fn find(&mut self, id: &str, message: String) {
        self.findings.push(Finding {
            place: format!("--{id}"),
            message,
        });
    }

    fn required_text(&mut self, id: &str) -> String {
        match self.text(id) {
            Some(text) => String::from(text),
            None => {
                self.find(id, String::from("is missing"));
                String::from("?")
            }
        }
    }

    fn optional<T: FromStr<Err: std::fmt::Display>>(&mut self, id: &str) -> Option<T> {
        let text = self.text(id)?.to_string();
        match text.parse() {
            Ok(value) => Some(value),
            Err(error) => {
                self.find(id, format!("'{text}': {error}"));
                None
            }
        }
    }

    fn read<T: FromStr<Err: std::fmt::Display>>(&mut self, id: &str, value: &mut T) {
        if let Some(read) = self.optional(id) {
            *value = read;
        }
    }

    fn items(&self, id: &str) -> Vec<String> {
        let text = self.text(id).unwrap_or_default();
        let items = text.split(',').map(str::trim);
        items
            .filter(|item| !item.is_empty())
            .map(String::from)
            .collect()
    }

    fn seeds(&mut self) -> Vec<SocketAddr> {
        let mut seeds = Vec::new();
        for item in self.items("seeds") {
            match item.parse() {
                Ok(seed) => seeds.push(seed),
                Err(error) => self.find("seeds", format!("'{item}': {error}")),
            }
        }
        seeds
    }

    fn operators(&mut self) -> Vec<OperatorAccount> {
        let mut operators = Vec::new();
        for (index, item) in self.items("operators").into_iter().enumerate() {
            match item.split_once(':') {
                Some((name, token)) if !name.is_empty() && !token.is_empty() => {
                    operators.push(OperatorAccount {
                        name: String::from(name),
                        token: String::from(token),
                    });
                }
                // The item may hold a token, so it is named by its place only.
                _ => self.find("operators", format!("item {} is not name:token", index + 1)),
            }
        }
        operators
    }
}
