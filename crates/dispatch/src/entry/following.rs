//! Following the streams of the store, and letting go of what is over.

use crate::entry::Entry;
use crate::entry::scope::Scope;
use crate::event::Action;
use crate::event::Now;
use crate::event::Stream;
use crate::record::Key;
use goldcrestway_core::Code;
use goldcrestway_core::Note;

/// Part of the time in which rules must be in force for which the store holds a read that
/// waits for a record. What is known is as old as that, and older by another read if one of
/// them is lost, which has to fit in, too.
const LISTEN_PERCENT: u64 = 50;
/// Pause between two reads of submitted jobs by a host that does not own them. Whoever asks
/// for a job that is not known here has them read at once; the store keeps history for 20 s, of
/// which two reads may be lost.
const JOBS_POLL_MS: u64 = 6_000;
/// Time for which a host that sees the first owner waits for its connection before it reads which
/// other hosts there are.
const HOSTS_READ_MS: u64 = 1_000;
/// The same while appends of this host had no answer: what is read back is told as stored.
const DOUBTFUL_POLL_MS: u64 = 600;
/// Time without an answer of the store after which a host turns unready, and refuses at
/// once what it could not store.
const STORE_UNAVAILABLE_MS: u64 = 1_800;
/// The same after a call was late or failed, on a host that otherwise asks the store for nothing.
const MAX_DOUBT_MS: u64 = 600;
/// Time for which a job is told about after it was final, over what is asked for.
const STATUS_SLACK_MS: u64 = 60_000;
/// Pause between two looks for jobs that need not be told about any more.
const PURGE_MS: u64 = 10_000;

impl Entry {
    /// Reads on in the streams.
    pub(super) fn follow(&mut self, now: Now, actions: &mut Vec<Action>) {
        let now_ms = now.steady_ms;
        let long_poll_ms = self.long_poll_ms();
        let tickets = &mut self.tickets;
        for tail in [&mut self.rules, &mut self.states] {
            tail.load(now_ms, tickets, actions);
        }
        if self.reading.scope == Scope::All {
            self.jobs.load(now_ms, tickets, actions);
        }
        self.rules.long_poll(long_poll_ms, now_ms, tickets, actions);
        match self.is_store_unavailable {
            true => self.rules.check_store(now_ms, tickets, actions),
            false => self
                .rules
                .read_if_overdue(long_poll_ms, now_ms, tickets, actions),
        }
        let acts = self.owner.is_some() || self.claim.is_some();
        if acts {
            // A list on record is enough to begin with; the platform's own is as long again.
            let has_list = !self.progress.is_loaded() || !self.recovered.workers.is_empty();
            if self.owner.is_some() || !has_list {
                self.workers.load(now_ms, tickets, actions);
            }
            self.jobs.long_poll(long_poll_ms, now_ms, tickets, actions);
            self.jobs.confirm(long_poll_ms, now_ms, tickets, actions);
            if now_ms >= self.workers_read_ms + self.workers_pause_ms {
                self.workers_read_ms = now_ms;
                // One beside another would bring the same reports once more.
                self.workers.read_now(0, now_ms, tickets, actions);
            }
            return;
        }
        // A follower that takes no callers needs no more than to hear that the store is back.
        if self.is_store_unavailable {
            return;
        }
        if self.reading.is_quiet() {
            return self.probe_in_doubt(now_ms, actions);
        }
        if self.reading.scope == Scope::All {
            self.follow_jobs(now_ms, actions);
        }
        let pause_ms = self
            .election
            .read_interval_ms(now_ms, &self.job_table.owner);
        if now_ms >= self.states_read_ms + pause_ms {
            self.states_read_ms = now_ms;
            self.states
                .read_now(now_ms, now_ms, &mut self.tickets, actions);
        }
    }

    /// Has jobs read once the first owner has shown itself: which hosts there are, and with that
    /// whether this one is among the next, stands among them. An owner that connects tells enough.
    fn read_hosts(&mut self, now_ms: u64) {
        if self.job_table.owner.token == 0 {
            return;
        }
        let hosts_read_ms = *self.hosts_read_ms.get_or_insert(now_ms + HOSTS_READ_MS);
        if now_ms >= hosts_read_ms && self.reading.owner_connection.is_none() {
            self.jobs_read_ms = None;
            self.hosts_read_ms = Some(u64::MAX);
        }
    }

