//! A minion (`PROTOCOL.md`, "Running tasks"): fencing tokens, leases, runs and ends.

use crate::http::{Answer, Request, Server};
use crate::json::Json;
use crate::record::{Event, Record};
use std::collections::{BTreeMap, HashMap};
use std::sync::{Arc, Condvar, Mutex};
use std::thread;
use std::time::{Duration, Instant};

/// `hold-max-ms` of the site.
const HOLD_MAX_MS: u64 = 6_000;
/// Most ends in one answer.
const ENDS_AT_A_TIME: usize = 500;

/// What a task of a step needs, and how long it takes. A client sends the same to the system.
#[derive(Debug, Clone, Copy)]
pub struct Work {
    pub cpu: u64,
    pub mem_mb: u64,
    pub ms: u64,
    /// Tasks of the step take up to this much longer, in no order.
    pub uneven_ms: u64,
}

/// Specification and steps of each job that a client has sent.
pub type Jobs = Arc<Mutex<HashMap<String, (String, Vec<Work>)>>>;

struct Run {
    number: u64,
    work: Work,
    begun_ms: u64,
}

struct End {
    number: u64,
    task: String,
    run: u64,
    how: &'static str,
    /// The lease has lapsed since.
    lapsed: bool,
}

/// One life of a minion.
struct Life {
    id: String,
    is_up: bool,
    begun: Instant,
    token: u64,
    lease_ms: u64,
    running: BTreeMap<String, Run>,
    /// Highest run of each task that was stopped or has ended.
    barred: HashMap<String, u64>,
    ended: Vec<End>,
    next_end: u64,
}

impl Life {
    fn new(id: String) -> Self {
        Self {
            id,
            is_up: true,
            begun: Instant::now(),
            token: 0,
            lease_ms: 0,
            running: BTreeMap::new(),
            barred: HashMap::new(),
            ended: Vec::new(),
            next_end: 1,
        }
    }

    fn clock_ms(&self) -> u64 {
        self.begun.elapsed().as_millis() as u64
    }

    fn end(&mut self, task: &str, how: &'static str, record: &Record) {
        let Some(run) = self.running.remove(task) else {
            return;
        };
        let barred = self.barred.entry(task.into()).or_default();
        *barred = (*barred).max(run.number);
        let number = self.next_end;
        self.next_end += 1;
        record.add(Event::End {
            life: self.id.clone(),
            number,
            task: task.into(),
            run: run.number,
            how,
        });
        self.ended.push(End {
            number,
            task: task.into(),
            run: run.number,
            how,
            lapsed: false,
        });
    }

    /// Ends what is done, or everything once the lease has lapsed.
    fn advance(&mut self, record: &Record) {
        let clock_ms = self.clock_ms();
        let has_lapsed = clock_ms > self.lease_ms;
        if has_lapsed {
            self.ended.iter_mut().for_each(|end| end.lapsed = true);
        }
        let mut due = Vec::new();
        for (task, run) in &self.running {
            if has_lapsed {
                due.push((task.clone(), "lapsed"));
            } else if clock_ms >= run.begun_ms + run.work.ms {
                due.push((task.clone(), "done"));
            }
        }
        for (task, how) in due {
            self.end(&task, how, record);
        }
    }
}

pub struct Minion {
    pub number: usize,
    pub cpu: u64,
    pub mem_mb: u64,
    pub labels: [String; 2],
    life: Arc<(Mutex<Life>, Condvar)>,
    server: Server,
    lives: Mutex<u64>,
    record: Arc<Record>,
}

