//! Random faults beside random jobs.

use crate::Verdict;
use crate::cases::HOST;
use crate::cases::PREFIX;
use crate::cases::Stage;
use crate::fleet::Seen;
use crate::fleet::StepWork;
use crate::fleet::hash;
use crate::hosts::Hosts;
use crate::http::Outcome;
use crate::http::Reply;
use crate::http::Server;
use crate::http::send;
use crate::store::Fate;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::thread;
use std::time::Duration;
use std::time::Instant;

struct Random(u64);

impl Random {
    fn next(&mut self) -> u64 {
        self.0 = self
            .0
            .wrapping_mul(6_364_136_223_846_793_005)
            .wrapping_add(1_442_695_040_888_963_407);
        let value = self.0;
        (value ^ value >> 33).wrapping_mul(0xff51_afd7_ed55_8ccd) >> 20
    }

    fn below(&mut self, end: u64) -> u64 {
        self.next() % end.max(1)
    }
}

#[derive(Debug, Default, Clone)]
struct Job {
    id: String,
    accepted: Option<Duration>,
    attempts: u32,
    refusals: u32,
    cancel_sent: bool,
    cancelled: Option<Duration>,
    lasts: bool,
    repetitions: u64,
    prefix: &'static str,
}

fn ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

pub fn fuzz(stage: &mut Stage) -> Verdict {
    let seed: u64 = std::env::var("SEED")
        .ok()
        .and_then(|text| text.parse().ok())
        .unwrap_or(1);
    let span: u64 = std::env::var("SPAN")
        .ok()
        .and_then(|text| text.parse().ok())
        .unwrap_or(60);
    let max_attempts = 3;
    stage.publish(3, max_attempts);
    for number in 0..12 {
        stage.world.add_minion(
            ["tosu-hall", "kumamoto-hall", "oita-hall"][number % 3],
            &format!("r{}", number % 3),
        );
    }
    {
        let mut fleet = stage.world.fleet.lock().unwrap();
        fleet.max_attempts = u64::from(max_attempts);
        fleet.fail_permille = 40;
    }
    // Each host reaches the store over a door of its own: 0 open, 1 refuses, 2 silent.
    let mut doors = Vec::new();
    let mut servers = Vec::new();
    for _ in 0..5 {
        let door = Arc::new(AtomicU64::new(0));
        let (store, own) = (stage.store.clone(), door.clone());
        let advising = stage.world.clone();
        let handler = move |request: &crate::http::Request| match own.load(Ordering::Relaxed) {
            1 => Reply::Answer(503, b"{}".to_vec()),
            2 => Reply::Silence,
            _ if request.path == "/goldcrestway/advise" => advising.advise(request),
            _ => {
                let reply = store.handle(request);
                if own.load(Ordering::Relaxed) == 2 {
                    Reply::Silence
                } else {
                    reply
                }
            }
        };
        servers.push(Server::start(([127, 0, 0, 1], 0).into(), Arc::new(handler)));
        doors.push(door);
    }
    let zones = [
        "tosu-hall",
        "kumamoto-hall",
        "oita-hall",
        "tosu-hall",
        "kumamoto-hall",
    ];
    stage.hosts = Hosts::start(stage.world.clone(), &zones, |number| {
        servers[number].address
    });
    if stage.hosts.is_none() {
        return Verdict::NotRun;
    }
    thread::sleep(ms(3_000));
    // Appends: 0 normal, 1 some are lost, 2 some are lost and late, 3 one topic refuses.
    let mode = Arc::new(AtomicU64::new(0));
    let seen = mode.clone();
    let counter = AtomicU64::new(0);
    *stage.store.judge.lock().unwrap() = Some(Box::new(move |topic, body| {
        let draw = hash(&format!(
            "{seed} {} {}",
            counter.fetch_add(1, Ordering::Relaxed),
            body.len()
        ));
        let is_hit = draw % 100 < 35;
        match seen.load(Ordering::Relaxed) {
            1 if is_hit => Fate::Lost,
            2 if is_hit => Fate::LostLate(Duration::from_millis(1_000 + draw / 100 % 5_000)),
            3 if topic == "keyed.jobs" && draw % 100 < 60 => Fate::Busy,
            4 if topic == "keyed.progress" => Fate::Busy,
            5 if topic == "keyed.states" => Fate::Busy,
            _ => Fate::Normal,
        }
    }));
    let fronts: Vec<_> = (0..5).map(|number| stage.front(number)).collect();
    let jobs: Arc<Mutex<Vec<Job>>> = Arc::default();
    let problems: Arc<Mutex<Vec<String>>> = Arc::default();
    let until = Instant::now() + Duration::from_secs(span);
    let mut clients = Vec::new();
    let clients_count: u64 = std::env::var("CLIENTS")
        .ok()
        .and_then(|text| text.parse().ok())
        .unwrap_or(6);
    for client in 0..clients_count {
        let (world, fronts, jobs, problems) = (
            stage.world.clone(),
            fronts.clone(),
            jobs.clone(),
            problems.clone(),
        );
        clients.push(thread::spawn(move || {
            let mut random = Random(seed * 1_000 + client);
            let mut count = 0;
            while Instant::now() < until {
                count += 1;
                let id = format!("{:04x}{:012x}", client + 1, seed * 100_000 + count);
                let mut steps = Vec::new();
                let lasts = random.below(45) == 0;
                for _ in 0..1 + random.below(3) {
                    let gang = !lasts && random.below(6) == 0;
                    steps.push(StepWork { count: 1 + random.below(5), cpu: 500 + random.below(2_000), work_ms: 60 + random.below(1_800), lasts, gang, spread: if random.below(5) == 0 { 1 + random.below(2) } else { 0 }, label: "" });
                    if lasts {
                        break;
                    }
                }
                world.fleet.lock().unwrap().jobs.insert(id.clone(), steps.clone());
                let mut rows = Vec::new();
                for (number, step) in steps.iter().enumerate() {
                    let mut row = format!("{{\"count\":{},\"cpu\":{},\"mem-mb\":256,\"estimated-ms\":{}", step.count, step.cpu, step.work_ms);
                    if step.lasts { row.push_str(",\"long-running\":true"); }
                    if step.gang { row.push_str(",\"gang\":true"); }
                    if step.spread > 0 { row.push_str(&format!(",\"anti-affinity\":{}", step.spread)); }
                    if number > 0 { row.push_str(&format!(",\"after\":[{}]", number - 1)); }
                    row.push('}');
                    rows.push(row);
                }
                let mut timed = String::new();
                let mut repetitions = 0;
                if !lasts && random.below(6) == 0 {
                    let (first, interval) = (crate::fleet::wall_ms() + random.below(3_000), 300 + random.below(2_000));
                    repetitions = 1 + random.below(4);
                    timed = format!(",\"repetitions\":{repetitions},\"first-run-ms\":{first},\"interval-ms\":{interval}");
                    world.fleet.lock().unwrap().timed.insert(id.clone(), (first, interval));
                }
                let body = format!("{{\"specification\":\"plan {id}\",\"steps\":[{}]{timed}}}", rows.join(","));
                let prefix = if random.below(3) == 0 { "/adv/" } else { PREFIX };
                if prefix != PREFIX { world.fleet.lock().unwrap().advised.insert(id.clone()); }
                let path = format!("{prefix}{id}");
                let mut job = Job { prefix, id: id.clone(), lasts, repetitions, ..Job::default() };
                let told = ms(3_000);
                for _ in 0..4 {
                    let front = fronts[random.below(5) as usize];
                    let patience = if random.below(8) == 0 { ms(5 + random.below(300)) } else { told };
                    job.attempts += 1;
                    match send(front, "POST", &path, HOST, &body, patience, told) {
                        Outcome::Answer(200, _) => { job.accepted = Some(world.now()); break; }
                        Outcome::Answer(429 | 503, _) => { job.refusals += 1; thread::sleep(ms(300)); }
                        _ => thread::sleep(ms(100)),
                    }
                }
                if job.accepted.is_some() {
                    if random.below(10) == 0 || lasts && random.below(2) == 0 {
                        thread::sleep(ms(random.below(1_500)));
                        job.cancel_sent = true;
                        for _ in 0..4 {
                            let front = fronts[random.below(5) as usize];
                            match send(front, "DELETE", &path, HOST, "", told, told) {
                                Outcome::Answer(200, _) => { job.cancelled = Some(world.now()); break; }
                                Outcome::Answer(410, _) => {
                                    problems.lock().unwrap().push(format!("LOST: DELETE of accepted {id} gets 410"));
                                    break;
                                }
                                _ => thread::sleep(ms(200)),
                            }
                        }
                    } else if random.below(3) == 0 {
                        thread::sleep(ms(random.below(800)));
                        let front = fronts[random.below(5) as usize];
                        if let Outcome::Answer(410, _) = send(front, "GET", &path, HOST, "", told, told) {
                            problems.lock().unwrap().push(format!("LOST: GET of accepted {id} gets 410 at {:?}", world.now()));
                        }
                    }
                }
                jobs.lock().unwrap().push(job);
                thread::sleep(ms(random.below(400)));
            }
        }));
    }
    let mut random = Random(seed);
    while Instant::now() < until {
        thread::sleep(ms(200 + random.below(1_500)));
        let node = random.below(5) as usize;
        let minion = random.below(12) as usize;
        let world = stage.world.clone();
        let for_ms = 500 + random.below(3_500);
        let picks: Vec<u64> = std::env::var("FAULTS").map_or((0..17).collect(), |text| {
            text.split(',')
                .filter_map(|word| word.parse().ok())
                .collect()
        });
        let fixed_mode: Option<u64> = std::env::var("MODE")
            .ok()
            .and_then(|text| text.parse().ok());
        match picks[random.below(picks.len() as u64) as usize] {
            0 => {
                stage.hosts().kill(node);
                thread::sleep(ms(random.below(1_500)));
                stage.hosts().launch(node);
            }
            1 | 2 => {
                let pid = stage.hosts().pid(node);
                stage.hosts().signal(node, "STOP");
                thread::spawn(move || {
                    thread::sleep(ms(for_ms));
                    if let Some(pid) = pid {
                        let _ = std::process::Command::new("kill")
                            .arg("-CONT")
                            .arg(pid.to_string())
                            .status();
                    }
                });
            }
            3 => {
                stage.hosts().signal(node, "TERM");
                thread::sleep(ms(3_500));
                stage.hosts().kill(node);
                stage.hosts().launch(node);
            }
            4 | 5 => {
                let value = 1 + random.below(2);
                world.note(format!(
                    "host {node} loses the store ({value}) for {for_ms} ms"
                ));
                let door = doors[node].clone();
                door.store(value, Ordering::Relaxed);
                thread::spawn(move || {
                    thread::sleep(ms(for_ms));
                    door.store(0, Ordering::Relaxed);
                });
            }
            6 | 7 => {
                let value = fixed_mode.unwrap_or(1 + random.below(5));
                world.note(format!("appends in mode {value} for {for_ms} ms"));
                let mode = mode.clone();
                mode.store(value, Ordering::Relaxed);
                thread::spawn(move || {
                    thread::sleep(ms(for_ms));
                    mode.store(0, Ordering::Relaxed);
                });
            }
            8 => {
                for door in &doors {
                    door.store(2, Ordering::Relaxed);
                }
                world.note(format!("the store is silent for {for_ms} ms"));
                thread::sleep(ms(for_ms));
                for door in &doors {
                    door.store(0, Ordering::Relaxed);
                }
            }
            9 | 10 => world.crash(minion, ms(for_ms + 500)),
            11 => {
                world.note(format!(
                    "minion {} is cut off for {} ms",
                    world.id_of(minion),
                    2 * for_ms
                ));
                world.set_cut(minion, true);
                thread::spawn(move || {
                    thread::sleep(ms(2 * for_ms));
                    world.set_cut(minion, false);
                });
            }
            12 => {
                let late = 2_000 + random.below(8_000);
                world.note(format!(
                    "minion {} carries orders out {late} ms late, for {for_ms} ms",
                    world.id_of(minion)
                ));
                world.set_late(minion, Some(ms(late)));
                thread::spawn(move || {
                    thread::sleep(ms(for_ms));
                    world.set_late(minion, None);
                });
            }
            13 => world.drain(minion, ms(2_500 + for_ms)),
            15 => {
                for node in 0..5 {
                    stage.hosts().kill(node);
                }
                thread::sleep(ms(random.below(1_500)));
                for node in 0..5 {
                    stage.hosts().launch(node);
                }
                thread::sleep(ms(4_000));
            }
            16 => {
                for node in [node, (node + 1) % 5] {
                    let pid = stage.hosts().pid(node);
                    stage.hosts().signal(node, "STOP");
                    thread::spawn(move || {
                        thread::sleep(ms(for_ms));
                        if let Some(pid) = pid {
                            let _ = std::process::Command::new("kill")
                                .arg("-CONT")
                                .arg(pid.to_string())
                                .status();
                        }
                    });
                }
            }
            _ => {
                world.set_grey(minion, true);
                thread::spawn(move || {
                    thread::sleep(ms(for_ms));
                    world.set_grey(minion, false);
                });
            }
        }
    }
    for client in clients {
        let _ = client.join();
    }
    thread::sleep(ms(24_000));
    let jobs = jobs.lock().unwrap().clone();
    let mut problems = problems.lock().unwrap().clone();
    problems.extend(stage.world.fleet.lock().unwrap().broken.clone());
    let now = stage.world.now();
    let mut states = std::collections::BTreeMap::new();
    for (number, job) in jobs.iter().enumerate() {
        let starts = stage.starts(&job.id);
        if job.attempts == job.refusals && !starts.is_empty() {
            problems.push(format!(
                "REFUSED: {} was refused {} times and runs",
                job.id, job.refusals
            ));
        }
        if job.accepted.is_none() {
            continue;
        }
        let path = format!("{}{}", job.prefix, job.id);
        let mut state = String::new();
        for attempt in 0..3 {
            if let Outcome::Answer(status, body) = send(
                fronts[(number + attempt) % 5],
                "GET",
                &path,
                HOST,
                "",
                ms(3_000),
                ms(3_000),
            ) {
                state = format!("{status} {body}");
                if status == 200 {
                    break;
                }
            }
        }
        let failed = stage.ends(&job.id, "failed");
        let is_open = state.contains("queued") || state.contains("running");
        *states.entry(state.clone()).or_insert(0) += 1;
        if !state.starts_with("200") {
            problems.push(format!("LOST: {} is shown as {state}", job.id));
        } else if state.contains("failed") && failed < 3 {
            problems.push(format!(
                "LOST: {} is shown as {state} with {failed} ends `failed`",
                job.id
            ));
        } else if state.contains("cancelled") && !job.cancel_sent {
            problems.push(format!(
                "LOST: {} is shown as {state}, not cancelled",
                job.id
            ));
        } else if is_open && !job.lasts {
            problems.push(format!("LOST: {} is still {state} at {now:?}", job.id));
        } else if state.contains("completed") && !job.lasts {
            let fleet = stage.world.fleet.lock().unwrap();
            let steps = fleet.jobs[&job.id].clone();
            for (step, work) in steps.iter().enumerate() {
                for index in 0..work.count * job.repetitions.max(1) {
                    let task = format!(
                        "{}.{}.{step}.{}",
                        job.id,
                        index / work.count,
                        index % work.count
                    );
                    if !fleet.done.contains(&task) {
                        problems.push(format!("MIXED: {} is completed without {task}", job.id));
                    }
                }
            }
        }
        if job.cancelled.is_some() || is_open && job.lasts {
            let count = stage.world.fleet.lock().unwrap().jobs[&job.id][0].count;
            let running = (0..count)
                .filter(|index| {
                    stage
                        .world
                        .place_of(&format!("{}.0.0.{index}", job.id))
                        .is_some()
                })
                .count() as u64;
            if job.cancelled.is_some() && running > 0 {
                problems.push(format!(
                    "UNASKED: {} was cancelled and {running} of it run",
                    job.id
                ));
            }
            if job.cancelled.is_none() && !job.cancel_sent && running < count {
                problems.push(format!(
                    "LOST: {} lasts and {running} of {count} run",
                    job.id
                ));
            }
        }
    }
    let starts = stage
        .world
        .fleet
        .lock()
        .unwrap()
        .seen
        .iter()
        .filter(|seen| matches!(seen, Seen::Start { .. }))
        .count();
    stage.world.note(format!(
        "seed {seed}: {} jobs, {} accepted, {starts} starts, {states:?}",
        jobs.len(),
        jobs.iter().filter(|job| job.accepted.is_some()).count()
    ));
    for problem in &problems {
        stage.world.note(format!("PROBLEM {problem}"));
    }
    match problems.is_empty() {
        true => Verdict::Held,
        false => Verdict::Broken,
    }
}
