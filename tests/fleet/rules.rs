//! Rules that change repeatedly, and callers that show which version each host applies.

use crate::fleet::Fleet;
use crate::fleet::Mode;
use crate::fleet::fixtures::QUEUES_HOST;
use goldcrestway_dispatch::Event;
use goldcrestway_dispatch::Found;
use goldcrestway_dispatch::Reply;
use goldcrestway_dispatch::Stream;
use goldcrestway_judge::Answer;
use goldcrestway_judge::Limits;
use goldcrestway_judge::RulesJudge;

/// Time after which rules are in force at hosts that are in contact.
pub(crate) const IN_FORCE_MS: u64 = 2_000;
/// Time without a disturbance after which a host is in contact.
pub(crate) const CONTACT_MS: u64 = 3_000;
/// Time within which answers of a host may overtake one another.
const ORDER_SLACK_MS: u64 = 250;

/// A query of a caller that is not answered yet.
struct PendingQuery {
    request: u64,
    number: usize,
    /// Instance of the host to which it was sent.
    generation: u64,
    queue: Box<str>,
    sent_ms: u64,
    was_in_contact: bool,
}

/// Answers to callers, checked against the published rules.
pub(crate) struct RulesWatch {
    judge: RulesJudge,
    version: u8,
    /// Letters of the queues of the newest rules.
    queues: Vec<u8>,
    /// Rules that the store has not accepted yet.
    unsent: Vec<Vec<u8>>,
    pending_queries: Vec<PendingQuery>,
    /// Time of the last disturbance of each host.
    disturbed_ms: Vec<u64>,
    /// Answers by rules that must no longer be applied.
    pub(crate) broken: Vec<String>,
    /// Number of answers of hosts in contact: those that state whether the queue exists, and those
    /// that only state when to retry.
    pub(crate) definite_answers: u32,
    pub(crate) deferred_answers: u32,
}

impl RulesWatch {
    /// Starts to check a fleet that applies its first rules.
    pub(crate) fn new(fleet: &Fleet) -> Self {
        let mut judge = RulesJudge::new(Limits {
            in_force_ms: IN_FORCE_MS,
            order_slack_ms: ORDER_SLACK_MS,
        });
        judge.publish(1, []);
        judge.acknowledge(1, 0);
        Self {
            judge,
            version: 1,
            queues: Vec::new(),
            unsent: Vec::new(),
            pending_queries: Vec::new(),
            disturbed_ms: vec![0; fleet.hosts.len()],
            broken: Vec::new(),
            definite_answers: 0,
            deferred_answers: 0,
        }
    }

    /// Publishes rules that add a queue, or remove it if it exists. A store that does not answer
    /// gets them once it does.
    pub(crate) fn toggle(&mut self, letter: u8, fleet: &mut Fleet) {
        match self.queues.iter().position(|known| *known == letter) {
            Some(at) => drop(self.queues.remove(at)),
            None => self.queues.push(letter),
        }
        self.version += 1;
        let names: Vec<String> = self.queues.iter().map(|letter| name(*letter)).collect();
        self.judge
            .publish(self.version.into(), names.iter().map(String::as_str));
        let mut value = vec![self.version];
        value.extend(&self.queues);
        self.unsent.push(value);
        self.send(fleet);
    }

    fn send(&mut self, fleet: &mut Fleet) {
        let is_unavailable = fleet.store.unavailable.contains(&Stream::Rules);
        if fleet.store.mode != Mode::Up || is_unavailable {
            return;
        }
        for value in self.unsent.drain(..) {
            fleet.store.put(Stream::Rules, "config", &value);
            self.judge.acknowledge(value[0].into(), fleet.now_ms);
        }
    }

    /// Queries a host for a queue, on a connection that stays open.
    pub(crate) fn ask(&mut self, number: usize, letter: u8, fleet: &mut Fleet) {
        let Some(request) = fleet.ask_queue(number, &name(letter)) else {
            return;
        };
        self.pending_queries.push(PendingQuery {
            request,
            number,
            generation: fleet.hosts[number].generation,
            queue: name(letter).into(),
            sent_ms: fleet.now_ms,
            was_in_contact: self.is_in_touch(number, fleet.now_ms),
        });
    }

    fn is_in_touch(&self, number: usize, now_ms: u64) -> bool {
        now_ms >= self.disturbed_ms[number] + CONTACT_MS
    }

    /// Records a disturbance of a host that the fleet does not show because it ends at once.
    pub(crate) fn disturb(&mut self, number: usize, fleet: &Fleet) {
        self.disturbed_ms[number] = fleet.now_ms;
    }

    /// Records disturbed hosts, and checks the answers that arrived.
    pub(crate) fn check(&mut self, fleet: &mut Fleet) {
        for number in 0..self.disturbed_ms.len() {
            if fleet.is_disturbed(number) {
                self.disturb(number, fleet);
            }
        }
        self.send(fleet);
        for query in std::mem::take(&mut self.pending_queries) {
            if fleet.hosts[query.number].generation != query.generation {
                continue;
            }
            match fleet.replies.get(&query.request) {
                Some(reply) => {
                    let reply = reply.clone();
                    self.check_reply(&query, &reply, fleet.now_ms);
                }
                None => self.pending_queries.push(query),
            }
        }
    }

    fn check_reply(&mut self, query: &PendingQuery, reply: &Reply, now_ms: u64) {
        let was_in_contact = query.was_in_contact && self.is_in_touch(query.number, now_ms);
        let is_known = match reply {
            Reply::Waiting(_) => true,
            Reply::NoSuchQueue => false,
            _ => {
                self.deferred_answers += u32::from(was_in_contact);
                return;
            }
        };
        self.definite_answers += u32::from(was_in_contact);
        let verdict = self.judge.judge(&Answer {
            host: &format!("{}/{}", query.number, query.generation),
            queue: &query.queue,
            is_known,
            sent_ms: query.sent_ms,
            answered_ms: now_ms,
            was_in_contact,
        });
        if let Err(fault) = verdict {
            self.broken.push(fault.to_string());
        }
    }
}

fn name(letter: u8) -> String {
    char::from(letter).to_string()
}

impl Fleet {
    /// Returns whether a host is disturbed at present.
    pub(super) fn is_disturbed(&self, number: usize) -> bool {
        let host = &self.hosts[number];
        let is_store_healthy = self.store.mode == Mode::Up
            && self.store.unavailable.is_empty()
            && self.store.answer_ms == 0;
        !is_store_healthy || host.is_paused || host.is_cut_from_store || host.entry.is_none()
    }

    /// Queries a host for the number of waiting jobs of a queue; `None` if the host does not run.
    fn ask_queue(&mut self, number: usize, name: &str) -> Option<u64> {
        let host = &self.hosts[number];
        let entry = host.entry.as_ref().filter(|_| !host.is_paused)?;
        let found = entry.find_queue(QUEUES_HOST, &format!("/{name}/"), self.now(number));
        self.requests += 1;
        let request = self.requests;
        let reply = match found {
            Found::Queue(_) => {
                let queue = name.into();
                self.handle(number, Event::Count { request, queue });
                return Some(request);
            }
            Found::Nothing => Reply::NoSuchQueue,
            Found::Unsure => Reply::NotDone { retry_after_ms: 0 },
        };
        self.replies.insert(request, reply);
        Some(request)
    }

    /// Returns the version of the rules that a host applies; 0 for none.
    pub(crate) fn rules_version(&self, number: usize) -> u64 {
        let entry = self.hosts[number].entry.as_ref();
        entry
            .and_then(|entry| entry.config())
            .map_or(0, |config| config.version)
    }
}
