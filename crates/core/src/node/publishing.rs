//! Publishing of configuration changes, and putting new versions into force.

use super::Node;
use crate::config::PublishOutcome;
use crate::event::Answer;
use crate::ids::Cell;
use crate::layout::Layout;
use crate::notes::Code;
use crate::record::ConfigChange;
use crate::record::Record;
use goldcrestway_inventory::Inventory;
use std::collections::BTreeSet;
use std::collections::HashMap;

/// Time after which an operator is told that the outcome is not known yet.
const PUBLISH_TIMEOUT_MS: u64 = 10_000;

/// A change whose outcome an operator is waiting for.
#[derive(Debug, Clone)]
pub(super) struct PendingChange {
    request: u64,
    id: Box<str>,
    deadline_ms: u64,
}

/// The cells in which each job of the inventory could run, whatever is in use there.
#[derive(Debug, Clone, Default)]
pub(super) struct Runnable {
    /// Cells of workers by job.
    cells: HashMap<Box<str>, Vec<Cell>>,
    /// Why a job could never run, by job.
    reasons: HashMap<Box<str>, Box<str>>,
}

impl Runnable {
    /// Determines for each job the cells that have a host large enough for it.
    fn build(inventory: &Inventory) -> Self {
        let mut runnable = Self::default();
        for (name, job) in &inventory.jobs {
            if let Some(reason) = inventory.unplaceable_reason(name, job) {
                runnable.reasons.insert(name.clone(), reason.into());
                continue;
            }
            let mut cells = BTreeSet::new();
            for (host_name, host) in &inventory.hosts {
                if job
                    .need
                    .fits(host.capacity.minus(inventory.reserved(host_name)))
                {
                    cells.insert(Cell::workers(&host.rack));
                }
            }
            runnable
                .cells
                .insert(name.clone(), cells.into_iter().collect());
        }
        runnable
    }

    /// Returns the cells in which `job` could run.
    pub(super) fn cells(&self, job: &str) -> &[Cell] {
        self.cells
            .get(job)
            .map(|cells| &**cells)
            .unwrap_or_default()
    }

    /// Returns the reason why `job` could never run, if there is one.
    pub(super) fn reason(&self, job: &str) -> Option<Box<str>> {
        self.reasons.get(job).cloned()
    }
}

impl Node {
    pub(super) fn handle_publish(&mut self, request: u64, change: ConfigChange) {
        if let Some(outcome) = self.config.publish_outcome(&change.id)
            && !matches!(outcome, PublishOutcome::Accepted { .. })
        {
            let outcome = outcome.clone();
            self.answer(request, Answer::Published(outcome));
            return;
        }
        let is_known = self.config.publish_outcome(&change.id).is_some();
        if !is_known && self.acts_until_ms().is_none() {
            let reason = "this entry host may not act now";
            let retry_after_ms = 1_000;
            self.answer(
                request,
                Answer::NotRun {
                    reason,
                    retry_after_ms,
                },
            );
            return;
        }
        self.publishing.push(PendingChange {
            request,
            id: change.id.clone(),
            deadline_ms: self.now_ms + PUBLISH_TIMEOUT_MS,
        });
        if !is_known {
            self.config_writer.push(self.now_ms, Record::Config(change));
        }
    }

    /// Answers waiting operators. A change is reported as accepted once it has become
    /// the current version in the log and a majority of voters has that version in
    /// force. From then on any process without it loses its lease within seconds.
    pub(super) fn tick_publishing(&mut self) {
        let mut still_pending = Vec::new();
        for pending in std::mem::take(&mut self.publishing) {
            let is_expired = self.now_ms >= pending.deadline_ms;
            let answer = match self.config.publish_outcome(&pending.id) {
                Some(PublishOutcome::Accepted { version })
                    if !self.has_majority_in_force(*version) =>
                {
                    None
                }
                Some(outcome) => Some(Answer::Published(outcome.clone())),
                None => None,
            };
            match answer {
                Some(answer) => self.answer(pending.request, answer),
                None if is_expired => {
                    let reason = "no verdict yet; ask again with the same identity";
                    self.answer(
                        pending.request,
                        Answer::Unknown {
                            reason,
                            retry_after_ms: 0,
                        },
                    );
                }
                None => still_pending.push(pending),
            }
        }
        self.publishing = still_pending;
    }

    /// Puts a new configuration into force in this process.
    pub(super) fn apply_new_config(&mut self) {
        let version = self.config.version();
        let detail = format!("by {}", self.config.author());
        self.note(Code::ConfigInForce, version.to_string(), detail);
        self.layout = Layout::build(self.config.inventory(), self.limits.key_cells);
        self.runnable = Runnable::build(self.config.inventory());
        self.update_all_cells();
        for number in self.keys.keys().copied().collect::<Vec<u16>>() {
            self.cancel_unlisted(number);
        }
    }
}
