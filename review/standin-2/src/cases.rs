//! The cases.

use crate::Verdict;
use crate::fleet::Seen;
use crate::fleet::StepWork;
use crate::fleet::World;
use crate::hosts::Hosts;
use crate::http::Outcome;
use crate::http::Server;
use crate::http::send;
use crate::store::Fate;
use crate::store::Store;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::thread;
use std::time::Duration;
use std::time::Instant;

pub const HOST: &str = "jobs.example";
pub const PREFIX: &str = "/plan/";
const ZONES: [&str; 3] = ["tosu-hall", "kumamoto-hall", "oita-hall"];
const DEADLINE: Duration = Duration::from_millis(3_000);

/// The platform of a case.
pub struct Stage {
    pub world: Arc<World>,
    pub store: Arc<Store>,
    pub store_server: Server,
    pub has_trouble: bool,
    pub hosts: Option<Hosts>,
}

fn ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

impl Stage {
    pub fn new(has_trouble: bool) -> Self {
        let store = Arc::new(Store::new());
        let handling = store.clone();
        let server = Server::start(
            ([127, 0, 0, 1], 0).into(),
            Arc::new(move |request| handling.handle(request)),
        );
        let world = World::new(store.clone());
        Self {
            world,
            store,
            store_server: server,
            has_trouble,
            hosts: None,
        }
    }

    /// Publishes a configuration with one queue.
    pub fn publish(&self, version: u64, max_attempts: u32) {
        let config = format!(
            "{{\"version\":{version},\"routes\":[{{\"name\":\"plan\",\"host\":\"{HOST}\",\"path-prefix\":\"{PREFIX}\",\"kind\":\"unsafe\",\"timeout-ms\":3000,\"service\":\"core\",\"priority\":2,\"max-attempts\":{max_attempts},\"stretch\":2.0,\"target-latency-ms\":1000}},{{\"name\":\"advised\",\"host\":\"{HOST}\",\"path-prefix\":\"/adv/\",\"kind\":\"unsafe\",\"timeout-ms\":3000,\"service\":\"core\",\"priority\":2,\"max-attempts\":{max_attempts},\"stretch\":2.0,\"target-latency-ms\":1000,\"advice\":{{\"decision-ms\":20,\"per-worker-ms\":2,\"validity-ms\":3000}}}}],\"services\":[{{\"name\":\"core\",\"rejects-overload\":{}}}],\"limits\":{{}}}}",
            std::env::var("GUARD").map_or(true, |text| text != "0")
        );
        self.store.put("keyed.op", "config", &config);
    }

    /// Starts minions and entry hosts.
    pub fn start(&mut self, minions: usize, max_attempts: u32) -> bool {
        self.publish(3, max_attempts);
        for number in 0..minions {
            self.world
                .add_minion(ZONES[number % 3], &format!("r{}", number % 3));
        }
        let address = self.store_server.address;
        self.hosts = Hosts::start(self.world.clone(), &ZONES, |_| address);
        let has_started = self.hosts.is_some();
        if !has_started {
            self.world.note("the entry hosts did not become ready");
        }
        // The first owner takes over within about three seconds.
        thread::sleep(ms(4_000));
        has_started
    }

    pub fn hosts(&mut self) -> &mut Hosts {
        self.hosts.as_mut().expect("hosts that have started")
    }

    pub fn front(&self, number: usize) -> std::net::SocketAddr {
        self.hosts.as_ref().expect("hosts that have started").hosts[number].callers
    }

