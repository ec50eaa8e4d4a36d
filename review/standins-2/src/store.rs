//! The platform's store: keyed topics of one partition, as PROTOCOL.md tells them.

use std::{
    collections::BTreeMap,
    net::{SocketAddr, TcpListener},
    sync::{
        Arc, Condvar, Mutex,
        atomic::{AtomicBool, AtomicU64, Ordering},
    },
    time::{Duration, Instant},
};

use crate::http::{Connection, Message, encode, serve};

/// Records on a page of newest ones.
const PAGE_COUNT: usize = 500;

/// Records of each topic.
type Topics = BTreeMap<String, Vec<Vec<u8>>>;

#[derive(Default)]
struct Shared {
    topics: Mutex<Topics>,
    added: Condvar,
    /// One less than the era that all answers tell.
    era: AtomicU64,
    /// While it is away it closes all connections, and answers nothing.
    is_away: AtomicBool,
}

/// What a store had at some moment.
pub struct Copy(Topics);

/// A running store.
#[derive(Clone)]
pub struct Store {
    shared: Arc<Shared>,
}

impl Store {
    pub fn start(address: SocketAddr) -> std::io::Result<Self> {
        let listener = TcpListener::bind(address)?;
        let shared = Arc::new(Shared::default());
        let serving = Arc::clone(&shared);
        serve(
            listener,
            || true,
            move |connection| serving.serve(connection),
        );
        Ok(Self { shared })
    }

    /// A copy of all that it has.
    pub fn copy(&self) -> Copy {
        Copy(self.shared.topics.lock().unwrap().clone())
    }

    /// It is away from now on.
    pub fn go_away(&self) {
        self.shared.is_away.store(true, Ordering::SeqCst);
        self.shared.added.notify_all();
    }

    /// It is back from a copy, in the next era.
    pub fn come_back_from(&self, copy: Copy) {
        *self.shared.topics.lock().unwrap() = copy.0;
        self.shared.era.fetch_add(1, Ordering::SeqCst);
        self.shared.is_away.store(false, Ordering::SeqCst);
    }

    /// Writes a record as an operator does.
    pub fn put(&self, topic: &str, key: &str, value: &[u8]) {
        let mut content = vec![key.len() as u8];
        content.extend_from_slice(key.as_bytes());
        content.extend_from_slice(value);
        self.shared.add(topic, content);
    }
}

impl Shared {
    fn add(&self, topic: &str, content: Vec<u8>) -> u64 {
        let mut topics = self.topics.lock().unwrap();
        let records = topics.entry(topic.to_string()).or_default();
        records.push(content);
        let end = records.len() as u64;
        self.added.notify_all();
        end
    }

    fn serve(&self, mut connection: Connection) {
        while let Ok(Some(request)) = connection.read() {
            let era = self.era.load(Ordering::SeqCst);
            let answer = self.answer(&request);
            let is_over = era != self.era.load(Ordering::SeqCst);
            if is_over || self.is_away.load(Ordering::SeqCst) {
                return;
            }
            if connection.write(&with_era(&answer, era)).is_err() {
                return;
            }
        }
    }

    fn answer(&self, request: &Message) -> Vec<u8> {
        let topic = request.query("topic").unwrap_or_default();
        match (request.method(), request.path()) {
            ("GET", "/api/log-newest") => self.newest(&topic, request.query("after")),
            ("GET", "/api/log-read") => self.read(&topic, request),
            ("POST", "/api/log-append") => self.append(&topic, &request.body),
            _ => encode("HTTP/1.1 404 Not Found", &[], b""),
        }
    }

