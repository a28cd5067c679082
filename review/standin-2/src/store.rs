//! The platform's store: a log of topics with partitions, fenced producers and keyed topics.

use crate::http::Reply;
use crate::http::Request;
use crate::json::base64;
use crate::json::quote;
use std::collections::BTreeMap;
use std::collections::HashMap;
use std::collections::VecDeque;
use std::sync::Condvar;
use std::sync::Mutex;
use std::thread;
use std::time::Duration;
use std::time::Instant;

/// Time of an answer, and of an append (`append-ms`).
const ANSWER: Duration = Duration::from_millis(4);
const PAGE: usize = 500;

#[derive(Default)]
struct Producer {
    epoch: u64,
    next: Option<u64>,
    last: VecDeque<(u64, u64, u64)>,
}

#[derive(Default)]
struct Partition {
    records: Vec<Vec<u8>>,
    producers: HashMap<String, Producer>,
    newest: BTreeMap<Vec<u8>, (u64, Vec<u8>)>,
}

/// What is to happen to an append.
#[derive(Clone, Copy, PartialEq)]
pub enum Fate {
    Normal,
    /// The append is done after this time, and not answered.
    LostLate(Duration),
    /// The append is done at once, and not answered.
    Lost,
    /// The store refuses it with 503; nothing was done.
    Busy,
}

pub type Judge = Box<dyn Fn(&str, &[u8]) -> Fate + Send + Sync>;

pub struct Store {
    partitions: Mutex<HashMap<(String, u64), Partition>>,
    changed: Condvar,
    /// Decides on the fate of each append, by the topic and the body.
    pub judge: Mutex<Option<Judge>>,
    pub is_busy: std::sync::atomic::AtomicBool,
    /// Appends that were refused as a record or the call was too large, and the largest such record.
    pub too_large: std::sync::atomic::AtomicU64,
    pub largest: std::sync::atomic::AtomicU64,
}

fn number(request: &Request, key: &str) -> Option<u64> {
    request.query.get(key)?.parse().ok()
}

fn split_records(body: &[u8]) -> Option<Vec<Vec<u8>>> {
    let mut rest = body;
    let mut records = Vec::new();
    while !rest.is_empty() {
        let length = u32::from_be_bytes(rest.get(..4)?.try_into().ok()?) as usize;
        records.push(rest.get(4..4 + length)?.to_vec());
        rest = &rest[4 + length..];
    }
    Some(records)
}

impl Partition {
    fn add(&mut self, record: Vec<u8>, is_keyed: bool) {
        let offset = self.records.len() as u64;
        if is_keyed && !record.is_empty() {
            let length = usize::from(record[0]);
            let key = record[1..1 + length].to_vec();
            let value = record[1 + length..].to_vec();
            match value.is_empty() {
                true => drop(self.newest.remove(&key)),
                false => drop(self.newest.insert(key, (offset, value))),
            }
        }
        self.records.push(record);
    }
}

impl Store {
    pub fn new() -> Self {
        Self {
            partitions: Mutex::default(),
            changed: Condvar::new(),
            judge: Mutex::default(),
            is_busy: Default::default(),
            too_large: Default::default(),
            largest: Default::default(),
        }
    }

    /// Writes a record as the operator or a minion does.
    pub fn put(&self, topic: &str, key: &str, value: &str) {
        let mut record = vec![key.len() as u8];
        record.extend_from_slice(key.as_bytes());
        record.extend_from_slice(value.as_bytes());
        let mut partitions = self.partitions.lock().unwrap();
        partitions
            .entry((topic.to_string(), 0))
            .or_default()
            .add(record, true);
        self.changed.notify_all();
    }

    pub fn handle(&self, request: &Request) -> Reply {
        if self.is_busy.load(std::sync::atomic::Ordering::Relaxed) {
            thread::sleep(ANSWER);
            return Reply::Answer(503, b"{}".to_vec());
        }
        let topic = request.query.get("topic").cloned().unwrap_or_default();
        let part = number(request, "part").unwrap_or(0);
        match request.path.as_str() {
            "/goldcrestway/log-append" => self.append(request, topic, part),
            "/goldcrestway/log-read" => self.read(request, topic, part),
            "/goldcrestway/log-newest" => self.newest(request, topic, part),
            _ => Reply::Answer(404, b"{}".to_vec()),
        }
    }

    fn append(&self, request: &Request, topic: String, part: u64) -> Reply {
        if topic == "keyed.op" || topic == "keyed.servers" {
            return Reply::Answer(403, b"{}".to_vec());
        }
        thread::sleep(ANSWER);
        let judge = self.judge.lock().unwrap();
        let fate = judge
            .as_ref()
            .map_or(Fate::Normal, |judge| judge(&topic, &request.body));
        drop(judge);
        match fate {
            Fate::Busy => return Reply::Answer(503, b"{}".to_vec()),
            Fate::LostLate(delay) => thread::sleep(delay),
            _ => {}
        }
        let answer = self.apply(request, topic, part);
        match fate {
            Fate::Normal => answer,
            _ => Reply::Silence,
        }
    }

