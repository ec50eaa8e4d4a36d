//! The order in which every service refuses requests.

use std::fmt;

use serde::{Deserialize, Serialize};

/// Class of a request, from the priority of its caller and route; a higher class is refused
/// later.
pub type Class = u8;

/// Order of a request within its class; a higher cohort is refused later.
pub type Cohort = u16;

/// Importance of a root request, ordered by class, then by cohort.
///
/// All services order by the same value, so services that are overloaded at the same time
/// admit the *same* requests, and root requests complete with all their calls.
///
/// # Examples
///
/// ```
/// use kumquatquay_wire::Importance;
///
/// let inspector = Importance::new(3, 0);
/// let search = Importance::new(1, u16::MAX);
/// assert!(inspector > search);
/// assert_eq!(inspector.class(), 3);
/// ```
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
pub struct Importance(u32);

impl Importance {
    /// The lowest importance; a service with this level admits everything.
    pub const LEAST: Importance = Importance(0);

    /// The highest importance of a request.
    pub const GREATEST: Importance = Importance(((Class::MAX as u32) << 16) | Cohort::MAX as u32);

    /// Combines a class and a cohort.
    pub const fn new(class: Class, cohort: Cohort) -> Self {
        Self(((class as u32) << 16) | cohort as u32)
    }

    /// The class, the more significant part.
    pub const fn class(self) -> Class {
        (self.0 >> 16) as Class
    }

    /// The cohort, the less significant part.
    pub const fn cohort(self) -> Cohort {
        self.0 as Cohort
    }

    /// Returns the value as a number, for arithmetic on levels.
    pub const fn get(self) -> u32 {
        self.0
    }

    /// Converts a number, clamped to [`Importance::GREATEST`].
    pub fn from_number(number: u32) -> Self {
        Self(number.min(Self::GREATEST.0))
    }
}

impl fmt::Display for Importance {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "{}.{:05}", self.class(), self.cohort())
    }
}
