//! The platform's store: a log of topics with partitions (`PROTOCOL.md`, "The platform's metadata
//! store"). Only the calls that an entry host makes are there.

use crate::http::{Answer, Request};
use std::collections::{BTreeMap, HashMap, VecDeque};
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Condvar, Mutex};
use std::thread;
use std::time::{Duration, Instant};

/// Time of an answer.
const ANSWER: Duration = Duration::from_millis(4);
const RECORD_BYTES: usize = 262_144;
const REQUEST_BYTES: usize = 2_097_152;
const APPEND_MS: f64 = 2.0;
const PARTITION_BYTES_PER_MS: f64 = 20_000.0;

#[derive(Default)]
struct Partition {
    /// Key and value.
    records: Vec<(Vec<u8>, Vec<u8>)>,
    producers: HashMap<String, Producer>,
    /// When the appends so far are done.
    busy_until: Option<Instant>,
}

struct Producer {
    epoch: u64,
    next: u64,
    /// Sequence number, offset and end of the last appends.
    last: VecDeque<(u64, usize, usize)>,
}

#[derive(Default)]
pub struct Store {
    parts: Mutex<HashMap<(String, u64), Partition>>,
    appended: Condvar,
    /// Host that last appended under an epoch, with 1 added; 0 for none.
    last_fenced: AtomicU64,
    /// The store is down: it neither does nor answers anything.
    pub down: std::sync::atomic::AtomicBool,
}

fn json(status: u16, body: String) -> Answer {
    Some((status, "application/json", body.into_bytes()))
}

impl Store {
    /// Appends a record for the operator or a minion.
    pub fn put(&self, topic: &str, key: &str, value: &str) {
        let mut parts = self.parts.lock().unwrap();
        let partition = parts.entry((topic.into(), 0)).or_default();
        partition.records.push((key.into(), value.into()));
        self.appended.notify_all();
    }

    /// Number of the host that last wrote under a condition.
    pub fn last_fenced(&self) -> Option<usize> {
        (self.last_fenced.load(Ordering::SeqCst) as usize).checked_sub(1)
    }

    pub fn answer(&self, host: usize, request: &Request) -> Answer {
        if self.down.load(Ordering::SeqCst) {
            return None;
        }
        thread::sleep(ANSWER);
        let answer = match (&*request.method, request.path()) {
            ("POST", "/goldcrestway/log-append") => self.append(host, request),
            ("GET", "/goldcrestway/log-read") => self.read(request),
            ("GET", "/goldcrestway/log-newest") => self.newest(request),
            _ => json(404, "{}".into()),
        };
        match self.down.load(Ordering::SeqCst) {
            true => None,
            false => answer,
        }
    }

    fn place(request: &Request) -> (String, u64) {
        let topic = request.query("topic").unwrap_or_default();
        (topic, request.number("part").unwrap_or(0))
    }

    fn append(&self, host: usize, request: &Request) -> Answer {
        let mut records = Vec::new();
        let mut rest = &request.body[..];
        if rest.len() > REQUEST_BYTES {
            return json(413, "{}".into());
        }
        while rest.len() >= 4 {
            let length = u32::from_be_bytes([rest[0], rest[1], rest[2], rest[3]]) as usize;
            if length > RECORD_BYTES {
                return json(413, "{}".into());
            }
            let content = &rest[4..4 + length];
            let key = usize::from(content[0]);
            records.push((content[1..=key].to_vec(), content[1 + key..].to_vec()));
            rest = &rest[4 + length..];
        }
        let place = Self::place(request);
        let until = {
            let mut parts = self.parts.lock().unwrap();
            let partition = parts.entry(place.clone()).or_default();
            let now = Instant::now();
            let begin = partition.busy_until.map_or(now, |until| until.max(now));
            if begin > now + Duration::from_secs(2) {
                return json(503, "{}".into());
            }
            let ms = APPEND_MS + request.body.len() as f64 / PARTITION_BYTES_PER_MS;
            let until = begin + Duration::from_secs_f64(ms / 1_000.0);
            partition.busy_until = Some(until);
            until
        };
        thread::sleep(until.saturating_duration_since(Instant::now()));
        let mut parts = self.parts.lock().unwrap();
        let partition = parts.entry(place).or_default();
        let (offset, count) = (partition.records.len(), records.len());
        if let Some(at) = request.number("at")
            && at as usize != offset
        {
            return json(412, format!("{{\"end\":{offset}}}"));
        }
        if let (Some(name), Some(epoch)) = (request.query("producer"), request.number("epoch")) {
            let sequence = request.number("sequence").unwrap_or(0);
            let producer = partition.producers.entry(name).or_insert(Producer {
                epoch,
                next: sequence,
                last: VecDeque::new(),
            });
            if epoch < producer.epoch {
                return json(409, "{\"reason\":\"fenced\"}".into());
            }
            if epoch > producer.epoch {
                *producer = Producer {
                    epoch,
                    next: sequence,
                    last: VecDeque::new(),
                };
            }
            let mut last = producer.last.iter();
            if let Some((_, offset, end)) = last.find(|(number, ..)| *number == sequence) {
                return json(200, format!("{{\"offset\":{offset},\"end\":{end}}}"));
            }
            if sequence != producer.next {
                let next = producer.next;
                return json(409, format!("{{\"reason\":\"seq\",\"sequence\":{next}}}"));
            }
            producer.next += 1;
            producer.last.push_back((sequence, offset, offset + count));
            if producer.last.len() > 5 {
                producer.last.pop_front();
            }
            self.last_fenced.store(host as u64 + 1, Ordering::SeqCst);
        }
        partition.records.extend(records);
        let end = partition.records.len();
        self.appended.notify_all();
        json(200, format!("{{\"offset\":{offset},\"end\":{end}}}"))
    }

