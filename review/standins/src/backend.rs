//! A sound backend server: it runs each request once, answers with its signature, and reports itself.

use std::{
    io,
    net::SocketAddr,
    sync::{
        Arc, Mutex,
        atomic::{AtomicU64, AtomicUsize, Ordering},
    },
    thread,
    time::Duration,
};

use crate::{
    http::{Request, Response, send, serve},
    record::Record,
};

/// Interval of its reports, that of the platform's pages.
const REPORT_INTERVAL: Duration = Duration::from_millis(1_500);

const SLOTS_COUNT: usize = 100;

/// A run of a request.
#[derive(Clone, Debug)]
pub struct Run {
    pub at: Duration,
    pub attempt: String,
}

pub struct Backend {
    instance: String,
    service: String,
    zone: String,
    address: SocketAddr,
    /// Where it reports itself.
    reports: SocketAddr,
    work: Duration,
    running_count: AtomicUsize,
    sequence: AtomicU64,
    runs: Mutex<Vec<Run>>,
    record: Arc<Record>,
}

impl Backend {
    pub fn start(
        service: &str,
        zone: &str,
        address: SocketAddr,
        reports: SocketAddr,
        work: Duration,
        record: Arc<Record>,
    ) -> io::Result<Arc<Self>> {
        let backend = Arc::new(Self {
            instance: format!("i-{}", address.ip().to_string().replace('.', "-")),
            service: String::from(service),
            zone: String::from(zone),
            address,
            reports,
            work,
            running_count: AtomicUsize::new(0),
            sequence: AtomicU64::new(0),
            runs: Mutex::default(),
            record,
        });
        let answering = Arc::clone(&backend);
        serve(address, move |request| Some(answering.answer(&request)))?;
        let reporting = Arc::clone(&backend);
        thread::spawn(move || {
            loop {
                reporting.report();
                thread::sleep(REPORT_INTERVAL);
            }
        });
        Ok(backend)
    }

    pub fn runs(&self) -> Vec<Run> {
        self.runs.lock().unwrap().clone()
    }

    fn report(&self) {
        let sequence = self.sequence.fetch_add(1, Ordering::Relaxed) + 1;
        let Self {
            address,
            service,
            zone,
            instance,
            ..
        } = self;
        let body = format!(
            r#"{{"address":"{address}","info":{{"service":"{service}","version":"v1","zone":"{zone}","slots":{SLOTS_COUNT}}},"status":{{"state":"ready","seq":{sequence},"cold_remaining_ms":0}}}}"#
        );
        let host = self.reports.to_string();
        let fields = [
            ("host", host.as_str()),
            ("content-type", "application/json"),
        ];
        let target = format!("/api/instances/{instance}");
        let second = Duration::from_secs(1);
        // While its node is away nobody acknowledges the report; the next one comes soon.
        let _ = send(
            self.reports,
            "PUT",
            &target,
            &fields,
            body.as_bytes(),
            second,
        );
    }

    fn load(&self) -> String {
        let running_count = self.running_count.load(Ordering::Relaxed);
        format!("{running_count},0,{SLOTS_COUNT}")
    }

    fn answer(&self, request: &Request) -> Response {
        if request.path() == "/healthz" {
            return Response::new(200, "")
                .with("kumquatquay-instance-id", &*self.instance)
                .with("kumquatquay-server-load", self.load())
                .with("keep-alive", "timeout=10");
        }
        let attempt = request.field("kumquatquay-attempt-id").unwrap_or_default();
        let target = request.field("kumquatquay-target-instance");
        let response = |status, body: &str| {
            Response::new(status, body)
                .with("kumquatquay-attempt-id", attempt)
                .with("kumquatquay-instance-id", &*self.instance)
                .with("kumquatquay-server-load", self.load())
                .with("keep-alive", "timeout=10")
        };
        if target.is_some_and(|target| target != self.instance) {
            return response(421, "").with("kumquatquay-not-executed", "1");
        }
        self.running_count.fetch_add(1, Ordering::Relaxed);
        let line = format!(
            "run {attempt} {} {} at {}",
            request.method, request.target, self.instance
        );
        let at = self.record.add(line);
        self.runs.lock().unwrap().push(Run {
            at,
            attempt: String::from(attempt),
        });
        thread::sleep(self.work);
        self.running_count.fetch_sub(1, Ordering::Relaxed);
        response(200, "done\n").with("kumquatquay-response-signature", format!("sig.{attempt}"))
    }
}
