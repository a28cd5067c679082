//! How old what a host believes is, for logs and metrics.

use crate::entry::Entry;
use crate::event::Action;
use crate::event::Now;
use crate::event::Stream;
use crate::tail::Failure;
use goldcrestway_core::Code;
use goldcrestway_core::Note;

/// How long ago a host knew, at the latest, that the store held nothing newer. `None` where
/// it has read nothing yet, or does not follow the stream.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub struct Ages {
    /// Version of the rules in force; 0 for none.
    pub rules_version: u64,
    /// Age of the rules in force.
    pub rules_ms: Option<u64>,
    /// Age of the states of jobs, and of who owns them.
    pub states_ms: Option<u64>,
    /// Age of the jobs in the part of their stream that was read longest ago.
    pub jobs_ms: Option<u64>,
    /// Age of the list of workers, which only the owner follows.
    pub workers_ms: Option<u64>,
}

impl Ages {
    /// Describes the rules in force for a log line.
    pub fn describe_rules(&self) -> String {
        format!(
            "version={} rules_age_ms={}",
            self.rules_version,
            format_age(self.rules_ms)
        )
    }
}

impl Entry {
    /// Gives how old what this host believes is.
    pub fn ages(&self, now: Now) -> Ages {
        let now_ms = now.steady_ms;
        let jobs = self.jobs.iter().map(|tail| tail.age_ms(now_ms));
        Ages {
            rules_version: self.config.as_ref().map_or(0, |config| config.version),
            rules_ms: self.rules.age_ms(now_ms),
            states_ms: self.states.age_ms(now_ms),
            jobs_ms: jobs.max().flatten(),
            workers_ms: self.workers.age_ms(now_ms),
        }
    }

    /// Says that a read brought nothing.
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

/// Writes an age for a log line.
pub(super) fn format_age(age_ms: Option<u64>) -> String {
    age_ms.map_or("unknown".into(), |age_ms| age_ms.to_string())
}
