//! Measures the scheduling decisions of the production code in virtual time and
//! compares them with named baselines.
//!
//! ```
//! use goldcrestway_bench::fleet::Fleet;
//!
//! let fleet = Fleet::sized(50, 50, 1);
//! assert_eq!(fleet.inventory().hosts.len(), 50);
//! ```

pub mod capacity;
pub mod dispatching;
pub mod edges;
mod facts;
pub mod fleet;
pub mod plots;
pub mod rig;
pub mod routing;
pub mod series;
pub mod sharing;
pub mod slopes;
mod stored;
