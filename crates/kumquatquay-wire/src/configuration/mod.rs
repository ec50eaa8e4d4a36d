//! Intents of operators, changes to them, and their exchange between nodes.

mod change;
mod exchange;
mod intent;
mod record;
mod sealed_plan;
mod snapshot;

pub use change::{AcceptedChange, ChangeId, ConfigurationChange, IntentChange, change_id_text};
pub use exchange::{ConfigurationAnswer, ConfigurationRequest};
pub use intent::{CallerLimit, IdempotencyRule, Intent, Priority, RoutePattern};
pub use record::{ConfigurationRecord, RecordDigest};
pub use sealed_plan::SealedPlan;
pub use snapshot::{ConfigurationSnapshot, IntentEntry};
