//! Follows the streams of the store, and tracks whether the store is available.

use crate::entry::Entry;
use crate::entry::scope::Scope;
use crate::event::Action;
use crate::event::Now;
use crate::policy::link::MIN_LIST_PAUSE_MS;
use goldcrestway_core::Code;
use goldcrestway_core::Note;

/// Duration of a long poll, in percent of the time within which new rules must be in force. The
/// host's data is as old as that, and older by another read if one is lost, which must fit in as
/// well.
const LONG_POLL_PERCENT: u64 = 50;
/// Interval between reads of submitted jobs by a host that does not own them. A query for a job
/// that is not known here triggers a read at once. The store retains history for 20 s, so two reads
/// may be lost.
const JOBS_POLL_MS: u64 = 6_000;
/// Interval between reads of jobs and states by a host whose queries the owner answers. Of the 20 s
/// of history that the store retains, one read may be lost.
const RELYING_POLL_MS: u64 = 8_000;
/// Time for which a host that sees the first owner waits for the owner's connection before it reads
/// which other hosts exist.
const HOSTS_READ_MS: u64 = 1_000;
/// Interval between reads of submitted jobs while appends of this host had no answer: their callers
/// are answered once the writes are read back.
const DOUBTFUL_POLL_MS: u64 = 600;
/// Time without an answer of the store after which a host is no longer ready, and refuses at once
/// what it could not store.
const STORE_UNAVAILABLE_MS: u64 = 1_800;
/// Time without an answer, since a late or failed call, after which a host that otherwise sends no
/// calls to the store is no longer ready.
const MAX_DOUBT_MS: u64 = 600;

impl Entry {
    /// Continues to read the streams.
    pub(super) fn follow_streams(&mut self, now: Now, actions: &mut Vec<Action>) {
        let now_ms = now.steady_ms;
        let long_poll_ms = self.long_poll_ms();
        let is_owner_or_claiming = self.is_owner_or_claiming();
        let link_bytes_per_s = self.bounds.link_bytes_per_s;
        let tickets = &mut self.tickets;
        for tail in [&mut self.rules, &mut self.states] {
            tail.load(now_ms, tickets, actions);
        }
        if is_owner_or_claiming {
            self.jobs
                .load_as_owner(link_bytes_per_s, now_ms, tickets, actions);
        } else if self.reading.scope == Scope::All {
            self.jobs.load(now_ms, tickets, actions);
        }
        self.rules.long_poll(long_poll_ms, now_ms, tickets, actions);
        match self.is_store_unavailable {
            true => self.rules.check_store(now_ms, tickets, actions),
            false => self
                .rules
                .read_if_overdue(long_poll_ms, now_ms, tickets, actions),
        }
        if is_owner_or_claiming {
            // A recorded list of workers is enough to start with. Reading the platform's own list
            // would take as long again.
            let has_list = !self.progress.is_loaded() || !self.recovered.workers.is_empty();
            if self.owner.is_some() || !has_list {
                self.workers
                    .load_as_owner(link_bytes_per_s, now_ms, tickets, actions);
            }
            self.jobs.long_poll(long_poll_ms, now_ms, tickets, actions);
            self.jobs.confirm(long_poll_ms, now_ms, tickets, actions);
            let wanted_ms = self.owner.as_ref().and_then(|owner| owner.list_wanted_ms());
            let interval_ms = match wanted_ms {
                Some(_) => MIN_LIST_PAUSE_MS,
                None => self.workers_interval_ms,
            };
            if now_ms >= self.last_workers_read_ms + interval_ms {
                self.last_workers_read_ms = now_ms;
                // Concurrent reads would return the same reports twice, so a read under way is
                // enough unless it is too old.
                let since_ms = wanted_ms.unwrap_or(0);
                self.workers.read_now(since_ms, now_ms, tickets, actions);
            }
            return;
        }
        // A host that is not the owner and refuses callers needs only to notice the store's return.
        if self.is_store_unavailable {
            return;
        }
        if self.reading.reads_only_rules() {
            return self.check_store_in_doubt(now_ms, actions);
        }
        if self.relies_on_owner() {
            self.check_store_in_doubt(now_ms, actions);
        }
        if self.reading.scope == Scope::All {
            self.follow_jobs(now_ms, actions);
        }
        let interval_ms = match self.relies_on_owner() {
            true => RELYING_POLL_MS,
            false => self
                .election
                .read_interval_ms(now_ms, &self.job_table.owner),
        };
        if now_ms >= self.last_states_read_ms + interval_ms {
            self.last_states_read_ms = now_ms;
            self.states
                .read_now(now_ms, now_ms, &mut self.tickets, actions);
        }
    }

