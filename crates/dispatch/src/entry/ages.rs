//! The age of a host's data, for logs and metrics.

use crate::entry::Entry;
use crate::event::Action;
use crate::event::Now;
use crate::event::Stream;
use crate::tail::Failure;
use goldcrestway_core::Code;
use goldcrestway_core::Note;

/// Ages of a host's data. The age of a stream is the time since the host last knew that the store
/// held nothing newer, in milliseconds. It is `None` if the host has not read the stream yet, or
/// does not follow it.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub struct Ages {
    /// Version of the rules in force; 0 for none.
    pub rules_version: u64,
    /// Age of the rules in force.
    pub rules_ms: Option<u64>,
    /// Age of the states of jobs and of the owner's record.
    pub states_ms: Option<u64>,
    /// Age of the jobs in the partition that was read longest ago.
    pub jobs_ms: Option<u64>,
    /// Age of the list of workers, which only the owner follows.
    pub workers_ms: Option<u64>,
    /// Time by which the host's clock is ahead of the time of day that the host uses; negative if
    /// it is behind.
    pub clock_offset_ms: i64,
}

impl Ages {
    /// Describes the version and age of the rules in force for a log line.
    pub fn describe_rules(&self) -> String {
        format!(
            "version={} rules_age_ms={}",
            self.rules_version,
            format_age(self.rules_ms)
        )
    }
}

impl Entry {
    /// Returns the ages of this host's data.
    pub fn ages(&self, now: Now) -> Ages {
        let now_ms = now.steady_ms;
        let jobs = self.jobs.iter().map(|tail| tail.age_ms(now_ms));
        Ages {
            rules_version: self.config.as_ref().map_or(0, |config| config.version),
            rules_ms: self.rules.age_ms(now_ms),
            states_ms: self.states.age_ms(now_ms),
            jobs_ms: jobs.max().flatten(),
            workers_ms: self.workers.age_ms(now_ms),
            clock_offset_ms: self.clock_offset_ms,
        }
    }

    /// Logs a read that failed.
    pub(super) fn report_failure(
        &self,
        stream: Stream,
        failure: Failure,
        now: Now,
        actions: &mut Vec<Action>,
    ) {
        let age_ms = self
            .tail(stream)
            .and_then(|tail| tail.age_ms(now.steady_ms));
        let Failure {
            fault,
            sent_age_ms,
            is_long_poll,
            failures,
        } = failure;
        actions.push(Action::Note(Note::new(
            Code::ReadFailed,
            format!("{stream:?}"),
            format!(
                "why={fault:?} sent_age_ms={sent_age_ms} waits={is_long_poll} failures={failures} age_ms={}",
                format_age(age_ms)
            ),
        )));
    }
}

/// Formats an age for a log line.
pub(super) fn format_age(age_ms: Option<u64>) -> String {
    age_ms.map_or("unknown".into(), |age_ms| age_ms.to_string())
}
