//! Parts of an experiment.

use std::time::Duration;

use crate::load::LoadPhase;

/// What a phase stands for in the measures.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum PhaseKind {
    /// Caches and limits settle; not measured.
    WarmUp,
    /// What the other phases are compared with.
    Normal,
    /// The surge or the fault.
    Trigger,
    /// After the trigger's end.
    After,
}

/// A part of an experiment with one load.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Phase {
    /// What it stands for.
    pub kind: PhaseKind,
    /// How long it lasts and how much load it brings.
    pub load: LoadPhase,
}

impl Phase {
    /// A phase of so many seconds with a load factor.
    pub fn new(kind: PhaseKind, duration_s: u64, load_factor: f64) -> Self {
        Self {
            kind,
            load: LoadPhase {
                duration: Duration::from_secs(duration_s),
                load_factor,
            },
        }
    }
}
