//! Looking at workers: keeps leases alive and learns what runs and what has ended.

use crate::event::Action;
use crate::event::Listed;
use crate::event::ListedRun;
use crate::event::Now;
use crate::event::OrderEnd;
use crate::event::WorkerCall;
use crate::ids::TaskId;
use crate::owner::Owner;
use crate::owner::calls::Purpose;
use crate::owner::worker::Fate;
use crate::owner::worker::Run;
use crate::owner::worker::RunPhase;
use crate::owner::worker::WorkerKey;
use crate::policy::link::Rank;
use crate::policy::looks::Looks;
use crate::policy::looks::Work;
use crate::policy::looks::first_gap_us;
use crate::policy::suspicion::SOUND_MS;
use goldcrestway_core::Code;
use goldcrestway_core::Note;
use std::collections::HashSet;

/// Time that a worker waits for an end before it answers a look. It bounds how late a
/// silent worker is noticed, and how old the tails of served tasks are.
const WAIT_MS: u64 = 700;
/// The same where fillers work beside a task that is over its target: how that goes on
/// decides whether they are halted in time.
const PRESSED_WAIT_MS: u64 = 250;
/// Looks that are sent in one turn, and in a millisecond where turns are shorter.
const LOOKS_MOST: usize = 100;
const LOOKS_A_MS: u64 = 20;
/// Time over which looks that are hastened are spread.
const HASTENED_MS: u64 = 700;
/// Pause between looks while ends wait to be recorded, which a look would repeat.
const HELD_GAP_MS: u64 = 1_000;
/// Pause before the look that follows one without an answer.
const MISSED_GAP_MS: u64 = 20;
/// Looks in a row without an answer at which that is told.
const SILENT_AT: u32 = 2;
/// Pause between looks at a worker that gives no answer.
const SILENT_GAP_MS: u64 = 300;
/// Looks in a row without an answer, all of them after its lease was over, at which a worker is
/// given up though this host's own link is suspected. Its platform lists it, so it is likely
/// alive, and its list may hold ends of tasks that would run again.
const SUSPECT_MISSES: u32 = 3;
/// Runs of which an order to start may be repeated before the run is given up.
const START_TRIES: u32 = 2;

impl Owner {
    /// Sends the looks that are due, and buries workers that can hold nothing any more.
    pub(crate) fn look_around(&mut self, now: Now, tickets: &mut u64, actions: &mut Vec<Action>) {
        let now_ms = now.steady_ms;
        let is_suspect = self.answers.is_link_suspect();
        let renew_ms = self.lease_span_ms() / 2;
        let mut due = Vec::new();
        let mut dead = Vec::new();
        for key in self.workers.due(now_ms) {
            let worker = &self.workers[key];
            let is_heard_out =
                !is_suspect || !worker.is_listed || worker.lapsed_misses >= SUSPECT_MISSES;
            let has_lapsed = worker.may_be_dead() && now_ms > worker.lapsed_ms && is_heard_out;
            if worker.is_over() || has_lapsed && worker.holds_up() {
                dead.push(key);
            } else if worker.awaits_look() && now_ms >= worker.next_look_ms {
                let rank = match now_ms + renew_ms > worker.lapsed_ms {
                    true => Rank::Lease,
                    false => Rank::Look,
                };
                due.push((rank, worker.runs.is_empty(), worker.lapsed_ms, key));
            }
        }
        for key in dead {
            self.bury(key, Fate::GivenUp, now, actions);
        }
        // Those on which something runs come first, in the order in which leases end. Should all be
        // due at once, as they are for a new owner, the rest has to wait for the next turns: signs
        // of life go out between them.
        due.sort_unstable();
        let passed_ms = now_ms.saturating_sub(self.looked_ms);
        self.looked_ms = now_ms;
        let refill = (passed_ms * LOOKS_A_MS).min(LOOKS_MOST as u64) as usize;
        self.looks_left = (self.looks_left + refill).min(LOOKS_MOST);
        due.truncate(self.looks_left);
        self.looks_left -= due.len();
        for (rank, _, _, key) in due {
            if self.link.admits(rank) {
                self.look(key, now_ms, tickets, actions);
            }
        }
    }

