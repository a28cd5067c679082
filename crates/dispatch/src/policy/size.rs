//! How large a job may be.
//!
//! **Load pattern:** a caller submits a job with very many tasks, or one with millions of past
//! occurrences that are due at once, by mistake or on purpose.
//!
//! **Without it** the owner opens all of them and its process runs out of memory; or the record of
//! their progress exceeds the record size of the store, so the owner repeats that append forever
//! and stores nothing else. The same happens to each next owner. It shows as hosts that fail one
//! after the other, or as an owner under which no job ends any more.
//!
//! **Limits:** all tasks of a job that are under way fit into one record of the store, with the
//! state that must be recorded of each. One occurrence with more tasks is refused when it is
//! submitted; further occurrences wait until earlier ones have ended.

/// Recorded size of a task under way: its phase, its run and its worker, and those of a copy.
const TASK_BYTES: u64 = 64;

/// Returns how many tasks of one job may be under way, by the largest record in bytes that the
/// store accepts.
pub fn max_tasks(max_record_bytes: u64) -> u64 {
    max_record_bytes / TASK_BYTES
}
