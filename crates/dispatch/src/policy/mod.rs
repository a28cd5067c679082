//! Scheduling decisions of the owner, as plain structs and functions without I/O, records or clocks
//! of their own. The owner collects their inputs and carries out the results.
//!
//! | Module | Decides |
//! | --- | --- |
//! | [`interference`] | how much best-effort tasks slow down latency-critical tasks beside them |
//! | [`link`] | which calls the owner sends over its link now, and which are deferred |
//! | [`log_budget`] | which log lines are written when there are too many |
//! | [`polls`] | how often the owner polls each worker |
//! | [`ordering`] | which waiting job gets free resources first |
//! | [`shares`] | which CPU share best-effort tasks get beside latency-critical tasks |
//! | [`answer_timeouts`] | how long answers of workers are awaited, and what a missing one means |
//! | [`placing`] | how often the owner tries to place waiting steps |
//! | [`run_times`] | how long tasks take, and when a job will end |
//! | [`relaying`] | whether other hosts relay the owner's orders to the workers |
//! | [`informing`] | whether the owner answers queries of the other hosts |
//! | [`size`] | how large a job may be |
//! | [`stragglers`] | which workers slow down the tasks that run there |
//! | [`protection`] | how much best-effort work the latency-critical tasks on a worker bear now |
//! | [`suspicion`] | which task is the cause when a worker has crashed |
//! | [`crash_evidence`] | which of several suspects it was, as the others prove harmless |
//! | [`fair_shares`] | which queue goes first among queues of the same priority |
//! | [`shown_queues`] | which queues metrics show by name |
//! | [`idle_starts`] | at which share a best-effort task starts that no worker takes at its full share |
//! | [`time_of_day`] | which time of day a host uses, when clocks jump |
//! | [`kept_room`] | on which workers room is kept for a wide task, and for how long |

pub mod answer_timeouts;
pub mod claim_sightings;
pub mod crash_evidence;
pub mod fair_shares;
pub mod idle_starts;
pub mod images;
pub mod informing;
pub mod interference;
pub mod kept_room;
pub mod link;
pub mod log_budget;
pub mod ordering;
pub mod placing;
pub mod polls;
pub mod protection;
mod ratios;
pub mod relaying;
pub mod run_times;
pub mod shares;
pub mod shown_queues;
pub mod size;
pub mod stragglers;
pub mod suspicion;
mod switches;
pub mod time_of_day;

pub use switches::Policy;
