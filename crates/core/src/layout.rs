//! The cells that an inventory is divided into.

use crate::ids::Cell;
use goldcrestway_inventory::Inventory;
use std::collections::BTreeMap;
use std::collections::BTreeSet;

/// The instances of one service in one failure domain.
#[derive(Debug, Clone, PartialEq, Eq, Default)]
pub struct Group {
    /// The service.
    pub service: Box<str>,
    /// Names of its instances in the failure domain.
    pub upstreams: Vec<Box<str>>,
}

/// The cells of one inventory.
#[derive(Debug, Clone, PartialEq, Eq, Default)]
pub struct Layout {
    /// All cells.
    pub cells: BTreeSet<Cell>,
    /// Names of the hosts in each cell of workers.
    pub racks: BTreeMap<u64, Vec<Box<str>>>,
    /// The instances in each cell of upstreams.
    pub groups: BTreeMap<u64, Group>,
    /// The cells of upstreams of each service.
    pub services: BTreeMap<Box<str>, Vec<Cell>>,
    /// The cells of workers, for picking one at random.
    pub worker_cells: Vec<Cell>,
}

impl Layout {
    /// Divides `inventory` into cells, with `key_cells` cells of keys.
    pub fn build(inventory: &Inventory, key_cells: u16) -> Self {
        let mut layout = Layout::default();
        layout.cells.extend((0..key_cells).map(Cell::Keys));
        for (name, host) in &inventory.hosts {
            let cell = Cell::workers(&host.rack);
            let Cell::Workers(number) = cell else {
                continue;
            };
            if layout.cells.insert(cell) {
                layout.worker_cells.push(cell);
            }
            layout.racks.entry(number).or_default().push(name.clone());
        }
        for (name, upstream) in &inventory.upstreams {
            let Some(host) = inventory.hosts.get(&upstream.host) else {
                continue;
            };
            let cell = Cell::upstreams(&upstream.service, &host.failure_domain);
            let Cell::Upstreams(number) = cell else {
                continue;
            };
            if layout.cells.insert(cell) {
                let cells = layout.services.entry(upstream.service.clone());
                cells.or_default().push(cell);
            }
            let group = layout.groups.entry(number).or_default();
            group.service = upstream.service.clone();
            group.upstreams.push(name.clone());
        }
        layout
    }
}
