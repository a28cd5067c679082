//! Minions: lives at addresses, with fencing tokens, leases, runs and ends.

use crate::http::Handler;
use crate::http::Reply;
use crate::http::Request;
use crate::http::Server;
use crate::json;
use crate::json::Json;
use crate::json::quote;
use crate::store::Store;
use std::collections::BTreeMap;
use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Condvar;
use std::sync::Mutex;
use std::thread;
use std::time::Duration;
use std::time::Instant;

const HOLD_MAX_MS: u64 = 6_000;
const HEARTBEAT_MS: u64 = 1_500;
const STOP_MS: u64 = 100;
const GANG_WAIT_MS: u64 = 3_000;
const CPU_MILLI: u64 = 16_000;
const MEM_MB: u64 = 64_000;
const ENDS_PER_ANSWER: usize = 500;

/// What the world knows of the tasks of a step.
#[derive(Clone)]
pub struct StepWork {
    pub count: u64,
    pub cpu: u64,
    pub work_ms: u64,
    pub lasts: bool,
    pub gang: bool,
    /// `anti-affinity`; 0 for none.
    pub spread: u64,
    /// `required-label`; empty for none.
    pub label: &'static str,
}

struct Run {
    run: u64,
    started_ms: u64,
    /// Since when the members of a gang are all present; the start for any other task.
    working_ms: Option<u64>,
    stopping_ms: Option<u64>,
    cpu: u64,
}

/// One life of a minion.
struct Life {
    id: String,
    started: Instant,
    token: u64,
    lease_ms: u64,
    running: BTreeMap<String, Run>,
    barred: HashMap<String, u64>,
    ended: Vec<(u64, String, u64, &'static str)>,
    /// Ends listed before this number were listed before the lease lapsed.
    lapsed_below: u64,
    next_end: u64,
    is_draining: bool,
    /// It fails all that it starts.
    is_grey: bool,
    /// It is cut off: calls reach nothing and get no answer.
    is_cut: bool,
    /// It answers each order to start with 503.
    is_busy: bool,
    /// Orders are carried out after this time and not answered.
    late: Option<Duration>,
    heartbeat_ms: u64,
    sequence: u64,
}

impl Life {
    /// The minion's own steady clock, which is slow by 1%.
    fn clock_ms(&self) -> u64 {
        self.started.elapsed().as_millis() as u64 * 99 / 100 + 1_000
    }

    fn end(&mut self, task: &str, how: &'static str) -> Option<u64> {
        let run = self.running.remove(task)?.run;
        self.ended.push((self.next_end, task.to_string(), run, how));
        self.next_end += 1;
        let barred = self.barred.entry(task.to_string()).or_default();
        *barred = (*barred).max(run);
        Some(run)
    }
}

struct Minion {
    address: SocketAddr,
    zone: String,
    rack: String,
    kind: &'static str,
    life: Option<Life>,
    server: Option<Server>,
    /// Id of a life that ended without a word, and when its entry is removed.
    removal: Option<(String, Instant)>,
    restart: Option<Instant>,
}

/// What happened at minions, for the verdict.
#[allow(dead_code, reason = "Some fields are only for reading along.")]
#[derive(Debug, Clone)]
pub enum Seen {
    Start {
        at: Duration,
        task: String,
        run: u64,
        minion: String,
    },
    End {
        at: Duration,
        task: String,
        run: u64,
        minion: String,
        how: String,
    },
    /// The life ended with these runs.
    Crash {
        at: Duration,
        minion: String,
        tasks: Vec<(String, u64)>,
    },
}

#[derive(Default)]
pub struct Fleet {
    minions: Vec<Minion>,
    lives: u64,
    pub jobs: HashMap<String, Vec<StepWork>>,
    pub seen: Vec<Seen>,
    /// Rules that were broken at minions.
    pub broken: Vec<String>,
    /// Tasks whose end `done` was taken note of.
    noted: std::collections::HashSet<String>,
    /// Number of noted ends `failed`, by task.
    failures: HashMap<String, u64>,
    pub max_attempts: u64,
    /// Jobs of a queue with `advice`.
    pub advised: std::collections::HashSet<String>,
    /// Tickets, by step and id of the minion, with their expiry.
    tickets: HashMap<(String, String), (String, Instant)>,
    pub fail_permille: u64,
    /// End of the ids of all minions.
    pub id_suffix: &'static str,
    /// Times of day of scheduled jobs: `first-run-ms`, `interval-ms`.
    pub timed: HashMap<String, (u64, u64)>,
    /// Tasks that have ended `done`, noted or not.
    pub done: std::collections::HashSet<String>,
}

pub struct World {
    pub fleet: Mutex<Fleet>,
    changed: Condvar,
    pub store: Arc<Store>,
    pub begun: Instant,
    lines: Mutex<Vec<String>>,
}

impl World {
    pub fn new(store: Arc<Store>) -> Arc<Self> {
        let world = Arc::new(Self {
            fleet: Mutex::default(),
            changed: Condvar::new(),
            store,
            begun: Instant::now(),
            lines: Mutex::default(),
        });
        let ticking = world.clone();
        thread::spawn(move || {
            loop {
                ticking.tick();
                thread::sleep(Duration::from_millis(4));
            }
        });
        world
    }

