//! Sending planned requests when their time comes.

use std::{
    sync::{
        Arc,
        atomic::{AtomicUsize, Ordering},
    },
    time::Duration,
};

use tokio::{sync::mpsc, time::Instant};

use super::{Arrival, ArrivalPlan, Caller, Ending, LoadClass, Sample};

/// Requests in flight beyond which arrivals are not sent.
const IN_FLIGHT_LIMIT_COUNT: usize = 4000;

/// How far a load has come.
#[derive(Clone, Copy, Debug)]
pub struct Progress {
    /// Time since its start.
    pub elapsed: Duration,
    /// Length of the whole load.
    pub total: Duration,
}

/// Sends the arrivals of a plan.
#[derive(Clone, Debug)]
pub struct Generator {
    caller: Caller,
    classes: Arc<Vec<LoadClass>>,
    in_flight: Arc<AtomicUsize>,
}

impl Generator {
    /// A generator for some classes.
    pub fn new(caller: Caller, classes: Vec<LoadClass>) -> Self {
        Self {
            caller,
            classes: Arc::new(classes),
            in_flight: Arc::default(),
        }
    }

    /// Sends every arrival at its time and waits for the last answer.
    ///
    /// An arrival never waits for an answer. Its latency counts from the
    /// intended time, so that a generator that lags counts against the target.
    pub async fn run(&self, plan: &ArrivalPlan, progress: impl Fn(Progress)) -> Vec<Sample> {
        let (samples, mut received) = mpsc::unbounded_channel();
        let start = Instant::now();
        for (number, arrival) in plan.arrivals.iter().enumerate() {
            tokio::time::sleep_until(start + arrival.at).await;
            progress(Progress {
                elapsed: arrival.at,
                total: plan.duration,
            });
            self.send(number, *arrival, start, samples.clone());
        }
        drop(samples);
        let mut all = Vec::with_capacity(plan.arrivals.len());
        while let Some(sample) = received.recv().await {
            all.push(sample);
        }
        all.sort_by_key(|sample: &Sample| (sample.intended, sample.class));
        all
    }

    fn send(
        &self,
        number: usize,
        arrival: Arrival,
        start: Instant,
        samples: mpsc::UnboundedSender<Sample>,
    ) {
        if self.in_flight.load(Ordering::Relaxed) >= IN_FLIGHT_LIMIT_COUNT {
            let _ = samples.send(Sample::not_sent(arrival));
            return;
        }
        self.in_flight.fetch_add(1, Ordering::Relaxed);
        let generator = self.clone();
        tokio::spawn(async move {
            let sample = generator.request(number, arrival, start).await;
            generator.in_flight.fetch_sub(1, Ordering::Relaxed);
            let _ = samples.send(sample);
        });
    }

    async fn request(&self, number: usize, arrival: Arrival, start: Instant) -> Sample {
        let class = &self.classes[arrival.class];
        let entry = arrival.entry_choice as usize % self.caller.entries_count();
        let name = format!("{}-{number}", class.caller);
        let ending = self.caller.request(class, name, entry).await;
        Sample {
            class: arrival.class,
            intended: arrival.at,
            latency: start.elapsed().saturating_sub(arrival.at),
            ending: ending.last.ending,
            reason: ending.last.reason,
            markers: ending.markers,
            entry,
        }
    }
}

impl Sample {
    fn not_sent(arrival: Arrival) -> Self {
        Self {
            class: arrival.class,
            intended: arrival.at,
            latency: Duration::ZERO,
            ending: Ending::NotSent,
            reason: None,
            markers: Vec::new(),
            entry: 0,
        }
    }
}
