//! What tasks run, numbered.

use std::collections::HashMap;

/// An image, as this owner numbers it.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Default)]
pub struct ImageKey(pub u16);

/// All images that this owner has met. Number 0 is the one without a name.
#[derive(Debug, Default)]
pub struct Images {
    keys: HashMap<Box<str>, ImageKey>,
    names: Vec<Box<str>>,
}

impl Images {
    /// Gives the number of an image.
    pub fn key(&mut self, name: &str) -> ImageKey {
        if name.is_empty() {
            return ImageKey::default();
        }
        if let Some(key) = self.keys.get(name) {
            return *key;
        }
        let key = ImageKey((self.keys.len() + 1).min(usize::from(u16::MAX)) as u16);
        self.keys.insert(name.into(), key);
        self.names.push(name.into());
        key
    }

    /// Gives the number of an image; that of the one without a name if it was not met.
    pub fn find(&self, name: &str) -> ImageKey {
        self.keys.get(name).copied().unwrap_or_default()
    }

    /// Gives the name of an image.
    pub fn name(&self, key: ImageKey) -> &str {
        let index = usize::from(key.0).checked_sub(1);
        index
            .and_then(|index| self.names.get(index))
            .map_or("", |name| name)
    }
}