    fn look(&mut self, key: WorkerKey, now_ms: u64, tickets: &mut u64, actions: &mut Vec<Action>) {
        let is_confirmed = self.is_confirmed(now_ms);
        let span_ms = self.lease_span_ms();
        let lease_ms = self.lease_ms();
        let is_suspect = self.answers.is_link_suspect();
        let worker = &mut self.workers[key];
        // The lease of a silent worker must run out some day: its tasks are started
        // elsewhere only then. A look whose answer is lost would extend it. While answers are
        // late from all workers, this one is likely alive, and its tasks must not end for that.
        let is_heard = worker.misses == 0 || is_suspect && worker.misses < SUSPECT_MISSES;
        let extends = is_confirmed && worker.is_known && is_heard && !worker.is_noted_silent;
        let lease_until_ms = match worker.clock_ms(now_ms) {
            Some(clock_ms) if extends => Some(clock_ms + lease_ms),
            _ => None,
        };
        if lease_until_ms.is_some() {
            worker.lapsed_ms = worker.lapsed_ms.max(now_ms + span_ms);
        }
        let has_unrecorded = worker.handled > worker.recorded;
        let waits =
            worker.is_known && worker.misses == 0 && !has_unrecorded && worker.clock.is_some();
        let wait_ms = match waits {
            true if worker.is_pressed => PRESSED_WAIT_MS,
            true => WAIT_MS,
            false => 0,
        };
        // A worker that has started again since would take the figure for its own ends, and forget
        // what nobody has read. So it is told one only if there is something to forget, and not
        // after an answer was missing.
        let seen = match worker.misses == 0 && worker.recorded > worker.forgotten {
            true => worker.recorded,
            false => 0,
        };
        let call = WorkerCall::Look {
            seen,
            lease_until_ms,
            wait_ms,
        };
        self.figures.looks += 1;
        self.order(
            key,
            Purpose::Look {
                sent_ms: now_ms,
                seen,
            },
            call,
            now_ms,
            tickets,
            actions,
        );
        self.workers[key].is_looked_at = true;
    }

    pub(crate) fn end_look(
        &mut self,
        key: WorkerKey,
        sent_ms: u64,
        seen: u64,
        end: OrderEnd,
        now: Now,
        actions: &mut Vec<Action>,
    ) {
        let now_ms = now.steady_ms;
        let worker = &mut self.workers[key];
        worker.is_looked_at = false;
        let OrderEnd::Done {
            listed: Some(listed),
            ..
        } = end
        else {
            worker.miss(now_ms);
            worker.lapsed_misses += u32::from(sent_ms > worker.lapsed_ms);
            worker.next_look_ms = now_ms + MISSED_GAP_MS;
            if worker.is_silent() {
                worker.next_look_ms = now_ms + SILENT_GAP_MS;
            }
            if worker.misses == SILENT_AT {
                actions.push(Action::Note(Note::new(
                    Code::WorkerSilent,
                    &*worker.entry.id,
                    format!(
                        "answer_age_ms={} runs={}",
                        now_ms - worker.answered_ms,
                        worker.runs.len()
                    ),
                )));
            }
            return;
        };
        worker.forgotten = worker.forgotten.max(seen);
        let key = self.meet_incarnation(key, &listed, now, actions);
        let worker = &mut self.workers[key];
        if worker.is_silent() {
            self.must_place = true;
            actions.push(Action::Note(Note::new(
                Code::WorkerBack,
                &*worker.entry.id,
                format!(
                    "incarnation={} runs={} ends={} handled={} told_to_forget={}",
                    listed.incarnation,
                    listed.runs.len(),
                    listed.ends.len(),
                    worker.handled,
                    worker.forgotten
                ),
            )));
        }
        worker.misses = 0;
        worker.missed_ms = None;
        worker.lapsed_misses = 0;
        worker.answered_ms = now_ms;
        let was_known = worker.is_known;
        worker.is_known = true;
        self.must_place |= !was_known;
        if !was_known {
            self.settle_lost(key, now, actions);
        }
        self.take_ends(key, &listed, now, actions);
        self.take_runs(key, sent_ms, &listed, now_ms, actions);
        if !was_known {
            self.bar_late_starts(key, &listed, now_ms);
        }
        self.judge_fillers(key, now_ms, actions);
        let gap_ms = self.look_gap_ms(key);
        let worker = &mut self.workers[key];
        let gap_ms = match worker.handled > worker.recorded {
            true => HELD_GAP_MS,
            false if was_known => gap_ms,
            false => 0,
        };
        worker.next_look_ms = now_ms + gap_ms;
    }

