//! Writing progress to the store, and what follows once it is stored.

use crate::event::Action;
use crate::event::AppendEnd;
use crate::event::Fence;
use crate::event::Now;
use crate::event::StoredRecord;
use crate::event::Stream;
use crate::ids::TaskId;
use crate::owner::Owner;
use crate::owner::Stepdown;
use crate::owner::job::JobKey;
use crate::owner::worker::RunPhase;
use crate::owner::worker::WorkerKey;
use crate::record::Key;
use crate::record::OwnerRecord;
use prost::Message;

/// Pause between appends. Each costs a call to the store; a start that waits for 20 ms
/// is still well inside objectives of 250 ms and more.
const GAP_MS: u64 = 20;
/// Signs of life while nothing else is written. Followers claim after three missing ones.
const BEAT_MS: u64 = 250;
/// Pause between two records of what was learned. A successor loses as much at most.
const LEARNED_MS: u64 = 2_500;
/// Time after which an append without an answer is repeated. The store answers in 4 ms,
/// and in 240 ms when it is sixty times slower.
const APPEND_TIMEOUT_MS: u64 = 700;
/// Pause before a refused append is repeated.
const RETRY_MS: u64 = 60;
/// Bytes of records in one append, well under what the store takes at once.
const BATCH_MOST_BYTES: usize = 200_000;

/// An append that is not stored yet.
#[derive(Debug)]
struct Batch {
    ticket: Option<u64>,
    retry_ms: u64,
    records: Vec<(Box<str>, Box<[u8]>)>,
    starts: Vec<(WorkerKey, TaskId, u32)>,
    seen: Vec<(WorkerKey, u64)>,
    sent_ms: u64,
}

/// Appends of the owner: one at a time, so that their order is that of the log.
#[derive(Debug)]
pub(crate) struct Writer {
    /// The claim was number 0.
    next_sequence: u64,
    batch: Option<Batch>,
    last_ms: u64,
    beat: u64,
    must_announce: bool,
    learned_ms: u64,
    /// Runs whose records are in no batch yet.
    starts: Vec<(WorkerKey, TaskId, u32)>,
}

impl Writer {
    pub(crate) fn new(now_ms: u64) -> Self {
        Self {
            next_sequence: 1,
            batch: None,
            last_ms: now_ms,
            beat: 0,
            must_announce: false,
            learned_ms: now_ms,
            starts: Vec::new(),
        }
    }

    /// Has the next append tell about the owner.
    pub(crate) fn announce(&mut self) {
        self.must_announce = true;
    }

    /// Has a run started once its job's record is stored.
    pub(crate) fn start_once_stored(&mut self, worker: WorkerKey, task: TaskId, run: u32) {
        self.starts.push((worker, task, run));
    }
}

impl Owner {
    /// Appends what has changed, or repeats what has no answer.
    pub(crate) fn write(&mut self, now: Now, tickets: &mut u64, actions: &mut Vec<Action>) {
        if self.writer.batch.is_none() {
            self.fill_batch(now);
        }
        let fence = Fence {
            epoch: self.token,
            sequence: self.writer.next_sequence,
        };
        let Some(batch) = &mut self.writer.batch else {
            return;
        };
        if batch.ticket.is_some() || now.steady_ms < batch.retry_ms {
            return;
        }
        *tickets += 1;
        batch.ticket = Some(*tickets);
        batch.sent_ms = now.steady_ms;
        self.figures.appends += 1;
        actions.push(Action::Append {
            ticket: *tickets,
            stream: Stream::Progress,
            fence: Some(fence),
            records: batch.records.clone(),
            timeout_ms: APPEND_TIMEOUT_MS,
        });
    }

    fn fill_batch(&mut self, now: Now) {
        let is_quiet = now.steady_ms < self.writer.last_ms + BEAT_MS && !self.writer.must_announce;
        if now.steady_ms < self.writer.last_ms + GAP_MS {
            return;
        }
        let mut records = Vec::new();
        let mut bytes = 0;
        let mut written = Vec::new();
        for key in &self.live {
            let job = &self.jobs[*key];
            if !job.is_dirty || bytes > BATCH_MOST_BYTES {
                continue;
            }
            let workers = &self.workers;
            let progress = job.progress(|worker| {
                workers
                    .get(worker)
                    .map_or(String::new(), |worker| worker.entry.id.to_string())
            });
            let value = progress.encode_to_vec();
            bytes += value.len();
            records.push((Key::Progress(job.id).text(), value.into()));
            written.push(*key);
        }
        if records.is_empty() {
            self.forget_ends_without_effect();
        }
        if records.is_empty() && is_quiet {
            return;
        }
        if self.writer.must_announce || records.is_empty() {
            records.push(self.owner_record());
            self.writer.must_announce = false;
        }
        if now.steady_ms >= self.writer.learned_ms + LEARNED_MS {
            self.writer.learned_ms = now.steady_ms;
            let learned = self.interference.learned(&self.images);
            records.push((Key::Learned.text(), learned.encode_to_vec().into()));
        }
        self.make_batch(records, written, now.steady_ms);
    }

