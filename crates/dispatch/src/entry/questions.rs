//! Callers who ask for the state of a job, or how many wait.
//!
//! A question about what may have changed is answered once a read that was sent after it
//! has reached the end of its stream. Final states and what the owner knows need none. A host
//! that does not read jobs passes questions on to the owner, which answers them like its own.

use crate::entry::Entry;
use crate::entry::callers::RETRY_AFTER_MS;
use crate::event::Action;
use crate::event::ConnectionId;
use crate::event::Now;
use crate::event::Reply;
use crate::ids::JobId;
use crate::job_table::JobState;
use crate::relay;
use crate::relay::Inquiry;
use crate::relay::Subject;
use goldcrestway_core::Code;
use goldcrestway_core::Note;
use std::fmt;
use std::fmt::Display;
use std::fmt::Formatter;

/// Time for which a question waits for a fresh read before it is answered by what is
/// known, or told to come again.
const MAX_QUESTION_MS: u64 = 900;

/// Age of what waiting jobs are counted by, at most. Callers are told that a count may be two
/// seconds old; the rest is for the answer on its way.
const MAX_COUNT_AGE_MS: u64 = 1_750;

/// Who awaits the answer to a question.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Asker {
    /// A caller, by the number of its request.
    Caller(u64),
    /// Another host, which asks this one as the owner.
    Host(relay::Asker),
    /// This host itself, for the caller with this request, whose append had no answer.
    Write(u64),
}

/// A question to the owner on its way.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Flight {
    conn: ConnectionId,
    ticket: u64,
}

/// A question that awaits a read, or the owner's answer.
#[derive(Debug)]
pub(crate) struct Question {
    pub(crate) asker: Asker,
    pub(crate) about: About,
    pub(crate) asked_ms: u64,
    /// The host's latest ticket then: what was read under an earlier one may lack a job that
    /// was stored within the same millisecond.
    pub(crate) asked_after: u64,
    /// It was passed on to the owner.
    pub(crate) flight: Option<Flight>,
    /// What the owner has answered.
    pub(crate) reply: Option<Reply>,
}

impl Question {
    /// Gives what the owner is to be asked.
    fn subject(&self) -> Subject {
        match &self.about {
            About::State(job) | About::Cancel(job, _) => Subject::State(*job),
            About::Waiting(queue) => Subject::Waiting(queue.clone()),
        }
    }
}

/// What a question is about.
#[derive(Debug)]
pub(crate) enum About {
    State(JobId),
    /// Cancelling a job that is not known yet.
    Cancel(JobId, u64),
    Waiting(Box<str>),
}

impl Display for About {
    fn fmt(&self, formatter: &mut Formatter<'_>) -> fmt::Result {
        match self {
            About::State(job) | About::Cancel(job, _) => job.fmt(formatter),
            About::Waiting(queue) => queue.fmt(formatter),
        }
    }
}

impl Entry {
    /// Takes a question about a job in.
    pub(crate) fn query(&mut self, request: u64, job: JobId, now: Now, actions: &mut Vec<Action>) {
        if let Some(state) = self.certain_state(job) {
            actions.push(Action::Answer {
                request,
                reply: Reply::State(state),
            });
            return;
        }
        self.ask(Asker::Caller(request), About::State(job), now);
    }

    /// Has a question answered once that can be done.
    pub(super) fn ask(&mut self, asker: Asker, about: About, now: Now) {
        self.callers.questions.push(Question {
            asker,
            about,
            asked_ms: now.steady_ms,
            asked_after: self.tickets,
            flight: None,
            reply: None,
        });
    }

    /// Gives the state of a job if no read could change it, or if this host writes it.
    fn certain_state(&self, job: JobId) -> Option<JobState> {
        let record = self.job_table.jobs.get(&job)?;
        record.submission.as_ref()?;
        let state = record.state();
        (state.is_final() || self.owner.is_some()).then_some(state)
    }

    /// Takes a question about a queue in.
    pub(crate) fn count(&mut self, request: u64, queue: Box<str>, now: Now) {
        self.ask(Asker::Caller(request), About::Waiting(queue), now);
    }

