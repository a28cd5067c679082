//! The inventory as typed objects, each mirroring a thing that operators own.

use std::collections::BTreeMap;
use std::collections::BTreeSet;

/// An amount of what a host holds or a task needs.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Default)]
pub struct Resources {
    /// Thousandths of a processor core.
    pub millicores: u32,
    /// Megabytes of memory.
    pub memory_mb: u32,
    /// Whole accelerators.
    pub accelerators: u32,
}

impl Resources {
    /// Tells whether `self` fits into `room`.
    pub fn fits(self, available: Resources) -> bool {
        self.millicores <= available.millicores
            && self.memory_mb <= available.memory_mb
            && self.accelerators <= available.accelerators
    }

    /// Adds `other`.
    pub fn plus(self, other: Resources) -> Resources {
        Resources {
            millicores: self.millicores + other.millicores,
            memory_mb: self.memory_mb + other.memory_mb,
            accelerators: self.accelerators + other.accelerators,
        }
    }

    /// Takes `other` away, stopping at nothing.
    pub fn minus(self, other: Resources) -> Resources {
        Resources {
            millicores: self.millicores.saturating_sub(other.millicores),
            memory_mb: self.memory_mb.saturating_sub(other.memory_mb),
            accelerators: self.accelerators.saturating_sub(other.accelerators),
        }
    }
}

/// A host that runs tasks.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Host {
    /// Name of its failure domain.
    pub failure_domain: Box<str>,
    /// Name of its rack.
    pub rack: Box<str>,
    /// Resources that it has.
    pub capacity: Resources,
}

/// A latency-critical service.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Service {
    /// Team that owns it.
    pub team: Box<str>,
    /// What one instance reserves on its host.
    pub need: Resources,
    /// Requests that one instance works on at a time.
    pub slots: u32,
    /// Connections that one instance accepts.
    pub connections: u32,
    /// Time within which an instance ends any request, answered or not.
    pub timeout_ms: u64,
    /// Largest answer that is accepted from an instance.
    pub response_max_bytes: u64,
}

/// One instance of a service.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Upstream {
    /// Service that it serves.
    pub service: Box<str>,
    /// Host on which it runs.
    pub host: Box<str>,
}

/// A team, with its quota if a rule sets one.
#[derive(Debug, Clone, PartialEq, Eq, Default)]
pub struct Team {
    /// Most that its jobs may hold at a time.
    pub quota: Option<Resources>,
}

/// A kind of job that can be submitted.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Job {
    /// Team that is charged for it.
    pub team: Box<str>,
    /// What one run needs.
    pub need: Resources,
    /// Declared run time; often far off.
    pub run_time_ms: u64,
    /// Overtakes other work.
    pub urgent: bool,
    /// Is never started again once its fate is unknown.
    pub never_twice: bool,
}

/// A rule that is not folded into the object it speaks of.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Rule {
    /// The service and the job must not share a host.
    NeverShare {
        /// Name of the service.
        service: Box<str>,
        /// Name of the job.
        job: Box<str>,
    },
    /// The host gets no new work and its tasks move.
    Drain {
        /// Name of the host.
        host: Box<str>,
    },
    /// The hosts of the failure domain get no new work and no new requests, and their tasks move.
    Evacuate {
        /// Name of the failure domain.
        failure_domain: Box<str>,
    },
}

/// All that operators own, checked.
#[derive(Debug, Clone, PartialEq, Eq, Default)]
pub struct Inventory {
    /// Names of failure domains.
    pub failure_domains: BTreeSet<Box<str>>,
    /// Hosts by name.
    pub hosts: BTreeMap<Box<str>, Host>,
    /// Services by name.
    pub services: BTreeMap<Box<str>, Service>,
    /// Instances by name.
    pub upstreams: BTreeMap<Box<str>, Upstream>,
    /// Teams by name.
    pub teams: BTreeMap<Box<str>, Team>,
    /// Jobs by name.
    pub jobs: BTreeMap<Box<str>, Job>,
    /// Remaining rules.
    pub rules: Vec<Rule>,
    /// What services take of each host; derived from the upstreams.
    pub loads: BTreeMap<Box<str>, Load>,
}