    pub fn now(&self) -> Duration {
        self.begun.elapsed()
    }

    pub fn note(&self, text: impl AsRef<str>) {
        let line = format!("{:9.3} s  {}", self.now().as_secs_f64(), text.as_ref());
        println!("{line}");
        self.lines.lock().unwrap().push(line);
    }

    pub fn lines(&self) -> String {
        let mut text = self.lines.lock().unwrap().join("\n");
        text.push('\n');
        text
    }

    pub fn add_minion(self: &Arc<Self>, zone: &str, rack: &str) -> usize {
        let mut fleet = self.fleet.lock().unwrap();
        let number = fleet.minions.len();
        fleet.minions.push(Minion {
            address: SocketAddr::from(([127, 0, 0, 1], 0)),
            zone: zone.into(),
            rack: rack.into(),
            kind: if rack == "r-b" { "b" } else { "a" },
            life: None,
            server: None,
            removal: None,
            restart: None,
        });
        self.begin_life(&mut fleet, number);
        number
    }

    fn begin_life(self: &Arc<Self>, fleet: &mut Fleet, number: usize) {
        fleet.lives += 1;
        let id = format!(
            "i-{:08x}{}",
            0x7f3a_9100_u64 + fleet.lives * 37,
            fleet.id_suffix
        );
        let world = self.clone();
        let handler: Handler = Arc::new(move |request: &Request| world.answer(number, request));
        let minion = &mut fleet.minions[number];
        let server = Server::start(minion.address, handler);
        minion.address = server.address;
        minion.server = Some(server);
        minion.restart = None;
        minion.life = Some(Life {
            id: id.clone(),
            started: Instant::now(),
            token: 0,
            lease_ms: 0,
            running: BTreeMap::new(),
            barred: HashMap::new(),
            ended: Vec::new(),
            lapsed_below: 0,
            next_end: 1,
            is_draining: false,
            is_grey: false,
            is_cut: false,
            is_busy: false,
            late: None,
            heartbeat_ms: 0,
            sequence: 0,
        });
        self.report(minion);
        self.note(format!("minion {id} begins at {}", minion.address));
    }

    /// Writes the entry of a minion.
    fn report(&self, minion: &mut Minion) {
        let Some(life) = &mut minion.life else {
            return;
        };
        life.sequence += 1;
        life.heartbeat_ms = life.started.elapsed().as_millis() as u64;
        let state = if life.is_draining {
            "draining"
        } else {
            "ready"
        };
        let entry = format!(
            "{{\"service\":\"core\",\"address\":\"{}\",\"zone\":{},\"version\":1,\"slots\":8,\"state\":\"{state}\",\"sequence\":{},\"capacity\":{{\"cpu\":{CPU_MILLI},\"mem-mb\":{MEM_MB}}},\"labels\":[{},{}]}}",
            minion.address,
            quote(&minion.zone),
            life.sequence,
            quote(minion.kind),
            quote(&minion.rack)
        );
        self.store.put("keyed.servers", &life.id, &entry);
    }

    pub fn id_of(&self, number: usize) -> String {
        let fleet = self.fleet.lock().unwrap();
        fleet.minions[number]
            .life
            .as_ref()
            .map_or(String::new(), |life| life.id.clone())
    }