    /// Ends that changed nothing need no record before workers forget them.
    fn forget_ends_without_effect(&mut self) {
        for worker in self.workers.values_mut() {
            if worker.handled > worker.recorded {
                worker.recorded = worker.handled;
                worker.next_look_ms = 0;
            }
        }
    }

    fn owner_record(&mut self) -> (Box<str>, Box<[u8]>) {
        self.writer.beat += 1;
        let record = OwnerRecord {
            token: self.token,
            host: self.host.to_string(),
            is_leaving: self.is_leaving,
            beat: self.writer.beat,
        };
        (Key::Owner.text(), record.encode_to_vec().into())
    }

    fn make_batch(
        &mut self,
        records: Vec<(Box<str>, Box<[u8]>)>,
        written: Vec<JobKey>,
        now_ms: u64,
    ) {
        for key in &written {
            self.jobs[*key].is_dirty = false;
        }
        let mut starts = Vec::new();
        let jobs = &self.jobs;
        let keys = &self.job_keys;
        self.writer.starts.retain(|start| {
            let is_written = keys
                .get(&start.1.job)
                .is_some_and(|key| !jobs[*key].is_dirty);
            if is_written {
                starts.push(*start);
            }
            !is_written
        });
        let mut seen = Vec::new();
        let all_written = self.live.iter().all(|key| !self.jobs[*key].is_dirty);
        for (key, worker) in &self.workers {
            if all_written && worker.handled > worker.recorded {
                seen.push((key, worker.handled));
            }
        }
        self.writer.last_ms = now_ms;
        self.writer.batch = Some(Batch {
            ticket: None,
            retry_ms: 0,
            records,
            starts,
            seen,
            sent_ms: now_ms,
        });
    }

    /// Takes in the end of the append with this ticket. Gives the stored records.
    pub(crate) fn finish_append(
        &mut self,
        ticket: u64,
        end: AppendEnd,
        now: Now,
        tickets: &mut u64,
        actions: &mut Vec<Action>,
    ) -> Option<Vec<StoredRecord>> {
        let batch = self.writer.batch.as_mut()?;
        if batch.ticket != Some(ticket) {
            return None;
        }
        batch.ticket = None;
        match end {
            AppendEnd::Fenced => {
                self.stepdown = Some(Stepdown::Fenced);
                Some(Vec::new())
            }
            // The same sequence number makes a repeat harmless.
            AppendEnd::Refused | AppendEnd::Unknown => {
                batch.retry_ms = now.steady_ms + RETRY_MS;
                Some(Vec::new())
            }
            AppendEnd::Stored { offset } => {
                self.confirmed_ms = self.confirmed_ms.max(batch.sent_ms);
                let batch = self.writer.batch.take()?;
                self.writer.next_sequence += 1;
                for (worker, number) in batch.seen {
                    self.confirm_seen(worker, number, now.steady_ms);
                }
                for (worker, task, run) in batch.starts {
                    self.send_start(worker, task, run, now, tickets, actions);
                }
                self.drop_final();
                Some(stored(offset, batch.records))
            }
        }
    }

    fn confirm_seen(&mut self, key: WorkerKey, number: u64, now_ms: u64) {
        if let Some(worker) = self.workers.get_mut(key) {
            worker.recorded = worker.recorded.max(number);
            worker.next_look_ms = worker.next_look_ms.min(now_ms);
        }
    }

    /// Lets go of jobs whose end is on record and of which nothing runs.
    fn drop_final(&mut self) {
        let (jobs, keys) = (&mut self.jobs, &mut self.job_keys);
        self.live.retain(|key| {
            let job = &jobs[*key];
            let stays = !job.phase.is_final() || job.is_dirty;
            if !stays {
                keys.remove(&job.id);
                jobs.remove(*key);
            }
            stays
        });
    }

    /// Tells whether a run still awaits its order.
    pub(crate) fn is_recording(&self, worker: WorkerKey, task: TaskId, run: u32) -> bool {
        self.workers
            .get(worker)
            .and_then(|worker| worker.runs.get(&(task, run)))
            .is_some_and(|run| run.phase == RunPhase::Recording)
    }
}

fn stored(offset: u64, records: Vec<(Box<str>, Box<[u8]>)>) -> Vec<StoredRecord> {
    let mut list = Vec::with_capacity(records.len());
    for (number, (key, value)) in records.into_iter().enumerate() {
        list.push(StoredRecord {
            offset: offset + number as u64,
            key,
            value,
        });
    }
    list
}