    /// Registers what the tasks of a job do, and returns the body of its submission.
    pub fn describe(&self, id: &str, steps: &[StepWork]) -> String {
        self.world
            .fleet
            .lock()
            .unwrap()
            .jobs
            .insert(id.to_lowercase(), steps.to_vec());
        let mut rows = Vec::new();
        for (number, step) in steps.iter().enumerate() {
            let mut row = format!(
                "{{\"count\":{},\"cpu\":{},\"mem-mb\":{},\"estimated-ms\":{}",
                step.count,
                step.cpu,
                if step.cpu < 100 { 8 } else { 512 },
                step.work_ms
            );
            if step.lasts {
                row.push_str(",\"long-running\":true");
            }
            if step.gang {
                row.push_str(",\"gang\":true");
            }
            if !step.label.is_empty() {
                row.push_str(&format!(",\"required-label\":\"{}\"", step.label));
            }
            if number > 0 {
                row.push_str(&format!(",\"after\":[{}]", number - 1));
            }
            row.push('}');
            rows.push(row);
        }
        format!(
            "{{\"specification\":\"plan {id}\",\"steps\":[{}]}}",
            rows.join(",")
        )
    }

    pub fn call(
        &self,
        front: usize,
        method: &str,
        id: &str,
        body: &str,
        patience: Duration,
    ) -> Outcome {
        let path = format!("{PREFIX}{id}");
        let outcome = send(
            self.front(front),
            method,
            &path,
            HOST,
            body,
            patience,
            DEADLINE,
        );
        self.world.note(format!(
            "client: {method} {path} at host {front}: {outcome:?}"
        ));
        outcome
    }

    /// Submits a job as a client does, at one node after the other.
    pub fn submit(&self, id: &str, steps: &[StepWork]) -> bool {
        let body = self.describe(id, steps);
        for attempt in 0..5 {
            match self.call(attempt % 3, "POST", id, &body, DEADLINE) {
                Outcome::Answer(200, _) => return true,
                _ => thread::sleep(ms(300)),
            }
        }
        false
    }

    /// Asks for the state of a job; an empty text if there is no answer.
    pub fn state(&self, front: usize, id: &str) -> String {
        match self.call(front, "GET", id, "", DEADLINE) {
            Outcome::Answer(200, body) => body,
            Outcome::Answer(status, _) => status.to_string(),
            _ => String::new(),
        }
    }

    /// Counts the ends of this kind of a job's tasks.
    pub fn ends(&self, id: &str, kind: &str) -> usize {
        let fleet = self.world.fleet.lock().unwrap();
        let ends = fleet.seen.iter().filter(
            |seen| matches!(seen, Seen::End { task, how, .. } if task.starts_with(id) && how == kind),
        );
        ends.count()
    }

    pub fn starts(&self, id: &str) -> Vec<(Duration, String, u64, String)> {
        let fleet = self.world.fleet.lock().unwrap();
        let mut starts = Vec::new();
        for seen in &fleet.seen {
            if let Seen::Start {
                at,
                task,
                run,
                minion,
            } = seen
                && task.starts_with(id)
            {
                starts.push((*at, task.clone(), *run, minion.clone()));
            }
        }
        starts
    }

    /// Waits until a task runs that has worked for this time, in a run of at least this number.
    fn await_run(&self, task: &str, run: u64, worked_ms: u64, patience: Duration) -> Option<usize> {
        let until = Instant::now() + patience;
        while Instant::now() < until {
            if let Some((minion, number, worked)) = self.world.place_of(task)
                && number >= run
                && worked >= worked_ms
            {
                return Some(minion);
            }
            thread::sleep(ms(2));
        }
        None
    }
}

pub fn task(count: u64, cpu: u64, work_ms: u64) -> StepWork {
    StepWork {
        count,
        cpu,
        work_ms,
        lasts: false,
        gang: false,
        spread: 0,
        label: "",
    }
}

pub fn play(case: &str, mut stage: Stage) -> Verdict {
    let verdict = match case {
        "crashes" => crashes(&mut stage),
        "cancel" => cancel(&mut stage),
        "gang" => gang(&mut stage),
        "shown" => shown(&mut stage),
        "waiting" => waiting(&mut stage),
        "large" => large(&mut stage),
        "fuzz" => crate::fuzz::fuzz(&mut stage),
        _ => Verdict::NotRun,
    };
    if let Some(hosts) = &stage.hosts
        && let Ok(words) = std::env::var("LOGS")
    {
        let words: Vec<&str> = words.split(',').collect();
        print!("{}", hosts.log_lines(&words));
    }
    if let Some(hosts) = &stage.hosts
        && let Ok(folder) = std::env::var("KEEP_LOGS")
    {
        hosts.copy_logs(&folder);
    }
    stage.hosts = None;
    verdict
}

