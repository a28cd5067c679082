//! Times that one owner records and another one understands.
//!
//! Hosts share no clock, so a time or a time span in a record says nothing by itself to the next
//! owner. All hosts see each claim, though, at their own times and never before it was sent. An
//! owner therefore records times as counted from its claim, and each host that saw the claim knows
//! the latest time by its own clock that is meant. Without this, each owner in a row of short-lived
//! ones would begin every wait anew.

use crate::record::OwnerTime;
use std::collections::BTreeMap;

/// Maximum number of claims that are remembered. Records of owners before that are long obsolete.
const MAX_CLAIMS: usize = 64;

/// When this host knows that claims had been sent, by the owner's token.
#[derive(Debug, Clone, Default)]
pub(crate) struct ClaimSightings {
    sent_by_ms: BTreeMap<u64, u64>,
}

impl ClaimSightings {
    /// Records that an owner with this token had sent its claim by the given time.
    pub(crate) fn record(&mut self, token: u64, sent_by_ms: u64) {
        // Token 0 stands for no owner.
        if token == 0 {
            return;
        }
        let known_ms = self.sent_by_ms.entry(token).or_insert(sent_by_ms);
        *known_ms = sent_by_ms.min(*known_ms);
        if self.sent_by_ms.len() > MAX_CLAIMS {
            self.sent_by_ms.pop_first();
        }
    }

    /// Returns the latest time on this host's steady clock that a recorded time can mean. Returns
    /// `None` if this host knows neither that owner's claim nor a later one.
    pub(crate) fn latest_ms(&self, time: &OwnerTime) -> Option<u64> {
        if time.token == 0 {
            return None;
        }
        let claim_sent_ms = self.sent_by_ms.get(&time.token);
        let by_claim_ms = claim_sent_ms.map(|sent_ms| sent_ms + time.claim_age_ms);
        // The store rejects what an owner writes after a later claim.
        let later = self.sent_by_ms.range(time.token + 1..);
        let by_successor_ms = later.map(|(_, sent_ms)| *sent_ms).min();
        by_claim_ms.into_iter().chain(by_successor_ms).min()
    }
}
