//! Settings of one node.

use std::{net::SocketAddr, time::Duration};

use kumquatquay_core::Policy;

use crate::reach::Reach;

use super::{Finding, Findings};

/// Settings of one node, as its process is told.
///
/// # Examples
///
/// ```
/// use kumquatquayd::DaemonSettings;
///
/// let settings = DaemonSettings::new("hall-a").secret("a long shared secret");
/// assert!(settings.check().is_ok());
/// ```
#[derive(Clone, Debug)]
pub struct DaemonSettings {
    pub(crate) data_centre: String,
    pub(crate) entry: SocketAddr,
    pub(crate) egress: SocketAddr,
    pub(crate) peer: SocketAddr,
    pub(crate) control: SocketAddr,
    pub(crate) operator: SocketAddr,
    pub(crate) seeds: Vec<SocketAddr>,
    pub(crate) log: Option<SocketAddr>,
    pub(crate) metrics: Option<SocketAddr>,
    pub(crate) secret: Option<String>,
    pub(crate) operators: Vec<OperatorAccount>,
    pub(crate) grace: Duration,
    pub(crate) connections_limit_count: usize,
    pub(crate) body_limit_bytes: u64,
    pub(crate) random_seed: Option<u64>,
    pub(crate) policy: Policy,
    pub(crate) reach: Reach,
}

/// An operator and the token that proves who it is.
#[derive(Clone, PartialEq, Eq)]
pub struct OperatorAccount {
    /// Name, as changes record it.
    pub name: String,
    /// Bearer token.
    pub token: String,
}

/// Keeps tokens out of logs and dumps.
impl std::fmt::Debug for OperatorAccount {
    fn fmt(&self, formatter: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        write!(formatter, "OperatorAccount({})", self.name)
    }
}

/// Time that flights have to finish after a stop.
pub(crate) const DEFAULT_GRACE: Duration = Duration::from_secs(30);

/// Connections that one listener holds open.
pub(crate) const DEFAULT_CONNECTIONS_LIMIT_COUNT: usize = 2_048;

/// The longest body that passes through.
pub(crate) const DEFAULT_BODY_LIMIT_BYTES: u64 = 1 << 30;

const LOOPBACK_ANY_PORT: SocketAddr =
    SocketAddr::new(std::net::IpAddr::V4(std::net::Ipv4Addr::LOCALHOST), 0);

impl DaemonSettings {
    /// Settings for a node in a data centre, on free ports of the loopback address.
    pub fn new(data_centre: impl Into<String>) -> Self {
        Self {
            data_centre: data_centre.into(),
            entry: LOOPBACK_ANY_PORT,
            egress: LOOPBACK_ANY_PORT,
            peer: LOOPBACK_ANY_PORT,
            control: LOOPBACK_ANY_PORT,
            operator: LOOPBACK_ANY_PORT,
            seeds: Vec::new(),
            log: None,
            metrics: None,
            secret: None,
            operators: Vec::new(),
            grace: DEFAULT_GRACE,
            connections_limit_count: DEFAULT_CONNECTIONS_LIMIT_COUNT,
            body_limit_bytes: DEFAULT_BODY_LIMIT_BYTES,
            random_seed: None,
            policy: Policy::all(),
            reach: Reach::default(),
        }
    }

    // Listeners

    /// Where outside callers come in.
    #[must_use]
    pub fn entry(mut self, address: SocketAddr) -> Self {
        self.entry = address;
        self
    }

    /// Where the backend server of this host makes its calls.
    #[must_use]
    pub fn egress(mut self, address: SocketAddr) -> Self {
        self.egress = address;
        self
    }

    /// Where other nodes send calls for the backend server of this host.
    #[must_use]
    pub fn peer(mut self, address: SocketAddr) -> Self {
        self.peer = address;
        self
    }

    /// Where other nodes send control messages, by UDP and TCP.
    #[must_use]
    pub fn control(mut self, address: SocketAddr) -> Self {
        self.control = address;
        self
    }

    /// Where operators send commands.
    #[must_use]
    pub fn operator(mut self, address: SocketAddr) -> Self {
        self.operator = address;
        self
    }

    // What the node talks to

    /// Control addresses of some other nodes.
    #[must_use]
    pub fn seeds(mut self, seeds: impl IntoIterator<Item = SocketAddr>) -> Self {
        self.seeds = seeds.into_iter().collect();
        self
    }

    /// The platform's log.
    #[must_use]
    pub fn log(mut self, address: impl Into<Option<SocketAddr>>) -> Self {
        self.log = address.into();
        self
    }

    /// Where metrics go, as statsd datagrams.
    #[must_use]
    pub fn metrics(mut self, address: impl Into<Option<SocketAddr>>) -> Self {
        self.metrics = address.into();
        self
    }

