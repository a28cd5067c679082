//! The configuration in force, as the log's order decides it.
//!
//! A change names the version on which it was made and takes effect only if that
//! version is current where the change stands in the log. Of two operators who
//! publish at once exactly one wins; every process reaches the same verdict.
//! Versions only grow, so nothing reverts.

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
    /// What became of a published change.
    pub enum PublishOutcome {
        /// It is the configuration with this version.
        Accepted {
            /// The version.
            version: u64,
        },
        /// Another change came first.
        Overtaken {
            /// Version that was current where the change stands.
            version: u64,
            /// Who made that version.
            author: Box<str>,
        },
        /// The result would be faulty.
        Faulty {
            /// The faults, one a line.
            faults: Box<str>,
        },
    }
}

/// Identities of changes whose fate is remembered for those who ask again.
const REMEMBERED: usize = 1_000;

/// The configuration and how it came about.
#[derive(Debug, Clone, Default)]
pub struct Config {
    version: u64,
    author: Box<str>,
    sections: Sections,
    inventory: Inventory,
    fates: HashMap<Box<str>, PublishOutcome>,
    order: VecDeque<Box<str>>,
}

impl Config {
    /// Gives the version in force; 0 before the first one.
    pub fn version(&self) -> u64 {
        self.version
    }

    /// Gives who made the version in force.
    pub fn author(&self) -> &str {
        &self.author
    }

    /// Gives the inventory in force.
    pub fn inventory(&self) -> &Inventory {
        &self.inventory
    }

    /// Gives the sections in force.
    pub fn sections(&self) -> &Sections {
        &self.sections
    }

    /// Tells what became of the change with this identity, if it was seen.
    pub fn publish_outcome(&self, id: &str) -> Option<&PublishOutcome> {
        self.fates.get(id)
    }

    /// Applies the record at `offset`; tells whether the configuration changed.
    pub fn apply(&mut self, offset: u64, record: &Record) -> bool {
        match record {
            Record::Config(change) => self.change(offset, change),
            _ => false,
        }
    }

    fn change(&mut self, offset: u64, change: &ConfigChange) -> bool {
        if self.fates.contains_key(&change.id) {
            return false;
        }
        let fate = self.judge(offset, change);
        let is_accepted = matches!(fate, PublishOutcome::Accepted { .. });
        self.remember(change.id.clone(), fate);
        is_accepted
    }

    fn judge(&mut self, offset: u64, change: &ConfigChange) -> PublishOutcome {
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

    /// Takes over a configuration that was carried forward.
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

    fn remember(&mut self, id: Box<str>, fate: PublishOutcome) {
        self.fates.insert(id.clone(), fate);
        self.order.push_back(id);
        if self.order.len() > REMEMBERED
            && let Some(oldest) = self.order.pop_front()
        {
            self.fates.remove(&oldest);
        }
    }

    /// Gives the whole configuration as a record that stands for all before
    /// `as_of`.
    pub fn snapshot(&self, as_of: u64) -> Record {
        Record::ConfigSnapshot {
            as_of,
            version: self.version,
            changes: compare(&Sections::new(), &self.sections).into(),
        }
    }
}
