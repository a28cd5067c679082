//! How a host becomes the owner of the progress of all jobs, and how it stops.
//!
//! A host claims when the owner leaves or sends no heartbeats. Its claim is a fenced append, so
//! only one host succeeds. That host reads the progress of all jobs, and starts to own once the
//! read is complete.

use crate::appender::Appender;
use crate::appender::HEARTBEAT_MS;
use crate::entry::Claim;
use crate::entry::Entry;
use crate::entry::Withdrawal;
use crate::event::Action;
use crate::event::AppendOutcome;
use crate::event::Fence;
use crate::event::Now;
use crate::event::Stream;
use crate::job_table::RecoveredState;
use crate::owner::Owner;
use crate::record::HostRecord;
use crate::record::Key;
use crate::record::OwnerRecord;
use crate::tail::Tail;
use goldcrestway_core::Code;
use goldcrestway_core::Note;
use prost::Message;

/// Maximum time for which a new owner waits for the newest jobs and the list of workers before it
/// starts with what it has read. They take 20 ms, and a second from a slow store; but part of the
/// store may be unavailable for longer than leases last.
const MAX_READ_WAIT_MS: u64 = 600;
/// Time after which a claim without an answer is retried.
const CLAIM_TIMEOUT_MS: u64 = 700;
/// Delay before a refused announcement is retried, and before one that was stored but not read back
/// is repeated.
const ANNOUNCE_RETRY_MS: u64 = 1_000;
const READ_BACK_MS: u64 = 5_000;
/// Delay before a refused claim is retried.
const RETRY_MS: u64 = 100;

impl Entry {
    /// Announces this host once, and whenever its share of a core has changed.
    pub(crate) fn announce(&mut self, now: Now, actions: &mut Vec<Action>) {
        if !self.is_caught_up()
            || self.announcement.is_some()
            || now.steady_ms < self.next_announce_ms
        {
            return;
        }
        let own_record = HostRecord {
            cpu_permille: self.bounds.cpu_permille,
            relay_address: self.bounds.relay_address.to_string(),
        };
        // A host that does not read the announcements counts as known while the owner connects to
        // it.
        let is_known = match self.reading.asks_owner() {
            true => !self.may_be_unknown_to_owner(now.steady_ms),
            false => self.job_table.hosts.get(&self.host) == Some(&own_record),
        };
        if is_known {
            return;
        }
        let partition = self.callers.choose_partition(now.steady_ms);
        self.tickets += 1;
        self.announcement = Some(self.tickets);
        actions.push(Action::Append {
            ticket: self.tickets,
            stream: Stream::Jobs(partition),
            fence: None,
            records: vec![(
                Key::Host(self.host.clone()).text(),
                own_record.encode_to_vec().into(),
            )],
            timeout_ms: CLAIM_TIMEOUT_MS,
        });
    }

    /// Handles the outcome of an append if it was an announcement, and returns whether it was.
    pub(crate) fn handle_announcement(
        &mut self,
        ticket: u64,
        outcome: AppendOutcome,
        now: Now,
    ) -> bool {
        if self
            .announcement
            .take_if(|pending| *pending == ticket)
            .is_none()
        {
            return false;
        }
        // The announcement is confirmed once it is read back.
        let is_stored = matches!(outcome, AppendOutcome::Stored { .. });
        let delay_ms = if is_stored {
            READ_BACK_MS
        } else {
            ANNOUNCE_RETRY_MS
        };
        self.next_announce_ms = now.steady_ms + delay_ms;
        true
    }

