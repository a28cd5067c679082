//! The inventory as typed objects.

use std::collections::BTreeMap;
use std::collections::BTreeSet;

/// Resources that a host has or a task needs.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Default)]
pub struct Resources {
    /// Thousandths of a processor core.
    pub millicores: u32,
    /// Megabytes of memory.
    pub memory_mb: u32,
    /// Number of accelerators.
    pub accelerators: u32,
}

impl Resources {
    /// Returns whether `self` is at most `available` in every resource.
    pub fn fits(self, available: Resources) -> bool {
        self.millicores <= available.millicores
            && self.memory_mb <= available.memory_mb
            && self.accelerators <= available.accelerators
    }

    /// Returns the sum of both.
    pub fn plus(self, other: Resources) -> Resources {
        Resources {
            millicores: self.millicores + other.millicores,
            memory_mb: self.memory_mb + other.memory_mb,
            accelerators: self.accelerators + other.accelerators,
        }
    }

    /// Returns the difference, at least 0 in every resource.
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
    /// Resources that one instance reserves on its host.
    pub need: Resources,
    /// Largest number of requests that one instance processes at a time.
    pub slots: u32,
    /// Largest number of connections that one instance accepts.
    pub connections: u32,
    /// Time in milliseconds in which an instance finishes any request, answered or not.
    pub timeout_ms: u64,
    /// Largest response in bytes that is accepted from an instance.
    pub response_max_bytes: u64,
}

/// One instance of a service.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Upstream {
    /// Name of its service.
    pub service: Box<str>,
    /// Name of the host on which it runs.
    pub host: Box<str>,
}

/// A team that owns services and jobs.
#[derive(Debug, Clone, PartialEq, Eq, Default)]
pub struct Team {
    /// Largest sum of resources that its jobs may use at a time; `None` without a rule.
    pub quota: Option<Resources>,
}

/// A kind of job that can be submitted.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Job {
    /// Name of the team whose quota it counts against.
    pub team: Box<str>,
    /// Resources that one run needs.
    pub need: Resources,
    /// Declared run time in milliseconds, which is often far from the real one.
    pub run_time_ms: u64,
    /// Whether it is placed before other jobs.
    pub urgent: bool,
    /// Whether it must not be started again if it is unknown whether it ran.
    pub never_twice: bool,
}

/// A rule that is no field of another object, as a quota or an urgent job is.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Rule {
    /// The service and the job must not share a host.
    NeverShare {
        /// Name of the service.
        service: Box<str>,
        /// Name of the job.
        job: Box<str>,
    },
    /// The host gets no new work, and its tasks move to other hosts.
    Drain {
        /// Name of the host.
        host: Box<str>,
    },
    /// The hosts of the failure domain get no new work and no new requests, and their tasks
    /// move to other hosts.
    Evacuate {
        /// Name of the failure domain.
        failure_domain: Box<str>,
    },
}

/// All objects and rules of an inventory.
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
    /// Rules that are no field of another object.
    pub rules: Vec<Rule>,
    /// Reservations of services by host, derived from the upstreams.
    pub loads: BTreeMap<Box<str>, Load>,
}

/// Reservations of services on one host.
#[derive(Debug, Clone, PartialEq, Eq, Default)]
pub struct Load {
    /// Sum of the reservations of all instances.
    pub reserved: Resources,
    /// Name of the service of each instance.
    pub services: Vec<Box<str>>,
}

impl Inventory {
    /// Returns the resources that instances of services reserve on `host`.
    pub fn reserved(&self, host: &str) -> Resources {
        self.loads
            .get(host)
            .map(|load| load.reserved)
            .unwrap_or_default()
    }

    /// Returns the names of the services on `host`, one for each instance.
    pub fn services_on(&self, host: &str) -> &[Box<str>] {
        self.loads
            .get(host)
            .map(|load| &*load.services)
            .unwrap_or_default()
    }

    /// Returns the names of the jobs that rules exclude from `host`.
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

    /// Returns whether a rule drains `host`.
    pub fn drains(&self, host: &str) -> bool {
        self.rules
            .iter()
            .any(|rule| matches!(rule, Rule::Drain { host: drained } if **drained == *host))
    }

    /// Returns whether a rule evacuates `failure_domain`.
    pub fn evacuates(&self, failure_domain: &str) -> bool {
        self.evacuated()
            .any(|evacuated| evacuated == failure_domain)
    }

    /// Returns the names of the evacuated failure domains.
    pub fn evacuated(&self) -> impl Iterator<Item = &str> {
        self.rules.iter().filter_map(|rule| match rule {
            Rule::Evacuate { failure_domain } => Some(&**failure_domain),
            _ => None,
        })
    }

    /// Returns whether `host` is in an evacuated failure domain.
    pub fn is_evacuated(&self, host: &str) -> bool {
        let host = self.hosts.get(host);
        host.is_some_and(|host| self.evacuates(&host.failure_domain))
    }

    /// Computes `loads` from the upstreams.
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

    /// Returns whether a rule excludes `job` from hosts that run `service`.
    pub fn forbids_sharing(&self, service: &str, job: &str) -> bool {
        self.rules.iter().any(|rule| {
            matches!(rule, Rule::NeverShare { service: left, job: right }
                if **left == *service && **right == *job)
        })
    }

    /// Returns the first reason why `job` can run on no listed host, or `None` if it can run
    /// on one.
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
