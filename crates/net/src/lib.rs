//! An event loop that serves HTTP/1.1 callers, calls HTTP/1.1 peers, and exchanges frames with
//! other processes of this system, on one thread.
//!
//! An entry host has a tenth of a core and awaits dozens of long calls at once. A thread
//! per call would cost a stack each and two context switches per answer. Instead, one
//! thread serves all sockets, and `httparse` parses the heads.
//!
//! ```no_run
//! use goldcrestway_net::Arrival;
//! use goldcrestway_net::Net;
//! use std::time::Duration;
//!
//! let mut net = Net::new().expect("the system offers an event queue");
//! let listener = net.listen("127.0.0.1:0".parse().unwrap()).expect("the port is free");
//! for arrival in net.wait(Duration::from_millis(50)) {
//!     if let Arrival::Request { caller, .. } = arrival {
//!         net.answer(caller, 200, &[], b"{}");
//!     }
//! }
//! # let _ = listener;
//! ```

mod buffer;
mod callers;
mod calls;
mod event_loop;
mod frames;
mod parse;
mod pool;

pub use calls::Call;
pub use calls::CallFault;
pub use calls::Message;
pub use event_loop::Arrival;
pub use event_loop::CallerKey;
pub use event_loop::ConnectionKey;
pub use event_loop::ListenerKey;
pub use event_loop::Net;
pub use parse::CallerLimits;
pub use parse::Request;
pub use parse::Response;
