//! What a backend server says of its health and load, true or not.

/// What `GET /health` says.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum HealthReport {
    /// 200 while it serves, 503 while it drains.
    #[default]
    Honest,
    /// Always 200.
    AlwaysHealthy,
    /// Always 503.
    AlwaysSick,
}

/// What `GET /load` says.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum LoadReportMode {
    /// The requests that it runs.
    #[default]
    Honest,
    /// Always 0.
    AlwaysIdle,
    /// Always the number of its slots.
    AlwaysFull,
}
