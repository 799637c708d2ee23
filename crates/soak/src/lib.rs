//! A soak of real `lugwharf` processes on loopback: clients, operators and servers of the emulator, troubles drawn from a
//! seed, and a judgement that rests on what the rig saw, not on what the program says.
//!
//! | module | job |
//! | --- | --- |
//! | `schedule` | draws the troubles of a seed, and when each begins and ends |
//! | `relay` | links between machines that can be cut, reset and slowed, one direction at a time |
//! | `fleet`, `servers`, `configuration` | the processes, the relays between them, the platform; the servers; what operators send |
//! | `trouble`, `startle` | begins and ends one trouble; troubles of the first start |
//! | `traffic` | clients, some of which misbehave |
//! | `operators` | configurations sent, raced and read back, and what was told about them |
//! | `watch` | metrics and ends of the processes while the soak runs |
//! | `heal` | what has to be well again once all troubles are over |
//! | `judge` | what is wrong, by the rig's own records |
//! | `report` | the folder of a failing seed, and the summary |
#![forbid(unsafe_code)]

mod checker;
#[cfg(test)]
mod checker_tests;
mod configuration;
mod fault_injection;
mod fleet;
mod harness;
mod link_proxy;
#[cfg(test)]
mod link_proxy_tests;
mod operators;
mod process_monitor;
mod recovery;
mod report;
#[cfg(test)]
mod report_tests;
mod schedule;
#[cfg(test)]
mod schedule_tests;
mod servers;
mod startup_faults;
mod traffic;

pub use checker::Finding;
pub use harness::{RunOutcome, run};
pub use report::{Summary, write_run_folder};
pub use schedule::{FaultKind, Overlap, Scenario, Schedule, ScheduledFault};