    /// Claims ownership if no owner shows heartbeats, and starts to own once everything is read.
    pub(crate) fn maybe_claim(&mut self, now: Now, actions: &mut Vec<Action>) {
        if self.is_stopping {
            return self.withdraw_claim(now, actions);
        }
        if self.owner.is_some() || self.config.is_none() || !self.is_caught_up() {
            return;
        }
        // The owner is alive, and a heartbeat that this host has not read is no evidence.
        if self.reading.reads_only_rules() || self.relies_on_owner() {
            return;
        }
        let owner = &self.job_table.owner;
        let is_due = self.election.should_claim(self.states.known_ms(), owner);
        let is_turn = !is_due && self.election.is_claim_due(now.steady_ms, owner);
        // While the store is unavailable, no read can succeed that would allow a claim.
        if self.claim.is_none() && is_turn && !self.is_store_unavailable {
            self.states
                .read_now(now.steady_ms, now.steady_ms, &mut self.tickets, actions);
        }
        if self.claim.is_none() && is_due && self.knows_candidates(now, actions) {
            let owner = &self.job_table.owner;
            actions.push(Action::Note(Note::new(
                Code::OwnerSuspected,
                &*owner.host,
                format!("token={} leaving={}", owner.token, owner.is_leaving),
            )));
            let fence = self.election.next_fence(owner);
            self.read_all();
            // A list from an earlier claim would be outdated, and the store may no longer retain
            // the records since.
            self.workers = Tail::new(Stream::Workers, self.salt);
            self.worker_entries.clear();
            self.claim = Some(Claim {
                fence,
                sent_ms: None,
                ticket: None,
                retry_ms: 0,
                confirmed_ms: None,
                // The claim itself has sequence number 0.
                heartbeats: Appender::new(Stream::States, 1, now.steady_ms),
                heartbeat: 0,
                is_doubtful: false,
                withdrawal: Withdrawal::None,
            });
        }
        self.send_claim(now, actions);
        self.send_heartbeat(now, actions);
        self.finish_claim(now, actions);
    }

    /// Returns whether this host knows the other hosts, of which the strongest should become the
    /// first owner. It reads them only when its turn to claim comes: if all hosts read one
    /// another's announcements again and again, the load on the store would grow with the square of
    /// their number.
    fn knows_candidates(&mut self, now: Now, actions: &mut Vec<Action>) -> bool {
        let owner = &self.job_table.owner;
        let Some(turn_ms) = self
            .election
            .claim_due_ms(owner)
            .filter(|_| owner.token == 0)
        else {
            return true;
        };
        if self.jobs.is_fresh_since(turn_ms) || now.steady_ms >= turn_ms + MAX_READ_WAIT_MS {
            return true;
        }
        let tickets = &mut self.tickets;
        self.jobs.read_now(turn_ms, now.steady_ms, tickets, actions);
        false
    }

    /// Tells the other hosts that this one stops before it has begun to own, if its claim is or may be
    /// stored. Otherwise they would wait for its heartbeats, and nobody would own for seconds.
    fn withdraw_claim(&mut self, now: Now, actions: &mut Vec<Action>) {
        let Some(claim) = &mut self.claim else {
            return;
        };
        if claim.confirmed_ms.is_none() {
            if claim.is_doubtful {
                return self.send_claim(now, actions);
            }
            // Without a pending append, the claim is not stored and never will be.
            self.claim.take_if(|claim| claim.ticket.is_none());
            return;
        }
        if claim.heartbeats.is_idle() {
            if claim.withdrawal == Withdrawal::Sent {
                self.claim = None;
                return;
            }
            claim.withdrawal = Withdrawal::Sent;
            let records = vec![
                claim
                    .record(&self.host, &self.job_table.owner, now.steady_ms)
                    .row(),
            ];
            claim.heartbeats.begin(records, now.steady_ms);
        }
        let epoch = claim.fence.epoch;
        claim
            .heartbeats
            .send(epoch, 0, now.steady_ms, &mut self.tickets, actions);
    }

