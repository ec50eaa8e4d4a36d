//! How long goodput takes to return to normal.

use std::time::Duration;

use crate::load::Sample;

/// Step by which the window moves.
const STEP: Duration = Duration::from_millis(250);

/// Steps of one window.
const WINDOW_STEPS: usize = 4;

/// Share of the normal good share that counts as recovered.
const RECOVERED_RATIO: f64 = 0.95;

/// Time from the end of the trigger until requests complete as in the normal
/// phase, for good; `None` if they don't before the load ends.
///
/// A window of a second, by intended start, is good if the share of its
/// requests that completed is at least 95 % of `normal_share`. The recovery
/// time is the start of the first window after which all are good.
pub fn recovery_s<'a>(
    samples: impl Iterator<Item = &'a Sample>,
    trigger_end: Duration,
    load_end: Duration,
    normal_share: f64,
) -> Option<f64> {
    let after = load_end.saturating_sub(trigger_end);
    let steps_count = (after.as_millis() / STEP.as_millis()) as usize;
    let mut steps = vec![(0_u32, 0_u32); steps_count];
    for sample in samples.filter(|sample| sample.intended >= trigger_end) {
        let index = (sample.intended - trigger_end).as_millis() / STEP.as_millis();
        if let Some((offered, good)) = steps.get_mut(index as usize) {
            *offered += 1;
            *good += u32::from(sample.is_good());
        }
    }
    if steps_count < WINDOW_STEPS {
        return None;
    }
    let is_bad = |window: &[(u32, u32)]| {
        let offered: u32 = window.iter().map(|step| step.0).sum();
        let good: u32 = window.iter().map(|step| step.1).sum();
        f64::from(good) < f64::from(offered) * normal_share * RECOVERED_RATIO
    };
    let last_bad = steps.windows(WINDOW_STEPS).rposition(is_bad);
    let first_good = last_bad.map_or(0, |index| index + 1);
    let windows_count = steps_count - WINDOW_STEPS + 1;
    (first_good < windows_count).then(|| first_good as f64 * STEP.as_secs_f64())
}
