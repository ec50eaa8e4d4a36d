//! A backend server beside a node, as PROTOCOL.md tells it.

use std::{
    collections::BTreeMap,
    io::ErrorKind,
    net::{IpAddr, Shutdown, SocketAddr, TcpListener, TcpStream},
    sync::{
        Arc, Mutex,
        atomic::{AtomicBool, AtomicU32, AtomicU64, Ordering},
    },
    thread,
    time::{Duration, Instant, SystemTime, UNIX_EPOCH},
};

use crate::{
    http::{Connection, Message, encode, serve},
    record::Record,
};

/// Port at which it takes requests.
pub const APP_PORT: u16 = 8301;

/// Port at which its node takes heartbeats.
const CONTROL_PORT: u16 = 8306;

/// Interval of its heartbeats, as the settings of the deployments have it.
pub const HEARTBEAT: Duration = Duration::from_millis(1_500);

/// How long it waits for the acknowledgement of a heartbeat.
const ACK_TIMEOUT: Duration = Duration::from_secs(1);

/// How long it keeps an idle connection.
const IDLE: Duration = Duration::from_secs(10);

/// Bytes a second of a body without end, as long as the link has room for all of them.
const ENDLESS_BYTES_PER_S: u64 = 12_500_000;

/// What it does with a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Action {
    /// Works so many milliseconds and answers.
    Work(u64),
    /// Sheds it: answers 503, says that the request has not run, and doesn't run it.
    Shed,
    /// Works so many milliseconds, then sends a head and a body without an end, until the
    /// caller closes.
    Endless(u64),
    /// Works so many milliseconds, then sends a head and the size of a chunk that never ends: zeros, until
    /// the caller closes.
    EndlessSize(u64),
}

/// A run of a request.
#[derive(Clone, Debug)]
pub struct Run {
    pub id: String,
    pub at_ms: u64,
    pub instance: String,
    /// When its answer was written whole.
    pub answered_ms: Option<u64>,
    pub is_sound: bool,
}

pub type Extra = Box<dyn Fn() -> bool + Send + Sync>;
pub type Decide = Box<dyn Fn(&Message) -> Action + Send + Sync>;

/// Settings of a backend server.
pub struct Plan {
    pub ip: IpAddr,
    pub service: String,
    pub zone: String,
    pub slots: u32,
    /// Bytes a second of its machine's link, which all its answers share.
    pub link_bytes_per_s: u64,
    pub decide: Decide,
    /// Whether the next answer is sent a second time, late: where the answer to the next request
    /// of the connection is expected.
    pub sends_extra: Extra,
}

pub struct Upstream {
    plan: Plan,
    pub instance: String,
    born_unix_ms: u64,
    record: Record,
    runs: Arc<Mutex<Vec<Run>>>,
    running: AtomicU32,
    endless: AtomicU32,
    seq: AtomicU64,
    is_leaving: AtomicBool,
    is_gone: AtomicBool,
    beats: AtomicBool,
    connections: Mutex<BTreeMap<u64, TcpStream>>,
    next_connection: AtomicU64,
}

fn unix_ms() -> u64 {
    let now = SystemTime::now().duration_since(UNIX_EPOCH);
    now.unwrap_or_default().as_millis() as u64
}

impl Upstream {
    pub fn start(
        plan: Plan,
        instance: &str,
        record: &Record,
        runs: &Arc<Mutex<Vec<Run>>>,
    ) -> std::io::Result<Arc<Self>> {
        let listener = TcpListener::bind(SocketAddr::new(plan.ip, APP_PORT))?;
        let upstream = Arc::new(Self {
            plan,
            instance: instance.to_string(),
            born_unix_ms: unix_ms(),
            record: record.clone(),
            runs: Arc::clone(runs),
            running: AtomicU32::new(0),
            endless: AtomicU32::new(0),
            seq: AtomicU64::new(0),
            is_leaving: AtomicBool::new(false),
            is_gone: AtomicBool::new(false),
            beats: AtomicBool::new(true),
            connections: Mutex::default(),
            next_connection: AtomicU64::new(0),
        });
        let (open, serving, beating) = (
            Arc::clone(&upstream),
            Arc::clone(&upstream),
            Arc::clone(&upstream),
        );
        let is_open = move || !open.is_gone.load(Ordering::SeqCst);
        serve(listener, is_open, move |connection| {
            serving.serve(connection)
        });
        thread::spawn(move || beating.beat());
        Ok(upstream)
    }