    /// Sends heartbeats while the progress of jobs is read, which takes a second or more over a
    /// slow link. Without them the other hosts would take this one for dead, claim, and read the
    /// same, so that none would ever own: 22 owners in a minute. A host that receives nothing from
    /// the store sends no heartbeats, so that another one may try.
    fn send_heartbeat(&mut self, now: Now, actions: &mut Vec<Action>) {
        let is_reading = self.progress.is_loading_on_time();
        let Some(claim) = self
            .claim
            .as_mut()
            .filter(|claim| claim.confirmed_ms.is_some())
        else {
            return;
        };
        if is_reading && claim.heartbeats.may_begin(now.steady_ms, HEARTBEAT_MS) {
            claim.heartbeat += 1;
            let records = vec![
                claim
                    .record(&self.host, &self.job_table.owner, now.steady_ms)
                    .row(),
            ];
            claim.heartbeats.begin(records, now.steady_ms);
        }
        let epoch = claim.fence.epoch;
        claim
            .heartbeats
            .send(epoch, 0, now.steady_ms, &mut self.tickets, actions);
    }

    fn send_claim(&mut self, now: Now, actions: &mut Vec<Action>) {
        let Some(claim) = &mut self.claim else {
            return;
        };
        if claim.ticket.is_some() || claim.confirmed_ms.is_some() || now.steady_ms < claim.retry_ms
        {
            return;
        }
        self.tickets += 1;
        claim.ticket = Some(self.tickets);
        claim.sent_ms.get_or_insert(now.steady_ms);
        let records = vec![
            claim
                .record(&self.host, &self.job_table.owner, now.steady_ms)
                .row(),
        ];
        actions.push(Action::Append {
            ticket: self.tickets,
            stream: Stream::Progress,
            fence: Some(claim.fence),
            records,
            timeout_ms: CLAIM_TIMEOUT_MS,
        });
    }

    /// Starts to own once everything before the claim and every job stored so far is read, and the
    /// list of workers is available.
    fn finish_claim(&mut self, now: Now, actions: &mut Vec<Action>) {
        let Some(stored_ms) = self.claim.as_ref().and_then(|claim| claim.confirmed_ms) else {
            return;
        };
        let token = self.claim.as_ref().map_or(0, |claim| claim.fence.epoch);
        if self.job_table.owner.token > token {
            self.claim = None;
            return;
        }
        let now_ms = now.steady_ms;
        let tickets = &mut self.tickets;
        // Everything that previous owners could write precedes the claim in the stream.
        self.progress
            .load_as_owner(self.bounds.link_bytes_per_s, now_ms, tickets, actions);
        if !self.jobs.is_fresh_since(stored_ms) {
            self.jobs.read_now(stored_ms, now_ms, tickets, actions);
        }
        let has_list = self.workers.is_loaded() || !self.recovered.workers.is_empty();
        let is_read = self.jobs.is_fresh_since(stored_ms) && has_list;
        let has_required = self.progress.is_loaded() && self.states.is_loaded();
        if !has_required || !is_read && now_ms < stored_ms + MAX_READ_WAIT_MS {
            return;
        }
        let Some(claim) = self.claim.take() else {
            return;
        };
        self.claimed_ms = stored_ms;
        let mut recovered = std::mem::take(&mut self.recovered);
        recovered.claim_sightings = self.claim_sightings.clone();
        recovered.claim_sent_ms = claim.sent_ms.unwrap_or(stored_ms);
        if !self.workers.is_loaded() {
            self.worker_entries = recovered.workers.clone();
        }
        let mut owner = Owner::new(
            &self.host,
            token,
            &self.bounds,
            &self.job_table,
            recovered,
            claim.heartbeats,
            now,
            actions,
        );
        owner.stats = self.past_stats;
        owner.set_evacuations(self.evacuations.clone());
        // While this host is the owner, it answers queries from its own job table.
        for (job, state) in owner.unpublished() {
            self.job_table.set_state(*job, *state);
        }
        owner.apply_worker_list(&self.worker_entries, now, actions);
        actions.push(Action::Note(Note::new(
            Code::OwnerBegun,
            &*self.host,
            format!(
                "token={token} jobs={} workers={} all_read={is_read} claim_age_ms={} cpu_permille={}",
                self.job_table.jobs.len(),
                self.worker_entries.len(),
                now_ms.saturating_sub(stored_ms),
                self.bounds.cpu_permille
            ),
        )));
        self.owner = Some(owner);
    }

