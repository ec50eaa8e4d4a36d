//! How long requests run.

use std::time::Duration;

use rand::Rng;

/// Distribution of the time that a backend server works on a request itself.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ServiceTime {
    /// Always the same.
    Fixed(Duration),
    /// Evenly between the two.
    Uniform(Duration, Duration),
    /// Exponential with this mean, at most ten times the mean.
    Exponential(Duration),
}

/// Longest exponential service time, in means.
const TAIL_LIMIT: f64 = 10.0;

impl ServiceTime {
    /// Draws one service time.
    pub fn draw(self, random: &mut impl Rng) -> Duration {
        match self {
            Self::Fixed(time) => time,
            Self::Uniform(least, most) => {
                least + most.saturating_sub(least).mul_f64(random.random())
            }
            Self::Exponential(mean) => {
                let unit: f64 = random.random();
                mean.mul_f64((-(1.0 - unit).ln()).min(TAIL_LIMIT))
            }
        }
    }

    /// The mean.
    pub fn mean(self) -> Duration {
        match self {
            Self::Fixed(time) | Self::Exponential(time) => time,
            Self::Uniform(least, most) => (least + most) / 2,
        }
    }
}