    /// Gives the pause before the next look at a worker.
    fn look_gap_ms(&mut self, key: WorkerKey) -> u64 {
        let ending = self.workers.ending();
        let looks = Looks {
            at_rest: (self.workers.len() - ending) as u64,
            cpu_permille: self.bounds.cpu_permille,
            are_confirming: self.are_workers_confirming,
        };
        let work = self.workers[key].work();
        let link_gap_ms = match work {
            Work::Ending => self.link_gap_ms(ending),
            Work::Lasting | Work::None => self.link_gap_ms(self.workers.len()),
        };
        looks.gap_ms(work).max(link_gap_ms)
    }

    /// Has a worker that was at rest looked at like one on which something is about to end.
    pub(super) fn look_soon(&mut self, key: WorkerKey, now_ms: u64) {
        let at_ms = now_ms + self.look_gap_ms(key);
        let worker = &mut self.workers[key];
        worker.next_look_ms = worker.next_look_ms.min(at_ms);
    }

    /// Spreads the first looks at workers on which nothing runs, by what the owner's processor bears.
    /// Those that run something are looked at first.
    pub(crate) fn spread_first_looks(&mut self, now_ms: u64) {
        let gap_us = first_gap_us(self.bounds.cpu_permille);
        let mut waits_us = 0;
        for worker in self.workers.values_mut() {
            let was_looked_at = worker.is_known || worker.next_look_ms > 0;
            if worker.runs.is_empty() && !was_looked_at {
                worker.next_look_ms = now_ms + waits_us / 1_000;
                waits_us += gap_us;
            }
        }
    }

    /// Has workers at rest looked at within a second, as they have to confirm this owner.
    pub(super) fn hasten_looks(&mut self, now_ms: u64) {
        let mut place = 0;
        for worker in self.workers.values_mut() {
            place += 1;
            let at_ms = now_ms + place % HASTENED_MS;
            worker.next_look_ms = worker.next_look_ms.min(at_ms);
        }
    }

    fn take_ends(&mut self, key: WorkerKey, listed: &Listed, now: Now, actions: &mut Vec<Action>) {
        for end in &listed.ends {
            if end.number <= self.workers[key].handled {
                continue;
            }
            self.workers[key].handled = end.number;
            self.apply_end(
                key,
                end.task,
                end.run,
                end.manner,
                &end.checkpoint,
                now,
                actions,
            );
        }
    }

    /// Compares what the worker lists as running with what should be there.
    fn take_runs(
        &mut self,
        key: WorkerKey,
        sent_ms: u64,
        listed: &Listed,
        now_ms: u64,
        actions: &mut Vec<Action>,
    ) {
        let mut present = HashSet::with_capacity(listed.runs.len());
        for row in &listed.runs {
            present.insert((row.task, row.run));
            let is_known = self.workers[key].runs.contains_key(&(row.task, row.run));
            if !is_known && !self.take_back(key, row, now_ms) {
                self.add_stray(key, row, now_ms);
            }
            let Some(run) = self.workers[key].runs.get_mut(&(row.task, row.run)) else {
                continue;
            };
            let (was_sound, was_probe) = (run.is_sound, run.is_probe);
            note_row(run, row, now_ms);
            if run.is_sound && !was_sound {
                self.workers[key].take_for_sound(row.task, row.run);
                self.clear_suspicion(row.task);
                self.must_place |= was_probe;
            }
        }
        let mut absent = Vec::new();
        for (id, run) in &self.workers[key].runs {
            if !present.contains(id) {
                absent.push((*id, run.phase));
            }
        }
        for ((task, number), phase) in absent {
            self.take_absent(key, task, number, phase, sent_ms, now_ms, actions);
        }
    }