impl Minion {
    pub fn start(number: usize, cpu: u64, kind: &str, jobs: Jobs, record: Arc<Record>) -> Self {
        let mem_mb = 64_000;
        let life = Arc::new((
            Mutex::new(Life::new(format!("i-{number:02}-1"))),
            Condvar::new(),
        ));
        let (state, noted) = (life.clone(), record.clone());
        let handler =
            Arc::new(move |request: &Request| answer(&state, request, &jobs, cpu, mem_mb, &noted));
        let server = Server::start("127.0.0.1:0".parse().unwrap(), handler).expect("a port");
        let (state, noted) = (life.clone(), record.clone());
        thread::spawn(move || {
            loop {
                thread::sleep(Duration::from_millis(2));
                let mut life = state.0.lock().unwrap();
                if life.is_up {
                    life.advance(&noted);
                }
                state.1.notify_all();
            }
        });
        let labels = [kind.into(), format!("r1-{}", number / 8)];
        Self {
            number,
            cpu,
            mem_mb,
            labels,
            life,
            server,
            lives: Mutex::new(1),
            record,
        }
    }

    pub fn id(&self) -> String {
        self.life.0.lock().unwrap().id.clone()
    }

    pub fn is_up(&self) -> bool {
        self.life.0.lock().unwrap().is_up
    }

    /// What it writes about itself to `keyed.servers`.
    pub fn entry(&self, sequence: u64) -> String {
        let [kind, rack] = &self.labels;
        format!(
            "{{\"service\":\"core\",\"address\":\"{}\",\"zone\":\"hall-{}\",\"version\":\"v1\",\
             \"slots\":8,\"state\":\"ready\",\"cold-remaining-ms\":0,\"capacity\":{{\"cpu\":{},\
             \"mem-mb\":{},\"gpus\":0}},\"labels\":[\"{kind}\",\"{rack}\"],\"sequence\":{sequence}}}",
            self.server.address,
            self.number % 3 + 1,
            self.cpu,
            self.mem_mb
        )
    }

    pub fn is_known(&self) -> bool {
        self.life.0.lock().unwrap().token > 0
    }

    pub fn running(&self) -> usize {
        self.life.0.lock().unwrap().running.len()
    }

    /// Crashes it: everything there is gone, and nobody listens at its address.
    pub fn crash(&self) {
        let id = {
            let mut life = self.life.0.lock().unwrap();
            life.is_up = false;
            for (task, run) in std::mem::take(&mut life.running) {
                let (life, run) = (life.id.clone(), run.number);
                self.record.add(Event::Gone { life, task, run });
            }
            life.id.clone()
        };
        self.server.close();
        self.record
            .note(&format!("minion {} crashes, {id} is gone", self.number));
    }

    /// Starts it again at its address, with a new id.
    pub fn restart(&self) {
        let mut lives = self.lives.lock().unwrap();
        *lives += 1;
        let id = format!("i-{:02}-{lives}", self.number);
        *self.life.0.lock().unwrap() = Life::new(id.clone());
        self.server.reopen();
        self.record
            .note(&format!("minion {} is back as {id}", self.number));
    }
}

fn json(status: u16, body: String) -> Answer {
    Some((status, "application/json", body.into_bytes()))
}