    fn beat(&self) {
        while self.beats.load(Ordering::SeqCst) {
            self.report("ready");
            thread::sleep(HEARTBEAT);
        }
    }

    fn control(&self, message: Vec<u8>) -> Option<u16> {
        let to = SocketAddr::new(self.plan.ip, CONTROL_PORT);
        let mut connection = Connection::open(to, ACK_TIMEOUT).ok()?;
        connection.stream.set_read_timeout(Some(ACK_TIMEOUT)).ok()?;
        connection.write(&message).ok()?;
        let answer = connection.read().ok()??;
        Some(answer.status())
    }

    /// Sends a heartbeat; returns the status of the answer.
    pub fn report(&self, state: &str) -> Option<u16> {
        let seq = self.seq.fetch_add(1, Ordering::SeqCst) + 1;
        let Plan {
            ip,
            service,
            zone,
            slots,
            ..
        } = &self.plan;
        let body = format!(
            r#"{{"address":"{ip}:{APP_PORT}","born":{},"info":{{"service":"{service}","version":"v1","zone":"{zone}","slots":{slots}}},"status":{{"state":"{state}","seq":{seq},"cold_remaining_ms":0}}}}"#,
            self.born_unix_ms
        );
        let line = format!("PUT /api/instances/{} HTTP/1.1", self.instance);
        let status = self.control(self.control_call(&line, &body));
        self.record.line(format!(
            "{} {}: heartbeat {seq} state {state}: {status:?}",
            self.plan.ip, self.instance
        ));
        status
    }

    /// Ends the heartbeats.
    pub fn stop_heartbeats(&self) {
        self.beats.store(false, Ordering::SeqCst);
    }

    /// From now on its health check fails and its answers say that it leaves.
    pub fn begin_leaving(&self) {
        self.is_leaving.store(true, Ordering::SeqCst);
        self.stop_heartbeats();
    }

