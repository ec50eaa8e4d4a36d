//! Calls that a backend server makes to other services.

/// One call to another service, made while a request runs.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Call {
    /// The service called.
    pub service: String,
    /// Whether it passes on the effect of a non-idempotent request.
    pub carries_effect: bool,
}

impl Call {
    /// A call that reads.
    pub fn read(service: impl Into<String>) -> Self {
        Self {
            service: service.into(),
            carries_effect: false,
        }
    }

    /// A call that passes on the effect of a non-idempotent request.
    pub fn effect(service: impl Into<String>) -> Self {
        Self {
            service: service.into(),
            carries_effect: true,
        }
    }
}