fn answer(
    state: &Arc<(Mutex<Life>, Condvar)>,
    request: &Request,
    jobs: &Jobs,
    cpu: u64,
    mem_mb: u64,
    record: &Record,
) -> Answer {
    let body = Json::parse(&request.body);
    let mut life = state.0.lock().unwrap();
    if !life.is_up {
        return None;
    }
    if request.header("expected-instance") != life.id {
        return json(421, format!("{{\"clock-ms\":{}}}", life.clock_ms()));
    }
    life.advance(record);
    let clock_ms = life.clock_ms();
    let refuse = |reason: &str| {
        json(
            409,
            format!("{{\"clock-ms\":{clock_ms},\"reason\":\"{reason}\"}}"),
        )
    };
    let token = body.number("fencing-token").unwrap_or(0);
    if token < life.token {
        return refuse("fence");
    }
    let is_start = request.path() == "/goldcrestway/run-start";
    life.token = token;
    let deadline_ms = body.number("deadline-ms").unwrap_or(0);
    let run = body.number("run").unwrap_or(0);
    let task = body.text("task").to_string();
    if is_start && deadline_ms < clock_ms {
        return refuse("late");
    }
    life.lease_ms = life.lease_ms.max(deadline_ms.min(clock_ms + HOLD_MAX_MS));
    match request.path() {
        "/goldcrestway/run-start" => {
            if life
                .running
                .get(&task)
                .is_some_and(|known| known.number == run)
            {
                return json(200, format!("{{\"clock-ms\":{clock_ms}}}"));
            }
            if life.barred.get(&task).is_some_and(|barred| run <= *barred)
                || life.running.contains_key(&task)
            {
                return refuse("old");
            }
            let mut parts = task.split('.');
            let job = parts.next().unwrap_or("").to_string();
            let step: usize = parts.nth(1).and_then(|step| step.parse().ok()).unwrap_or(0);
            let jobs = jobs.lock().unwrap();
            let known = jobs
                .get(&job)
                .and_then(|(_, steps)| steps.get(step).copied());
            let index: u64 = task
                .rsplit('.')
                .next()
                .and_then(|text| text.parse().ok())
                .unwrap_or(0);
            let Some(work) = known else {
                record.note(&format!("UNASKED start of {task}"));
                return json(400, format!("{{\"clock-ms\":{clock_ms}}}"));
            };
            drop(jobs);
            let work = Work {
                ms: work.ms + index * 7_919 % (work.uneven_ms + 1),
                ..work
            };
            let used: u64 = life.running.values().map(|run| run.work.cpu).sum();
            let used_mb: u64 = life.running.values().map(|run| run.work.mem_mb).sum();
            if used + work.cpu > cpu || used_mb + work.mem_mb > mem_mb {
                return refuse("room");
            }
            let id = life.id.clone();
            record.add(Event::Start {
                life: id,
                task: task.clone(),
                run,
            });
            life.running.insert(
                task,
                Run {
                    number: run,
                    work,
                    begun_ms: clock_ms,
                },
            );
            json(200, format!("{{\"clock-ms\":{clock_ms}}}"))
        }
        "/goldcrestway/run-stop" => {
            let barred = life.barred.entry(task.clone()).or_default();
            *barred = (*barred).max(run);
            if life
                .running
                .get(&task)
                .is_some_and(|known| known.number <= run)
            {
                life.end(&task, "stopped", record);
            }
            json(200, format!("{{\"clock-ms\":{clock_ms}}}"))
        }
        "/goldcrestway/pace" => json(200, format!("{{\"clock-ms\":{clock_ms}}}")),
        "/goldcrestway/hold" => {
            let last_seen = body.number("last-seen").unwrap_or(0);
            let id = life.id.clone();
            life.ended.retain(|end| {
                if end.number <= last_seen && !end.lapsed {
                    record.add(Event::Noted {
                        life: id.clone(),
                        number: end.number,
                    });
                }
                end.number > last_seen
            });
            let wait = Duration::from_millis(body.number("wait-ms").unwrap_or(0));
            let until = Instant::now() + wait;
            while life.ended.is_empty() && life.is_up && Instant::now() < until {
                life = state
                    .1
                    .wait_timeout(life, Duration::from_millis(20))
                    .unwrap()
                    .0;
            }
            if !life.is_up || life.id != id {
                return None;
            }
            let clock_ms = life.clock_ms();
            let mut running = Vec::new();
            for (task, run) in &life.running {
                let percent = (clock_ms - run.begun_ms) * 100 / run.work.ms.max(1);
                let (number, cpu) = (run.number, run.work.cpu);
                running.push(format!(
                    "[\"{task}\",{number},\"\",{},{cpu}]",
                    percent.min(99)
                ));
            }
            let mut ended = Vec::new();
            for end in life.ended.iter().take(ENDS_AT_A_TIME) {
                let End {
                    number,
                    task,
                    run,
                    how,
                    ..
                } = end;
                ended.push(format!("[{number},\"{task}\",{run},\"{how}\",\"\"]"));
            }
            record.look(&life.id, running.len(), ended.len(), life.ended.len());
            let (running, ended) = (running.join(","), ended.join(","));
            json(
                200,
                format!("{{\"clock-ms\":{clock_ms},\"running\":[{running}],\"ended\":[{ended}]}}"),
            )
        }
        _ => json(404, "{}".into()),
    }
}