    #[expect(
        clippy::too_many_arguments,
        reason = "These are what is known of one run."
    )]
    fn take_absent(
        &mut self,
        key: WorkerKey,
        task: TaskId,
        number: u32,
        phase: RunPhase,
        sent_ms: u64,
        now_ms: u64,
        actions: &mut Vec<Action>,
    ) {
        match phase {
            RunPhase::Recording | RunPhase::Sent | RunPhase::Stopping { .. } => {}
            // Orders of a former owner are refused from this look on.
            RunPhase::Inherited => {
                let id = &self.workers[key].entry.id;
                self.doubtful_starts.note(id, task, number, now_ms);
                self.lose_run(key, task, number, now_ms);
            }
            RunPhase::Stopped { since_ms } if sent_ms >= since_ms => {
                self.lose_run(key, task, number, now_ms);
            }
            RunPhase::Doubtful { since_ms } if sent_ms >= since_ms => {
                self.retry_start(key, task, number, now_ms);
            }
            RunPhase::Present { since_ms } if sent_ms >= since_ms => {
                self.note_vanished(key, task, number, now_ms - since_ms, actions);
                self.set_phase(key, task, number, RunPhase::Stopping { again_ms: 0 });
            }
            _ => {}
        }
    }

    /// Tells of a run that was there and is missing, though its end was not listed. It will run
    /// again, so if it has ended well after all, it runs twice.
    fn note_vanished(
        &self,
        key: WorkerKey,
        task: TaskId,
        number: u32,
        present_ms: u64,
        actions: &mut Vec<Action>,
    ) {
        let worker = &self.workers[key];
        let percent = worker
            .runs
            .get(&(task, number))
            .map_or(0, |run| run.percent);
        actions.push(Action::Note(Note::new(
            Code::RunVanished,
            task.to_string(),
            format!(
                "run={number} worker={} present_ms={} percent={percent} handled={} told_to_forget={}",
                worker.entry.id,
                present_ms,
                worker.handled,
                worker.forgotten
            ),
        )));
    }

    fn retry_start(&mut self, key: WorkerKey, task: TaskId, number: u32, now_ms: u64) {
        self.workers[key].has_orders = true;
        let Some(run) = self.workers[key].runs.get_mut(&(task, number)) else {
            return;
        };
        run.phase = match run.tries < START_TRIES && !run.is_stray {
            // The same number makes a repeat harmless.
            true => RunPhase::Recording,
            false => RunPhase::Stopping { again_ms: now_ms },
        };
        if run.phase == RunPhase::Recording {
            self.writer.start_once_stored(key, task, number);
            if let Some(job) = self.job_keys.get(&task.job) {
                self.jobs[*job].is_dirty = true;
            }
        }
    }

    pub(crate) fn set_phase(&mut self, key: WorkerKey, task: TaskId, number: u32, phase: RunPhase) {
        self.workers[key].has_orders = true;
        if let Some(run) = self.workers[key].runs.get_mut(&(task, number)) {
            run.phase = phase;
        }
    }
}

fn note_row(run: &mut Run, row: &ListedRun, now_ms: u64) {
    // What a former owner started is judged from the first look on.
    if run.phase == RunPhase::Inherited {
        run.begun_ms = now_ms;
        run.first_ms = now_ms;
        run.first_percent = row.percent;
        run.moved_ms = now_ms;
    }
    // A resumed run begins at the share of the work that its checkpoint holds.
    if run.percent == 0 && !run.checkpoint.is_empty() && run.first_percent == 0 {
        run.first_percent = row.percent;
        run.first_ms = now_ms;
    }
    if row.percent > run.percent {
        run.moved_ms = now_ms;
    }
    run.was_there = true;
    run.percent = row.percent;
    run.gauge = row.gauge;
    if !row.checkpoint.is_empty() {
        run.checkpoint.clone_from(&row.checkpoint);
    }
    match run.phase {
        RunPhase::Present { since_ms } => run.is_sound |= now_ms >= since_ms + SOUND_MS,
        RunPhase::Inherited | RunPhase::Doubtful { .. } => {
            run.phase = RunPhase::Present { since_ms: now_ms };
        }
        _ => {}
    }
}
