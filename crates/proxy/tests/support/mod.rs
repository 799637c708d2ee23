//! A proxy on loopback whose agent, servers and clients are played by the test, byte by byte.
//!
//! | module | concern |
//! | --- | --- |
//! | `scenario` | what a test starts with: one route, its servers, limits and budgets |
//! | `harness` | the running proxy with its agent, servers and clients |
//! | `connection` | one end of a connection, read and written by the test |
//! | `messages` | requests and responses as text |
//! | `prefill` | the prefill phase of a generation and its KV handle |
//! | `clock` | a paused clock while two events race, and time that passes at once |
#![allow(dead_code, unused_imports, reason = "each test binary uses a part of it")]

pub mod clock;
mod connection;
mod harness;
mod messages;
pub mod prefill;
mod scenario;

pub use connection::*;
pub use harness::*;
pub use messages::*;
pub use scenario::*;
