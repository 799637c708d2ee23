//! Runs a server core on a loopback socket. Only this module of an emulated server uses sockets and the
//! clock.
//!
//! | module | concern |
//! | --- | --- |
//! | `server` | a running server: start, faults, reachability, crash |
//! | `state` | the state that the tasks of a server share: the core, open calls and timers |
//! | `options` | the connection limit, the idle timeout and the cancellation of requests |
//! | `connection` | the requests on one connection of a caller |
//! | `response` | the response to one request, with the planned fault |
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
