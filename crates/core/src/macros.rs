//! Macros that derive the same set of traits for each kind of type.

/// Derives the traits of plain data.
macro_rules! plain {
    ($($item:item)*) => { $(
        #[derive(Debug, Clone, PartialEq, Eq)]
        $item
    )* };
}

/// Derives the traits of a small `Copy` key.
macro_rules! key {
    ($($item:item)*) => { $(
        #[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
        $item
    )* };
}

pub(crate) use key;
pub(crate) use plain;