    fn read(&self, request: &Request) -> Answer {
        let place = Self::place(request);
        let from = request.number("from").unwrap_or(0) as usize;
        let most = request.number("max-kilobytes").unwrap_or(1_024) as usize * 1_024;
        let wait = Duration::from_millis(request.number("wait-ms").unwrap_or(0));
        let until = Instant::now() + wait;
        let mut parts = self.parts.lock().unwrap();
        loop {
            let records = &parts.entry(place.clone()).or_default().records;
            let now = Instant::now();
            if from < records.len() || now >= until {
                let mut body = (records.len() as u64).to_be_bytes().to_vec();
                body.extend(0_u64.to_be_bytes());
                for (key, value) in records.iter().skip(from) {
                    if body.len() > most {
                        break;
                    }
                    let length = 1 + key.len() + value.len();
                    body.extend((length as u32).to_be_bytes());
                    body.push(key.len() as u8);
                    body.extend(key);
                    body.extend(value);
                }
                return Some((200, "application/octet-stream", body));
            }
            let (guard, _) = self.appended.wait_timeout(parts, until - now).unwrap();
            parts = guard;
        }
    }

    fn newest(&self, request: &Request) -> Answer {
        let place = Self::place(request);
        let after = request.query("after").unwrap_or_default();
        let mut parts = self.parts.lock().unwrap();
        let records = &parts.entry(place).or_default().records;
        let mut newest: BTreeMap<&[u8], (&[u8], usize)> = BTreeMap::new();
        for (offset, (key, value)) in records.iter().enumerate() {
            match value.is_empty() {
                true => drop(newest.remove(&key[..])),
                false => drop(newest.insert(key, (value, offset))),
            }
        }
        let mut items = Vec::new();
        let (mut bytes, mut has_more) = (0, false);
        for (key, (value, offset)) in newest {
            if !after.is_empty() && key <= after.as_bytes() {
                continue;
            }
            if items.len() == 500 || bytes > 1_000_000 {
                has_more = true;
                break;
            }
            bytes += value.len();
            let key = String::from_utf8_lossy(key);
            let value = base64(value);
            items.push(format!(
                "{{\"key\":\"{key}\",\"value\":\"{value}\",\"offset\":{offset}}}"
            ));
        }
        let (items, end) = (items.join(","), records.len());
        json(
            200,
            format!("{{\"items\":[{items}],\"has-more\":{has_more},\"end\":{end}}}"),
        )
    }
}

fn base64(bytes: &[u8]) -> String {
    const DIGITS: &[u8; 64] = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    let mut text = String::new();
    for chunk in bytes.chunks(3) {
        let mut group = [0_u8; 3];
        group[..chunk.len()].copy_from_slice(chunk);
        let bits = u32::from_be_bytes([0, group[0], group[1], group[2]]);
        for digit in 0..4 {
            match digit <= chunk.len() {
                true => text.push(DIGITS[(bits >> (18 - 6 * digit)) as usize & 63] as char),
                false => text.push('='),
            }
        }
    }
    text
}
