//! Compact numbers for the images that tasks run.

use std::collections::HashMap;

/// Number of an image, valid for one owner only.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Default)]
pub struct ImageKey(pub u16);

/// Image names that this owner has encountered. Number 0 stands for the empty name.
#[derive(Debug, Default)]
pub struct Images {
    keys: HashMap<Box<str>, ImageKey>,
    names: Vec<Box<str>>,
}

impl Images {
    /// Returns the number of an image, and assigns one if the image is new.
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

    /// Returns the number of an image; 0 if the image is unknown.
    pub fn find(&self, name: &str) -> ImageKey {
        self.keys.get(name).copied().unwrap_or_default()
    }

    /// Returns the name of an image; empty for number 0.
    pub fn name(&self, key: ImageKey) -> &str {
        let index = usize::from(key.0).checked_sub(1);
        index
            .and_then(|index| self.names.get(index))
            .map_or("", |name| name)
    }
}