/// Two minions crash one after the other, each with the job's only task.
fn crashes(stage: &mut Stage) -> Verdict {
    if !stage.start(8, 3) {
        return Verdict::NotRun;
    }
    let background = "00000000000000a1";
    let watch = StepWork {
        lasts: true,
        ..task(8, 1_000, 500)
    };
    let id = "5c0e7a21d94b36f8";
    if !stage.submit(background, &[watch]) {
        return Verdict::NotRun;
    }
    thread::sleep(ms(3_000));
    if !stage.submit(id, &[task(1, 1_100, 800)]) {
        return Verdict::NotRun;
    }
    if stage.has_trouble {
        // The second crash is 5 s after the first: by then the first minion is back.
        for run in 1..=2 {
            let Some(minion) = stage.await_run(&format!("{id}.0.0.0"), run, 500, ms(20_000)) else {
                break;
            };
            stage.world.crash(minion, ms(4_500));
        }
    }
    let until = Instant::now() + Duration::from_secs(35);
    let mut state = String::new();
    while Instant::now() < until {
        state = stage.state(1, id);
        if state.contains("completed") || state.contains("failed") {
            break;
        }
        thread::sleep(ms(1_000));
    }
    let failed = stage.ends(id, "failed");
    stage.world.note(format!(
        "the job is shown as {state}; {failed} of its runs ended `failed`, max-attempts is 3"
    ));
    match () {
        () if state.contains("failed") && failed < 3 => Verdict::Broken,
        () if state.contains("completed") => Verdict::Held,
        () => Verdict::NotRun,
    }
}

/// A client leaves before its submission is answered, and cancels the job.
fn cancel(stage: &mut Stage) -> Verdict {
    const CANCEL_MS: u64 = 3_000;
    const CONTACT_MS: u64 = 3_000;
    if !stage.start(8, 4) {
        return Verdict::NotRun;
    }
    let id = "5c0e7a21d94b36f8";
    let steps = [task(2, 1_800, 5_400), task(2, 1_800, 2_200)];
    let body = stage.describe(id, &steps);
    let last_disruption = Arc::new(AtomicU64::new(0));
    if stage.has_trouble {
        // One write is done 1 s later and not answered.
        let lost = AtomicU64::new(0);
        let world = stage.world.clone();
        let needle = id.as_bytes().to_vec();
        let until = last_disruption.clone();
        *stage.store.judge.lock().unwrap() = Some(Box::new(move |topic, body| {
            let holds =
                topic == "keyed.jobs" && body.windows(needle.len()).any(|window| window == needle);
            if holds && lost.fetch_add(1, Ordering::Relaxed) == 0 {
                world.note(
                    "store: this write is done 1 s later and not answered; all others are answered",
                );
                until.store(world.now().as_millis() as u64 + 1_000, Ordering::Relaxed);
                return Fate::LostLate(ms(1_000));
            }
            Fate::Normal
        }));
    }
    // The client leaves after half of the objective of its kind of request.
    let _ = stage.call(0, "POST", id, &body, ms(500));
    let cancelled = stage.call(0, "DELETE", id, "", DEADLINE);
    let Outcome::Answer(200..=299 | 410, _) = cancelled else {
        return Verdict::NotRun;
    };
    let acknowledged = stage.world.now();
    stage.world.note("the cancelling is acknowledged");
    thread::sleep(ms(4_500));
    let _ = stage.state(1, id);
    thread::sleep(ms(9_500));
    let state = stage.state(1, id);
    let calm = Duration::from_millis(last_disruption.load(Ordering::Relaxed) + CONTACT_MS);
    let mut late = 0;
    for (at, task, run, minion) in stage.starts(id) {
        if at > acknowledged + ms(CANCEL_MS) && at > calm {
            late += 1;
            stage.world.note(format!(
                "UNASKED: {task} run {run} started on {minion} {:.2} s after the cancelling was acknowledged, {:.2} s after the disruption",
                (at - acknowledged).as_secs_f64(),
                (at + ms(CONTACT_MS) - calm).as_secs_f64()
            ));
        }
    }
    stage.world.note(format!(
        "the job is shown as {state}; {late} of its tasks started later than cancel_ms"
    ));
    match late > 0 {
        true => Verdict::Broken,
        false => Verdict::Held,
    }
}

