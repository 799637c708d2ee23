//! Emulates everything outside a lugwharf fleet, on real loopback sockets.
//!
//! | module | emulates |
//! | --- | --- |
//! | [`model_server`] | a model server with stages, continuous batching and a KV cache |
//! | [`plain_server`] | a server of a service without stages |
//! | [`platform`] | the platform, which lists servers |
//! | [`operator`] | the operator, who changes and reads configurations |
//! | [`client`] | clients, which check what they get |
//! | [`cluster`] | the machines: settings files and processes of the real binary |
//!
//! [`wire`], [`header_names`], [`events`], [`stamp`] and [`content`] are the protocol between them: HTTP/1.1, header names, events of
//! streams, and stamps by which a client knows the complete response of a server.
//!
//! The servers and the platform are state machines without I/O, `(event, now) -> actions`; `now` is the time since the
//! start of the environment. [`host`] drives a server core on a socket, injects the faults of a [`fault::FaultPlan`] and records
//! arrivals and executions in a [`request_log::RequestLog`]. A caller on virtual time drives the cores itself.
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