    /// Takes in what other hosts ask this one as the owner.
    pub(super) fn take_inquiries(&mut self, now: Now) {
        let Some(owner) = &mut self.owner else {
            return;
        };
        for Inquiry { asker, subject } in owner.take_inquiries() {
            let about = match subject {
                Subject::State(job) => About::State(job),
                Subject::Waiting(queue) => About::Waiting(queue),
            };
            self.ask(Asker::Host(asker), about, now);
        }
    }

    /// Takes in what the owner has answered. A question that it can't answer waits on until it is
    /// late, or until another owner is heard and asked.
    pub(super) fn take_answers(&mut self) {
        for answer in self.relay.take_answers() {
            let is_meant = |question: &&mut Question| {
                let flight = question.flight;
                flight.is_some_and(|flight| flight.ticket == answer.ticket)
            };
            if let Some(question) = self.callers.questions.iter_mut().find(is_meant) {
                question.reply = answer.reply;
            }
        }
    }

    pub(crate) fn answer_questions(&mut self, now: Now, actions: &mut Vec<Action>) {
        let questions = std::mem::take(&mut self.callers.questions);
        for question in questions {
            if let Some(kept) = self.answer_question(question, now, actions) {
                self.callers.questions.push(kept);
            }
        }
    }

    /// Answers a question, or gives it back if it must wait on.
    fn answer_question(
        &mut self,
        mut question: Question,
        now: Now,
        actions: &mut Vec<Action>,
    ) -> Option<Question> {
        // While the store is away no read will bring what is missing in time.
        let is_late =
            self.is_store_unavailable || now.steady_ms >= question.asked_ms + MAX_QUESTION_MS;
        let reply = match self.reading.asks_owner() {
            true => self.answer_by_owner(&mut question, is_late, now),
            false => self.answer_by_reading(&question, is_late, now, actions),
        };
        let Some(reply) = reply else {
            return Some(question);
        };
        if let About::Cancel(job, answer_timeout_ms) = question.about
            && let Asker::Caller(request) = question.asker
            && let Reply::State(state) = reply
            && !state.is_final()
        {
            self.write_cancel(request, job, answer_timeout_ms, now, actions);
            return None;
        }
        let reply = match (&question.about, reply) {
            // It is cancelled, or there is nothing left to cancel.
            (About::Cancel(..), Reply::State(_)) => Reply::Stored,
            (_, reply) => reply,
        };
        self.reply(&question, reply, now, actions);
        None
    }

    fn reply(&mut self, question: &Question, reply: Reply, now: Now, actions: &mut Vec<Action>) {
        match question.asker {
            Asker::Caller(request) => {
                if let (About::Waiting(queue), Reply::Waiting(count)) = (&question.about, &reply) {
                    let detail = format!("waiting={count} {}", self.ages(now).describe_rules());
                    let note = Note::new(Code::QueueCounted, queue.clone(), detail);
                    actions.push(Action::Note(note));
                }
                if let Reply::NotDone { .. } = &reply {
                    let waited_ms = now.steady_ms - question.asked_ms;
                    let was_passed_on = question.flight.is_some();
                    let detail = format!("waited_ms={waited_ms} asked_owner={was_passed_on}");
                    let note = Note::new(Code::QuestionPutOff, question.about.to_string(), detail);
                    actions.push(Action::Note(note));
                }
                actions.push(Action::Answer { request, reply });
            }
            Asker::Host(asker) => {
                if let Some(owner) = &mut self.owner {
                    owner.answer_host(asker, &reply);
                }
            }
            Asker::Write(request) => self.record_read_back(request, &reply),
        }
    }

    /// Answers by what this host has read, once that is new enough.
    fn answer_by_reading(
        &mut self,
        question: &Question,
        is_late: bool,
        now: Now,
        actions: &mut Vec<Action>,
    ) -> Option<Reply> {
        match &question.about {
            About::State(job) => {
                self.answer_state(*job, question.asked_after, is_late, now, actions)
            }
            About::Waiting(queue) => {
                self.answer_waiting(queue, question.asked_ms, is_late, now, actions)
            }
            About::Cancel(job, _) => {
                let record = self.job_table.jobs.get(job);
                let known = record.filter(|record| record.submission.is_some());
                match known {
                    Some(record) => Some(Reply::State(record.state())),
                    None => self.answer_state(*job, question.asked_after, is_late, now, actions),
                }
            }
        }
    }

