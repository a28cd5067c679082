//! The inventory and its rules: reading, checking, comparing.
//!
//! An inventory is an INI file in which operators list failure domains, hosts, services,
//! upstreams, teams, jobs, and rules for them.
//! [`load`] reports every fault at once, each with file, line and remedy.
//!
//! ```
//! let text = "[failure-domain espoo]\n\n[host w1]\nfailure_domain = espoo\n\
//!             rack = r1\ncores = 16\nmemory_mb = 60000\n";
//! let inventory = goldcrestway_inventory::load("inventory.ini", text).unwrap();
//! assert_eq!(inventory.hosts["w1"].capacity.millicores, 16_000);
//! ```

mod build;
mod change;
mod check;
mod fault;
mod model;
mod schema;
mod sections;

pub use build::load;
pub use build::load_sections;
pub use change::Change;
pub use change::apply;
pub use change::compare;
pub use change::dangers;
pub use fault::Fault;
pub use fault::Faults;
pub use model::Host;
pub use model::Inventory;
pub use model::Job;
pub use model::Load;
pub use model::Resources;
pub use model::Rule;
pub use model::Service;
pub use model::Team;
pub use model::Upstream;
pub use schema::Field;
pub use schema::InventorySchema;
pub use schema::SectionSchema;
pub use schema::Value;
pub use schema::closest;
pub use sections::Section;
pub use sections::Sections;
pub use sections::read;
pub use sections::render;
