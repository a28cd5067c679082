//! The decisions about service under load, each by itself: plain structs and functions over
//! what is known, without orders, records or clocks of their own. The owner gathers what
//! they need, asks, and carries out what they say.
//!
//! | Module | Decides |
//! | --- | --- |
//! | [`interference`] | how much best-effort tasks slow down long-running ones beside them |
//! | [`ordering`] | which job gets what is free |

pub mod images;
pub mod interference;
pub mod ordering;
mod switches;

pub use switches::Policy;
