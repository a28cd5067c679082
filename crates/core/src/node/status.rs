//! Status of a node and explanations of single jobs, services and hosts, for
//! operators.

use super::Node;
use crate::ids::Cell;
use crate::macros::plain;

plain! {
    /// Status of one entry host.
    pub struct Status {
        /// Seat and incarnation.
        pub member: Box<str>,
        /// Whether its lease is in force, so that it may act.
        pub acts: bool,
        /// Whether it is stopping.
        pub is_stopping: bool,
        /// Version of the configuration in force.
        pub config_version: u64,
        /// Members that it considers alive.
        pub alive: Vec<Box<str>>,
        /// Cells that it owns, each with a description.
        pub cells: Vec<(Box<str>, Box<str>)>,
        /// Number of requests in flight.
        pub requests: usize,
    }
}

impl Node {
    /// Returns the status of this entry host.
    pub fn status(&mut self) -> Status {
        let acts = self.acts_until_ms().is_some();
        let cells = self.owned_cells();
        let cells = cells
            .into_iter()
            .map(|cell| (cell.to_string().into(), self.describe(cell)));
        Status {
            member: self.me.to_string().into(),
            acts,
            is_stopping: self.is_stopping,
            config_version: self.config.version(),
            cells: cells.collect(),
            alive: self
                .alive()
                .iter()
                .map(|member| member.to_string().into())
                .collect(),
            requests: self.flights.len(),
        }
    }

    fn describe(&self, cell: Cell) -> Box<str> {
        match cell {
            Cell::Keys(number) => self.keys.get(&number).map(|cell| cell.describe()),
            Cell::Workers(number) => self.workers.get(&number).map(|cell| {
                let racks = self.layout.racks.get(&number).map_or(0, Vec::len);
                format!(
                    "term {}, {racks} hosts, {} tasks",
                    cell.term().0,
                    cell.len()
                )
            }),
            Cell::Upstreams(number) => self.upstreams.get(&number).map(|cell| {
                let (used, all) = cell.load();
                format!("{used} of {all} slots in use, {} waiting", cell.waiting())
            }),
        }
        .unwrap_or_default()
        .into()
    }

    /// Returns lines that explain the state of a job, service or host, as far as it
    /// belongs to a cell of this entry host.
    pub fn explain(&self, name: &str) -> Vec<Box<str>> {
        let mut lines: Vec<Box<str>> = Vec::new();
        for (number, cell) in &self.keys {
            let Some((_, job)) = cell.jobs.find(name) else {
                continue;
            };
            let (held, waiting) = cell.jobs.team_load(&job.spec.team);
            lines.push(
                format!(
                    "job {name} (keys-{number}): {:?}, attempt {}, checkpoint {}, refused {} times; team {} holds {} millicores and has {waiting} jobs waiting",
                    job.state, job.attempt, job.checkpoint, job.refusals, job.spec.team, held.millicores
                )
                .into(),
            );
        }
        for cell in self.workers.values() {
            if let Some((host, state)) = cell.find(name) {
                lines.push(format!("job {name} is on host {host}: {state:?}").into());
            }
            if let Some(line) = cell.describe(self.now_ms, name) {
                lines.push(line.into());
            }
        }
        for (number, cell) in &self.upstreams {
            let group = self.layout.groups.get(number);
            if group.is_none_or(|group| &*group.service != name) {
                continue;
            }
            let (used, all) = cell.load();
            lines.push(
                format!(
                    "service {name} ({}): {} instances, {used} of {all} slots in use, {} requests waiting",
                    Cell::Upstreams(*number),
                    cell.instance_names().len(),
                    cell.waiting()
                )
                .into(),
            );
        }
        if let Some(reason) = self.runnable.reason(name) {
            lines.push(format!("job {name} could never run: {reason}").into());
        }
        lines
    }
}
