//! Judges, from what callers got, whether rules were in force in time and never went back.
//!
//! Callers ask hosts for queues that come and go with the rules. An answer shows that a queue
//! was known or not, and so which versions may have decided it. That is all that is looked
//! at: what hosts say of themselves counts for nothing. Tests in virtual time and the soak on
//! real processes judge by the same code.
//!
//! ```
//! use goldcrestway_judge::{Answer, Limits, RulesJudge};
//!
//! let mut judge = RulesJudge::new(Limits { in_force_ms: 2_000, order_slack_ms: 250 });
//! judge.publish(1, ["old"]);
//! judge.publish(2, ["new"]);
//! judge.acknowledge(2, 10_000);
//! let answer = Answer { host: "entry-1", queue: "old", is_known: true, sent_ms: 11_000,
//!     answered_ms: 11_010, was_in_touch: true };
//! assert!(judge.judge(&answer).is_ok());
//! assert!(judge.judge(&Answer { sent_ms: 12_001, answered_ms: 12_010, ..answer }).is_err());
//! ```

use quick_error::quick_error;
use std::collections::BTreeSet;
use std::collections::HashMap;

/// What is promised of rules.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Limits {
    /// Time after the acknowledgement by which a version decides everywhere.
    pub in_force_ms: u64,
    /// Time after an answer for which another one of the same host may have been decided
    /// before it.
    pub order_slack_ms: u64,
}

/// An answer to a caller who asked for a queue.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Answer<'a> {
    /// Which life of which host answered.
    pub host: &'a str,
    /// The queue asked for.
    pub queue: &'a str,
    /// The answer is that of a queue that is there.
    pub is_known: bool,
    /// When the caller asked.
    pub sent_ms: u64,
    /// When the caller had the answer.
    pub answered_ms: u64,
    /// Nothing had disturbed the host, the store, or what lies between them for long enough
    /// that it must be current.
    pub was_in_touch: bool,
}

quick_error! {
    /// An answer that must not have been given.
    #[derive(Debug, Clone, PartialEq, Eq)]
    pub enum Fault {
        /// Only older rules decide so.
        Late(host: Box<str>, queue: Box<str>, sent_ms: u64, shown: u64, acked: u64) {
            display("{host}, asked for {queue} at {sent_ms} ms: answered by version {shown} \
                or older; version {acked} was acknowledged in time")
        }
        /// The host had gone by newer rules before.
        Reverted(host: Box<str>, queue: Box<str>, sent_ms: u64, shown: u64) {
            display("{host}, asked for {queue} at {sent_ms} ms: answered by rules from before \
                version {shown}, which it had gone by already")
        }
    }
}

/// Rules as published.
#[derive(Debug)]
struct Published {
    version: u64,
    queues: BTreeSet<Box<str>>,
    acked_ms: Option<u64>,
}

/// The oldest rules that a host may still go by.
#[derive(Debug, Clone, Copy, Default)]
struct Floor {
    /// Place in the list of what was published.
    at: usize,
    shown_ms: u64,
}

/// Keeps what was published and what each host has shown.
#[derive(Debug)]
pub struct RulesJudge {
    limits: Limits,
    published: Vec<Published>,
    floors: HashMap<Box<str>, Floor>,
}

impl RulesJudge {
    /// Makes a judge that knows of no rules yet.
    pub fn new(limits: Limits) -> Self {
        Self {
            limits,
            published: Vec::new(),
            floors: HashMap::new(),
        }
    }

    /// Notes that rules are being published; from now on they may decide. Versions rise.
    pub fn publish<'a>(&mut self, version: u64, queues: impl IntoIterator<Item = &'a str>) {
        self.published.push(Published {
            version,
            queues: queues.into_iter().map(Into::into).collect(),
            acked_ms: None,
        });
    }

    /// Notes when the store acknowledged a version.
    pub fn acknowledge(&mut self, version: u64, acked_ms: u64) {
        for published in &mut self.published {
            if published.version == version {
                published.acked_ms = Some(acked_ms);
            }
        }
    }

    /// Judges one answer. Answers of a host come in the order in which callers had them.
    ///
    /// # Errors
    ///
    /// The answer was decided by rules that must not have decided any more.
    pub fn judge(&mut self, answer: &Answer<'_>) -> Result<(), Fault> {
        let decides_so =
            |published: &Published| published.queues.contains(answer.queue) == answer.is_known;
        let newest = self.published.iter().rposition(decides_so);
        if answer.was_in_touch {
            self.check_late(answer, newest)?;
        }
        let floor = self.floors.get(answer.host).copied().unwrap_or_default();
        if answer.sent_ms <= floor.shown_ms + self.limits.order_slack_ms && floor.at > 0 {
            return Ok(());
        }
        let later = &self.published[floor.at..];
        let Some(ahead) = later.iter().position(decides_so) else {
            return Err(Fault::Reverted(
                answer.host.into(),
                answer.queue.into(),
                answer.sent_ms,
                self.published[floor.at].version,
            ));
        };
        if ahead > 0 {
            let floor = Floor {
                at: floor.at + ahead,
                shown_ms: answer.answered_ms,
            };
            self.floors.insert(answer.host.into(), floor);
        }
        Ok(())
    }

    /// Checks that the newest rules that decide so are as new as those that had to.
    fn check_late(&self, answer: &Answer<'_>, newest: Option<usize>) -> Result<(), Fault> {
        let in_force_ms = self.limits.in_force_ms;
        let is_due = |published: &Published| {
            published
                .acked_ms
                .is_some_and(|acked_ms| answer.sent_ms > acked_ms + in_force_ms)
        };
        let Some(due) = self.published.iter().rposition(is_due) else {
            return Ok(());
        };
        if newest.is_some_and(|newest| newest >= due) {
            return Ok(());
        }
        Err(Fault::Late(
            answer.host.into(),
            answer.queue.into(),
            answer.sent_ms,
            newest.map_or(0, |newest| self.published[newest].version),
            self.published[due].version,
        ))
    }
}
