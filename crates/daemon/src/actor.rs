//! The actor that runs a node, used by the daemon and by tests.

use goldcrestway_core::Action;
use goldcrestway_core::Event;
use goldcrestway_core::Node;
use stakker::CX;
use stakker::after;
use std::time::Duration;
use std::time::Instant;

/// Time between two [`Event::Tick`] events of a node.
pub const TICK: Duration = Duration::from_millis(10);

/// Function that carries out the actions of a node. Its first argument is the time in
/// milliseconds since the start. The daemon and the tests pass different functions.
pub type PerformActions = Box<dyn FnMut(u64, &mut Node, Vec<Action>)>;

/// A node, the start of its clock, and the function that carries out its actions.
pub struct NodeActor {
    node: Node,
    started_at: Instant,
    perform: PerformActions,
}

impl NodeActor {
    /// Starts the actor. The milliseconds of the node count from `started_at`.
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

    /// Passes an event to the node and carries out the resulting actions.
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

    /// Runs `query` on the node, on behalf of an operator.
    pub fn query(&mut self, _cx: CX![], query: Box<dyn FnOnce(&mut Node)>) {
        query(&mut self.node);
    }

    fn tick(&mut self, cx: CX![]) {
        after!(TICK, [cx], tick());
        self.event(cx, Event::Tick);
    }
}
