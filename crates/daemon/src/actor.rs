//! The actor that carries a node, in the daemon and in tests alike.

use goldcrestway_core::Action;
use goldcrestway_core::Event;
use goldcrestway_core::Node;
use stakker::CX;
use stakker::after;
use std::time::Duration;
use std::time::Instant;

/// Time between two ticks.
pub const TICK: Duration = Duration::from_millis(10);

/// What carries out actions; differs between the daemon and tests.
pub type PerformActions = Box<dyn FnMut(u64, &mut Node, Vec<Action>)>;

/// A node with its clock and its edge.
pub struct NodeActor {
    node: Node,
    started_at: Instant,
    perform: PerformActions,
}

impl NodeActor {
    /// Starts the actor; its milliseconds count from `began`.
    pub fn init(
        cx: CX![],
        node: Node,
        started_at: Instant,
        perform: PerformActions,
    ) -> Option<Self> {
        after!(TICK, [cx], tick());
        Some(Self {
            node,
            started_at,
            perform,
        })
    }

    /// Takes in an event.
    pub fn event(&mut self, cx: CX![], event: Event) {
        let now_ms = cx
            .now()
            .saturating_duration_since(self.started_at)
            .as_millis() as u64;
        let actions = self.node.handle(now_ms, event);
        if !actions.is_empty() {
            (self.perform)(now_ms, &mut self.node, actions);
        }
    }

    /// Looks at the node, for operators.
    pub fn query(&mut self, _cx: CX![], query: Box<dyn FnOnce(&mut Node)>) {
        query(&mut self.node);
    }

    fn tick(&mut self, cx: CX![]) {
        after!(TICK, [cx], tick());
        self.event(cx, Event::Tick);
    }
}
