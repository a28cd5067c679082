//! The common sets of derives, so that each kind of type gets the same ones.

/// Derives what plain data needs.
macro_rules! plain {
    ($($item:item)*) => { $(
        #[derive(Debug, Clone, PartialEq, Eq)]
        $item
    )* };
}

/// Derives what a small `Copy` key needs.
macro_rules! key {
    ($($item:item)*) => { $(
        #[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
        $item
    )* };
}

pub(crate) use key;
pub(crate) use plain;
