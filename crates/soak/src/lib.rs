//! A soak test that runs real `lugwharf` processes on loopback under client and operator load, and injects
//! faults drawn from a seed.
//!
//! The checker relies on what the harness observed at clients, operators and servers, not on what the
//! processes report about themselves.
//!
//! | module | concern |
//! | --- | --- |
//! | `fault`, `schedule` | the kinds of faults; scenarios, and the schedule drawn from a seed |
//! | `harness` | one run, from the start of the fleet to its findings |
//! | `fleet`, `process_id` | the processes |
//! | `servers`, `configuration` | the emulated servers and the platform; the configurations that operators write |
//! | `link_proxy` | links between machines that can be blackholed, reset and delayed, one direction at a time |
//! | `timeline` | runs a schedule |
//! | `fault_injection`, `link_faults`, `startup_faults` | inject a fault and recover from it |
//! | `traffic` | the client load |
//! | `persistent_clients` | clients that use each connection until it is gone, and read responses strictly |
//! | `operators`, `operator_log` | writes, concurrent writes, resends and reads of configurations; their log |
//! | `process_monitor` | exits, metrics and resource use of the processes during a run |
//! | `recovery` | the conditions that must hold once all faults are over |
//! | `checker`, `finding` | violations in the records of a run |
//! | `report`, `run_log` | the folder and the ledger of a failing seed, and the summary of all seeds |
#![forbid(unsafe_code)]

mod checker;
#[cfg(test)]
mod checker_tests;
mod configuration;
mod fault;
mod fault_injection;
mod finding;
mod fleet;
mod harness;
mod link_faults;
mod link_proxy;
#[cfg(test)]
mod link_proxy_tests;
mod operator_log;
mod operators;
mod persistent_clients;
mod process_id;
mod process_monitor;
mod recovery;
mod report;
#[cfg(test)]
mod report_tests;
mod run_log;
#[cfg(test)]
mod run_log_tests;
mod schedule;
#[cfg(test)]
mod schedule_tests;
mod servers;
mod startup_faults;
mod timeline;
mod traffic;

pub use fault::{FaultKind, ParseFaultError, ScheduledFault};
pub use finding::Finding;
pub use harness::{RunOutcome, run};
pub use report::{Summary, write_run_folder};
pub use schedule::{Overlap, Scenario, Schedule};