/// A gang is placed on a minion that fails all that it starts.
fn gang(stage: &mut Stage) -> Verdict {
    if !stage.start(10, 3) {
        return Verdict::NotRun;
    }
    let id = "5c0e7a21d94b36f8";
    if stage.has_trouble {
        // Wherever the gang begins, that minion is the grey one.
        let world = stage.world.clone();
        thread::spawn(move || {
            for _ in 0..20_000 {
                if let Some((minion, ..)) = world.place_of("5c0e7a21d94b36f8.0.0.0") {
                    world.note(format!(
                        "minion {} fails all that it starts",
                        world.id_of(minion)
                    ));
                    world.set_grey(minion, true);
                    return;
                }
                thread::sleep(ms(1));
            }
        });
    }
    let step = StepWork {
        gang: true,
        ..task(4, 1_000, 2_000)
    };
    if !stage.submit(id, &[step]) {
        return Verdict::NotRun;
    }
    let until = Instant::now() + Duration::from_secs(40);
    let mut state = String::new();
    while Instant::now() < until {
        state = stage.state(1, id);
        if state.contains("completed") || state.contains("failed") {
            break;
        }
        thread::sleep(ms(1_000));
    }
    let mut runs: Vec<u64> = stage.starts(id).iter().map(|start| start.2).collect();
    runs.sort_unstable();
    runs.dedup();
    stage.world.note(format!(
        "the job is shown as {state}; runs of the gang: {runs:?}, ends `failed`: {}, max-attempts 3",
        stage.ends(id, "failed")
    ));
    match () {
        () if state.contains("failed") && runs.len() < 3 => Verdict::Broken,
        () if state.contains("completed") => Verdict::Held,
        () => Verdict::NotRun,
    }
}

/// Who wrote to the store under a condition, and what is to happen next.
#[derive(Default)]
struct Watch {
    /// Host of the newest epoch, and that epoch.
    leader: Option<(usize, u64)>,
    /// The host that the store turns away, and since when.
    refused: Option<(usize, Duration)>,
    killed: Option<usize>,
}

