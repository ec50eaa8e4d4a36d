//! Kinds of requests in a load.

use std::time::Duration;

/// How a filing is named, so that it runs at most once across resends.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum OperationNaming {
    /// It has no name; nobody may send it again.
    Unnamed,
    /// By an id that the system issues at `POST /operations`.
    Issued,
    /// By the caller's own `Idempotency-Key`.
    OwnKey,
}

/// What a request does.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CallKind {
    /// It reads.
    Read,
    /// It files something that must not be filed twice.
    Filing(OperationNaming),
}

/// How callers send a failed request again.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ResendPolicy {
    /// Sends beyond the first.
    pub resends_count: u32,
    /// Pause before each, unless the refusal names one and it is heeded.
    pub pause: Duration,
    /// Whether the caller waits as long as a refusal tells it to.
    pub heeds_retry_after: bool,
    /// Whether resends say that they are resends.
    pub is_marked: bool,
}

/// Requests of one caller to one service.
///
/// # Examples
///
/// ```
/// use std::time::Duration;
///
/// use kumquatquay_experiments::load::LoadClass;
///
/// let lookups = LoadClass::new("inspector", "pitwatch")
///     .rate_per_s(40.0)
///     .timeout(Duration::from_millis(800));
/// assert_eq!(lookups.caller, "inspector");
/// ```
#[derive(Clone, Debug)]
#[must_use]
pub struct LoadClass {
    /// Name of the caller, and of the class in reports.
    pub caller: String,
    /// Service that it calls.
    pub service: String,
    /// Arrivals a second while the load factor is 1.
    pub rate_per_s: f64,
    /// Whether phases change the rate; otherwise it is the same throughout.
    pub is_surging: bool,
    /// How long the caller waits for the answer to one send.
    pub timeout: Duration,
    /// What its requests do.
    pub kind: CallKind,
    /// Whether and how it sends again.
    pub resend: Option<ResendPolicy>,
    /// Service whose backend servers its requests crash.
    pub crashes: Option<String>,
    /// Whether the intents protect it, so that it is refused last.
    pub is_protected: bool,
    /// Entries at which each request is sent at the same time.
    pub simultaneous_count: usize,
}

impl LoadClass {
    /// Reads at 1 a second with a timeout of a second, never sent again.
    pub fn new(caller: impl Into<String>, service: impl Into<String>) -> Self {
        Self {
            caller: caller.into(),
            service: service.into(),
            rate_per_s: 1.0,
            is_surging: true,
            timeout: Duration::from_secs(1),
            kind: CallKind::Read,
            resend: None,
            crashes: None,
            is_protected: false,
            simultaneous_count: 1,
        }
    }

    /// Arrivals a second while the load factor is 1.
    pub fn rate_per_s(mut self, rate_per_s: f64) -> Self {
        self.rate_per_s = rate_per_s;
        self
    }

    /// Keeps the rate the same in all phases.
    pub fn steady(mut self) -> Self {
        self.is_surging = false;
        self
    }

    /// How long the caller waits for the answer to one send.
    pub fn timeout(mut self, timeout: Duration) -> Self {
        self.timeout = timeout;
        self
    }

    /// Makes its requests filings.
    pub fn filing(mut self, naming: OperationNaming) -> Self {
        self.kind = CallKind::Filing(naming);
        self
    }

    /// Lets it send failed requests again.
    pub fn resend(mut self, policy: ResendPolicy) -> Self {
        self.resend = Some(policy);
        self
    }

    /// Makes its requests crash the backend servers of a service.
    pub fn crashes(mut self, service: impl Into<String>) -> Self {
        self.crashes = Some(service.into());
        self
    }

    /// Lets the intents protect it.
    pub fn protected(mut self) -> Self {
        self.is_protected = true;
        self
    }

    /// Sends each request at several entries at the same time.
    pub fn simultaneous_count(mut self, count: usize) -> Self {
        self.simultaneous_count = count.max(1);
        self
    }
}