/// What the services take of one host.
#[derive(Debug, Clone, PartialEq, Eq, Default)]
pub struct Load {
    /// Sum of what their instances reserve.
    pub reserved: Resources,
    /// Their names.
    pub services: Vec<Box<str>>,
}

impl Inventory {
    /// Gives what the services' instances reserve on `host`.
    pub fn reserved(&self, host: &str) -> Resources {
        self.loads
            .get(host)
            .map(|load| load.reserved)
            .unwrap_or_default()
    }

    /// Names the services that run on `host`.
    pub fn services_on(&self, host: &str) -> &[Box<str>] {
        self.loads
            .get(host)
            .map(|load| &*load.services)
            .unwrap_or_default()
    }

    /// Names the jobs that rules keep off `host`.
    pub fn excluded_jobs(&self, host: &str) -> Vec<Box<str>> {
        let mut excluded = Vec::new();
        for rule in &self.rules {
            let Rule::NeverShare { service, job } = rule else {
                continue;
            };
            if self.services_on(host).contains(service) {
                excluded.push(job.clone());
            }
        }
        excluded
    }

    /// Tells whether operators drain `host`.
    pub fn drains(&self, host: &str) -> bool {
        self.rules
            .iter()
            .any(|rule| matches!(rule, Rule::Drain { host: drained } if **drained == *host))
    }

    /// Tells whether operators evacuate `failure_domain`.
    pub fn evacuates(&self, failure_domain: &str) -> bool {
        self.evacuated()
            .any(|evacuated| evacuated == failure_domain)
    }

    /// Lists the failure domains that operators evacuate.
    pub fn evacuated(&self) -> impl Iterator<Item = &str> {
        self.rules.iter().filter_map(|rule| match rule {
            Rule::Evacuate { failure_domain } => Some(&**failure_domain),
            _ => None,
        })
    }

    /// Tells whether `host` stands in a failure domain that operators evacuate.
    pub fn is_evacuated(&self, host: &str) -> bool {
        let host = self.hosts.get(host);
        host.is_some_and(|host| self.evacuates(&host.failure_domain))
    }

    /// Derives the loads of hosts from the upstreams.
    pub(crate) fn derive_loads(&mut self) {
        self.loads.clear();
        for upstream in self.upstreams.values() {
            let Some(service) = self.services.get(&upstream.service) else {
                continue;
            };
            let load = self.loads.entry(upstream.host.clone()).or_default();
            load.reserved = load.reserved.plus(service.need);
            load.services.push(upstream.service.clone());
        }
    }

    /// Tells whether a rule keeps `job` off a host that runs `service`.
    pub fn forbids_sharing(&self, service: &str, job: &str) -> bool {
        self.rules.iter().any(|rule| {
            matches!(rule, Rule::NeverShare { service: left, job: right }
                if **left == *service && **right == *job)
        })
    }

    /// Gives the first reason why `job` can run on no listed host at all.
    pub fn unplaceable_reason(&self, name: &str, job: &Job) -> Option<String> {
        if let Some(quota) = self.teams.get(&job.team).and_then(|team| team.quota)
            && !job.need.fits(quota)
        {
            return Some(format!(
                "it needs more than the quota of team `{}`",
                job.team
            ));
        }
        let mut large_enough = false;
        for (host_name, host) in &self.hosts {
            if !job.need.fits(host.capacity.minus(self.reserved(host_name))) {
                continue;
            }
            large_enough = true;
            let services = self.services_on(host_name);
            if !services
                .iter()
                .any(|service| self.forbids_sharing(service, name))
            {
                return None;
            }
        }
        if large_enough {
            return Some("rules bar it from every host that is large enough".into());
        }
        Some("no listed host has that much room beside its services".into())
    }
}
