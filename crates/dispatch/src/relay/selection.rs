//! Which relays carry the orders for which worker.

use xxhash_rust::xxh3::xxh3_64_with_seed;

/// Relays that may carry the orders for one worker. With several to choose from the tasks of a
/// job go through a few relays, each of which gets the job's text once: of 17 relays a step of
/// 20 tasks then takes about 6, with one each 13. More would need more connections to each
/// worker.
pub(crate) const RELAYS_PER_WORKER: usize = 3;

/// The relays of one worker, the first one before the others.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) struct Selection<K: Copy> {
    seed: u64,
    /// With the hashes by which they were selected.
    ranked: [Option<(u64, K)>; RELAYS_PER_WORKER],
}

impl<K: Copy + PartialEq> Selection<K> {
    /// Selects the relays of a worker: those whose hashes with its name are greatest. A relay
    /// that comes or goes changes this for no worker but its own.
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

    /// Takes in a relay that has come.
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

    /// Tells whether a relay is one of them.
    pub(crate) fn contains(&self, key: K) -> bool {
        self.iter().any(|other| other == key)
    }

    /// Gives the relay in this place.
    pub(crate) fn get(&self, index: usize) -> Option<K> {
        let (_, key) = self.ranked.get(index).copied().flatten()?;
        Some(key)
    }

    /// Lists the relays.
    pub(crate) fn iter(&self) -> impl Iterator<Item = K> + '_ {
        self.ranked.iter().flatten().map(|(_, key)| *key)
    }
}
