//! The configuration in force, as decided by the order of the log.
//!
//! A change names the version that it is based on and takes effect only if that
//! version is current at the change's position in the log. Of two operators who
//! publish at the same time exactly one succeeds, and every process computes the same
//! outcome. Versions only grow; the configuration never goes back to an earlier one.

use crate::macros::plain;
use crate::record::ConfigChange;
use crate::record::Record;
use goldcrestway_inventory::Change;
use goldcrestway_inventory::Inventory;
use goldcrestway_inventory::Sections;
use goldcrestway_inventory::apply;
use goldcrestway_inventory::compare;
use std::collections::HashMap;
use std::collections::VecDeque;

plain! {
    /// Outcome of publishing a change.
    pub enum PublishOutcome {
        /// The change is the configuration with this version.
        Accepted {
            /// The version.
            version: u64,
        },
        /// Another change came first.
        Overtaken {
            /// Version that was current at the change's position.
            version: u64,
            /// Author of that version.
            author: Box<str>,
        },
        /// The resulting configuration would be faulty.
        Faulty {
            /// The faults, one a line.
            faults: Box<str>,
        },
    }
}

/// Maximum number of changes whose outcome is remembered for operators that ask
/// again.
const MAX_OUTCOMES: usize = 1_000;

/// The configuration and the outcomes of recent changes.
#[derive(Debug, Clone, Default)]
pub struct Config {
    version: u64,
    author: Box<str>,
    sections: Sections,
    inventory: Inventory,
    outcomes: HashMap<Box<str>, PublishOutcome>,
    order: VecDeque<Box<str>>,
}

impl Config {
    /// Returns the version in force; 0 before the first one.
    pub fn version(&self) -> u64 {
        self.version
    }

    /// Returns the author of the version in force.
    pub fn author(&self) -> &str {
        &self.author
    }

    /// Returns the inventory in force.
    pub fn inventory(&self) -> &Inventory {
        &self.inventory
    }

    /// Returns the sections in force.
    pub fn sections(&self) -> &Sections {
        &self.sections
    }

    /// Returns the outcome of the change with this identity, if it was seen.
    pub fn publish_outcome(&self, id: &str) -> Option<&PublishOutcome> {
        self.outcomes.get(id)
    }

    /// Applies the record at `offset`; returns whether the configuration changed.
    pub fn apply(&mut self, offset: u64, record: &Record) -> bool {
        match record {
            Record::Config(change) => self.change(offset, change),
            _ => false,
        }
    }

    fn change(&mut self, offset: u64, change: &ConfigChange) -> bool {
        if self.outcomes.contains_key(&change.id) {
            return false;
        }
        let outcome = self.evaluate(offset, change);
        let is_accepted = matches!(outcome, PublishOutcome::Accepted { .. });
        self.remember(change.id.clone(), outcome);
        is_accepted
    }

    fn evaluate(&mut self, offset: u64, change: &ConfigChange) -> PublishOutcome {
        if change.base != self.version {
            return PublishOutcome::Overtaken {
                version: self.version,
                author: self.author.clone(),
            };
        }
        match apply(&mut self.sections, &change.changes) {
            Ok(inventory) => {
                self.inventory = inventory;
                self.version = offset + 1;
                self.author = change.author.clone();
                PublishOutcome::Accepted {
                    version: self.version,
                }
            }
            Err(faults) => PublishOutcome::Faulty {
                faults: faults.to_string().into(),
            },
        }
    }

    /// Replaces the configuration by a snapshot, if that is newer; returns whether it
    /// was replaced.
    pub fn restore(&mut self, version: u64, changes: &[Change]) -> bool {
        if version <= self.version {
            return false;
        }
        let mut sections = Sections::new();
        let Ok(inventory) = apply(&mut sections, changes) else {
            return false;
        };
        self.sections = sections;
        self.inventory = inventory;
        self.version = version;
        true
    }

    fn remember(&mut self, id: Box<str>, outcome: PublishOutcome) {
        self.outcomes.insert(id.clone(), outcome);
        self.order.push_back(id);
        if self.order.len() > MAX_OUTCOMES
            && let Some(oldest) = self.order.pop_front()
        {
            self.outcomes.remove(&oldest);
        }
    }

    /// Returns the configuration as a snapshot record that replaces all records
    /// before `as_of`.
    pub fn snapshot(&self, as_of: u64) -> Record {
        Record::ConfigSnapshot {
            as_of,
            version: self.version,
            changes: compare(&Sections::new(), &self.sections).into(),
        }
    }
}