    fn append(&self, topic: &str, records: &[u8]) -> Vec<u8> {
        let mut rest = records;
        let mut end = 0;
        while rest.len() >= 4 {
            let length = u32::from_be_bytes(rest[..4].try_into().unwrap()) as usize;
            end = self.add(topic, rest[4..4 + length].to_vec());
            rest = &rest[4 + length..];
        }
        let body = format!(r#"{{"offset":{},"end":{end}}}"#, end.saturating_sub(1));
        ok_json(&body)
    }

    fn newest(&self, topic: &str, after: Option<String>) -> Vec<u8> {
        let topics = self.topics.lock().unwrap();
        let records = topics.get(topic).cloned().unwrap_or_default();
        drop(topics);
        let mut newest = BTreeMap::new();
        for (offset, record) in records.iter().enumerate() {
            let (key, value) = record[1..].split_at(usize::from(record[0]));
            newest.insert(key.to_vec(), (value.to_vec(), offset));
        }
        let after = after.unwrap_or_default().into_bytes();
        let behind: Vec<_> = newest
            .into_iter()
            .filter(|(key, (value, _))| *key > after && !value.is_empty())
            .collect();
        let has_more = behind.len() > PAGE_COUNT;
        let items: Vec<String> = behind
            .iter()
            .take(PAGE_COUNT)
            .map(|(key, (value, offset))| {
                let key = String::from_utf8_lossy(key);
                let value = base64(value);
                format!(r#"{{"key":"{key}","value":"{value}","offset":{offset}}}"#)
            })
            .collect();
        let body = format!(
            r#"{{"items":[{}],"has_more":{has_more},"end":{}}}"#,
            items.join(","),
            records.len()
        );
        ok_json(&body)
    }

    fn read(&self, topic: &str, request: &Message) -> Vec<u8> {
        let number = |name| {
            request
                .query(name)
                .and_then(|text| text.parse::<u64>().ok())
        };
        let from = number("from").unwrap_or_default() as usize;
        let wait = Duration::from_millis(number("wait_ms").unwrap_or_default());
        let until = Instant::now() + wait;
        let mut topics = self.topics.lock().unwrap();
        loop {
            let count = topics.get(topic).map_or(0, Vec::len);
            if from > count {
                return encode("HTTP/1.1 410 Gone", &[], br#"{"first":0}"#);
            }
            let left = until.saturating_duration_since(Instant::now());
            if count > from || left.is_zero() || self.is_away.load(Ordering::SeqCst) {
                break;
            }
            topics = self.added.wait_timeout(topics, left).unwrap().0;
        }
        let records = topics.get(topic).map(Vec::as_slice).unwrap_or_default();
        let mut page = Vec::new();
        page.extend_from_slice(&(records.len() as u64).to_be_bytes());
        page.extend_from_slice(&0_u64.to_be_bytes());
        for record in records.iter().skip(from) {
            page.extend_from_slice(&(record.len() as u32).to_be_bytes());
            page.extend_from_slice(record);
        }
        encode("HTTP/1.1 200 OK", &[], &page)
    }
}

/// Adds the era to the head of an answer.
fn with_era(answer: &[u8], era: u64) -> Vec<u8> {
    let line_end = answer.windows(2).position(|two| two == b"\r\n");
    let (line, rest) = answer.split_at(line_end.unwrap_or_default() + 2);
    let field = format!("Store-Era: {}\r\n", era + 1);
    [line, field.as_bytes(), rest].concat()
}

fn ok_json(body: &str) -> Vec<u8> {
    let json = ("Content-Type", String::from("application/json"));
    encode("HTTP/1.1 200 OK", &[json], body.as_bytes())
}

fn base64(bytes: &[u8]) -> String {
    const DIGITS: &[u8; 64] = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    let mut text = String::new();
    for three in bytes.chunks(3) {
        let byte = |place: usize| u32::from(three.get(place).copied().unwrap_or_default());
        let bits = byte(0) << 16 | byte(1) << 8 | byte(2);
        for place in 0..4 {
            if place > three.len() {
                text.push('=');
            } else {
                let digit = bits >> (18 - 6 * place) & 63;
                text.push(char::from(DIGITS[digit as usize]));
            }
        }
    }
    text
}
