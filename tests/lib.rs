//! Tests of the whole system: scenarios, inventories, events, and random faults.
//!
//! The daemon's actor and the decisions of the dispatch crate run as in production. Their
//! environment is simulated in virtual time, by [`world`] for the daemon and by [`fleet`] for the
//! dispatch crate.
#![cfg(test)]

mod capacity;
mod catalogue;
mod dispatch;
mod dispatch_all_lost;
mod dispatch_best_effort;
mod dispatch_cancels;
mod dispatch_clocks;
mod dispatch_crash_evidence;
mod dispatch_crashes;
mod dispatch_disturbances;
mod dispatch_draining;
mod dispatch_evacuations;
mod dispatch_exits;
mod dispatch_fair_shares;
mod dispatch_faults;
mod dispatch_freshness;
mod dispatch_full_pages;
mod dispatch_incarnations;
mod dispatch_job_times;
mod dispatch_late_starts;
mod dispatch_links;
mod dispatch_loading;
mod dispatch_long_running;
mod dispatch_outages;
mod dispatch_owner_answers;
mod dispatch_owner_rows;
mod dispatch_protection;
mod dispatch_questions;
mod dispatch_quiet_spells;
mod dispatch_regression_seeds;
mod dispatch_relays;
mod dispatch_repeats;
mod dispatch_resizes;
mod dispatch_rules;
mod dispatch_run_times;
mod dispatch_shapes;
mod dispatch_sizes;
mod dispatch_store_calls;
mod dispatch_stragglers;
mod dispatch_turns;
mod dispatch_waiting_counts;
mod dispatch_waits;
mod edge;
mod faults;
mod fleet;
mod inventories;
mod policy_answer_timeouts;
mod policy_claim_sightings;
mod policy_crash_evidence;
mod policy_fair_shares;
mod policy_idle_starts;
mod policy_informing;
mod policy_interference;
mod policy_kept_room;
mod policy_link;
mod policy_log_budget;
mod policy_ordering;
mod policy_overload;
mod policy_placing;
mod policy_polls;
mod policy_protection;
mod policy_queue_limits;
mod policy_run_times;
mod policy_shares;
mod policy_stragglers;
mod policy_suspicion;
mod scenarios;
mod settings;
mod tallies;
mod wire;
mod world;