    /// Says that it leaves; returns the status of the answer.
    pub fn delete(&self) -> Option<u16> {
        let body = format!(r#"{{"born":{}}}"#, self.born_unix_ms);
        let line = format!("DELETE /api/instances/{} HTTP/1.1", self.instance);
        let status = self.control(self.control_call(&line, &body));
        self.record.say(format!(
            "{} {}: DELETE: {status:?}",
            self.plan.ip, self.instance
        ));
        status
    }

    fn control_call(&self, line: &str, body: &str) -> Vec<u8> {
        let host = ("Host", format!("{}:{CONTROL_PORT}", self.plan.ip));
        let json = ("Content-Type", String::from("application/json"));
        let close = ("Connection", String::from("close"));
        encode(line, &[host, json, close], body.as_bytes())
    }

    /// Ends it with all its connections.
    pub fn exit(&self) {
        self.stop_heartbeats();
        self.is_gone.store(true, Ordering::SeqCst);
        // Wakes the listener, which then closes.
        let address = SocketAddr::new(self.plan.ip, APP_PORT);
        let _ = TcpStream::connect_timeout(&address, Duration::from_millis(200));
        for stream in self.connections.lock().unwrap().values() {
            let _ = stream.shutdown(Shutdown::Both);
        }
        self.record
            .say(format!("{} {}: exits", self.plan.ip, self.instance));
    }

    fn serve(&self, mut connection: Connection) {
        let number = self.next_connection.fetch_add(1, Ordering::SeqCst);
        if let Ok(stream) = connection.stream.try_clone() {
            self.connections.lock().unwrap().insert(number, stream);
        }
        let _ = connection.stream.set_read_timeout(Some(IDLE));
        let mut extra: Option<Vec<u8>> = None;
        while !self.is_gone.load(Ordering::SeqCst) {
            let Ok(Some(request)) = connection.read() else {
                break;
            };
            if let Some(extra) = extra.take() {
                if connection.write(&extra).is_err() {
                    break;
                }
                let id = request.field("kumquatquay-attempt-id").unwrap_or_default();
                self.record.line(format!(
                    "{} {}: sends an earlier answer a second time where that to {id} is expected",
                    self.plan.ip, self.instance
                ));
            }
            if !self.answer(&mut connection, &request, &mut extra) {
                break;
            }
        }
        let _ = connection.stream.shutdown(Shutdown::Both);
        self.connections.lock().unwrap().remove(&number);
    }

    fn load(&self) -> String {
        let running = self.running.load(Ordering::SeqCst);
        format!("{running},0,{}", self.plan.slots)
    }

    /// Answers a request; returns whether the connection goes on.
    fn answer(
        &self,
        connection: &mut Connection,
        request: &Message,
        extra: &mut Option<Vec<u8>>,
    ) -> bool {
        let is_leaving = self.is_leaving.load(Ordering::SeqCst);
        let id = request.field("kumquatquay-attempt-id").unwrap_or_default();
        let mut fields = vec![
            ("Kumquatquay-Attempt-Id", id.to_string()),
            ("Kumquatquay-Server-Load", self.load()),
        ];
        if is_leaving {
            fields.push(("Server-Leaving", String::from("1")));
            fields.push(("Connection", String::from("close")));
        } else {
            fields.push(("Keep-Alive", format!("timeout={}", IDLE.as_secs())));
        }
        if request.path() == "/healthz" {
            fields.push(("Kumquatquay-Instance-Id", self.instance.clone()));
            let line = if is_leaving {
                "HTTP/1.1 503 Service Unavailable"
            } else {
                "HTTP/1.1 200 OK"
            };
            return connection.write(&encode(line, &fields, b"")).is_ok() && !is_leaving;
        }
        let target = request.field("kumquatquay-target-instance");
        if target.is_some_and(|target| target != self.instance) {
            fields.push(("Kumquatquay-Instance-Id", self.instance.clone()));
            let answer = encode("HTTP/1.1 421 Misdirected Request", &fields, b"");
            return connection.write(&answer).is_ok();
        }
        let action = (self.plan.decide)(request);
        if action == Action::Shed
            || id.is_empty()
            || self.running.load(Ordering::SeqCst) >= self.plan.slots
        {
            fields.push(("Kumquatquay-Not-Executed", String::from("1")));
            let line = if id.is_empty() {
                "HTTP/1.1 400 Bad Request"
            } else {
                "HTTP/1.1 503 Service Unavailable"
            };
            self.record.line(format!(
                "{} {}: does not run {id}: {line}",
                self.plan.ip, self.instance
            ));
            return self.send(connection, encode(line, &fields, b""), extra);
        }
        self.running.fetch_add(1, Ordering::SeqCst);
        let goes_on = self.run(connection, request, id, fields, action, extra);
        self.running.fetch_sub(1, Ordering::SeqCst);
        goes_on && !is_leaving
    }

    /// Sends an answer, and keeps it if it is to be sent a second time.
    fn send(
        &self,
        connection: &mut Connection,
        answer: Vec<u8>,
        extra: &mut Option<Vec<u8>>,
    ) -> bool {
        let is_written = connection.write(&answer).is_ok();
        *extra = (is_written && (self.plan.sends_extra)()).then_some(answer);
        is_written
    }

    fn run(
        &self,
        connection: &mut Connection,
        request: &Message,
        id: &str,
        mut fields: Vec<(&str, String)>,
        action: Action,
        extra: &mut Option<Vec<u8>>,
    ) -> bool {
        let run = Run {
            id: id.to_string(),
            at_ms: self.record.now_ms(),
            instance: self.instance.clone(),
            answered_ms: None,
            is_sound: matches!(action, Action::Work(_)),
        };
        let place = {
            let mut runs = self.runs.lock().unwrap();
            runs.push(run);
            runs.len() - 1
        };
        self.record.line(format!(
            "{} {}: runs {id} {} {} {action:?}",
            self.plan.ip,
            self.instance,
            request.method(),
            request.target()
        ));
        fields.push(("Kumquatquay-Response-Signature", format!("s.{id}")));
        match action {
            Action::Work(ms) => {
                if !self.work(connection, ms) {
                    self.record.line(format!(
                        "{} {}: {id} is cancelled",
                        self.plan.ip, self.instance
                    ));
                    return false;
                }
                let body = format!("{} {id} {}", self.instance, request.target());
                let answer = encode("HTTP/1.1 200 OK", &fields, body.as_bytes());
                let is_written = self.send(connection, answer, extra);
                if is_written {
                    let now_ms = self.record.now_ms();
                    self.runs.lock().unwrap()[place].answered_ms = Some(now_ms);
                }
                is_written
            }
            Action::Shed => unreachable!("a shed request doesn't run"),
            Action::Endless(ms) | Action::EndlessSize(ms) => {
                if self.work(connection, ms) {
                    self.send_without_end(connection, id, &fields, action);
                }
                false
            }
        }
    }

    /// Works for a time; returns false if the caller has closed the connection meanwhile.
    fn work(&self, connection: &mut Connection, ms: u64) -> bool {
        let until = Instant::now() + Duration::from_millis(ms);
        loop {
            let left = until.saturating_duration_since(Instant::now());
            if left.is_zero() {
                let _ = connection.stream.set_read_timeout(Some(IDLE));
                return true;
            }
            let _ = connection.stream.set_read_timeout(Some(left));
            match connection.stream.peek(&mut [0]) {
                Ok(0) => return false,
                // Nothing may come before the answer: what does waits.
                Ok(_) => thread::sleep(left),
                Err(error)
                    if matches!(error.kind(), ErrorKind::WouldBlock | ErrorKind::TimedOut) => {}
                Err(_) => return false,
            }
        }
    }

    fn send_without_end(
        &self,
        connection: &mut Connection,
        id: &str,
        fields: &[(&str, String)],
        action: Action,
    ) {
        let (framing, byte, most_bytes_per_s) = match action {
            Action::EndlessSize(_) => ("Transfer-Encoding: chunked\r\n", b'0', u64::MAX),
            _ => ("", b'x', ENDLESS_BYTES_PER_S),
        };
        let head = encode("HTTP/1.1 200 OK", fields, b"");
        let head = String::from_utf8_lossy(&head).replace("Content-Length: 0\r\n", framing);
        if connection.write(head.as_bytes()).is_err() {
            return;
        }
        self.endless.fetch_add(1, Ordering::SeqCst);
        let chunk = vec![byte; 64 * 1024];
        let mut sent_bytes = 0_u64;
        let mut due_at = Instant::now();
        loop {
            if connection.write(&chunk).is_err() || self.is_gone.load(Ordering::SeqCst) {
                break;
            }
            sent_bytes += chunk.len() as u64;
            let streams = u64::from(self.endless.load(Ordering::SeqCst)).max(1);
            let share = (self.plan.link_bytes_per_s / streams).min(most_bytes_per_s);
            due_at += Duration::from_secs_f64(chunk.len() as f64 / share as f64);
            thread::sleep(due_at.saturating_duration_since(Instant::now()));
        }
        self.endless.fetch_sub(1, Ordering::SeqCst);
        self.record.line(format!(
            "{} {}: {id}: the caller closed after {sent_bytes} bytes without end",
            self.plan.ip, self.instance
        ));
    }
}
