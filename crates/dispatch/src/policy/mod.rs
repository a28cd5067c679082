//! The decisions about service under load, each by itself: plain structs and functions over
//! what is known, without orders, records or clocks of their own. The owner gathers what
//! they need, asks, and carries out what they say.
//!
//! | Module | Decides |
//! | --- | --- |
//! | [`interference`] | how much best-effort tasks slow down long-running ones beside them |
//! | [`link`] | what the owner puts on its link, and what waits |
//! | [`polls`] | how often the owner looks at each worker |
//! | [`ordering`] | which job gets what is free |
//! | [`shares`] | at which share best-effort tasks work beside a service |
//! | [`answer_timeouts`] | how long answers of workers are awaited, and what a missing one means |
//! | [`placing`] | how often what waits is placed |
//! | [`relaying`] | whether other hosts carry the owner's orders to the workers |
//! | [`size`] | how large a job may be |
//! | [`stragglers`] | which workers slow down what runs there |
//! | [`suspicion`] | which task is to blame when a worker has crashed |

pub mod answer_timeouts;
pub mod images;
pub mod interference;
pub mod link;
pub mod ordering;
pub mod placing;
pub mod polls;
pub mod relaying;
pub mod shares;
pub mod size;
pub mod stragglers;
pub mod suspicion;
mod switches;

pub use switches::Policy;
