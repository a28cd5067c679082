//! Which queues metrics show by name.
//!
//! **Load pattern:** an operator makes hundreds of queues, and removes and makes others each day.
//!
//! **Without it** each queue that was ever there adds rows to what each host reports, for as long as
//! its process lives. It shows as metrics that take ever longer to read.
//!
//! **Limits:** a queue that was among the largest keeps its name, so that its row has no gaps, and
//! all others are shown together.

use crate::policy::fair_shares::QueueShare;
use std::cmp::Reverse;
use std::collections::BTreeMap;
use std::collections::BTreeSet;

/// Maximum number of queues that are shown by name.
const MAX_SHOWN: usize = 16;
/// Label of all other queues.
pub const OTHERS: &str = "(others)";

/// Queues that are shown by name.
#[derive(Debug, Default)]
pub struct ShownQueues {
    names: BTreeSet<Box<str>>,
}

impl ShownQueues {
    /// Returns a row for each queue that is shown by name, also if it has no share any more, and one
    /// for all others if there are any.
    pub fn rows(&mut self, mut shares: Vec<QueueShare>) -> Vec<QueueShare> {
        shares.sort_by_key(|share| Reverse(share.usage_ppm));
        for share in &shares {
            if self.names.len() < MAX_SHOWN {
                self.names.insert(share.queue.clone());
            }
        }
        let mut rows: BTreeMap<Box<str>, QueueShare> = BTreeMap::new();
        for name in &self.names {
            rows.insert(name.clone(), QueueShare::default());
        }
        for share in shares {
            let label = match self.names.contains(&share.queue) {
                true => share.queue,
                false => OTHERS.into(),
            };
            let row = rows.entry(label).or_default();
            row.usage_ppm += share.usage_ppm;
            row.held_ppm += share.held_ppm;
            row.waiting += share.waiting;
        }
        let mut list = Vec::with_capacity(rows.len());
        for (queue, row) in rows {
            list.push(QueueShare { queue, ..row });
        }
        list
    }
}
