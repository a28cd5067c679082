//! Times that one owner records and another one understands.
//!
//! **Load pattern:** all hosts are stopped and started in turn, and no owner lives for longer than a
//! second. Hosts share no clock, so a time or a time span in a record says nothing by itself to the
//! next owner.
//!
//! **Without it** each owner begins every wait anew: a worker that has left is waited for as long as
//! owners come and go. It shows as long-running tasks that run nowhere although there is room.
//! Therefore an owner records times as counted from its claim, and each host that saw the claim knows
//! the latest time by its own clock that is meant.
//!
//! **Limits:** a bound may be late, never early, as leases must not be taken for expired too soon. A
//! claim may be stored long after it was sent, and until then the previous owner still writes.

use std::collections::BTreeMap;

/// Maximum number of claims that are remembered. Records of owners before that are long obsolete.
const MAX_CLAIMS: usize = 64;

/// What is known of a claim, by this host's steady clock.
#[derive(Debug, Clone, Copy)]
struct Sighting {
    /// The claim had been sent by this time.
    sent_by_ms: u64,
    /// The claim was stored by this time.
    stored_by_ms: u64,
}

/// When this host knows that claims had been sent and stored, by the owner's token.
#[derive(Debug, Clone, Default)]
pub struct ClaimSightings {
    claims: BTreeMap<u64, Sighting>,
}

impl ClaimSightings {
    /// Records at `now_ms` that the claim with this token is stored and was sent at least
    /// `claim_age_ms` ago. Token 0 stands for no owner.
    pub fn record(&mut self, token: u64, claim_age_ms: u64, now_ms: u64) {
        if token == 0 {
            return;
        }
        let sent_by_ms = now_ms.saturating_sub(claim_age_ms);
        let claim = self.claims.entry(token).or_insert(Sighting {
            sent_by_ms,
            stored_by_ms: now_ms,
        });
        claim.sent_by_ms = claim.sent_by_ms.min(sent_by_ms);
        if self.claims.len() > MAX_CLAIMS {
            self.claims.pop_first();
        }
    }

    /// Returns the latest time on this host's steady clock that can be meant by a time that an owner
    /// has recorded, given its token and the time since it sent its claim. Returns `None` if this
    /// host knows neither that claim nor a later one.
    pub fn latest_ms(&self, token: u64, claim_age_ms: u64) -> Option<u64> {
        if token == 0 {
            return None;
        }
        let claim = self.claims.get(&token);
        let by_claim_ms = claim.map(|claim| claim.sent_by_ms + claim_age_ms);
        // The store rejects what an owner writes once a later claim is stored.
        let later = self.claims.range(token + 1..);
        let by_successor_ms = later.map(|(_, claim)| claim.stored_by_ms).min();
        by_claim_ms.into_iter().chain(by_successor_ms).min()
    }
}