/// The store turns the leader away for a second; the host that takes over is killed as it has just
/// written to the store.
fn shown(stage: &mut Stage) -> Verdict {
    stage.publish(3, 3);
    for number in 0..8 {
        stage
            .world
            .add_minion(ZONES[number % 3], &format!("r{}", number % 3));
    }
    let id = "5c0e7a21d94b36f8";
    let watch: Arc<Mutex<Watch>> = Arc::default();
    let pids: Arc<Mutex<Vec<Option<u32>>>> = Arc::new(Mutex::new(vec![None; 3]));
    let has_trouble = stage.has_trouble;
    let mut servers = Vec::new();
    for number in 0..3 {
        let (store, world, watch, pids) = (
            stage.store.clone(),
            stage.world.clone(),
            watch.clone(),
            pids.clone(),
        );
        let handler = move |request: &crate::http::Request| {
            {
                let watch = watch.lock().unwrap();
                if watch.killed.is_none() && watch.refused.is_some_and(|(host, _)| host == number) {
                    thread::sleep(ms(4));
                    return crate::http::Reply::Answer(503, b"{}".to_vec());
                }
            }
            let reply = store.handle(request);
            let epoch: Option<u64> = request
                .query
                .get("epoch")
                .and_then(|text| text.parse().ok());
            let Some(epoch) = epoch.filter(|_| matches!(reply, crate::http::Reply::Answer(200, _)))
            else {
                return reply;
            };
            let mut watch = watch.lock().unwrap();
            let signal = |host: usize, name: &str| {
                if let Some(pid) = pids.lock().unwrap()[host] {
                    let _ = std::process::Command::new("kill")
                        .arg(format!("-{name}"))
                        .arg(pid.to_string())
                        .status();
                }
            };
            let is_new = watch.leader.is_none_or(|(_, newest)| epoch > newest);
            if is_new {
                watch.leader = Some((number, epoch));
                world.note(format!(
                    "store: host {number} writes under the new epoch {epoch}"
                ));
            }
            let names_job = request
                .body
                .windows(16)
                .any(|window| window == id.as_bytes());
            if has_trouble && watch.refused.is_none() && names_job && has_ended(&world, id) {
                watch.refused = Some((number, world.now()));
                world.note(format!("from now on, the store answers host {number}, the leader, with 503; it serves the others"));
            } else if let Some((refused, since)) = watch.refused
                && watch.killed.is_none()
                && !is_new
                && number != refused
                && watch.leader == Some((number, epoch))
            {
                signal(number, "KILL");
                watch.killed = Some(number);
                world.note(format!(
                    "host {number}, which last wrote under a condition, is killed"
                ));
                world.note(format!(
                    "the store serves host {refused} again, after {:.2} s",
                    (world.now() - since).as_secs_f64()
                ));
            }
            reply
        };
        servers.push(Server::start(([127, 0, 0, 1], 0).into(), Arc::new(handler)));
    }
    let names = [
        "front-oita-hall-3",
        "front-tosu-hall-1",
        "front-tosu-hall-2",
    ]
    .map(String::from);
    let zones = ["oita-hall", "tosu-hall", "tosu-hall"];
    stage.hosts = Hosts::start_named(stage.world.clone(), &zones, &names, |number| {
        servers[number].address
    });
    if stage.hosts.is_none() {
        return Verdict::NotRun;
    }
    for number in 0..3 {
        pids.lock().unwrap()[number] = stage.hosts().pid(number);
    }
    thread::sleep(ms(4_000));
    if !stage.submit(id, &[task(1, 1_100, 800)]) {
        return Verdict::NotRun;
    }
    // The disruption begins with the leader's first write that names the job after its task has ended.
    thread::sleep(ms(4_000));
    thread::sleep(ms(1_000));
    let killed = watch.lock().unwrap().killed;
    if let Some(host) = killed {
        stage.hosts().kill(host);
        stage.hosts().launch(host);
        pids.lock().unwrap()[host] = stage.hosts().pid(host);
    } else if has_trouble {
        stage.world.note("the disruption did not come about");
    }
    thread::sleep(ms(20_000));
    let mut states = Vec::new();
    for front in 0..3 {
        states.push(stage.state(front, id));
    }
    let is_open = states
        .iter()
        .any(|state| state.contains("running") || state.contains("queued"));
    stage.world.note(format!(
        "20 s later, all {} tasks of the job have ended `done`; it is shown as {states:?}",
        stage.ends(id, "done")
    ));
    match () {
        () if has_trouble && killed.is_none() => Verdict::NotRun,
        () if is_open => Verdict::Broken,
        () => Verdict::Held,
    }
}

