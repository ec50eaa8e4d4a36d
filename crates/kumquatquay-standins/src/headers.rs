//! Headers by which stand-ins and load generators follow a request.

/// Unique text of one call; the answer's body repeats it.
pub const MARKER: &str = "standin-marker";

/// Unique text of one intended effect; resends of a call repeat it.
pub const EFFECT: &str = "standin-effect";

/// Name of a service whose backend servers crash when they run the request.
pub const CRASH: &str = "standin-crash";

/// Service time in milliseconds that replaces the backend server's own.
pub const SERVICE_TIME_MS: &str = "standin-service-time-ms";

/// Statement of a backend server that it did not run a request.
pub const NOT_RUN: &str = "kumquatquay-not-run";

/// What the system says about whether a request ran.
pub const OUTCOME: &str = "kumquatquay-outcome";

/// Why the system refused a request.
pub const REASON: &str = "kumquatquay-reason";

/// Service that a request calls.
pub const SERVICE: &str = "kumquatquay-service";

/// Time left for a request, in milliseconds, as a backend server gets it.
pub const DEADLINE_MS: &str = "kumquatquay-deadline-ms";

/// Time that a caller gives a request, in milliseconds.
pub const TIMEOUT_MS: &str = "kumquatquay-timeout-ms";

/// Caller of a request.
pub const CALLER: &str = "kumquatquay-caller";

/// Milliseconds to wait before asking again.
pub const RETRY_AFTER_MS: &str = "kumquatquay-retry-after-ms";

/// Id of an operation that the system issued.
pub const OPERATION: &str = "kumquatquay-operation";

/// Marks a request that its caller sends again.
pub const RESEND: &str = "kumquatquay-resend";

/// Caller's own key of an operation.
pub const IDEMPOTENCY_KEY: &str = "idempotency-key";

/// W3C Trace Context headers, which backend servers pass on.
pub const TRACE: [&str; 2] = ["traceparent", "tracestate"];
