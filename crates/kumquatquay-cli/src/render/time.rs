//! Times of day as text.

const MS_PER_DAY: u64 = 86_400_000;

/// A time in UTC, to the second, as `2026-12-02 20:42:19Z`.
pub(crate) fn utc_text(unix_ms: u64) -> String {
    let (year, month, day) = civil_date(unix_ms / MS_PER_DAY);
    let second = unix_ms % MS_PER_DAY / 1_000;
    let (hour, minute, second) = (second / 3_600, second / 60 % 60, second % 60);
    format!("{year:04}-{month:02}-{day:02} {hour:02}:{minute:02}:{second:02}Z")
}

/// The date of a day since 1970-01-01, in the Gregorian calendar.
///
/// Counts in eras of 400 years that begin on a 1 March, so that the leap day
/// ends a year and all months but the last have a fixed place.
fn civil_date(days_since_epoch: u64) -> (u64, u64, u64) {
    const DAYS_PER_ERA: u64 = 146_097;
    const DAYS_BEFORE_EPOCH: u64 = 719_468;
    let days = days_since_epoch + DAYS_BEFORE_EPOCH;
    let era = days / DAYS_PER_ERA;
    let day_of_era = days % DAYS_PER_ERA;
    let leap_days = day_of_era / 1_460 + day_of_era / 146_096;
    let year_of_era = (day_of_era + day_of_era / 36_524 - leap_days) / 365;
    let day_of_year = day_of_era - (365 * year_of_era + year_of_era / 4 - year_of_era / 100);
    let month_from_march = (5 * day_of_year + 2) / 153;
    let day = day_of_year - (153 * month_from_march + 2) / 5 + 1;
    let month = if month_from_march < 10 {
        month_from_march + 3
    } else {
        month_from_march - 9
    };
    let year = era * 400 + year_of_era + u64::from(month <= 2);
    (year, month, day)
}
