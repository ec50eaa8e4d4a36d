//! All measures of one arm.

use std::time::Duration;

use kumquatquay_standins::EffectLedger;

use super::{ArmReport, DeploymentCounts, recovery_s, series};
use crate::{
    engine::GateSample,
    load::{CallKind, Ending, LatencyReport, LatencyTable, LoadClass, Sample},
    scenario::{PhaseKind, Scenario},
};

/// How long after a host's death failures are put down to it.
const DETECTION_LIMIT_S: f64 = 15.0;

/// Everything that was observed in one arm.
pub struct Observed<'a> {
    /// The experiment.
    pub scenario: &'a Scenario,
    /// Its requests.
    pub samples: &'a [Sample],
    /// What really ran.
    pub ledger: &'a EffectLedger,
    /// What was counted.
    pub counts: &'a DeploymentCounts,
    /// The gates of the bottleneck.
    pub gates: &'a [GateSample],
}

/// Works out all measures.
pub fn summarize(observed: &Observed<'_>) -> ArmReport {
    let mut report = ArmReport {
        capacity_per_s: observed.scenario.capacity_per_s(),
        ..ArmReport::default()
    };
    add_goodput(observed, &mut report);
    add_classes(observed, &mut report);
    add_attempts(observed, &mut report);
    add_promises(observed, &mut report);
    add_servers(observed, &mut report);
    add_gates(observed, &mut report);
    report.wasted_work_ratio = observed.wasted_work_ratio();
    report.detection_s = observed.detection_s();
    let duration = observed.scenario.duration();
    report.series = series(observed.useful(), duration);
    report
}

impl<'a> Observed<'a> {
    fn class(&self, sample: &Sample) -> &'a LoadClass {
        &self.scenario.classes[sample.class]
    }

    /// Samples that count for goodput.
    fn useful(&self) -> impl Iterator<Item = &'a Sample> {
        let samples = self.samples.iter();
        samples.filter(|sample| self.class(sample).crashes.is_none())
    }

    /// Samples that count for goodput, of a phase.
    fn phase(&self, kind: PhaseKind) -> Vec<&'a Sample> {
        let Some((start, end)) = self.scenario.get_span(kind) else {
            return Vec::new();
        };
        self.between(start, end)
    }

    fn between(&self, start: Duration, end: Duration) -> Vec<&'a Sample> {
        let is_within = |sample: &&Sample| (start..end).contains(&sample.intended);
        self.useful().filter(is_within).collect()
    }

    fn length_s(&self, kind: PhaseKind) -> f64 {
        let span = self.scenario.get_span(kind);
        span.map_or(0.0, |(start, end)| (end - start).as_secs_f64())
    }

    fn wasted_work_ratio(&self) -> f64 {
        let busy = self.ledger.busy_by_request();
        let mut all = Duration::ZERO;
        let mut useful = Duration::ZERO;
        for sample in self.phase(PhaseKind::Trigger) {
            let spent = |marker: &String| busy.get(marker).copied().unwrap_or_default();
            all += sample.markers.iter().map(spent).sum::<Duration>();
            useful += self
                .useful_markers(sample)
                .iter()
                .map(spent)
                .sum::<Duration>();
        }
        ratio((all - useful).as_secs_f64(), all.as_secs_f64())
    }

    /// Sends whose work the caller had the use of: the last one of a read that
    /// completed; of a filing any, since its answer may have been stored.
    fn useful_markers<'s>(&self, sample: &'s Sample) -> &'s [String] {
        match (sample.is_good(), self.class(sample).kind) {
            (false, _) => &[],
            (true, CallKind::Filing(_)) => &sample.markers,
            (true, CallKind::Read) => sample.markers.last().map_or(&[], std::slice::from_ref),
        }
    }

    fn detection_s(&self) -> Option<f64> {
        let deaths = self.counts.deaths_s.iter();
        let detections = deaths.map(|death_s| {
            let failed = self.useful().filter(|sample| !sample.is_good());
            let after_s = failed.map(|sample| sample.intended.as_secs_f64() - death_s);
            let near = after_s.filter(|after_s| (0.0..DETECTION_LIMIT_S).contains(after_s));
            near.fold(0.0, f64::max)
        });
        detections.reduce(f64::max)
    }
}

fn add_goodput(observed: &Observed<'_>, report: &mut ArmReport) {
    let normal = observed.phase(PhaseKind::Normal);
    let trigger = observed.phase(PhaseKind::Trigger);
    let after = observed.phase(PhaseKind::After);
    let trigger_s = observed.length_s(PhaseKind::Trigger);
    report.normal_goodput_per_s = ratio(good_count(&normal), observed.length_s(PhaseKind::Normal));
    report.trigger_offered_per_s = ratio(trigger.len() as f64, trigger_s);
    report.trigger_goodput_per_s = ratio(good_count(&trigger), trigger_s);
    report.trigger_second_half_goodput_per_s = second_half_goodput_per_s(observed);
    report.goodput_ratio = ratio(report.trigger_goodput_per_s, report.normal_goodput_per_s);
    report.capacity_ratio = ratio(report.trigger_goodput_per_s, report.capacity_per_s);
    report.after_good_ratio = good_share(&after);
    report.normal_latency = latency(&normal);
    report.trigger_latency = latency(&trigger);
    if let Some((_, end)) = observed.scenario.get_span(PhaseKind::Trigger) {
        let load_end = observed.scenario.duration();
        report.recovery_s = recovery_s(observed.useful(), end, load_end, good_share(&normal));
    }
}

