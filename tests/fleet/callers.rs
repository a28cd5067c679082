//! Callers of the fleet, which submit, cancel and query jobs.

use crate::fleet::Fleet;
use goldcrestway_dispatch::Ages;
use goldcrestway_dispatch::Entry;
use goldcrestway_dispatch::Event;
use goldcrestway_dispatch::JobId;
use goldcrestway_dispatch::JobState;
use goldcrestway_dispatch::Reply;
use goldcrestway_dispatch::Submission;
use goldcrestway_dispatch::policy::fair_shares::QueueShare;

impl Fleet {
    /// Submits a job to a host, and returns the number of the request.
    pub(crate) fn submit(&mut self, number: usize, id: u64, submission: &Submission) -> u64 {
        self.requests += 1;
        let request = self.requests;
        let job = JobId(id);
        self.promises.submitted.insert(job, submission.clone());
        self.submission_jobs.insert(request, job);
        let event = Event::Submit {
            request,
            job,
            submission: Submission {
                accepted_wall_ms: self.now(number).wall_ms,
                ..submission.clone()
            },
            answer_timeout_ms: 3_000,
        };
        self.handle(number, event);
        request
    }

    pub(crate) fn cancel(&mut self, number: usize, id: u64) -> u64 {
        self.requests += 1;
        self.promises.cancelled.insert(JobId(id));
        let event = Event::Cancel {
            request: self.requests,
            job: JobId(id),
            answer_timeout_ms: 3_000,
        };
        self.handle(number, event);
        self.requests
    }

    pub(crate) fn query(&mut self, number: usize, id: u64) -> u64 {
        self.requests += 1;
        let event = Event::Query {
            request: self.requests,
            job: JobId(id),
        };
        self.handle(number, event);
        self.requests
    }

    pub(crate) fn count(&mut self, number: usize) -> u64 {
        self.count_in(number, "batch")
    }

    pub(crate) fn count_in(&mut self, number: usize, queue: &str) -> u64 {
        self.requests += 1;
        let event = Event::Count {
            request: self.requests,
            queue: queue.into(),
        };
        self.handle(number, event);
        self.requests
    }

    /// Returns the number of hosts, with those that are down.
    pub(crate) fn host_count(&self) -> usize {
        self.hosts.len()
    }

    /// Returns the ages of the data of a host.
    pub(crate) fn ages(&self, number: usize) -> Ages {
        let entry = self.hosts[number].entry.as_ref();
        entry.map_or(Ages::default(), |entry| entry.ages(self.now(number)))
    }

    /// Returns the shares of all queues, as a host knows them.
    pub(crate) fn queue_shares(&self, number: usize) -> Vec<QueueShare> {
        let entry = self.hosts[number].entry.as_ref();
        entry.map_or(Vec::new(), Entry::queue_shares)
    }

    /// Queries a host for the states of jobs, several at a time, and waits for the answers.
    pub(crate) fn states(
        &mut self,
        number: usize,
        ids: &[JobId],
    ) -> Vec<(JobId, Option<JobState>)> {
        const AT_A_TIME: usize = 20;
        let mut states = Vec::with_capacity(ids.len());
        for chunk in ids.chunks(AT_A_TIME) {
            let query = |id: &JobId| (*id, self.query(number, id.0));
            let requests: Vec<(JobId, u64)> = chunk.iter().map(query).collect();
            self.run(1_200);
            for (id, request) in requests {
                let state = match self.replies.get(&request) {
                    Some(Reply::State(state)) => Some(*state),
                    _ => None,
                };
                states.push((id, state));
            }
        }
        states
    }

    /// Queries a host for the state of a job, and waits for the answer.
    pub(crate) fn state(&mut self, number: usize, id: u64) -> Option<JobState> {
        let request = self.query(number, id);
        self.run(1_200);
        match self.replies.get(&request) {
            Some(Reply::State(state)) => Some(*state),
            _ => None,
        }
    }
}
