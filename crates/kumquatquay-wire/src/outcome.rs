//! Whether a request ran, as far as it is known.

use derive_more::{Display, FromStr};
use serde::{Deserialize, Serialize};

/// Whether a request was run by a backend server.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize, Display, FromStr)]
#[from_str(rename_all = "kebab-case")]
#[serde(rename_all = "kebab-case")]
pub enum Outcome {
    /// A backend server answered after running it.
    #[display("ran")]
    Ran,
    /// No backend server has run it or will run it.
    #[display("not-run")]
    NotRun,
    /// It was forwarded to a backend server and the answer was lost.
    #[display("unknown")]
    Unknown,
}