fn second_half_goodput_per_s(observed: &Observed<'_>) -> f64 {
    let Some((start, end)) = observed.scenario.get_span(PhaseKind::Trigger) else {
        return 0.0;
    };
    let half = (end - start) / 2;
    ratio(
        good_count(&observed.between(start + half, end)),
        half.as_secs_f64(),
    )
}

fn add_classes(observed: &Observed<'_>, report: &mut ArmReport) {
    let trigger = observed.phase(PhaseKind::Trigger);
    for (index, class) in observed.scenario.classes.iter().enumerate() {
        let of_class = trigger.iter().filter(|sample| sample.class == index);
        let of_class: Vec<&Sample> = of_class.copied().collect();
        if of_class.is_empty() {
            continue;
        }
        let is_refused = |sample: &&&Sample| sample.ending == Ending::Refused;
        let refused_count = of_class.iter().filter(is_refused).count() as f64;
        let refused = ratio(refused_count, of_class.len() as f64);
        report
            .refused_by_class
            .insert(class.caller.clone(), refused);
        let good = good_share(&of_class);
        report.goodput_by_class.insert(class.caller.clone(), good);
    }
    for sample in observed.useful().filter(|sample| !sample.is_good()) {
        let reason = sample.reason.clone();
        let reason = reason.unwrap_or_else(|| format!("{:?}", sample.ending).to_lowercase());
        *report.failures_count_by_reason.entry(reason).or_default() += 1;
    }
}

fn add_attempts(observed: &Observed<'_>, report: &mut ArmReport) {
    let arrivals = observed.ledger.arrivals_by_request();
    let markers = observed.samples.iter().flat_map(|sample| &sample.markers);
    let counts: Vec<u32> = markers
        .filter_map(|marker| arrivals.get(marker).copied())
        .collect();
    let total: u32 = counts.iter().sum();
    report.attempts_per_request_max = counts.iter().copied().max().unwrap_or_default();
    report.attempts_per_request_mean = ratio(f64::from(total), counts.len() as f64);
    let sends: usize = observed
        .samples
        .iter()
        .map(|sample| sample.markers.len())
        .sum();
    report.sends_per_request_mean = ratio(sends as f64, observed.samples.len() as f64);
    let classes = observed.scenario.classes.iter();
    let clean = classes.map(|class| observed.scenario.clean_attempts_count(&class.service));
    report.clean_attempts_per_request_count = clean.max().unwrap_or_default();
}

fn add_promises(observed: &Observed<'_>, report: &mut ArmReport) {
    let promises = observed.counts.promises;
    report.ran_twice = promises.ran_twice;
    report.foreign_answers = promises.foreign_answers;
    report.not_run_but_ran = promises.not_run_but_ran;
    let is_cut = |sample: &&Sample| {
        sample.ending == Ending::Broken || sample.reason.as_deref() == Some("broken")
    };
    report.flights_cut = observed.useful().filter(is_cut).count() as u64;
}

fn add_servers(observed: &Observed<'_>, report: &mut ArmReport) {
    let counts = observed.counts;
    for server in &counts.servers {
        report.backend_servers_crashed += server.crashes_count;
        report.backend_shed_count += server.shed_count;
        report.backend_expired_count += server.expired_count;
        report.backend_cancelled_count += server.cancelled_count;
    }
    let crashing = observed.samples.len() - observed.useful().count();
    report.crashing_requests_count = crashing;
    let after_drain_ms = counts
        .servers
        .iter()
        .filter_map(|server| server.work_after_drain_ms);
    report.work_after_leave_s = after_drain_ms.max().map(|ms| ms as f64 / 1000.0);
    let duration_s = observed.scenario.duration().as_secs_f64();
    report.log_appends_per_s = ratio(counts.log_appends_count as f64, duration_s);
    report.control_bytes_per_s_per_node = counts
        .control_bytes_count
        .map(|bytes| ratio(bytes as f64, duration_s * counts.nodes_count as f64));
}

fn add_gates(observed: &Observed<'_>, report: &mut ArmReport) {
    let Some((start, end)) = observed.scenario.get_span(PhaseKind::Trigger) else {
        return;
    };
    let is_within = |sample: &&GateSample| (start..end).contains(&sample.at);
    let samples: Vec<&GateSample> = observed.gates.iter().filter(is_within).collect();
    let mean = |count: fn(&GateSample) -> usize| {
        let total: usize = samples.iter().map(|sample| count(sample)).sum();
        ratio(total as f64, samples.len() as f64)
    };
    report.gate_limit_mean_count = mean(|sample| sample.limit_count);
    report.gate_running_mean_count = mean(|sample| sample.running_count);
    report.gate_queued_mean_count = mean(|sample| sample.queued_count);
}

fn good_count(samples: &[&Sample]) -> f64 {
    samples.iter().filter(|sample| sample.is_good()).count() as f64
}

fn good_share(samples: &[&Sample]) -> f64 {
    ratio(good_count(samples), samples.len() as f64)
}

fn latency(samples: &[&Sample]) -> LatencyReport {
    let good = samples.iter().filter(|sample| sample.is_good());
    let table: LatencyTable = good.map(|sample| sample.latency).collect();
    table.report()
}

/// A quotient to four digits; zero if there is nothing to divide by.
fn ratio(part: f64, whole: f64) -> f64 {
    if whole <= 0.0 {
        return 0.0;
    }
    (part / whole * 10_000.0).round() / 10_000.0
}
