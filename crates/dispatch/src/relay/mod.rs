//! Orders of the owner that other entry hosts carry to the workers.
//!
//! One host decides for all workers, and its link, processor and descriptors are those of one
//! small host. Calls to workers are what it spends most of them on: 700 bytes for an order to
//! start, of which the text of the job, the head and the worker's address are the same again
//! and again. So the owner keeps one connection to each other host and sends them short orders;
//! they make the calls, over connections and links of their own, and send back what came of
//! them. Borg's master does the same with its link shards.
//!
//! Nothing is decided by a relay. A relayed order has the owner's token, the run's number and
//! the lease in it like any other, and what is not known of it counts as unknown: it may be
//! carried out later, or never. So a relay may die, stand still or be cut off at any moment.
//!
//! Over the same connections hosts ask the owner for the states of jobs, and hear that it lives.

mod frames;
mod peer;
mod queries;
mod rows;
mod selection;
mod serving;
mod sessions;

pub(crate) use queries::QuerySubject;
pub(crate) use queries::RemoteQuery;
pub(crate) use queries::RemoteRequester;
pub(crate) use selection::RELAYS_PER_WORKER;
pub(crate) use selection::Selection;
pub(crate) use serving::Relay;
pub(crate) use sessions::RelayedOrder;
pub(crate) use sessions::RelayedOutcome;
pub(crate) use sessions::Sessions;
