//! The log's answers, as JSON.

use base64::{Engine, engine::general_purpose::URL_SAFE_NO_PAD};
use eyre::WrapErr;
use kumquatquay_core::LogRecord;
use kumquatquay_wire::routed::StoreEra;
use serde::Deserialize;

/// Answer to an append.
#[derive(Debug, Deserialize)]
pub(crate) struct AppendAnswer {
    pub(crate) offset: u64,
}

/// Answer to a read.
#[derive(Debug, Deserialize)]
pub(crate) struct ReadAnswer {
    pub(crate) oldest_offset: u64,
    pub(crate) next_offset: u64,
    /// Era of the log; not all tell it.
    #[serde(default)]
    pub(crate) era: Option<StoreEra>,
    records: Vec<RecordText>,
}

#[derive(Debug, Deserialize)]
struct RecordText {
    offset: u64,
    appended_unix_ms: u64,
    bytes: String,
}

impl ReadAnswer {
    /// Decodes the records.
    pub(crate) fn records(&self) -> eyre::Result<Vec<LogRecord>> {
        self.records.iter().map(RecordText::decode).collect()
    }
}

impl RecordText {
    fn decode(&self) -> eyre::Result<LogRecord> {
        let bytes = URL_SAFE_NO_PAD
            .decode(&self.bytes)
            .wrap_err_with(|| format!("the record at {} is not base64url", self.offset))?;
        Ok(LogRecord {
            offset: self.offset,
            appended_unix_ms: self.appended_unix_ms,
            bytes,
        })
    }
}