    /// Answers a call for tickets.
    pub fn advise(&self, request: &Request) -> Reply {
        let body = json::parse(&request.body).unwrap_or(Json::Null);
        let step = body.get("step").text().to_string();
        let workers: Vec<String> = match body.get("workers") {
            Json::List(list) => list
                .iter()
                .map(|worker| worker.text().to_string())
                .collect(),
            _ => Vec::new(),
        };
        thread::sleep(Duration::from_millis(20 + 2 * workers.len() as u64));
        let mut fleet = self.fleet.lock().unwrap();
        let mut rows = Vec::new();
        let always = hash(&step) as usize % fleet.minions.len();
        for worker in workers {
            let number = fleet
                .minions
                .iter()
                .position(|minion| minion.life.as_ref().is_some_and(|life| life.id == worker));
            let Some(number) = number else {
                continue;
            };
            if number != always && hash(&format!("{step} {number}")) % 3 != 0 {
                continue;
            }
            let ticket = format!("t-{:x}", hash(&format!("{step} {worker} {:?}", self.now())));
            fleet.tickets.insert(
                (step.clone(), worker.clone()),
                (
                    ticket.clone(),
                    Instant::now() + Duration::from_millis(3_000),
                ),
            );
            rows.push(format!("[{},{}]", quote(&worker), quote(&ticket)));
        }
        Reply::Answer(
            200,
            format!("{{\"good\":[{}],\"validity-ms\":3000}}", rows.join(",")).into_bytes(),
        )
    }

    pub fn set_grey(&self, number: usize, is_grey: bool) {
        let mut fleet = self.fleet.lock().unwrap();
        if let Some(life) = &mut fleet.minions[number].life {
            life.is_grey = is_grey;
        }
    }

    pub fn set_cut(&self, number: usize, is_cut: bool) {
        let mut fleet = self.fleet.lock().unwrap();
        if let Some(life) = &mut fleet.minions[number].life {
            life.is_cut = is_cut;
        }
    }

    pub fn set_busy(&self, number: usize, is_busy: bool) {
        let mut fleet = self.fleet.lock().unwrap();
        if let Some(life) = &mut fleet.minions[number].life {
            life.is_busy = is_busy;
        }
    }

    pub fn set_late(&self, number: usize, late: Option<Duration>) {
        let mut fleet = self.fleet.lock().unwrap();
        if let Some(life) = &mut fleet.minions[number].life {
            life.late = late;
        }
    }

    /// Lets a minion drain. It leaves after `stays`, and another one begins at its address.
    pub fn drain(self: &Arc<Self>, number: usize, stays: Duration) {
        {
            let mut fleet = self.fleet.lock().unwrap();
            let minion = &mut fleet.minions[number];
            if let Some(life) = &mut minion.life {
                life.is_draining = true;
            }
            self.report(minion);
        }
        let world = self.clone();
        thread::spawn(move || {
            thread::sleep(stays);
            world.crash(number, Duration::from_millis(500));
        });
    }

    /// Returns where a task runs now.
    pub fn place_of(&self, task: &str) -> Option<(usize, u64, u64)> {
        let fleet = self.fleet.lock().unwrap();
        for (number, minion) in fleet.minions.iter().enumerate() {
            if let Some(life) = &minion.life
                && let Some(run) = life.running.get(task)
            {
                return Some((number, run.run, life.clock_ms() - run.started_ms));
            }
        }
        None
    }

    /// Crashes a minion. A new life begins at its address after `down`.
    pub fn crash(&self, number: usize, down: Duration) {
        let mut fleet = self.fleet.lock().unwrap();
        let at = self.now();
        let minion = &mut fleet.minions[number];
        if let Some(server) = minion.server.take() {
            server.stop();
        }
        let Some(life) = minion.life.take() else {
            return;
        };
        minion.removal = Some((
            life.id.clone(),
            Instant::now() + Duration::from_millis(3 * HEARTBEAT_MS),
        ));
        minion.restart = Some(Instant::now() + down);
        let tasks: Vec<(String, u64)> = life
            .running
            .iter()
            .map(|(task, run)| (task.clone(), run.run))
            .collect();
        self.note(format!("minion {} crashes, with {tasks:?}", life.id));
        fleet.seen.push(Seen::Crash {
            at,
            minion: life.id,
            tasks,
        });
        self.changed.notify_all();
    }

