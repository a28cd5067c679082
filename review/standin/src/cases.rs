//! The cases.

use crate::minion::Work;
use crate::record::{Event, Record};
use crate::world::World;
use std::sync::Arc;
use std::thread;
use std::time::{Duration, Instant};

type Outcome = Result<Vec<String>, String>;

fn sleep_ms(ms: u64) {
    thread::sleep(Duration::from_millis(ms));
}

/// Jobs of many small tasks run on two minions; the process that last wrote to the store under a
/// condition is killed as the tasks end. Rule TWICE.
pub fn ends(record: &Arc<Record>, trouble: bool) -> Outcome {
    let world = World::start(7, &["a", "a"], record)?;
    let work = Work {
        cpu: 10,
        mem_mb: 16,
        ms: 2_500,
        uneven_ms: 2_000,
    };
    for job in 1..=3 {
        world.submit(&format!("5c0e7a21d94b36f{job}"), 800, work, "")?;
    }
    // A sixth of the tasks has ended.
    let begun = Instant::now();
    while record.done() < 400 {
        if begun.elapsed() > Duration::from_secs(20) {
            return Err("too few tasks have ended".into());
        }
        sleep_ms(5);
    }
    let running: Vec<usize> = world
        .minions
        .iter()
        .map(|minion| minion.running())
        .collect();
    record.note(&format!("running: {running:?}"));
    if trouble {
        let leader = world.store.last_fenced().ok_or("no host has written")?;
        world.kill(leader);
        sleep_ms(3_500);
        world.launch(leader)?;
    }
    for job in 1..=3 {
        world.await_state(&format!("5c0e7a21d94b36f{job}"), Duration::from_secs(20));
    }
    sleep_ms(1_000);
    Ok(record.twice())
}

/// A minion crashes three times, and a job that needs its label is shown as failed although no run
/// of it has ended `failed`. Rule LOST.
pub fn crash(record: &Arc<Record>, trouble: bool) -> Outcome {
    let kinds = ["a", "a", "a", "a", "a", "a", "a", "a", "a", "b"];
    let world = World::start(7, &kinds, record)?;
    let minion = world.minions[9].clone();
    let id = "5c0e7a21d94b36f8";
    let work = Work {
        cpu: 1_000,
        mem_mb: 512,
        ms: 3_000,
        uneven_ms: 0,
    };
    world.submit(id, 1, work, ",\"required-label\":\"b\"")?;
    sleep_ms(500);
    for _ in 0..if trouble { 3 } else { 0 } {
        let former = minion.id();
        minion.crash();
        let store = world.store.clone();
        thread::spawn(move || {
            // Three heartbeat intervals of silence.
            sleep_ms(4_500);
            store.put("keyed.servers", &former, "");
        });
        sleep_ms(1_000);
        minion.restart();
        world
            .store
            .put("keyed.servers", &minion.id(), &minion.entry(1));
        sleep_ms(900);
    }
    let state = world.await_state(id, Duration::from_secs(30));
    for line in world.log_lines(id) {
        record.note(&line);
    }
    let events = record.events();
    let failed = events
        .iter()
        .filter(|(_, event)| matches!(event, Event::End { how: "failed", .. }));
    let failed = failed.count();
    Ok(match (&*state, failed) {
        ("failed", 0) => vec![format!(
            "LOST: {id} is shown as failed, and no run has ended failed"
        )],
        ("completed", _) => Vec::new(),
        _ => return Err(format!("{id} is {state:?}")),
    })
}
