//! Checks from the answers to callers that every version of the rules was in force in time and
//! that no host reverted to an older version.
//!
//! Callers query hosts for queues that versions of the rules add and remove. An answer shows
//! whether the host knew the queue, which limits the versions that the host may have used. Only
//! these answers are evaluated, not what hosts report about themselves. Tests in virtual time
//! and the soak test on real processes use the same checks.
//!
//! ```
//! use goldcrestway_judge::{Answer, Limits, RulesJudge};
//!
//! let mut judge = RulesJudge::new(Limits { in_force_ms: 2_000, order_slack_ms: 250 });
//! judge.publish(1, ["old"]);
//! judge.publish(2, ["new"]);
//! judge.acknowledge(2, 10_000);
//! let answer = Answer { host: "entry-1", queue: "old", is_known: true, sent_ms: 11_000,
//!     answered_ms: 11_010, was_in_contact: true };
//! assert!(judge.judge(&answer).is_ok());
//! assert!(judge.judge(&Answer { sent_ms: 12_001, answered_ms: 12_010, ..answer }).is_err());
//! ```

use quick_error::quick_error;
use std::collections::BTreeSet;
use std::collections::HashMap;

/// Limits that hosts guarantee for the rules.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Limits {
    /// Time after its acknowledgement within which a version must be in force at all hosts, in
    /// milliseconds.
    pub in_force_ms: u64,
    /// Time after an answer, in milliseconds. The same host may have decided the answer to a
    /// request that was sent within this time before it decided the first answer.
    pub order_slack_ms: u64,
}

/// An answer of a host to a caller that queried a queue.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Answer<'a> {
    /// Host that answered, with its incarnation.
    pub host: &'a str,
    /// Queue that was queried.
    pub queue: &'a str,
    /// Whether the host knew the queue.
    pub is_known: bool,
    /// Time at which the caller sent the query, in milliseconds.
    pub sent_ms: u64,
    /// Time at which the caller received the answer, in milliseconds.
    pub answered_ms: u64,
    /// Whether the host, the store and the network between them had been free of faults for so
    /// long that the host must know the current rules.
    pub was_in_contact: bool,
}

quick_error! {
    /// An answer that violates the guarantees for the rules.
    #[derive(Debug, Clone, PartialEq, Eq)]
    pub enum Fault {
        /// Only versions older than the one that had to be in force explain the answer.
        Late(host: Box<str>, queue: Box<str>, sent_ms: u64, shown: u64, acked: u64) {
            display("{host}, asked for {queue} at {sent_ms} ms: answered by version {shown} \
                or older; version {acked} was acknowledged in time")
        }
        /// The answer contradicts a newer version that the host had used before.
        Reverted(host: Box<str>, queue: Box<str>, sent_ms: u64, shown: u64) {
            display("{host}, asked for {queue} at {sent_ms} ms: answered by rules from before \
                version {shown}, which it had gone by already")
        }
    }
}

/// A published version of the rules.
#[derive(Debug)]
struct PublishedRules {
    version: u64,
    queues: BTreeSet<Box<str>>,
    acked_ms: Option<u64>,
}

/// The oldest version of the rules that a host may still use.
#[derive(Debug, Clone, Copy, Default)]
struct OldestVersion {
    /// Index in the list of published versions.
    index: usize,
    /// Time at which a caller received the answer that proved it, in milliseconds.
    proven_ms: u64,
}

/// Records the published versions and the oldest version that each host may still use.
#[derive(Debug)]
pub struct RulesJudge {
    limits: Limits,
    published: Vec<PublishedRules>,
    oldest_versions: HashMap<Box<str>, OldestVersion>,
}

impl RulesJudge {
    /// Creates a judge without any published rules.
    pub fn new(limits: Limits) -> Self {
        Self {
            limits,
            published: Vec::new(),
            oldest_versions: HashMap::new(),
        }
    }

    /// Records that a version of the rules is being published. Hosts may use it from now on.
    /// Versions must be published in ascending order.
    pub fn publish<'a>(&mut self, version: u64, queues: impl IntoIterator<Item = &'a str>) {
        self.published.push(PublishedRules {
            version,
            queues: queues.into_iter().map(Into::into).collect(),
            acked_ms: None,
        });
    }

    /// Records when the store acknowledged a version, in milliseconds.
    pub fn acknowledge(&mut self, version: u64, acked_ms: u64) {
        for published in &mut self.published {
            if published.version == version {
                published.acked_ms = Some(acked_ms);
            }
        }
    }

    /// Checks one answer. The answers of a host must be passed in the order in which callers
    /// received them.
    ///
    /// # Errors
    ///
    /// Returns a fault if only versions that the host must not use any more explain the answer.
    pub fn judge(&mut self, answer: &Answer<'_>) -> Result<(), Fault> {
        let explains_answer =
            |published: &PublishedRules| published.queues.contains(answer.queue) == answer.is_known;
        let newest = self.published.iter().rposition(explains_answer);
        if answer.was_in_contact {
            self.check_late(answer, newest)?;
        }
        let oldest = self
            .oldest_versions
            .get(answer.host)
            .copied()
            .unwrap_or_default();
        if answer.sent_ms <= oldest.proven_ms + self.limits.order_slack_ms && oldest.index > 0 {
            return Ok(());
        }
        let candidates = &self.published[oldest.index..];
        let Some(offset) = candidates.iter().position(explains_answer) else {
            return Err(Fault::Reverted(
                answer.host.into(),
                answer.queue.into(),
                answer.sent_ms,
                self.published[oldest.index].version,
            ));
        };
        if offset > 0 {
            let oldest = OldestVersion {
                index: oldest.index + offset,
                proven_ms: answer.answered_ms,
            };
            self.oldest_versions.insert(answer.host.into(), oldest);
        }
        Ok(())
    }

    /// Checks that the newest version that explains the answer is not older than the newest
    /// version that had to be in force.
    fn check_late(&self, answer: &Answer<'_>, newest: Option<usize>) -> Result<(), Fault> {
        let in_force_ms = self.limits.in_force_ms;
        let must_be_in_force = |published: &PublishedRules| {
            published
                .acked_ms
                .is_some_and(|acked_ms| answer.sent_ms > acked_ms + in_force_ms)
        };
        let Some(required) = self.published.iter().rposition(must_be_in_force) else {
            return Ok(());
        };
        if newest.is_some_and(|newest| newest >= required) {
            return Ok(());
        }
        Err(Fault::Late(
            answer.host.into(),
            answer.queue.into(),
            answer.sent_ms,
            newest.map_or(0, |newest| self.published[newest].version),
            self.published[required].version,
        ))
    }
}
