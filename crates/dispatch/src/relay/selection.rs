//! Selection of the relays that carry the orders for a worker.

use xxhash_rust::xxh3::xxh3_64_with_seed;

/// Number of relays that may carry the orders for one worker. With several candidates the tasks of
/// a job go through few relays, each of which gets the job's text once: of 17 relays, a step of 20
/// tasks uses about 6, and 13 with one candidate per worker. More candidates would need more
/// connections to each worker.
pub(crate) const RELAYS_PER_WORKER: usize = 3;

/// The relays of one worker, in order of preference.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) struct Selection<K: Copy> {
    seed: u64,
    /// The selected relays, with the hashes by which they were selected.
    ranked: [Option<(u64, K)>; RELAYS_PER_WORKER],
}

impl<K: Copy + PartialEq> Selection<K> {
    /// Selects the relays of a worker by rendezvous hashing: those whose hashes with the worker's
    /// name are greatest. A relay that is added or removed changes only the selections that contain
    /// it.
    pub(crate) fn new<'a>(
        worker: &str,
        relays: impl Iterator<Item = (K, &'a str)>,
    ) -> Selection<K> {
        let mut selection = Selection {
            seed: xxh3_64_with_seed(worker.as_bytes(), 0),
            ranked: [None; RELAYS_PER_WORKER],
        };
        for (key, name) in relays {
            selection.add(key, name);
        }
        selection
    }

    /// Adds a relay if its hash is among the greatest.
    pub(crate) fn add(&mut self, key: K, name: &str) {
        let hash = xxh3_64_with_seed(name.as_bytes(), self.seed);
        let mut candidate = Some((hash, key));
        for slot in &mut self.ranked {
            let is_greater = match (&candidate, &slot) {
                (Some((hash, _)), Some((other, _))) => hash > other,
                (Some(_), None) => true,
                _ => false,
            };
            if is_greater {
                std::mem::swap(slot, &mut candidate);
            }
        }
    }

    /// Returns whether a relay is selected.
    pub(crate) fn contains(&self, key: K) -> bool {
        self.iter().any(|other| other == key)
    }

    /// Returns the relay at this position.
    pub(crate) fn get(&self, index: usize) -> Option<K> {
        let (_, key) = self.ranked.get(index).copied().flatten()?;
        Some(key)
    }

    /// Returns the selected relays in order of preference.
    pub(crate) fn iter(&self) -> impl Iterator<Item = K> + '_ {
        self.ranked.iter().flatten().map(|(_, key)| *key)
    }
}
