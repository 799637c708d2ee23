//! The harness: a simulated cluster of replicas, its faults, its clients and the checker of what must hold.
//!
//! | module | concern |
//! | --- | --- |
//! | `scenario` | how a cluster is set up |
//! | `cluster` | the cluster on virtual time; what happens next |
//! | `event` | what happens in a simulation, in order of virtual time |
//! | `driver` | what a driver of a replica does: events in, actions out |
//! | `node` | a machine: its disk and its process |
//! | `network` | links: delay, loss, cuts |
//! | `fault`, `fault_draw`, `fault_injection` | faults, random schedules of them, and how they are injected |
//! | `client`, `client_calls` | operators that submit, retry and read |
//! | `checker` | the safety properties, checked at every step |
//! | `rounds` | rounds of faults, and what must be answered between them |
//! | `transcript` | a digest of all that a run shows |
//!
//! All randomness of a run comes from one generator, `Cluster::rng`, in the order in which events happen. A change of the
//! number or order of draws is another run under the same seed: the seeds named in tests and incidents lose their meaning.

pub mod checker;
pub mod client;
mod client_calls;
pub mod cluster;
mod driver;
mod event;
pub mod fault;
pub mod fault_draw;
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
