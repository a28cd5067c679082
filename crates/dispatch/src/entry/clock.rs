//! Corrects this host's time of day by what its steady clock and the other hosts show.

use crate::entry::Entry;
use crate::event::Action;
use crate::event::Now;
use crate::ids::JobId;
use crate::record::Submission;
use goldcrestway_core::Code;
use goldcrestway_core::Note;

/// Difference between this host's clock and the time of day in use from which it is reported. Jobs
/// that are due at a time of day may start earlier than promised by more than this only if the
/// difference is believed.
const REPORTED_MS: u64 = 2_000;
/// Maximum time from the acceptance of a job, whose time its record holds, until the record is
/// stored: that for which callers wait.
const MAX_STORING_MS: u64 = 3_000;

impl Entry {
    /// Replaces the time of day that this host's clock shows by the one to use, and reports when
    /// the two differ.
    pub(super) fn correct_time_of_day(&mut self, now: Now, actions: &mut Vec<Action>) -> Now {
        let wall_ms = self.time_of_day.observe(now.steady_ms, now.wall_ms);
        let ahead_ms = self.time_of_day.ahead_ms(now.steady_ms, now.wall_ms);
        self.clock_offset_ms = ahead_ms;
        let is_doubted = ahead_ms.unsigned_abs() >= REPORTED_MS;
        if std::mem::replace(&mut self.is_clock_doubted, is_doubted) != is_doubted {
            let code = match is_doubted {
                true => Code::ClockDoubted,
                false => Code::ClockTrusted,
            };
            let hosts = self.time_of_day.peers();
            let detail = format!("ahead_ms={ahead_ms} compared_hosts={hosts}");
            actions.push(Action::Note(Note::new(code, &*self.host, detail)));
        }
        Now { wall_ms, ..now }
    }

    /// Records in a submission of this host's caller which host has accepted it, and when.
    pub(super) fn stamp(&self, submission: &mut Submission) {
        submission.accepted_by = self.host.to_string();
        submission.accepted_wall_ms = submission
            .accepted_wall_ms
            .saturating_add_signed(-self.clock_offset_ms);
    }

    /// Learns from a submission that was read when it was accepted, and what the clock of the host
    /// showed then that has accepted it. Nothing is known of when submissions were stored that were
    /// already there when this host began to read.
    pub(super) fn record_read_submission(
        &mut self,
        id: JobId,
        previous_age_ms: Option<u64>,
        now: Now,
    ) {
        let Some(age_ms) = previous_age_ms else {
            return;
        };
        let Some(record) = self.job_table.jobs.get_mut(&id) else {
            return;
        };
        let max_age_ms = age_ms + MAX_STORING_MS;
        record.not_before_ms = Some(now.steady_ms.saturating_sub(max_age_ms));
        let Some(submission) = &record.submission else {
            return;
        };
        if submission.accepted_by.is_empty() || *submission.accepted_by == *self.host {
            return;
        }
        self.time_of_day.record_peer(
            &submission.accepted_by,
            submission.accepted_wall_ms,
            max_age_ms,
            now.steady_ms,
        );
    }
}
