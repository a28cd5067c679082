//! How large a job may be.
//!
//! **Load pattern:** a caller hands in a job of very many tasks, or one that is due millions of
//! times already, by mistake or not.
//!
//! **Without it** the owner opens all of them, and its process ends for want of memory; or the
//! record of their progress is larger than what the store takes, so that the owner repeats that
//! append for good and stores nothing else. Each owner that follows does the same. It shows as hosts
//! that end one after the other, or as an owner under which no job ends any more.
//!
//! **Limits:** all tasks under way of a job fit one record of the store, with what must be on record
//! of each. More than that in one occurrence is refused at the door; more occurrences wait until
//! earlier ones are over.

/// What must be on record of a task under way: its phase, its run and its worker, and a copy's.
const TASK_BYTES: u64 = 64;

/// Gives how many tasks of one job may be under way.
pub fn max_tasks(max_record_bytes: u64) -> u64 {
    max_record_bytes / TASK_BYTES
}
