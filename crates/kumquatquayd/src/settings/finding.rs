//! What is wrong with settings, all of it at once.

use derive_more::{Display, Error};

/// One thing that is wrong, and where.
#[derive(Clone, Debug, PartialEq, Eq, Display)]
#[display("{place}: {message}")]
pub struct Finding {
    /// Flag or environment variable.
    pub place: String,
    /// What is wrong and what would be right.
    pub message: String,
}

/// Everything that is wrong with the settings.
#[derive(Clone, Debug, PartialEq, Eq, Display, Error)]
#[display("{} wrong setting(s):{}", findings.len(), lines(findings))]
pub struct Findings {
    /// One for each mistake, in the order of the flags.
    pub findings: Vec<Finding>,
}

fn lines(findings: &[Finding]) -> String {
    findings
        .iter()
        .map(|finding| format!("\n  {finding}"))
        .collect()
}
