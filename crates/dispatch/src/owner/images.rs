//! What tasks run, numbered.

use std::collections::HashMap;

/// An image, as this owner numbers it.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Default)]
pub(crate) struct ImageKey(pub(crate) u16);

/// All images that this owner has met. Number 0 is the one without a name.
#[derive(Debug, Default)]
pub(crate) struct Images {
    keys: HashMap<Box<str>, ImageKey>,
}

impl Images {
    /// Gives the number of an image.
    pub(crate) fn key(&mut self, name: &str) -> ImageKey {
        if name.is_empty() {
            return ImageKey::default();
        }
        if let Some(key) = self.keys.get(name) {
            return *key;
        }
        let key = ImageKey((self.keys.len() + 1).min(usize::from(u16::MAX)) as u16);
        self.keys.insert(name.into(), key);
        key
    }
}
