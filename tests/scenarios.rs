//! The scenario language: commands of `docs/SCENARIOS.md` over a [`World`].

use crate::tallies::cells;
use crate::tallies::guarantees;
use crate::tallies::jobs;
use crate::tallies::requests;
use crate::tallies::running;
use crate::tallies::versions;
use crate::world::LogMode;
use crate::world::RequestRecord;
use crate::world::UpstreamMode;
use crate::world::World;
use datadriven::TestCase;
use goldcrestway_core::Answer;
use goldcrestway_core::ConfigChange;
use goldcrestway_core::Event;
use goldcrestway_core::JobSpec;
use goldcrestway_core::Limits;
use goldcrestway_core::PublishOutcome;
use goldcrestway_core::Request;
use goldcrestway_core::Seat;
use goldcrestway_core::identity_hash;
use goldcrestway_inventory::Section;
use goldcrestway_inventory::Sections;
use goldcrestway_inventory::compare;
use goldcrestway_inventory::load_sections;

/// The inventory that scenarios publish unless they say otherwise.
pub(crate) const SPA: &str = include_str!("../examples/spa/inventory.ini");

#[test]
fn scenarios_keep_their_promises() {
    datadriven::walk("scenarios", |file| {
        let mut world = None;
        file.run(|case| {
            let mut script = Script { case };
            script.run(&mut world)
        });
    });
}

/// Makes the usual world: entry hosts, nine workers, six instances.
pub(crate) fn usual_world(seats: u16, limits: Limits, run_time_ms: u64, seed: u64) -> World {
    let mut world = World::new(seats, limits, seed);
    for number in 1..=9 {
        let room = if [3, 6, 9].contains(&number) {
            (32_000, 125_000, 0)
        } else {
            (28_000, 117_000, 0)
        };
        world
            .edges
            .add_worker(&format!("w{number}"), room, run_time_ms);
    }
    for number in 1..=6 {
        world.edges.add_upstream(&format!("b{number}"), 20);
    }
    for seat in 0..seats {
        world.start(Seat(seat));
    }
    world
}

/// Publishes `text` at a seat, as a change of `base`.
pub(crate) fn publish(
    world: &mut World,
    seat: Seat,
    id: &str,
    base: u64,
    old: &Sections,
    text: &str,
) -> u64 {
    let (sections, _) = load_sections("inventory.ini", text).expect("the inventory is sound");
    let request = world.next_request();
    world.edges.published.insert(request, None);
    let change = ConfigChange {
        base,
        id: id.into(),
        author: format!("operator-{id}").into(),
        changes: compare(old, &sections).into(),
    };
    world.deliver(seat, Event::Publish { request, change });
    request
}

/// Sends a request with an identity.
pub(crate) fn send(world: &mut World, seat: Seat, identity: &str, is_once: bool, patience_ms: u64) {
    let number = world.next_request();
    let request = Request {
        request: number,
        service: "booking".into(),
        identity: Some(identity_hash(identity.as_bytes())),
        fingerprint: 7,
        is_idempotent: !is_once,
        deadline_ms: world.now_ms + patience_ms,
    };
    let told = RequestRecord {
        identity: identity.into(),
        is_once,
        answer: None,
        has_complete_answer: false,
        attempts: 0,
        answer_ms: 0,
    };
    world.edges.caller_requests.insert(number, told);
    world.deliver(seat, Event::Request(request));
}

/// Submits a job.
pub(crate) fn submit(world: &mut World, seat: Seat, job: &str, name: &str) {
    let request = world.next_request();
    let team = match job {
        "roster" => "night",
        "filler" | "extra" => "bulk",
        _ => "desk",
    };
    let id = format!("{team}/{name}");
    world.edges.jobs.insert(request, (id.clone(), None));
    let spec = JobSpec {
        id: id.into(),
        job: job.into(),
        team: team.into(),
    };
    world.deliver(seat, Event::Submit { request, spec });
}

impl World {
    /// Numbers a request.
    pub(crate) fn next_request(&self) -> u64 {
        let counts =
            self.edges.caller_requests.len() + self.edges.jobs.len() + self.edges.published.len();
        counts as u64 + 1
    }
}

/// One command of a scenario.
struct Script<'a> {
    case: &'a mut TestCase,
}

