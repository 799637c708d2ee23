//! Emulators of the systems around a lugwharf fleet, on real loopback sockets, for tests.
//!
//! | module | emulates |
//! | --- | --- |
//! | [`model_server`] | a model server with stages, continuous batching and a KV cache |
//! | [`plain_server`] | a server of a plain service, which has no stages |
//! | [`platform`] | the platform API that lists the servers |
//! | [`operator`] | the operator, a client of the API that changes and reads configurations |
//! | [`client`] | clients that send requests and check the responses |
//! | [`cluster`] | the machines of a fleet: settings files and processes of the real binary |
//!
//! [`wire`], [`header_names`], [`events`], [`stamp`] and [`content`] implement the protocol between them:
//! HTTP/1.1, header names, server-sent events, and the stamps that tell a client what the complete response
//! of a server is.
//!
//! The servers and the platform are state machines without I/O: `(event, now) -> actions`, where `now` is the
//! time since the start of the environment. [`host`] runs a state machine on a socket, injects the faults of
//! a [`fault::FaultPlan`] and records arrivals and executions in a [`request_log::RequestLog`]. Tests on
//! virtual time drive the state machines directly.
#![forbid(unsafe_code)]

pub mod client;
pub mod cluster;
pub mod configuration;
pub mod content;
pub mod events;
pub mod fault;
pub mod header_names;
pub mod host;
pub mod model_server;
pub mod operator;
pub mod plain_server;
pub mod platform;
pub mod request_log;
pub mod server_core;
pub mod stamp;
mod sync;
pub mod wire;
