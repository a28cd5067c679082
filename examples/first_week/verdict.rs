//! Checks the guarantees for requests and jobs against what the stand-ins recorded.

use crate::callers::Outcome;
use crate::callers::Report;
use crate::fleet::Fleet;
use goldcrestway_standin::TaskRun;
use hdrhistogram::Histogram;
use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::sync::PoisonError;

/// Returns the identities of the jobs that finished.
pub(crate) fn finished_jobs(fleet: &Fleet) -> BTreeSet<String> {
    let runs = task_runs(fleet);
    runs.into_iter()
        .filter(|(_, run)| run.is_finished)
        .map(|(_, run)| run.id)
        .collect()
}

fn task_runs(fleet: &Fleet) -> Vec<(String, TaskRun)> {
    let mut runs = Vec::new();
    for (name, worker) in &fleet.workers {
        let state = worker.state.lock().unwrap_or_else(PoisonError::into_inner);
        runs.extend(state.runs.iter().map(|run| (name.clone(), run.clone())));
    }
    runs
}

/// Prints a summary table and returns a description of each violated guarantee.
pub(crate) fn judge(fleet: &Fleet, report: &Report) -> Vec<String> {
    let mut violations = report.errors.clone();
    let mut executions: BTreeMap<String, Vec<(u64, u64)>> = BTreeMap::new();
    for (name, upstream) in &fleet.upstreams {
        let state = upstream
            .state
            .lock()
            .unwrap_or_else(PoisonError::into_inner);
        if state.max_in_use > 8 {
            violations.push(format!(
                "instance {name} worked on {} requests at once",
                state.max_in_use
            ));
        }
        for run in &state.runs {
            executions
                .entry(run.identity.clone())
                .or_default()
                .push((run.started_ms, run.ended_ms));
        }
    }
    let mut counts = [0_usize; 3];
    let (mut twice, mut lost) = (0, 0);
    for (identity, (is_non_idempotent, outcome)) in &report.requests {
        let runs = executions
            .get(identity)
            .map(|runs| &**runs)
            .unwrap_or_default();
        counts[*outcome as usize] += 1;
        if *is_non_idempotent && runs.len() > 1 {
            twice += 1;
            violations.push(format!("request {identity} ran {} times", runs.len()));
        }
        if overlaps(runs) {
            twice += 1;
            violations.push(format!("request {identity} ran in two places at once"));
        }
        if *outcome == Outcome::Answered && runs.is_empty() {
            lost += 1;
            violations.push(format!("request {identity} was answered but never ran"));
        }
        if *outcome == Outcome::NotRun && !runs.is_empty() {
            violations.push(format!(
                "request {identity} was reported as not run but ran"
            ));
        }
        if !*is_non_idempotent && *outcome != Outcome::Answered {
            lost += 1;
            violations.push(format!("request {identity} was never answered"));
        }
    }
    let (jobs_twice, evictions) = judge_jobs(fleet, report, &mut violations);
    let finished = finished_jobs(fleet);
    let is_unaccounted =
        |id: &&String| !finished.contains(*id) && !report.unknown_jobs.contains(*id);
    for id in report.jobs.iter().filter(is_unaccounted) {
        lost += 1;
        violations.push(format!("job {id} did not finish"));
    }
    let percentiles = |times: &Histogram<u64>| {
        let at = |quantile| times.value_at_quantile(quantile) as f64 / 1_000.0;
        format!("{:.1} / {:.1} / {:.1} ms", at(0.5), at(0.99), at(0.999))
    };
    let log = fleet
        .log
        .state
        .lock()
        .unwrap_or_else(PoisonError::into_inner);
    println!("asked              {}", report.requests.len());
    println!("answered           {}", counts[Outcome::Answered as usize]);
    println!(
        "not run            {} (and {} times on the way)",
        counts[Outcome::NotRun as usize],
        report.refusals
    );
    println!("unknown            {}", counts[Outcome::Unknown as usize]);
    println!("run twice          {}", twice + jobs_twice);
    println!("lost               {lost}");
    println!(
        "p50/p99/p99.9      {} idempotent",
        percentiles(&report.idempotent_us)
    );
    println!(
        "p50/p99/p99.9      {} non-idempotent",
        percentiles(&report.non_idempotent_us)
    );
    println!(
        "jobs finished      {} of {}",
        finished.len(),
        report.jobs.len()
    );
    println!(
        "jobs of unknown end {} (never-twice, their host or its owner died)",
        report.unknown_jobs.len()
    );
    println!("evictions          {evictions}");
    println!("appends to the log {} ({} bytes)", log.appends, log.bytes);
    violations
}

/// Checks that no job ran in two places at once, that none ran again after its end
/// was reported, that a never-twice job ran once, and that each job was accepted.
/// Returns the number of violations of the first three and the number of evictions.
fn judge_jobs(fleet: &Fleet, report: &Report, violations: &mut Vec<String>) -> (usize, usize) {
    let mut by_job: BTreeMap<String, Vec<TaskRun>> = BTreeMap::new();
    for (_, run) in task_runs(fleet) {
        by_job.entry(run.id.clone()).or_default().push(run);
    }
    let (mut twice, mut evictions) = (0, 0);
    for (id, runs) in &by_job {
        evictions += runs.len() - 1;
        let spans: Vec<(u64, u64)> = runs
            .iter()
            .map(|run| (run.started_ms, run.ended_ms.unwrap_or(u64::MAX)))
            .collect();
        if overlaps(&spans) {
            twice += 1;
            violations.push(format!("job {id} ran in two places at once"));
        }
        // If a host dies before it reports the end of a run, nobody knows that the run
        // finished; such a job runs again unless it is never-twice.
        let first_report_ms = runs.iter().filter_map(|run| run.reported_ms).min();
        if runs
            .iter()
            .any(|run| first_report_ms.is_some_and(|first_ms| run.started_ms > first_ms))
        {
            twice += 1;
            violations.push(format!("job {id} ran again after its end was known"));
        }
        if id.starts_with("desk/c") && runs.len() > 1 {
            twice += 1;
            violations.push(format!(
                "job {id} must not run twice but ran {} times",
                runs.len()
            ));
        }
        if !report.jobs.contains(id) {
            violations.push(format!("job {id} ran but was never accepted"));
        }
    }
    (twice, evictions)
}

/// Returns whether any two of the spans overlap.
fn overlaps(spans: &[(u64, u64)]) -> bool {
    let mut sorted = spans.to_vec();
    sorted.sort_unstable();
    sorted.windows(2).any(|pair| pair[1].0 < pair[0].1)
}