impl Script<'_> {
    fn text(&mut self, key: &str) -> Option<String> {
        self.case
            .args
            .remove(key)
            .and_then(|values| values.into_iter().next())
    }

    fn flag(&mut self, key: &str) -> bool {
        self.case.args.remove(key).is_some()
    }

    fn number(&mut self, key: &str, default: u64) -> u64 {
        match self.text(key) {
            Some(text) => text
                .parse()
                .unwrap_or_else(|_| panic!("`{key}={text}` is no number")),
            None => default,
        }
    }

    /// Reads a seat written as `e1`.
    fn seat(&mut self, key: &str) -> Seat {
        let text = self.text(key).unwrap_or_else(|| "e1".into());
        let number = text.trim_start_matches('e').parse::<u16>();
        Seat(number.unwrap_or_else(|_| panic!("`{key}={text}` is no seat")) - 1)
    }

    fn run(&mut self, world: &mut Option<World>) -> String {
        let command = self.case.directive.clone();
        let output = match &*command {
            "start" => {
                let limits = Limits {
                    carry_records: self.number("carry_records", 2_000),
                    ..Limits::default()
                };
                let hosts = self.number("hosts", 3) as u16;
                let run_time_ms = self.number("run_time_ms", 500);
                let seed = self.number("seed", 1);
                *world = Some(usual_world(hosts, limits, run_time_ms, seed));
                String::new()
            }
            _ => {
                let world = world.as_mut().expect("a scenario begins with `start`");
                self.command(&command, world)
            }
        };
        let unused: Vec<&String> = self.case.args.keys().collect();
        assert!(unused.is_empty(), "`{command}` does not know {unused:?}");
        output
    }

    fn command(&mut self, command: &str, world: &mut World) -> String {
        match command {
            "run" => world.run(self.number("ms", 1_000)),
            "publish" => return self.publish(world),
            "send" => self.send(world),
            "submit" => self.submit(world),
            "kill" => world.kill(self.seat("host")),
            "restart" => {
                let seat = self.seat("host");
                world.kill(seat);
                match self.number("incarnation", 0) {
                    0 => world.start(seat),
                    incarnation => world.start_as(seat, incarnation),
                }
            }
            "stop" => {
                let seat = self.seat("host");
                world.deliver(seat, Event::Stop);
            }
            "pause" => world.pause(self.seat("host"), true),
            "resume" => world.pause(self.seat("host"), false),
            "cut" | "join" => self.cut(command == "cut", world),
            "log" => self.log(world),
            "worker" => self.worker(world),
            "upstream" => self.upstream(world),
            "poison" => world.edges.crashing_prefix = self.text("id"),
            "crashes" => {
                let (workers, upstreams) =
                    (world.edges.worker_crashes, world.edges.upstream_crashes);
                return format!("{workers} of workers, {upstreams} of instances\n");
            }
            "gone" => callers_go(world, self.seat("via")),
            "running" => return running(world),
            "runs" => return self.runs(world),
            "appends" => return format!("{}\n", world.edges.log.appends),
            "requests" => return requests(world),
            "jobs" => return jobs(world),
            "cells" => return cells(world),
            "versions" => return versions(world),
            "promises" => return guarantees(world),
            other => panic!("unknown command `{other}`; see docs/SCENARIOS.md"),
        }
        String::new()
    }

    fn publish(&mut self, world: &mut World) -> String {
        let seat = self.seat("via");
        let id = self.text("id").unwrap_or_else(|| "first".into());
        let base = self.number("base", 0);
        let wait_ms = self.number("wait_ms", 12_000);
        let add = self.case.input.clone();
        let text = match self.flag("only") {
            true => add,
            false => format!("{SPA}\n{add}"),
        };
        let without = self.text("without");
        let mut old = match base {
            0 => Sections::new(),
            _ => {
                load_sections("inventory.ini", SPA)
                    .expect("the inventory is sound")
                    .0
            }
        };
        if let Some(job) = without {
            // A section that only the former version has, so that it goes.
            old.insert(("job".into(), job.into()), Section::default());
        }
        if let Some(rule) = self.text("without_rule") {
            old.insert(("rule".into(), rule.into()), Section::default());
        }
        let request = publish(world, seat, &id, base, &old, &text);
        let end_ms = world.now_ms + wait_ms;
        while world.edges.published[&request].is_none() && world.now_ms < end_ms {
            world.run(10);
        }
        match &world.edges.published[&request] {
            Some(Answer::Published(PublishOutcome::Accepted { version })) => {
                format!("accepted {version}\n")
            }
            Some(Answer::Published(PublishOutcome::Overtaken { author, version })) => {
                format!("overtaken by {author}, version {version}\n")
            }
            Some(Answer::Published(PublishOutcome::Faulty { .. })) => "faulty\n".into(),
            Some(Answer::Unknown { .. }) => "unknown\n".into(),
            Some(Answer::NotRun { .. }) => "not run\n".into(),
            other => format!("{other:?}\n"),
        }
    }

    fn send(&mut self, world: &mut World) {
        let seat = self.seat("via");
        let id = self.text("id").unwrap_or_else(|| "r".into());
        let count = self.number("count", 1);
        let patience_ms = self.number("patience_ms", 3_000);
        let every_ms = self.number("every_ms", 0);
        let is_once = self.flag("once");
        for number in 0..count {
            let identity = if count == 1 {
                id.clone()
            } else {
                format!("{id}{number}")
            };
            send(world, seat, &identity, is_once, patience_ms);
            world.run(every_ms);
        }
    }

    fn submit(&mut self, world: &mut World) {
        let seat = self.seat("via");
        let job = self.text("job").unwrap_or_else(|| "roster".into());
        let count = self.number("count", 1);
        let prefix = self.text("id").unwrap_or_else(|| job.clone());
        for number in 0..count {
            submit(world, seat, &job, &format!("{prefix}{number}"));
        }
    }

    fn cut(&mut self, is_cut: bool, world: &mut World) {
        let seat = self.seat("host");
        let from_log = self.flag("log");
        if from_log {
            match is_cut {
                true => drop(world.edges.log_cuts.insert(seat)),
                false => drop(world.edges.log_cuts.remove(&seat)),
            }
            return;
        }
        let others: Vec<Seat> = match self.case.args.contains_key("from") {
            true => vec![self.seat("from")],
            false => (0..9).map(Seat).filter(|other| *other != seat).collect(),
        };
        for other in others {
            for link in [(seat, other), (other, seat)] {
                match is_cut {
                    true => drop(world.cut_links.insert(link)),
                    false => drop(world.cut_links.remove(&link)),
                }
            }
        }
    }

    fn log(&mut self, world: &mut World) {
        if let Some(stream) = self.text("expire") {
            let keep = self.number("keep", 0) as usize;
            world.edges.log.expire(&stream, keep);
            return;
        }
        let mode = self.text("mode").unwrap_or_default();
        world.edges.log_mode = match &*mode {
            "up" => LogMode::Up,
            "down" => LogMode::Down,
            "loses-answers" => LogMode::LosesAnswers,
            "slow" => LogMode::Slow(self.number("ms", 2_000)),
            other => panic!("unknown mode of the log `{other}`"),
        };
    }

    fn worker(&mut self, world: &mut World) {
        let name = self.text("name").expect("`worker` takes `name`");
        let now_ms = world.now_ms;
        let wakes = self.flag("wakes");
        let worker = world.edges.workers.get_mut(&*name).expect("such a worker");
        if self.flag("dies") {
            worker.state.crash(now_ms);
            worker.is_dead = true;
        }
        if self.flag("returns") {
            worker.is_dead = false;
        }
        if self.flag("cut") {
            worker.is_cut = true;
        }
        if self.flag("joined") {
            worker.is_cut = false;
        }
        if self.flag("pauses") {
            worker.is_paused = true;
        }
        if self.flag("fails") {
            worker.state.fails_all = true;
        }
        if self.flag("leaves") {
            worker.is_leaving = true;
        }
        if self.flag("stays") {
            worker.is_leaving = false;
        }
        if self.flag("recovers") {
            worker.state.fails_all = false;
        }
        let slowdown = self.number("slowdown_permille", 0);
        let worker = world.edges.workers.get_mut(&*name).expect("such a worker");
        if slowdown > 0 {
            worker.state.slowdown_permille = slowdown as u32;
        }
        if wakes {
            world.edges.wake_worker(now_ms, &name);
        }
        world.list_hosts();
    }

    /// Counts what a worker has started so far.
    fn runs(&mut self, world: &World) -> String {
        let name = self.text("name").expect("`runs` takes `name`");
        format!("{}\n", world.edges.workers[&*name].state.runs.len())
    }

    fn upstream(&mut self, world: &mut World) {
        let name = self.text("name").expect("`upstream` takes `name`");
        let now_ms = world.now_ms;
        let work_ms = self.number("work_ms", 0);
        let mode = self.text("mode");
        let leaves = self.flag("leaves");
        let upstream = world
            .edges
            .upstreams
            .get_mut(&*name)
            .expect("such an upstream");
        if work_ms > 0 {
            upstream.work_ms = work_ms;
        }
        if let Some(mode) = mode {
            upstream.mode = match &*mode {
                "answers" => UpstreamMode::Answers,
                "fails" => UpstreamMode::Fails,
                "cuts" => UpstreamMode::Cuts,
                "refuses" => UpstreamMode::Refuses,
                other => panic!("unknown mode of an instance `{other}`"),
            };
        }
        if leaves {
            upstream.is_leaving = true;
            upstream.left_ms = now_ms;
        }
        world.list_hosts();
    }
}

/// All callers of one entry host that still wait go away.
fn callers_go(world: &mut World, via: Seat) {
    let waiting = world
        .edges
        .caller_requests
        .iter()
        .filter(|(_, told)| told.answer.is_none());
    for request in waiting.map(|(request, _)| *request).collect::<Vec<u64>>() {
        world.deliver(via, Event::CallerGone { request });
    }
}
