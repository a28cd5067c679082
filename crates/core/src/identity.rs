//! Identities of non-idempotent requests, each of which runs at most once.
//!
//! Without them, a caller that gets no answer and repeats its request at another
//! entry host causes it to run twice, and a truck is sent twice. The owner of the
//! identity's cell records an intent in the log before the request may run, which
//! informs later owners. A repeated request gets the outcome of the first one.

use crate::record::Outcome;
use std::collections::HashMap;
use std::collections::VecDeque;

/// State of an identity.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum State {
    /// Its intent is being written to the log.
    Recording,
    /// The request may run, or may have run.
    Begun,
    /// The request has ended.
    Ended {
        /// Its outcome.
        outcome: Outcome,
        /// HTTP status of the answer, 0 if there was none.
        status: u16,
    },
}

/// Result of admitting a request with an identity.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Admission {
    /// New: its intent must be recorded, then it may run.
    New,
    /// Known: the state of the first request with this identity.
    Known(State),
    /// The identity was used for a different request.
    Conflict,
}

#[derive(Debug, Clone, Copy)]
struct Entry {
    fingerprint: u64,
    state: State,
    since_ms: u64,
}

/// The identities of one cell.
#[derive(Debug, Clone, Default)]
pub struct IdentityTable {
    entries: HashMap<u128, Entry>,
    by_age: VecDeque<(u64, u128)>,
}

impl IdentityTable {
    /// Admits a request; a new identity is entered in the state `Recording`.
    pub fn admit(&mut self, now_ms: u64, identity: u128, fingerprint: u64) -> Admission {
        match self.entries.get(&identity) {
            Some(entry) if entry.fingerprint != fingerprint => Admission::Conflict,
            Some(entry) => Admission::Known(entry.state),
            None => {
                self.set(now_ms, identity, fingerprint, State::Recording);
                Admission::New
            }
        }
    }

    /// Returns the state of an identity.
    pub fn state(&self, identity: u128) -> Option<State> {
        self.entries.get(&identity).map(|entry| entry.state)
    }

    /// Records that the intent is in the log.
    pub fn begin(&mut self, now_ms: u64, identity: u128, fingerprint: u64) {
        match self.entries.get_mut(&identity) {
            Some(entry) => entry.state = State::Begun,
            None => self.set(now_ms, identity, fingerprint, State::Begun),
        }
    }

    /// Records the outcome of a request; one that did not run may be sent again.
    pub fn end(&mut self, identity: u128, outcome: Outcome, status: u16) {
        if outcome == Outcome::NotRun {
            self.entries.remove(&identity);
            return;
        }
        if let Some(entry) = self.entries.get_mut(&identity) {
            entry.state = State::Ended { outcome, status };
        }
    }

    /// Removes an identity whose intent never reached the log.
    pub fn withdraw(&mut self, identity: u128) {
        if self.entries.get(&identity).map(|entry| entry.state) == Some(State::Recording) {
            self.entries.remove(&identity);
        }
    }

    /// Removes identities older than `window_ms`, the time within which callers
    /// repeat requests.
    pub fn forget(&mut self, now_ms: u64, window_ms: u64) {
        while let Some((since_ms, identity)) = self.by_age.front().copied() {
            if now_ms < since_ms + window_ms {
                break;
            }
            self.by_age.pop_front();
            let entry = self.entries.get(&identity);
            if entry.is_some_and(|entry| entry.since_ms == since_ms) {
                self.entries.remove(&identity);
            }
        }
    }

    /// Returns the identities that are in the log, for a snapshot.
    pub fn list(&self) -> Vec<(u128, u64, State)> {
        let kept = self
            .entries
            .iter()
            .filter(|(_, entry)| entry.state != State::Recording);
        let mut list: Vec<_> = kept
            .map(|(identity, entry)| (*identity, entry.fingerprint, entry.state))
            .collect();
        list.sort_unstable_by_key(|(identity, _, _)| *identity);
        list
    }

    /// Returns the number of identities.
    pub fn len(&self) -> usize {
        self.entries.len()
    }

    /// Returns whether there are no identities.
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }

    fn set(&mut self, now_ms: u64, identity: u128, fingerprint: u64, state: State) {
        let entry = Entry {
            fingerprint,
            state,
            since_ms: now_ms,
        };
        self.entries.insert(identity, entry);
        self.by_age.push_back((now_ms, identity));
    }
}