    fn apply(&self, request: &Request, topic: String, part: u64) -> Reply {
        let Some(records) = split_records(&request.body) else {
            return Reply::Answer(400, b"{}".to_vec());
        };
        let largest = records.iter().map(Vec::len).max().unwrap_or(0);
        if request.body.len() > 2_097_152 || largest > 262_144 {
            self.too_large
                .fetch_add(1, std::sync::atomic::Ordering::Relaxed);
            self.largest
                .fetch_max(largest as u64, std::sync::atomic::Ordering::Relaxed);
            return Reply::Answer(400, b"{}".to_vec());
        }
        let is_keyed = topic.starts_with("keyed.");
        let mut partitions = self.partitions.lock().unwrap();
        let partition = partitions.entry((topic, part)).or_default();
        let end = partition.records.len() as u64;
        if let Some(at) = number(request, "at")
            && at != end
        {
            return Reply::Answer(412, format!("{{\"end\":{end}}}").into_bytes());
        }
        let new_end = end + records.len() as u64;
        if let (Some(name), Some(epoch)) = (request.query.get("producer"), number(request, "epoch"))
        {
            let sequence = number(request, "sequence");
            let producer = partition.producers.entry(name.clone()).or_default();
            if epoch < producer.epoch {
                return Reply::Answer(409, b"{\"reason\":\"fenced\"}".to_vec());
            }
            if epoch > producer.epoch {
                *producer = Producer {
                    epoch,
                    ..Producer::default()
                };
            }
            if let (Some(sequence), false) = (sequence, records.is_empty()) {
                let known = producer
                    .last
                    .iter()
                    .find(|(number, ..)| *number == sequence);
                if let Some((_, offset, end)) = known {
                    return Reply::Answer(
                        200,
                        format!("{{\"offset\":{offset},\"end\":{end}}}").into_bytes(),
                    );
                }
                if let Some(next) = producer.next.filter(|next| *next != sequence) {
                    return Reply::Answer(
                        409,
                        format!("{{\"reason\":\"seq\",\"sequence\":{next}}}").into_bytes(),
                    );
                }
                producer.next = Some(sequence + 1);
                producer.last.push_back((sequence, end, new_end));
                if producer.last.len() > 5 {
                    producer.last.pop_front();
                }
            }
        }
        for record in records {
            partition.add(record, is_keyed);
        }
        self.changed.notify_all();
        Reply::Answer(
            200,
            format!("{{\"offset\":{end},\"end\":{new_end}}}").into_bytes(),
        )
    }

    fn read(&self, request: &Request, topic: String, part: u64) -> Reply {
        thread::sleep(ANSWER);
        let from = number(request, "from").unwrap_or(0) as usize;
        let most = number(request, "max-kilobytes").unwrap_or(1_024) as usize * 1_024;
        let wait = Duration::from_millis(number(request, "wait-ms").unwrap_or(0).min(30_000));
        let until = Instant::now() + wait;
        let key = (topic, part);
        let mut partitions = self.partitions.lock().unwrap();
        loop {
            let count = partitions.entry(key.clone()).or_default().records.len();
            let now = Instant::now();
            if count > from || now >= until {
                break;
            }
            partitions = self
                .changed
                .wait_timeout(partitions, until - now)
                .unwrap()
                .0;
        }
        let partition = partitions.entry(key).or_default();
        let mut bytes = (partition.records.len() as u64).to_be_bytes().to_vec();
        bytes.extend_from_slice(&0u64.to_be_bytes());
        for record in partition.records.iter().skip(from) {
            if bytes.len() > 16 && bytes.len() + record.len() > most {
                break;
            }
            bytes.extend_from_slice(&(record.len() as u32).to_be_bytes());
            bytes.extend_from_slice(record);
        }
        Reply::Answer(200, bytes)
    }

    fn newest(&self, request: &Request, topic: String, part: u64) -> Reply {
        thread::sleep(ANSWER);
        let after = request
            .query
            .get("after")
            .cloned()
            .unwrap_or_default()
            .into_bytes();
        let mut partitions = self.partitions.lock().unwrap();
        let partition = partitions.entry((topic, part)).or_default();
        let mut items = Vec::new();
        let mut has_more = false;
        for (key, (offset, value)) in &partition.newest {
            if !after.is_empty() && *key <= after {
                continue;
            }
            if items.len() == PAGE {
                has_more = true;
                break;
            }
            let key = quote(&String::from_utf8_lossy(key));
            items.push(format!(
                "{{\"key\":{key},\"value\":\"{}\",\"offset\":{offset}}}",
                base64(value)
            ));
        }
        let body = format!(
            "{{\"items\":[{}],\"has-more\":{has_more},\"end\":{}}}",
            items.join(","),
            partition.records.len()
        );
        Reply::Answer(200, body.into_bytes())
    }
}