    fn tick(self: &Arc<Self>) {
        let mut fleet = self.fleet.lock().unwrap();
        let at = self.now();
        let now = Instant::now();
        for number in 0..fleet.minions.len() {
            let minion = &mut fleet.minions[number];
            if let Some((id, _)) = minion.removal.take_if(|(_, due)| now >= *due) {
                self.store.put("keyed.servers", &id, "");
            }
            if minion.restart.is_some_and(|due| now >= due) {
                self.begin_life(&mut fleet, number);
            }
            let minion = &mut fleet.minions[number];
            if let Some(life) = &minion.life
                && life.started.elapsed().as_millis() as u64 >= life.heartbeat_ms + HEARTBEAT_MS
            {
                self.report(minion);
            }
        }
        self.gather_gangs(&mut fleet);
        let jobs = fleet.jobs.clone();
        let fail_permille = fleet.fail_permille;
        let mut broken: Vec<(String, u64)> = Vec::new();
        let mut seen = Vec::new();
        for minion in &mut fleet.minions {
            let Some(life) = &mut minion.life else {
                continue;
            };
            let clock_ms = life.clock_ms();
            let has_lapsed = clock_ms > life.lease_ms;
            if has_lapsed {
                life.lapsed_below = life.next_end;
            }
            let mut due: Vec<(String, &'static str)> = Vec::new();
            for (task, run) in &life.running {
                let Some(work) = work_of(&jobs, task) else {
                    continue;
                };
                if has_lapsed {
                    due.push((task.clone(), "lapsed"));
                } else if run
                    .stopping_ms
                    .is_some_and(|since| clock_ms >= since + STOP_MS)
                {
                    due.push((task.clone(), "stopped"));
                } else if let Some(since) = run.working_ms {
                    if life.is_grey && clock_ms >= since + 50 {
                        due.push((task.clone(), "failed"));
                    } else if !work.lasts && clock_ms >= since + work.work_ms {
                        let draw = hash(&format!("{task} {}", run.run)) % 1_000;
                        let how = if draw < fail_permille {
                            "failed"
                        } else {
                            "done"
                        };
                        due.push((task.clone(), how));
                    }
                } else if clock_ms >= run.started_ms + GANG_WAIT_MS {
                    due.push((task.clone(), "alone"));
                }
            }
            for (task, how) in due {
                if let Some(run) = life.end(&task, how) {
                    seen.push(Seen::End {
                        at,
                        task: task.clone(),
                        run,
                        minion: life.id.clone(),
                        how: how.into(),
                    });
                    if work_of(&jobs, &task).is_some_and(|work| work.gang) && how != "done" {
                        broken.push((task, run));
                    }
                }
            }
        }
        // The other members of a gang end as well.
        for (ended, number) in broken {
            let step = ended
                .rsplit_once('.')
                .map_or("", |(step, _)| step)
                .to_string();
            for minion in &mut fleet.minions {
                let Some(life) = &mut minion.life else {
                    continue;
                };
                let others: Vec<String> = life
                    .running
                    .iter()
                    .filter(|(task, run)| {
                        run.run == number
                            && task.rsplit_once('.').is_some_and(|(own, _)| own == step)
                    })
                    .map(|(task, _)| task.clone())
                    .collect();
                for task in others {
                    if let Some(run) = life.end(&task, "broken") {
                        seen.push(Seen::End {
                            at,
                            task,
                            run,
                            minion: life.id.clone(),
                            how: "broken".into(),
                        });
                    }
                }
            }
        }
        if !seen.is_empty() {
            for event in &seen {
                if let Seen::End {
                    task,
                    run,
                    minion,
                    how,
                    ..
                } = event
                {
                    self.note(format!("{task} run {run} on {minion} ends: {how}"));
                }
            }
            self.changed.notify_all();
        }
        for event in &seen {
            if let Seen::End { task, how, .. } = event
                && how == "done"
            {
                fleet.done.insert(task.clone());
                if work_of(&jobs, task).is_some_and(|work| work.gang) {
                    let step = task
                        .rsplit_once('.')
                        .map_or("", |(step, _)| step)
                        .to_string();
                    let count = work_of(&jobs, task).map_or(0, |work| work.count);
                    for index in 0..count {
                        fleet.done.insert(format!("{step}.{index}"));
                    }
                }
            }
        }
        fleet.seen.extend(seen);
    }

    /// Lets the gangs work of which all members of one run are present.
    fn gather_gangs(&self, fleet: &mut Fleet) {
        let mut present: HashMap<(String, u64), u64> = HashMap::new();
        for life in fleet
            .minions
            .iter()
            .filter_map(|minion| minion.life.as_ref())
        {
            for (task, run) in &life.running {
                let step = task.rsplit_once('.').map_or("", |(step, _)| step);
                *present.entry((step.to_string(), run.run)).or_default() += 1;
            }
        }
        let jobs = &fleet.jobs;
        for life in fleet
            .minions
            .iter_mut()
            .filter_map(|minion| minion.life.as_mut())
        {
            let clock_ms = life.clock_ms();
            for (task, run) in &mut life.running {
                if run.working_ms.is_some() {
                    continue;
                }
                let step = task.rsplit_once('.').map_or("", |(step, _)| step);
                let members = present
                    .get(&(step.to_string(), run.run))
                    .copied()
                    .unwrap_or(0);
                if work_of(jobs, task).is_some_and(|work| members >= work.count) {
                    run.working_ms = Some(clock_ms);
                }
            }
        }
    }

    fn answer(&self, number: usize, request: &Request) -> Reply {
        thread::sleep(Duration::from_millis(1));
        let (is_cut, is_busy, late) = {
            let fleet = self.fleet.lock().unwrap();
            match &fleet.minions[number].life {
                Some(life) => (life.is_cut, life.is_busy, life.late),
                None => return Reply::Close,
            }
        };
        if is_cut {
            return Reply::Silence;
        }
        if is_busy && request.path == "/goldcrestway/run-start" {
            return Reply::Answer(503, b"{}".to_vec());
        }
        if let Some(late) = late.filter(|_| request.path != "/goldcrestway/hold") {
            thread::sleep(late);
            let _ = self.execute(number, request);
            return Reply::Silence;
        }
        self.execute(number, request)
    }

    fn execute(&self, number: usize, request: &Request) -> Reply {
        let body = json::parse(&request.body).unwrap_or(Json::Null);
        let mut fleet = self.fleet.lock().unwrap();
        let Some(life) = fleet.minions[number].life.as_mut() else {
            return Reply::Close;
        };
        if request.path == "/health" {
            return Reply::Answer(200, b"{}".to_vec());
        }
        if request
            .headers
            .get("expected-instance")
            .is_some_and(|id| *id != life.id)
        {
            return Reply::Answer(421, b"{}".to_vec());
        }
        let clock_ms = life.clock_ms();
        let refuse = |reason: &str| {
            Reply::Answer(
                409,
                format!("{{\"clock-ms\":{clock_ms},\"reason\":\"{reason}\"}}").into_bytes(),
            )
        };
        let token = body.get("fencing-token").number().unwrap_or(0);
        if token < life.token {
            return refuse("fence");
        }
        life.token = token;
        let deadline = body.get("deadline-ms").number();
        let extend = |life: &mut Life| {
            if let Some(deadline) = deadline {
                life.lease_ms = life.lease_ms.max(deadline.min(clock_ms + HOLD_MAX_MS));
            }
        };
        let task = body.get("task").text().to_string();
        let run = body.get("run").number().unwrap_or(0);
        match request.path.as_str() {
            "/goldcrestway/run-start" => {
                let minion = life.id.clone();
                if life
                    .running
                    .get(&task)
                    .is_some_and(|known| known.run == run)
                {
                    extend(life);
                    return Reply::Answer(200, format!("{{\"clock-ms\":{clock_ms}}}").into_bytes());
                }
                if life.barred.get(&task).is_some_and(|barred| run <= *barred) {
                    extend(life);
                    return refuse("old");
                }
                if deadline.is_none_or(|deadline| deadline < clock_ms) {
                    return refuse("late");
                }
                let jobs = &fleet.jobs;
                let work = work_of(jobs, &task).cloned();
                let Some(life) = fleet.minions[number].life.as_mut() else {
                    return Reply::Close;
                };
                extend(life);
                let cpu = work.as_ref().map_or(100, |work| work.cpu);
                let used: u64 = life.running.values().map(|run| run.cpu).sum();
                let job = task.split('.').next().unwrap_or_default().to_string();
                let minion_id = life.id.clone();
                if fleet.advised.contains(&job) {
                    let step = task
                        .rsplit_once('.')
                        .map_or("", |(step, _)| step)
                        .to_string();
                    let known = fleet.tickets.get(&(step, minion_id.clone()));
                    let ticket = body.get("ticket").text();
                    if !known.is_some_and(|(own, until)| own == ticket && Instant::now() < *until) {
                        return refuse("ticket");
                    }
                }
                let Some(life) = fleet.minions[number].life.as_mut() else {
                    return Reply::Close;
                };
                let is_over = used + cpu > CPU_MILLI;
                let is_guarded = std::env::var("GUARD").map_or(true, |text| text != "0");
                if is_over && is_guarded {
                    return refuse("room");
                }
                let is_gang = work.as_ref().is_some_and(|work| work.gang);
                let lasts = work.as_ref().is_some_and(|work| work.lasts);
                life.running.insert(
                    task.clone(),
                    Run {
                        run,
                        started_ms: clock_ms,
                        working_ms: (!is_gang).then_some(clock_ms),
                        stopping_ms: None,
                        cpu,
                    },
                );
                self.note(format!(
                    "{task} run {run} starts on {minion}, token {token}"
                ));
                let mut broken = Vec::new();
                if is_over {
                    broken.push(format!(
                        "LIMIT: {task} run {run} brings {minion} to {} of {CPU_MILLI}",
                        used + cpu
                    ));
                }
                for (other, known) in fleet.minions.iter().enumerate() {
                    if other != number
                        && known
                            .life
                            .as_ref()
                            .is_some_and(|life| life.running.contains_key(&task))
                    {
                        broken.push(format!(
                            "TWICE: {task} run {run} starts on {minion} and runs on another"
                        ));
                    }
                }
                if !lasts && fleet.noted.contains(&task) {
                    broken.push(format!(
                        "TWICE: {task} run {run} starts on {minion} after it was done"
                    ));
                }
                if !lasts
                    && fleet
                        .failures
                        .get(&task)
                        .is_some_and(|count| *count >= fleet.max_attempts && fleet.max_attempts > 0)
                {
                    broken.push(format!(
                        "BUDGET: {task} run {run} starts on {minion} after its last attempt"
                    ));
                }
                let words: Vec<&str> = task.split('.').collect();
                if let [job, occurrence, step, _] = words[..]
                    && let Ok(step) = step.parse::<usize>()
                    && let Some(steps) = fleet.jobs.get(job)
                {
                    if let Some(before) = step.checked_sub(1).and_then(|before| steps.get(before)) {
                        for index in 0..before.count {
                            if !before.lasts
                                && !fleet
                                    .done
                                    .contains(&format!("{job}.{occurrence}.{}.{index}", step - 1))
                            {
                                broken.push(format!(
                                    "ORDER: {task} starts before step {} is done",
                                    step - 1
                                ));
                                break;
                            }
                        }
                    }
                    let spread = steps.get(step).map_or(0, |work| work.spread);
                    let own = format!("{job}.{occurrence}.{step}.");
                    let beside = fleet.minions[number].life.as_ref().map_or(0, |life| {
                        life.running
                            .keys()
                            .filter(|name| name.starts_with(&own))
                            .count()
                    });
                    if spread > 0 && beside as u64 > spread {
                        broken.push(format!(
                            "ROUTE: {task} is number {beside} on {minion}, {spread} may be"
                        ));
                    }
                    if let Some((first, interval)) = fleet.timed.get(job) {
                        let due = first + interval * occurrence.parse::<u64>().unwrap_or(0);
                        let wall = wall_ms();
                        if wall + 250 < due {
                            broken.push(format!(
                                "ORDER: {task} starts {} ms before its time",
                                due - wall
                            ));
                        }
                    }
                }
                for line in broken {
                    self.note(&line);
                    fleet.broken.push(line);
                }
                fleet.seen.push(Seen::Start {
                    at: self.now(),
                    task,
                    run,
                    minion,
                });
                Reply::Answer(200, format!("{{\"clock-ms\":{clock_ms}}}").into_bytes())
            }
            "/goldcrestway/run-stop" => {
                let barred = life.barred.entry(task.clone()).or_default();
                *barred = (*barred).max(run);
                if let Some(known) = life.running.get_mut(&task)
                    && known.run <= run
                {
                    known.stopping_ms.get_or_insert(clock_ms);
                }
                Reply::Answer(200, format!("{{\"clock-ms\":{clock_ms}}}").into_bytes())
            }
            "/goldcrestway/pace" => {
                Reply::Answer(200, format!("{{\"clock-ms\":{clock_ms}}}").into_bytes())
            }
            "/goldcrestway/hold" => {
                extend(life);
                let last_seen = body.get("last-seen").number().unwrap_or(0);
                let lapsed_below = life.lapsed_below;
                let noted: Vec<_> = life
                    .ended
                    .iter()
                    .filter(|(number, ..)| *number <= last_seen && *number >= lapsed_below)
                    .cloned()
                    .collect();
                life.ended.retain(|(number, ..)| *number > last_seen);
                let life_id = life.id.clone();
                for (_, task, _, how) in noted {
                    match how {
                        "done" => drop(fleet.noted.insert(task)),
                        "failed" => *fleet.failures.entry(task).or_default() += 1,
                        _ => {}
                    }
                }
                let Some(life) = fleet.minions[number]
                    .life
                    .as_mut()
                    .filter(|life| life.id == life_id)
                else {
                    return Reply::Close;
                };
                let id = life.id.clone();
                let until = Instant::now()
                    + Duration::from_millis(body.get("wait-ms").number().unwrap_or(0).min(2_000));
                loop {
                    let Some(life) = fleet.minions[number]
                        .life
                        .as_ref()
                        .filter(|life| life.id == id)
                    else {
                        return Reply::Close;
                    };
                    let now = Instant::now();
                    if !life.ended.is_empty() || now >= until {
                        break;
                    }
                    fleet = self.changed.wait_timeout(fleet, until - now).unwrap().0;
                }
                let jobs = &fleet.jobs;
                let Some(life) = fleet.minions[number].life.as_ref() else {
                    return Reply::Close;
                };
                Reply::Answer(200, report_body(life, jobs).into_bytes())
            }
            _ => Reply::Answer(404, b"{}".to_vec()),
        }
    }
}

fn report_body(life: &Life, jobs: &HashMap<String, Vec<StepWork>>) -> String {
    let clock_ms = life.clock_ms();
    let mut running = Vec::new();
    for (task, run) in &life.running {
        let work = work_of(jobs, task);
        let worked_ms = run
            .working_ms
            .map_or(0, |since| clock_ms.saturating_sub(since));
        let (percent, gauge) = match work {
            Some(work) if work.lasts => (if worked_ms > 500 { 100 } else { 0 }, 20),
            Some(work) => ((worked_ms * 100 / work.work_ms.max(1)).min(99), work.cpu),
            None => (0, 0),
        };
        running.push(format!(
            "[{},{},\"\",{percent},{gauge}]",
            quote(task),
            run.run
        ));
    }
    let mut ended = Vec::new();
    for (number, task, run, how) in life.ended.iter().take(ENDS_PER_ANSWER) {
        ended.push(format!("[{number},{},{run},\"{how}\",\"\"]", quote(task)));
    }
    format!(
        "{{\"clock-ms\":{clock_ms},\"running\":[{}],\"ended\":[{}]}}",
        running.join(","),
        ended.join(",")
    )
}

fn work_of<'a>(jobs: &'a HashMap<String, Vec<StepWork>>, task: &str) -> Option<&'a StepWork> {
    let mut parts = task.split('.');
    let steps = jobs.get(parts.next()?)?;
    let step: usize = parts.nth(1)?.parse().ok()?;
    steps.get(step)
}

pub fn wall_ms() -> u64 {
    let now = std::time::SystemTime::now().duration_since(std::time::UNIX_EPOCH);
    now.map_or(0, |now| now.as_millis() as u64)
}

pub fn hash(text: &str) -> u64 {
    let mut value = 0xcbf2_9ce4_8422_2325_u64;
    for byte in text.bytes() {
        value = (value ^ u64::from(byte)).wrapping_mul(0x0100_0000_01b3);
    }
    value ^ value >> 29
}
