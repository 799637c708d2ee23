//! Drives a server core on a loopback socket: the only place where an emulated server meets sockets and the clock.
//!
//! | module | concern |
//! | --- | --- |
//! | `server` | the running server: start, faults, reachability, crash |
//! | `state` | what its tasks share: the core, open calls and timers |
//! | `options` | connection limit, idle timeout, cancellation |
//! | `connection` | requests on one connection of a caller |
//! | `response` | the response to one request, with its planned fault |
//! | `environment` | what all servers share: clock, request log and the transfer of KV caches |

mod connection;
mod environment;
mod options;
mod response;
mod server;
mod state;

pub use environment::Environment;
pub use options::ServerOptions;
pub use server::{EmulatedServer, StageSource};
