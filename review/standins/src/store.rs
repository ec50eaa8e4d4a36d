//! The platform's store: keyed topics of one partition, as far as a node uses them.

use std::{
    collections::BTreeMap,
    io,
    net::SocketAddr,
    sync::{Arc, Condvar, Mutex},
    time::{Duration, Instant},
};

use crate::http::{Request, Response, serve};

/// Records on a page of newest ones.
const PAGE_COUNT: usize = 500;

#[derive(Clone, Default)]
pub struct Store(Arc<Shared>);

#[derive(Default)]
struct Shared {
    topics: Mutex<BTreeMap<String, Vec<Vec<u8>>>>,
    added: Condvar,
}

impl Store {
    pub fn start(address: SocketAddr) -> io::Result<Self> {
        let store = Self::default();
        let answering = store.clone();
        serve(address, move |request| Some(answering.answer(&request)))?;
        Ok(store)
    }

    /// Writes a record as the operator does.
    pub fn put(&self, topic: &str, key: &str, value: &str) {
        let mut record = vec![key.len() as u8];
        record.extend_from_slice(key.as_bytes());
        record.extend_from_slice(value.as_bytes());
        self.add(topic, vec![record]);
    }

    fn add(&self, topic: &str, records: Vec<Vec<u8>>) -> usize {
        let mut topics = self.0.topics.lock().unwrap();
        let known = topics.entry(String::from(topic)).or_default();
        let offset = known.len();
        known.extend(records);
        self.0.added.notify_all();
        offset
    }

    fn answer(&self, request: &Request) -> Response {
        let topic = request.parameter("topic").unwrap_or_default();
        match (request.method.as_str(), request.path()) {
            ("GET", "/api/log-newest") => self.newest(&topic, request.parameter("after")),
            ("GET", "/api/log-read") => self.read(&topic, request),
            ("POST", "/api/log-append") => self.append(&topic, &request.body),
            _ => Response::new(404, ""),
        }
    }

    fn newest(&self, topic: &str, after: Option<String>) -> Response {
        let topics = self.0.topics.lock().unwrap();
        let records = topics.get(topic).map(Vec::as_slice).unwrap_or_default();
        let mut newest: BTreeMap<&[u8], (usize, &[u8])> = BTreeMap::new();
        for (offset, record) in records.iter().enumerate() {
            let (key, value) = record[1..].split_at(usize::from(record[0]));
            newest.insert(key, (offset, value));
        }
        newest.retain(|_, (_, value)| !value.is_empty());
        let behind = newest.into_iter().filter(|(key, _)| {
            let after = after.as_ref();
            after.is_none_or(|after| *key > after.as_bytes())
        });
        let items: Vec<String> = behind
            .map(|(key, (offset, value))| {
                let key = String::from_utf8_lossy(key);
                let value = base64(value);
                format!(r#"{{"key":"{key}","value":"{value}","offset":{offset}}}"#)
            })
            .collect();
        let has_more = items.len() > PAGE_COUNT;
        let items = items[..items.len().min(PAGE_COUNT)].join(",");
        let end = records.len();
        let body = format!(r#"{{"items":[{items}],"has_more":{has_more},"end":{end}}}"#);
        Response::new(200, body).with("content-type", "application/json")
    }

    fn read(&self, topic: &str, request: &Request) -> Response {
        let number = |name| {
            request
                .parameter(name)
                .and_then(|text| text.parse::<u64>().ok())
        };
        let from = number("from").unwrap_or_default() as usize;
        let until = Instant::now() + Duration::from_millis(number("wait_ms").unwrap_or_default());
        let mut topics = self.0.topics.lock().unwrap();
        let end_of =
            |topics: &BTreeMap<String, Vec<Vec<u8>>>| topics.get(topic).map_or(0, Vec::len);
        if from > end_of(&topics) {
            return Response::new(410, r#"{"first":0}"#).with("content-type", "application/json");
        }
        while end_of(&topics) <= from {
            let left = until.saturating_duration_since(Instant::now());
            if left.is_zero() {
                break;
            }
            topics = self.0.added.wait_timeout(topics, left).unwrap().0;
        }
        let records = topics.get(topic).map(Vec::as_slice).unwrap_or_default();
        let mut page = Vec::new();
        page.extend_from_slice(&(records.len() as u64).to_be_bytes());
        page.extend_from_slice(&0_u64.to_be_bytes());
        for record in records.iter().skip(from) {
            page.extend_from_slice(&(record.len() as u32).to_be_bytes());
            page.extend_from_slice(record);
        }
        Response::new(200, page)
    }

    fn append(&self, topic: &str, body: &[u8]) -> Response {
        let mut records = Vec::new();
        let mut rest = body;
        while let Some((length, behind)) = rest.split_at_checked(4) {
            let length = u32::from_be_bytes(length.try_into().unwrap()) as usize;
            let Some((record, behind)) = behind.split_at_checked(length) else {
                return Response::new(400, "");
            };
            records.push(record.to_vec());
            rest = behind;
        }
        let count = records.len();
        let offset = self.add(topic, records);
        let end = offset + count;
        let body = format!(r#"{{"offset":{offset},"end":{end}}}"#);
        Response::new(200, body).with("content-type", "application/json")
    }
}

fn base64(bytes: &[u8]) -> String {
    const DIGITS: &[u8; 64] = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    let mut text = String::new();
    for chunk in bytes.chunks(3) {
        let mut group = [0; 3];
        group[..chunk.len()].copy_from_slice(chunk);
        let number = u32::from(group[0]) << 16 | u32::from(group[1]) << 8 | u32::from(group[2]);
        for place in 0..4 {
            if place <= chunk.len() {
                let digit = (number >> (18 - 6 * place)) & 63;
                text.push(char::from(DIGITS[digit as usize]));
            } else {
                text.push('=');
            }
        }
    }
    text
}
