//! Generates inventories of any size to measure how costs grow.

use goldcrestway_inventory::Inventory;
use goldcrestway_inventory::Sections;
use goldcrestway_inventory::load_sections;

/// Sizes of a generated inventory.
#[derive(Debug, Clone, Copy)]
pub struct Fleet {
    /// Number of hosts that run tasks.
    pub hosts: usize,
    /// Number of instances of services.
    pub upstreams: usize,
    /// Number of services among which the instances are divided.
    pub services: usize,
}

/// Number of hosts in a rack.
pub const HOSTS_PER_RACK: usize = 11;
/// Number of failure domains over which the racks are spread.
pub const DOMAINS: usize = 20;

impl Fleet {
    /// Creates a fleet of the given sizes.
    pub fn sized(hosts: usize, upstreams: usize, services: usize) -> Self {
        Self {
            hosts,
            upstreams,
            services,
        }
    }

    /// Returns the text of the inventory file.
    pub fn text(&self) -> String {
        let racks = self.hosts.div_ceil(HOSTS_PER_RACK);
        let domains = DOMAINS.min(racks).max(1);
        let mut text = String::new();
        for domain in 0..domains {
            text.push_str(&format!("[failure-domain d{domain}]\n"));
        }
        for host in 0..self.hosts {
            let rack = host / HOSTS_PER_RACK;
            text.push_str(&format!(
                "[host w{host}]\nfailure_domain = d{}\nrack = r{rack}\ncores = 64\nmemory_mb = 250000\naccelerators = 1\n",
                rack % domains
            ));
        }
        text.push_str("[team desk]\n[team night]\n");
        for service in 0..self.services {
            text.push_str(&format!(
                "[service s{service}]\nteam = desk\ncores = 1\nmemory_mb = 2000\ntimeout_ms = 1000\n"
            ));
        }
        for upstream in 0..self.upstreams {
            text.push_str(&format!(
                "[upstream u{upstream}]\nservice = s{}\nhost = w{}\n",
                upstream % self.services.max(1),
                upstream % self.hosts
            ));
        }
        text.push_str(
            "[job roster]\nteam = night\ncores = 2\nmemory_mb = 4000\n\
             [job replan]\nteam = desk\ncores = 1\nmemory_mb = 1000\n\
             [rule quick]\nkind = urgent\njob = replan\n",
        );
        text
    }

    /// Returns the sections and the typed inventory.
    ///
    /// # Panics
    ///
    /// Panics if the generated text is not a valid inventory.
    pub fn load(&self) -> (Sections, Inventory) {
        load_sections("fleet", &self.text()).unwrap_or_else(|faults| panic!("{faults}"))
    }

    /// Returns the typed inventory.
    ///
    /// # Panics
    ///
    /// Panics if the generated text is not a valid inventory.
    pub fn inventory(&self) -> Inventory {
        self.load().1
    }
}
