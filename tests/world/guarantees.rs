//! The guarantees of the system, checked against what the fakes recorded.

use super::World;
use goldcrestway_core::Answer;
use goldcrestway_core::Outcome;
use std::collections::BTreeMap;

impl World {
    /// Checks what must hold at every moment: one owner for each cell, and
    /// configuration versions that never go back.
    pub(super) fn check_invariants(&mut self) {
        let mut owners: BTreeMap<Box<str>, Vec<Box<str>>> = BTreeMap::new();
        for seat in self.seats.clone() {
            let is_paused = self
                .processes
                .get(&seat)
                .is_some_and(|process| process.is_paused);
            if is_paused || !self.runs(seat) {
                continue;
            }
            let Some(status) = self.inspect(seat, |node| node.status()) else {
                continue;
            };
            if let Some(process) = self.processes.get_mut(&seat) {
                if status.config_version < process.highest_config {
                    self.violations
                        .push(format!("seat {} reverted its configuration", seat.0));
                }
                process.highest_config = status.config_version;
            }
            if !status.acts {
                continue;
            }
            for (cell, _) in status.cells {
                owners.entry(cell).or_default().push(status.member.clone());
            }
        }
        for (cell, members) in owners {
            if members.len() > 1 {
                self.violations.push(format!(
                    "{cell} has owners {members:?} at {} ms",
                    self.now_ms
                ));
            }
        }
    }

    /// Returns the violated guarantees so far.
    pub(crate) fn violations(&self) -> Vec<String> {
        let mut violations = self.violations.clone();
        violations.extend(self.edges.violations.clone());
        self.check_requests(&mut violations);
        self.check_jobs(&mut violations);
        violations.sort();
        violations.dedup();
        violations
    }

    fn check_requests(&self, violations: &mut Vec<String>) {
        let mut runs: BTreeMap<&str, Vec<(u64, u64)>> = BTreeMap::new();
        for (name, upstream) in &self.edges.upstreams {
            const SLOTS: u32 = 8;
            if upstream.state.max_in_use > SLOTS {
                violations.push(format!(
                    "{name} worked on {} at once",
                    upstream.state.max_in_use
                ));
            }
            for run in &upstream.state.runs {
                runs.entry(&run.identity)
                    .or_default()
                    .push((run.started_ms, run.ended_ms));
            }
        }
        let mut not_run: BTreeMap<&str, bool> = BTreeMap::new();
        for record in self.edges.caller_requests.values() {
            let ran = runs
                .get(&*record.identity)
                .map(|runs| runs.len())
                .unwrap_or(0);
            if record.is_once && ran > 1 {
                violations.push(format!("{} ran {ran} times", record.identity));
            }
            if record.answer == Some(Answer::Whole) && !record.has_complete_answer {
                violations.push(format!("{} got no whole answer", record.identity));
            }
            let is_not_run = matches!(
                record.answer,
                Some(
                    Answer::NotRun { .. }
                        | Answer::Repeated {
                            outcome: Outcome::NotRun,
                            ..
                        }
                )
            );
            if is_not_run && record.attempts > 0 {
                violations.push(format!("{} was told not run but ran", record.identity));
            }
            let ran_before = runs
                .get(&*record.identity)
                .is_some_and(|runs| runs.iter().any(|(from_ms, _)| *from_ms <= record.answer_ms));
            if is_not_run && record.is_once && ran_before {
                violations.push(format!(
                    "{} had run when its repeat was told not run",
                    record.identity
                ));
            }
            let all = not_run.entry(&record.identity).or_insert(true);
            *all &= is_not_run;
        }
        for (identity, all_not_run) in not_run {
            if all_not_run && runs.contains_key(identity) {
                violations.push(format!("{identity} was only ever told not run but ran"));
            }
        }
        for (identity, spans) in &runs {
            if overlaps(spans) {
                violations.push(format!("{identity} ran in two places at once"));
            }
        }
    }

    fn check_jobs(&self, violations: &mut Vec<String>) {
        let mut by_job: BTreeMap<&str, Vec<&goldcrestway_standin::TaskRun>> = BTreeMap::new();
        for (name, worker) in &self.edges.workers {
            if worker.state.refused_starts > 0 {
                violations.push(format!("{name} was given more than it holds"));
            }
            for run in &worker.state.runs {
                by_job.entry(&run.id).or_default().push(run);
            }
        }
        for (id, mut runs) in by_job {
            runs.sort_by_key(|run| run.started_ms);
            let spans: Vec<(u64, u64)> = runs
                .iter()
                .map(|run| (run.started_ms, run.ended_ms.unwrap_or(u64::MAX)))
                .collect();
            if overlaps(&spans) {
                violations.push(format!("job {id} ran in two places at once: {spans:?}"));
            }
            let known_ms = runs.iter().filter_map(|run| run.reported_ms).min();
            if runs
                .iter()
                .any(|run| known_ms.is_some_and(|heard| run.started_ms > heard))
            {
                violations.push(format!("job {id} ran again after its end was known"));
            }
            if id.contains("/confirm") && repeats_work(&runs) {
                violations.push(format!("never-twice job {id} did a part of its work twice"));
            }
        }
    }

    /// Returns the identities of the finished jobs.
    pub(crate) fn finished(&self) -> Vec<String> {
        let runs = self
            .edges
            .workers
            .values()
            .flat_map(|worker| &worker.state.runs);
        let finished = runs.filter(|run| run.is_finished).map(|run| run.id.clone());
        let set: std::collections::BTreeSet<String> = finished.collect();
        set.into_iter().collect()
    }
}

/// Returns whether a run begins before the point that a previous one had reached. A
/// run that resumes from a checkpoint at that point repeats nothing.
fn repeats_work(runs: &[&goldcrestway_standin::TaskRun]) -> bool {
    let mut reached_ms = 0;
    for run in runs {
        if run.order.checkpoint < reached_ms {
            return true;
        }
        let ran_ms = run
            .ended_ms
            .unwrap_or(u64::MAX)
            .saturating_sub(run.started_ms);
        reached_ms = run.order.checkpoint.saturating_add(ran_ms);
    }
    false
}

fn overlaps(spans: &[(u64, u64)]) -> bool {
    let mut sorted = spans.to_vec();
    sorted.sort_unstable();
    sorted.windows(2).any(|pair| pair[1].0 < pair[0].1)
}