    /// Handles the outcome of an append if it belongs to the claim, and returns whether it does.
    pub(crate) fn handle_claim(
        &mut self,
        ticket: u64,
        outcome: AppendOutcome,
        now: Now,
        actions: &mut Vec<Action>,
    ) -> bool {
        let Some(claim) = &mut self.claim else {
            return false;
        };
        if claim
            .heartbeats
            .handle_outcome(ticket, outcome, now.steady_ms)
            .is_some()
        {
            if outcome == AppendOutcome::Fenced {
                self.abandon_claim(now);
            }
            return true;
        }
        if claim.ticket != Some(ticket) {
            return false;
        }
        claim.ticket = None;
        match outcome {
            AppendOutcome::Stored { offset } => {
                claim.confirmed_ms = Some(now.steady_ms);
                self.progress = Tail::new(Stream::Progress, self.salt);
                self.recovered = RecoveredState::default();
                let epoch = claim.fence.epoch;
                self.claim_sightings.record(epoch, 0, now.steady_ms);
                let record = claim.record(&self.host, &self.job_table.owner, now.steady_ms);
                self.announce_claim(&record, actions);
                actions.push(Action::Note(Note::new(
                    Code::OwnerClaimed,
                    &*self.host,
                    format!("token={epoch} offset={offset}"),
                )));
            }
            AppendOutcome::Fenced => self.abandon_claim(now),
            AppendOutcome::Refused | AppendOutcome::Unknown => {
                claim.is_doubtful |= outcome == AppendOutcome::Unknown;
                claim.retry_ms = now.steady_ms + RETRY_MS
            }
        }
        true
    }

    /// Abandons the claim in favor of another host that was faster. That host gets the usual time
    /// to send its first heartbeat.
    fn abandon_claim(&mut self, now: Now) {
        self.claim = None;
        self.election.raise_min_token();
        self.election.restart_timeouts(now.steady_ms);
    }

    /// Announces a claim to the other hosts at once, so that they do not claim. If the append is
    /// lost, the owner's heartbeats follow soon.
    fn announce_claim(&mut self, record: &OwnerRecord, actions: &mut Vec<Action>) {
        self.tickets += 1;
        actions.push(Action::Append {
            ticket: self.tickets,
            stream: Stream::States,
            fence: Some(Fence {
                epoch: record.token,
                sequence: 0,
            }),
            records: vec![record.row()],
            timeout_ms: CLAIM_TIMEOUT_MS,
        });
    }

    /// Runs the owner's due work, or ends its ownership after it was fenced.
    pub(crate) fn run_owner(&mut self, now: Now, actions: &mut Vec<Action>) {
        let may_miss_evacuations = self.may_miss_evacuations(now);
        let Some(owner) = &mut self.owner else {
            return;
        };
        if owner.stepdown().is_none() {
            if self.jobs.is_fresh_since(self.claimed_ms) {
                owner.mark_caught_up();
            }
            owner.pause_starts(may_miss_evacuations);
            owner.set_list_known(self.workers.known_ms());
            owner.set_loading_list(self.workers.is_loading_on_time());
            owner.advance(now, &mut self.tickets, actions);
            for (job, state) in owner.drain_begun_jobs() {
                self.job_table.set_state(job, state);
            }
            return;
        }
        actions.push(Action::Note(Note::new(
            Code::OwnerEnded,
            &*self.host,
            format!("token={} why=fenced", owner.token()),
        )));
        owner.close_relays(actions);
        self.past_stats = owner.stats;
        self.owner = None;
        self.election.restart_timeouts(now.steady_ms);
    }
}