/// The only minion of a kind answers the orders to start with 503 for some seconds.
fn waiting(stage: &mut Stage) -> Verdict {
    const VISIBLE_MS: u64 = 3_000;
    stage.publish(3, 3);
    for number in 0..9 {
        stage
            .world
            .add_minion(ZONES[number % 3], &format!("r{}", number % 3));
    }
    let only = stage.world.add_minion(ZONES[0], "r-b");
    let address = stage.store_server.address;
    stage.hosts = Hosts::start(stage.world.clone(), &ZONES, |_| address);
    if stage.hosts.is_none() {
        return Verdict::NotRun;
    }
    thread::sleep(ms(4_000));
    let grey = Instant::now();
    if stage.has_trouble {
        stage.world.note(format!(
            "minion {} answers orders to start with 503",
            stage.world.id_of(only)
        ));
        stage.world.set_busy(only, true);
    }
    let ids: Vec<String> = (0..8)
        .map(|number| format!("5c0e7a21d94b36{number:02x}"))
        .collect();
    for id in &ids {
        let step = StepWork {
            label: "b",
            ..task(1, 1_000, 3_000)
        };
        if !stage.submit(id, &[step]) {
            return Verdict::NotRun;
        }
    }
    let accepted = Instant::now();
    let mut is_broken = false;
    for asked_ms in [VISIBLE_MS + 2_300, VISIBLE_MS + 2_800] {
        thread::sleep((accepted + ms(asked_ms)).saturating_duration_since(Instant::now()));
        for front in 0..3 {
            let answer = stage.call(front, "GET", "", "", DEADLINE);
            let begun = ids.iter().filter(|id| !stage.starts(id).is_empty()).count();
            if let Outcome::Answer(200, body) = answer {
                let digits: String = body.chars().filter(char::is_ascii_digit).collect();
                let shown: usize = digits.parse().unwrap_or(0);
                let unbegun = ids.len() - begun;
                stage.world.note(format!(
                    "{unbegun} jobs haven't begun, {shown} are said to wait"
                ));
                is_broken |= shown * 2 < unbegun;
            }
        }
    }
    thread::sleep((grey + ms(6_300)).saturating_duration_since(Instant::now()));
    stage.world.set_busy(only, false);
    stage.world.note("the minion is well again");
    thread::sleep(ms(8_000));
    let done = ids.iter().filter(|id| stage.ends(id, "done") > 0).count();
    stage
        .world
        .note(format!("{done} of 8 jobs are done at the end"));
    match is_broken {
        true => Verdict::Broken,
        false => Verdict::Held,
    }
}

/// A job of many tasks that last comes, and a small one after it.
fn large(stage: &mut Stage) -> Verdict {
    stage.world.fleet.lock().unwrap().id_suffix = ".relief-dispatch.tosu.kyushu.example";
    if !stage.start(8, 3) {
        return Verdict::NotRun;
    }
    if stage.has_trouble {
        let watch = StepWork {
            lasts: true,
            ..task(4_000, 10, 500)
        };
        if !stage.submit("00000000000000a1", &[watch]) {
            return Verdict::NotRun;
        }
    }
    thread::sleep(ms(15_000));
    let id = "5c0e7a21d94b36f8";
    if !stage.submit(id, &[task(1, 1_100, 800)]) {
        return Verdict::NotRun;
    }
    thread::sleep(ms(25_000));
    let state = stage.state(1, id);
    let starts = stage.starts(id).len();
    let large = stage.starts("00000000000000a1").len();
    let (refused, largest) = (
        stage.store.too_large.load(Ordering::Relaxed),
        stage.store.largest.load(Ordering::Relaxed),
    );
    stage.world.note(format!("the store refused {refused} appends as too large; the largest record had {largest} bytes, 262144 may be"));
    stage.world.note(format!(
        "25 s after it was accepted the small job is shown as {state}, with {starts} starts; the large one has had {large}"
    ));
    match starts == 0 {
        true => Verdict::Broken,
        false => Verdict::Held,
    }
}

/// Returns whether a task of a job has ended `done`.
fn has_ended(world: &World, id: &str) -> bool {
    let fleet = world.fleet.lock().unwrap();
    fleet.seen.iter().any(
        |seen| matches!(seen, Seen::End { task, how, .. } if task.starts_with(id) && how == "done"),
    )
}