    fn follow_jobs(&mut self, now_ms: u64, actions: &mut Vec<Action>) {
        self.read_hosts(now_ms);
        let pause_ms = match self.callers.has_doubtful() {
            true => DOUBTFUL_POLL_MS,
            false => JOBS_POLL_MS,
        };
        let read_ms = self.jobs_read_ms;
        if read_ms.is_none_or(|read_ms| now_ms >= read_ms + pause_ms) {
            self.jobs_read_ms = Some(now_ms);
            self.jobs
                .read_now(now_ms, now_ms, &mut self.tickets, actions);
        }
    }

    /// Gives for how long the store holds a read that waits for a record.
    fn long_poll_ms(&self) -> u64 {
        self.bounds.rules_in_force_ms * LISTEN_PERCENT / 100
    }

    /// Gives for how long a store that is well may not answer this host, as it is asked for nothing
    /// else: only the read that waits for rules is under way.
    pub(super) fn quiet_ms(&self) -> u64 {
        match self.reading.is_quiet() {
            true => self.long_poll_ms(),
            false => 0,
        }
    }

    /// Asks the store whether it is there, where a call to it is late or has failed and no other one
    /// is about to tell.
    fn probe_in_doubt(&mut self, now_ms: u64, actions: &mut Vec<Action>) {
        if self.callers.has_late_append(now_ms) {
            self.contact.suspect(now_ms);
        }
        if self.contact.is_in_doubt() {
            self.rules.check_store(now_ms, &mut self.tickets, actions);
        }
    }

    /// Notices that the store does not answer this host, and that it does again.
    pub(super) fn watch_store(&mut self, now: Now, actions: &mut Vec<Action>) {
        let owner_ms = self.long_poll_ms() * u64::from(self.owner.is_some());
        let limit_ms = STORE_UNAVAILABLE_MS + owner_ms + self.quiet_ms();
        let is_silent = now.steady_ms > self.contact.answered_ms + limit_ms;
        let is_doubted = self
            .contact
            .has_been_in_doubt_for(MAX_DOUBT_MS, now.steady_ms);
        let has_cause = self.reading.is_quiet() && is_doubted;
        // Rules may have changed meanwhile: a host that took callers by those from before
        // would accept for queues that are gone, and deny those that have come.
        let is_behind = self.is_store_unavailable && !self.have_rules_been_asked_for(now);
        let is_away = is_silent || has_cause || is_behind;
        if is_away != self.is_store_unavailable {
            self.is_store_unavailable = is_away;
            let code = if is_away {
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
            if !is_away {
                self.election.restart_timeouts(now.steady_ms);
            }
        }
    }

    /// Lets go of jobs that need not be told about any more. The owner drops their keys from
    /// the store too, which keeps them for good otherwise.
    pub(super) fn purge(&mut self, now: Now, actions: &mut Vec<Action>) {
        if now.steady_ms < self.purge_ms {
            return;
        }
        self.purge_ms = now.steady_ms + PURGE_MS;
        let kept_ms = self.bounds.status_ms + STATUS_SLACK_MS;
        let mut over = Vec::new();
        for (id, job) in &self.job_table.jobs {
            if job
                .final_wall_ms()
                .is_some_and(|final_wall_ms| now.wall_ms >= final_wall_ms + kept_ms)
            {
                over.push(*id);
            }
        }
        for id in &over {
            self.job_table.jobs.remove(id);
        }
        // What a host has not read to its end is of no use to it for long.
        if self.reading.asks_owner() {
            self.job_table.jobs.clear();
        }
        let Some(owner) = self.owner.as_mut().filter(|_| !over.is_empty()) else {
            return;
        };
        let mut records = Vec::with_capacity(2 * over.len());
        for id in over {
            owner.retire(id);
            records.push((Key::Submitted(id).text(), Box::default()));
            records.push((Key::Cancelled(id).text(), Box::default()));
        }
        // Should an append be lost, the next owner finds the keys and drops them.
        for partition in 0..self.jobs.partitions() {
            self.tickets += 1;
            actions.push(Action::Append {
                ticket: self.tickets,
                stream: Stream::Jobs(partition),
                fence: None,
                records: records.clone(),
                timeout_ms: PURGE_MS,
            });
        }
    }
}
