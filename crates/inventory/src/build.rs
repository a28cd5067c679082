//! Builds a typed, checked inventory from sections.

use crate::check::check;
use crate::fault::Faults;
use crate::model::Host;
use crate::model::Inventory;
use crate::model::Job;
use crate::model::Resources;
use crate::model::Rule;
use crate::model::Service;
use crate::model::Team;
use crate::model::Upstream;
use crate::schema::InventorySchema;
use crate::sections::Section;
use crate::sections::Sections;
use crate::sections::millicores;
use crate::sections::read;

/// Reads and checks an inventory from `text`; `file` is the name that faults show.
///
/// # Errors
///
/// All faults of the inventory, in the order of their lines.
pub fn load(file: &str, text: &str) -> Result<Inventory, Faults> {
    load_sections(file, text).map(|(_, inventory)| inventory)
}

/// Like [`load`], but also returns the sections, which are compared and published.
///
/// # Errors
///
/// All faults of the inventory, in the order of their lines.
pub fn load_sections(file: &str, text: &str) -> Result<(Sections, Inventory), Faults> {
    let mut faults = Faults::new(file);
    let sections = read(text, InventorySchema::SECTIONS, &mut faults);
    if !faults.is_empty() {
        return Err(faults);
    }
    let inventory = build(&sections);
    check(&sections, &inventory, &mut faults);
    if faults.is_empty() {
        Ok((sections, inventory))
    } else {
        Err(faults)
    }
}

/// Builds the typed inventory from sections whose keys and values are already checked.
pub(crate) fn build(sections: &Sections) -> Inventory {
    let mut inventory = Inventory::default();
    for ((kind, name), section) in sections {
        let name = name.clone();
        match &**kind {
            "failure-domain" => drop(inventory.failure_domains.insert(name)),
            "host" => drop(inventory.hosts.insert(name, host(section))),
            "service" => drop(inventory.services.insert(name, service(section))),
            "upstream" => drop(inventory.upstreams.insert(name, upstream(section))),
            "team" => drop(inventory.teams.insert(name, Team::default())),
            "job" => drop(inventory.jobs.insert(name, job(section))),
            _ => {}
        }
    }
    for ((kind, _), section) in sections {
        if &**kind == "rule" {
            add_rule(&mut inventory, section);
        }
    }
    inventory.derive_loads();
    inventory
}

fn text(section: &Section, key: &str) -> Box<str> {
    section.values.get(key).cloned().unwrap_or_default()
}

fn number(section: &Section, key: &str, default: u64) -> u64 {
    let value = section.values.get(key).and_then(|value| value.parse().ok());
    value.unwrap_or(default)
}

fn resources(section: &Section) -> Resources {
    Resources {
        millicores: millicores(&text(section, "cores")).unwrap_or(0),
        memory_mb: number(section, "memory_mb", 0) as u32,
        accelerators: number(section, "accelerators", 0) as u32,
    }
}

fn host(section: &Section) -> Host {
    Host {
        failure_domain: text(section, "failure_domain"),
        rack: text(section, "rack"),
        capacity: resources(section),
    }
}

fn service(section: &Section) -> Service {
    Service {
        team: text(section, "team"),
        need: resources(section),
        slots: number(section, "slots", 8) as u32,
        connections: number(section, "connections", 64) as u32,
        timeout_ms: number(section, "timeout_ms", 2_000),
        response_max_bytes: number(section, "response_max_bytes", 1_048_576),
    }
}

fn upstream(section: &Section) -> Upstream {
    Upstream {
        service: text(section, "service"),
        host: text(section, "host"),
    }
}

fn job(section: &Section) -> Job {
    const MS_PER_S: u64 = 1_000;
    Job {
        team: text(section, "team"),
        need: resources(section),
        run_time_ms: number(section, "run_time_s", 60) * MS_PER_S,
        urgent: false,
        never_twice: false,
    }
}

fn add_rule(inventory: &mut Inventory, section: &Section) {
    let (service, job) = (text(section, "service"), text(section, "job"));
    match &*text(section, "kind") {
        "never-share" => inventory.rules.push(Rule::NeverShare { service, job }),
        "drain" => inventory.rules.push(Rule::Drain {
            host: text(section, "host"),
        }),
        "evacuate" => inventory.rules.push(Rule::Evacuate {
            failure_domain: text(section, "failure_domain"),
        }),
        "never-twice" => {
            if let Some(job) = inventory.jobs.get_mut(&job) {
                job.never_twice = true;
            }
        }
        "urgent" => {
            if let Some(job) = inventory.jobs.get_mut(&job) {
                job.urgent = true;
            }
        }
        "quota" => {
            if let Some(team) = inventory.teams.get_mut(&text(section, "team")) {
                team.quota = Some(resources(section));
            }
        }
        _ => {}
    }
}