    /// Schedules a read of the jobs once there is a first owner. The stream of jobs also holds the
    /// announcements of hosts, and with them whether this host is among the next candidates. An
    /// owner that connects sends enough information by itself.
    fn read_hosts(&mut self, now_ms: u64) {
        if self.job_table.owner.token == 0 {
            return;
        }
        let hosts_read_due_ms = *self.hosts_read_due_ms.get_or_insert(now_ms + HOSTS_READ_MS);
        if now_ms >= hosts_read_due_ms && self.reading.owner_connection.is_none() {
            self.last_jobs_read_ms = None;
            self.hosts_read_due_ms = Some(u64::MAX);
        }
    }

    fn follow_jobs(&mut self, now_ms: u64, actions: &mut Vec<Action>) {
        self.read_hosts(now_ms);
        let interval_ms = match self.relies_on_owner() {
            _ if self.callers.has_doubtful() => DOUBTFUL_POLL_MS,
            true => RELYING_POLL_MS,
            false => JOBS_POLL_MS,
        };
        let read_ms = self.last_jobs_read_ms;
        if read_ms.is_none_or(|read_ms| now_ms >= read_ms + interval_ms) {
            self.last_jobs_read_ms = Some(now_ms);
            self.jobs
                .read_now(now_ms, now_ms, &mut self.tickets, actions);
        }
    }

    /// Returns the duration of a long poll.
    fn long_poll_ms(&self) -> u64 {
        self.bounds.rules_in_force_ms * LONG_POLL_PERCENT / 100
    }

    /// Returns whether the long poll for the rules is the only call that this host sends regularly.
    fn mostly_reads_rules(&self) -> bool {
        self.reading.reads_only_rules() || self.relies_on_owner()
    }

    /// Returns the time for which a healthy store may not answer this host: on a host that hardly
    /// reads anything but the rules, that of the long poll for them.
    pub(super) fn expected_silence_ms(&self) -> u64 {
        match self.mostly_reads_rules() {
            true => self.long_poll_ms(),
            false => 0,
        }
    }

    /// Checks whether the store answers, if a call to it is late or has failed and no other call is
    /// about to show it.
    fn check_store_in_doubt(&mut self, now_ms: u64, actions: &mut Vec<Action>) {
        if self.callers.has_late_append(now_ms) {
            self.contact.suspect(now_ms);
        }
        if self.contact.is_in_doubt() {
            self.rules.check_store(now_ms, &mut self.tickets, actions);
        }
    }

    /// Detects that the store no longer answers this host, and that it answers again.
    pub(super) fn check_store(&mut self, now: Now, actions: &mut Vec<Action>) {
        let owner_ms = self.long_poll_ms() * u64::from(self.owner.is_some());
        let limit_ms = STORE_UNAVAILABLE_MS + owner_ms + self.expected_silence_ms();
        let is_silent = now.steady_ms > self.contact.answered_ms + limit_ms;
        let is_long_in_doubt = self
            .contact
            .has_been_in_doubt_for(MAX_DOUBT_MS, now.steady_ms);
        let has_cause = self.mostly_reads_rules() && is_long_in_doubt;
        // The rules may have changed in the meantime. With outdated rules a host would accept jobs
        // for queues that were removed, and reject jobs for new ones.
        let lacks_rules = self.is_store_unavailable && !self.has_tried_to_read_rules(now);
        let is_unavailable = is_silent || has_cause || lacks_rules;
        if is_unavailable != self.is_store_unavailable {
            self.is_store_unavailable = is_unavailable;
            let code = if is_unavailable {
                Code::StoreAway
            } else {
                Code::StoreBack
            };
            let age_ms = now.steady_ms.saturating_sub(self.contact.answered_ms);
            actions.push(Action::Note(Note::new(
                code,
                &*self.host,
                format!("last_answer_age_ms={age_ms}"),
            )));
            if !is_unavailable {
                self.election.restart_timeouts(now.steady_ms);
            }
        }
    }
}
