//! Checks that need several sections: references, rules, and jobs that can never run.

use crate::fault::Faults;
use crate::model::Inventory;
use crate::schema::closest;
use crate::sections::Section;
use crate::sections::Sections;
use std::collections::BTreeMap;
use std::collections::BTreeSet;

/// Adds the faults that no section has by itself.
pub(crate) fn check(sections: &Sections, inventory: &Inventory, faults: &mut Faults) {
    check_references(sections, inventory, faults);
    check_rules(sections, inventory, faults);
    check_hosts(sections, inventory, faults);
    check_jobs(sections, inventory, faults);
}

/// Returns whether the inventory lists `name`. This searches the typed inventory, since the
/// key of a section would need copies of both strings.
fn is_known(inventory: &Inventory, kind: &str, name: &str) -> bool {
    match kind {
        "failure-domain" => inventory.failure_domains.contains(name),
        "service" => inventory.services.contains_key(name),
        "host" => inventory.hosts.contains_key(name),
        "team" => inventory.teams.contains_key(name),
        "job" => inventory.jobs.contains_key(name),
        _ => false,
    }
}

fn check_references(sections: &Sections, inventory: &Inventory, faults: &mut Faults) {
    const REFERENCES: &[(&str, &str)] = &[
        ("failure_domain", "failure-domain"),
        ("service", "service"),
        ("host", "host"),
        ("team", "team"),
        ("job", "job"),
    ];
    for ((kind, name), section) in sections {
        for (key, target) in REFERENCES {
            let Some(value) = section.values.get(*key) else {
                continue;
            };
            if is_known(inventory, target, value) {
                continue;
            }
            let names = sections.keys().filter(|(kind, _)| &**kind == *target);
            let remedy = match closest(value, names.map(|(_, name)| &**name)) {
                Some(suggestion) => format!("Did you mean `{suggestion}`?"),
                None => format!("Add a section `[{target} {value}]` or correct the name."),
            };
            let problem = format!("{kind} `{name}` names {target} `{value}`, which is not listed");
            faults.add(section.line_of(key), problem, remedy);
        }
    }
}

/// Kinds of rules, each with its required and its optional keys; other keys are faults.
const RULE_KEYS: &[(&str, &[&str], &[&str])] = &[
    ("may-share", &["service", "job"], &[]),
    ("never-share", &["service", "job"], &[]),
    ("never-twice", &["job"], &[]),
    ("spread", &["service"], &["failure_domains"]),
    ("quota", &["team", "cores", "memory_mb"], &["accelerators"]),
    ("urgent", &["job"], &[]),
    ("drain", &["host"], &[]),
    ("evacuate", &["failure_domain"], &[]),
];

/// Names of the service and the job of a rule.
type ServiceAndJob = (Box<str>, Box<str>);

fn check_rules(sections: &Sections, inventory: &Inventory, faults: &mut Faults) {
    let mut sharing_rules: BTreeMap<ServiceAndJob, (Box<str>, Box<str>)> = BTreeMap::new();
    let mut quotas: BTreeMap<Box<str>, Box<str>> = BTreeMap::new();
    for ((section_kind, name), section) in sections {
        if &**section_kind != "rule" {
            continue;
        }
        let value = |key: &str| section.values.get(key).cloned().unwrap_or_default();
        let kind = value("kind");
        check_rule_keys(name, &kind, section, faults);
        match &*kind {
            "may-share" | "never-share" => {
                let pair = (value("service"), value("job"));
                if let Some((other, other_kind)) = sharing_rules.get(&pair)
                    && *other_kind != kind
                {
                    faults.add(
                        section.line,
                        format!("rule `{name}` contradicts rule `{other}` on the same pair"),
                        "Remove one of the two.",
                    );
                }
                sharing_rules.insert(pair, (name.clone(), kind));
            }
            "quota" => {
                if let Some(other) = quotas.insert(value("team"), name.clone()) {
                    faults.add(
                        section.line,
                        format!("rules `{other}` and `{name}` both set the quota of one team"),
                        "Keep one of the two.",
                    );
                }
            }
            "spread" => check_spread(name, section, inventory, faults),
            _ => {}
        }
    }
}

fn check_rule_keys(name: &str, kind: &str, section: &Section, faults: &mut Faults) {
    let Some((_, required, optional)) = RULE_KEYS.iter().find(|(known, _, _)| *known == kind)
    else {
        return;
    };
    for key in *required {
        if !section.values.contains_key(*key) {
            faults.add(
                section.line,
                format!("rule `{name}` of kind `{kind}` lacks `{key}`"),
                format!("Add a line `{key} = ...` below its heading."),
            );
        }
    }
    for key in section.values.keys() {
        if &**key == "kind" || required.contains(&&**key) || optional.contains(&&**key) {
            continue;
        }
        faults.add(
            section.line_of(key),
            format!("a rule of kind `{kind}` takes no `{key}`"),
            "Remove the line or change the rule's kind.",
        );
    }
}

fn check_spread(name: &str, section: &Section, inventory: &Inventory, faults: &mut Faults) {
    let service = section.values.get("service").cloned().unwrap_or_default();
    let value = section.values.get("failure_domains");
    let required: usize = value.and_then(|text| text.parse().ok()).unwrap_or(2);
    let mut domains = BTreeSet::new();
    for upstream in inventory.upstreams.values() {
        if upstream.service != service {
            continue;
        }
        if let Some(host) = inventory.hosts.get(&upstream.host) {
            domains.insert(host.failure_domain.clone());
        }
    }
    if domains.len() < required {
        faults.add(
            section.line,
            format!(
                "rule `{name}` spreads service `{service}` over {required} failure domains, but its upstreams are in {}",
                domains.len()
            ),
            "List upstreams on hosts of further failure domains or lower `failure_domains`.",
        );
    }
}

fn check_hosts(sections: &Sections, inventory: &Inventory, faults: &mut Faults) {
    let mut racks: BTreeMap<&str, &str> = BTreeMap::new();
    for (name, host) in &inventory.hosts {
        let line_of = |key: &str| {
            let section = sections.get(&("host".into(), name.clone()));
            section.map_or(0, |section| section.line_of(key))
        };
        if !inventory.reserved(name).fits(host.capacity) {
            faults.add(
                line_of(""),
                format!("the services on host `{name}` need more than the host has"),
                "Move an upstream to another host or correct the sizes.",
            );
        }
        let domain = racks.entry(&host.rack).or_insert(&host.failure_domain);
        if **domain != *host.failure_domain {
            faults.add(
                line_of("rack"),
                format!("rack `{}` is listed in two failure domains", host.rack),
                "Give each rack a name of its own.",
            );
        }
    }
}

fn check_jobs(sections: &Sections, inventory: &Inventory, faults: &mut Faults) {
    for (name, job) in &inventory.jobs {
        let Some(reason) = inventory.unplaceable_reason(name, job) else {
            continue;
        };
        faults.add(
            sections[&("job".into(), name.clone())].line,
            format!("job `{name}` could never run: {reason}"),
            "Lower its needs, list a larger host or change the rule.",
        );
    }
}