    /// Passes a question on to the owner, and answers by what that says.
    fn answer_by_owner(
        &mut self,
        question: &mut Question,
        is_late: bool,
        now: Now,
    ) -> Option<Reply> {
        let are_rules_current = self.are_rules_current(now);
        if let About::Waiting(queue) = &question.about {
            let config = self.config.as_ref().filter(|_| are_rules_current);
            if config.is_some_and(|config| config.queue(queue).is_none()) {
                return Some(Reply::NoSuchQueue);
            }
        }
        match question.reply.take() {
            // The rules that name the queue must be current here as well.
            Some(Reply::Waiting(count)) if are_rules_current => return Some(Reply::Waiting(count)),
            Some(Reply::Waiting(_) | Reply::NoSuchQueue) | None => {}
            Some(reply) => return Some(reply),
        }
        if is_late {
            return Some(Reply::NotDone {
                retry_after_ms: RETRY_AFTER_MS,
            });
        }
        let conn = self.reading.owner_connection?;
        // What was asked over a connection that is gone is asked again.
        if question.flight.is_none_or(|flight| flight.conn != conn) {
            self.tickets += 1;
            let ticket = self.tickets;
            question.flight = Some(Flight { conn, ticket });
            self.relay.ask(conn, ticket, question.subject());
        }
        None
    }

    fn answer_state(
        &mut self,
        job: JobId,
        asked_after: u64,
        is_late: bool,
        now: Now,
        actions: &mut Vec<Action>,
    ) -> Option<Reply> {
        if let Some(state) = self.certain_state(job) {
            return Some(Reply::State(state));
        }
        let record = self
            .job_table
            .jobs
            .get(&job)
            .filter(|record| record.submission.is_some());
        let is_fresh = match record {
            Some(_) => self.states.is_fresh_after(asked_after),
            None => self.jobs.is_fresh_after(asked_after),
        };
        if is_fresh {
            return Some(record.map_or(Reply::NoSuchJob, |record| Reply::State(record.state())));
        }
        if is_late {
            // A host that is not sure of being current must not say that a job is unknown.
            let unsure = Reply::NotDone {
                retry_after_ms: RETRY_AFTER_MS,
            };
            return Some(record.map_or(unsure, |record| Reply::State(record.state())));
        }
        let tickets = &mut self.tickets;
        match record {
            Some(_) => self
                .states
                .read_now_after(asked_after, now.steady_ms, tickets, actions),
            None => self
                .jobs
                .read_now_after(asked_after, now.steady_ms, tickets, actions),
        }
        None
    }

    /// Counts waiting jobs once what is known is no older than callers bear, and the rules that
    /// name the queue are current.
    fn answer_waiting(
        &mut self,
        queue: &str,
        asked_ms: u64,
        is_late: bool,
        now: Now,
        actions: &mut Vec<Action>,
    ) -> Option<Reply> {
        let since_ms = asked_ms.saturating_sub(MAX_COUNT_AGE_MS);
        let is_own = self.owner.is_some();
        let is_fresh =
            self.jobs.is_fresh_since(since_ms) && (is_own || self.states.is_fresh_since(since_ms));
        let are_rules_current = self.are_rules_current(now);
        let config = self.config.as_ref().filter(|_| are_rules_current);
        if config.is_some_and(|config| config.queue(queue).is_none()) {
            return Some(Reply::NoSuchQueue);
        }
        if is_fresh && are_rules_current {
            return Some(Reply::Waiting(self.job_table.count_waiting(queue)));
        }
        if is_late {
            return Some(Reply::NotDone {
                retry_after_ms: RETRY_AFTER_MS,
            });
        }
        let tickets = &mut self.tickets;
        self.jobs
            .read_now(asked_ms, now.steady_ms, tickets, actions);
        if !is_own {
            self.states
                .read_now(asked_ms, now.steady_ms, tickets, actions);
        }
        None
    }
}
