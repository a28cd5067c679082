//! Which relays carry the orders for which worker.

use xxhash_rust::xxh3::xxh3_64_with_seed;

/// Relays that may carry the orders for one worker. With several to choose from the tasks of a
/// job go through a few relays, each of which gets the job's text once: of 17 relays a step of
/// 20 tasks then takes about 6, with one each 13. More would need more connections to each
/// worker.
pub(crate) const CHOICES: usize = 3;

/// The relays of one worker, the first one before the others.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) struct Selection<K: Copy> {
    keys: [Option<K>; CHOICES],
}

impl<K: Copy> Selection<K> {
    /// Selects the relays of a worker: those whose hashes with its name are greatest. A relay
    /// that comes or goes changes this for no worker but its own.
    pub(crate) fn new<'a>(
        worker: &str,
        relays: impl Iterator<Item = (K, &'a str)>,
    ) -> Selection<K> {
        let seed = xxh3_64_with_seed(worker.as_bytes(), 0);
        let mut best: [Option<(u64, K)>; CHOICES] = [None; CHOICES];
        for (key, name) in relays {
            let mut candidate = Some((xxh3_64_with_seed(name.as_bytes(), seed), key));
            for place in &mut best {
                let is_greater = match (&candidate, &place) {
                    (Some((hash, _)), Some((other, _))) => hash > other,
                    (Some(_), None) => true,
                    _ => false,
                };
                if is_greater {
                    std::mem::swap(place, &mut candidate);
                }
            }
        }
        Selection {
            keys: best.map(|place| place.map(|(_, key)| key)),
        }
    }

    /// Gives the relay in this place.
    pub(crate) fn get(&self, place: usize) -> Option<K> {
        self.keys.get(place).copied().flatten()
    }

    /// Lists the relays.
    pub(crate) fn iter(&self) -> impl Iterator<Item = K> + '_ {
        self.keys.iter().filter_map(|key| *key)
    }
}
