//! Relaying of the owner's orders to workers through the other entry hosts.
//!
//! One host decides for all workers, and it has only the link, the processor and the descriptors of
//! one small host. It spends most of them on calls to workers: an order to start takes 700 bytes,
//! of which the text of the job, the head and the worker's address are repeated in each call. The
//! owner therefore keeps one connection to each other host and sends short orders over it. The
//! other hosts make the calls over their own connections and links, and send the outcomes back.
//! Borg's master does the same with its link shards.
//!
//! A relay decides nothing. A relayed order carries the owner's token, the run's number and the
//! lease like any other order, and an order without an outcome counts as unknown: it may be carried
//! out later, or never. A relay may therefore crash, hang or be partitioned at any time.
//!
//! What the owner has given up must not be done later by one of our own processes: a relay that was
//! paused, or that receives over a full link, would start a task that has ended meanwhile. Frames tell
//! by the relay's clock when they were sent, and the relay passes on no order that its owner no longer
//! waits for. An owner uses a relay only once it knows the relay's clock.
//!
//! Over the same connections, hosts query the owner for the states of jobs and receive its
//! heartbeats.

mod frames;
mod peer;
mod peer_clock;
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
pub(crate) use sessions::OwnerHeartbeat;
pub(crate) use sessions::RelayedOrder;
pub(crate) use sessions::RelayedOutcome;
pub(crate) use sessions::Sessions;
