//! What was sent, answered and run.

use std::collections::{HashMap, HashSet};
use std::fs::File;
use std::io::{BufWriter, Write};
use std::sync::Mutex;
use std::time::Instant;

#[derive(Debug, Clone)]
pub enum Event {
    /// A minion has begun a run.
    Start {
        life: String,
        task: String,
        run: u64,
    },
    /// A run has ended.
    End {
        life: String,
        number: u64,
        task: String,
        run: u64,
        how: &'static str,
    },
    /// `last-seen` has reached an end, and the lease has not lapsed between the two.
    Noted { life: String, number: u64 },
    /// A run is gone with its minion.
    Gone {
        life: String,
        task: String,
        run: u64,
    },
}

pub struct Record {
    begun: Instant,
    state: Mutex<(BufWriter<File>, Vec<(u64, Event)>)>,
}

impl Record {
    pub fn new(path: &str) -> Self {
        let file = File::create(path).expect("record.txt");
        Self {
            begun: Instant::now(),
            state: Mutex::new((BufWriter::new(file), Vec::new())),
        }
    }

    pub fn now_ms(&self) -> u64 {
        self.begun.elapsed().as_millis() as u64
    }

    pub fn note(&self, text: &str) {
        let mut state = self.state.lock().unwrap();
        let _ = writeln!(state.0, "{:>6} {text}", self.now_ms());
    }

    /// Notes an answer of a minion if it can't hold all ends that the minion lists.
    pub fn look(&self, life: &str, running: usize, listed: usize, ended: usize) {
        if listed < ended {
            self.note(&format!(
                "look at {life}: {running} running, {listed} of {ended} ends"
            ));
        }
    }

    pub fn add(&self, event: Event) {
        let mut state = self.state.lock().unwrap();
        let ms = self.now_ms();
        let line = match &event {
            Event::Start { life, task, run } => format!("start {task} run {run} at {life}"),
            Event::End {
                life,
                number,
                task,
                run,
                how,
            } => {
                format!("end {number} of {life}: {task} run {run} {how}")
            }
            Event::Noted { life, number } => format!("noted end {number} of {life}"),
            Event::Gone { life, task, run } => format!("gone with {life}: {task} run {run}"),
        };
        let _ = writeln!(state.0, "{ms:>6} {line}");
        state.1.push((ms, event));
    }

    pub fn flush(&self) {
        let _ = self.state.lock().unwrap().0.flush();
    }

    pub fn events(&self) -> Vec<(u64, Event)> {
        self.state.lock().unwrap().1.clone()
    }

    /// Number of runs that have ended `done`.
    pub fn done(&self) -> usize {
        let state = self.state.lock().unwrap();
        let events = state.1.iter();
        events
            .filter(|(_, event)| matches!(event, Event::End { how: "done", .. }))
            .count()
    }

    /// Rule TWICE: starts of tasks after a run of them has ended `done`, if that end was taken note
    /// of, and starts of tasks that run elsewhere.
    pub fn twice(&self) -> Vec<String> {
        let events = self.events();
        let mut noted = HashSet::new();
        for (_, event) in &events {
            if let Event::Noted { life, number } = event {
                noted.insert((life.clone(), *number));
            }
        }
        let mut done: HashMap<&str, (u64, u64)> = HashMap::new();
        let mut running: HashMap<(&str, u64, &str), u64> = HashMap::new();
        let mut broken = Vec::new();
        for (ms, event) in &events {
            match event {
                Event::Start { life, task, run } => {
                    if let Some((done_ms, done_run)) = done.get(&**task) {
                        broken.push(format!(
                            "TWICE: {task} run {run} starts at {ms} ms, after run {done_run} has \
                             ended done at {done_ms} ms and that end was taken note of"
                        ));
                    }
                    if running.keys().any(|(other, ..)| *other == task) {
                        broken.push(format!("TWICE: two runs of {task} at {ms} ms"));
                    }
                    running.insert((task, *run, life), *ms);
                }
                Event::End {
                    life,
                    number,
                    task,
                    run,
                    how,
                } => {
                    running.remove(&(&**task, *run, &**life));
                    if *how == "done" && noted.contains(&(life.clone(), *number)) {
                        done.entry(task).or_insert((*ms, *run));
                    }
                }
                Event::Gone { life, task, run } => {
                    running.remove(&(&**task, *run, &**life));
                }
                _ => {}
            }
        }
        broken
    }
}
