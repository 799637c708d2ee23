//! A proxy on the loopback interface. The test controls its agent, servers and clients, down to single bytes.
//!
//! | module | concern |
//! | --- | --- |
//! | `scenario` | the initial state of a test: one route, its servers, limits and budgets |
//! | `harness` | a running proxy with its agent, servers and clients |
//! | `connection` | one end of a connection |
//! | `messages` | the text of requests and responses |
//! | `prefill` | the prefill phase of a generation, and KV handles |
//! | `clock` | stopping and advancing the clock |
//! | `grammar` | responses of a server, drawn from the grammar of HTTP |
#![allow(dead_code, unused_imports, reason = "each test binary uses a part of it")]

pub mod clock;
mod connection;
pub mod grammar;
mod harness;
mod messages;
pub mod prefill;
mod scenario;

pub use connection::*;
pub use harness::*;
pub use messages::*;
pub use scenario::*;