    // Trust

    /// The secret that all nodes of the mesh share.
    #[must_use]
    pub fn secret(mut self, secret: impl Into<String>) -> Self {
        self.secret = Some(secret.into());
        self
    }

    /// Who may send commands; without any, everyone on this host may.
    #[must_use]
    pub fn operators(mut self, operators: impl IntoIterator<Item = OperatorAccount>) -> Self {
        self.operators = operators.into_iter().collect();
        self
    }

    // Limits

    /// Time that flights have to finish after a stop.
    #[must_use]
    pub fn grace(mut self, grace: Duration) -> Self {
        self.grace = grace;
        self
    }

    /// Connections that each listener holds open.
    #[must_use]
    pub fn connections_limit_count(mut self, count: usize) -> Self {
        self.connections_limit_count = count;
        self
    }

    /// The longest body that passes through, in bytes.
    #[must_use]
    pub fn body_limit_bytes(mut self, bytes: u64) -> Self {
        self.body_limit_bytes = bytes;
        self
    }

    /// Controls that are switched on; all of them unless an experiment says so.
    #[must_use]
    pub fn policy(mut self, policy: Policy) -> Self {
        self.policy = policy;
        self
    }

    /// Which addresses the node reaches; all of them unless an experiment cuts
    /// some off.
    #[must_use]
    pub fn reach(mut self, reach: Reach) -> Self {
        self.reach = reach;
        self
    }

    /// Seed of the random choices; drawn from the operating system if unset.
    #[must_use]
    pub fn random_seed(mut self, seed: u64) -> Self {
        self.random_seed = Some(seed);
        self
    }

    // Reflection

    /// Time that flights have to finish after a stop.
    pub fn get_grace(&self) -> Duration {
        self.grace
    }

    // Checks

    /// Finds all that is wrong with the settings as a whole.
    ///
    /// # Errors
    ///
    /// [`Findings`] with one entry for each mistake.
    pub fn check(&self) -> Result<(), Findings> {
        let mut findings = Vec::new();
        self.check_trust(&mut findings);
        self.check_limits(&mut findings);
        if findings.is_empty() {
            Ok(())
        } else {
            Err(Findings { findings })
        }
    }

    /// The listeners by flag, for checks and messages.
    pub(crate) fn listeners(&self) -> [(&'static str, SocketAddr); 5] {
        [
            ("--entry", self.entry),
            ("--egress", self.egress),
            ("--peer", self.peer),
            ("--control", self.control),
            ("--operator", self.operator),
        ]
    }

    fn check_trust(&self, findings: &mut Vec<Finding>) {
        if !self.egress.ip().is_loopback() {
            findings.push(Finding {
                place: String::from("--egress"),
                message: format!(
                    "{} is not a loopback address; only the backend server of this host may use it",
                    self.egress
                ),
            });
        }
        if self.operators.is_empty() && !self.operator.ip().is_loopback() {
            findings.push(Finding {
                place: String::from("--operators"),
                message: format!(
                    "needed because {} can be reached from other hosts; give name:token",
                    self.operator
                ),
            });
        }
        if self.secret.is_none() {
            self.check_loopback_only(findings);
        }
    }

    /// Without a secret anyone who reaches a listener is believed, so none may
    /// be reachable from other hosts.
    fn check_loopback_only(&self, findings: &mut Vec<Finding>) {
        for (flag, address) in self.listeners() {
            if !address.ip().is_loopback() && flag != "--egress" {
                findings.push(Finding {
                    place: String::from(flag),
                    message: format!(
                        "{address} can be reached from other hosts; without \
                         KUMQUATQUAY_SECRET a node listens on loopback addresses only"
                    ),
                });
            }
        }
    }

    fn check_limits(&self, findings: &mut Vec<Finding>) {
        if self.data_centre.trim().is_empty() {
            findings.push(Finding {
                place: String::from("--data-centre"),
                message: String::from("is empty; give the name of the host's data centre"),
            });
        }
        if self.connections_limit_count == 0 {
            findings.push(Finding {
                place: String::from("--connections-limit-count"),
                message: String::from("is 0; a node that takes no connection serves nobody"),
            });
        }
        if self
            .secret
            .as_ref()
            .is_some_and(|secret| secret.len() < SECRET_LEAST_BYTES)
        {
            findings.push(Finding {
                place: String::from("KUMQUATQUAY_SECRET"),
                message: format!("is shorter than {SECRET_LEAST_BYTES} bytes and can be guessed"),
            });
        }
    }
}

/// The shortest secret that is taken.
const SECRET_LEAST_BYTES: usize = 16;
