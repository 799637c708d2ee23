//! The simulation harness: a cluster of replicas, its faults, its clients and a checker of the safety
//! properties.
//!
//! | Module | Responsibility |
//! | --- | --- |
//! | `scenario` | configuration of a cluster |
//! | `cluster` | the cluster and its event loop in virtual time |
//! | `event` | simulation events and their queue, ordered by virtual time |
//! | `driver` | the driver of the replicas: passes events in and executes actions |
//! | `node` | a machine with its disk and process |
//! | `network` | links: delays, losses and cuts |
//! | `fault`, `fault_generator`, `fault_injection` | faults, random fault schedules, and fault injection |
//! | `client`, `client_calls` | operators that submit, retry and read |
//! | `checker` | checks of the safety properties at every step |
//! | `rounds` | rounds of faults, and the responses required between them |
//! | `transcript` | the digest of a run |
//!
//! All randomness of a run comes from one generator, `Cluster::rng`, in the order of the events. A change in
//! the number or order of draws turns each seed into a different run, so the seeds recorded in tests and
//! incident reports become meaningless.

pub mod checker;
pub mod client;
mod client_calls;
pub mod cluster;
mod driver;
mod event;
pub mod fault;
pub mod fault_generator;
mod fault_injection;
pub mod network;
mod node;
mod rounds;
pub mod scenario;
mod transcript;

pub use checker::Change;
pub use client::ClientRequest;
pub use cluster::{Cluster, address};
pub use fault::{ChunkFault, Fault, FaultSchedule, FaultTrigger, ScheduledFault};
pub use network::{CutMode, Link};
pub use scenario::Scenario;
