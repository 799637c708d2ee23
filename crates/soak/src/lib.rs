//! A soak test of real `lugwharf` processes on loopback, under client and operator load, with faults drawn from a seed.
//!
//! The checker relies on what the harness observed at clients, operators and servers, not on what the processes report.
//!
//! | module | concern |
//! | --- | --- |
//! | `fault`, `schedule` | kinds of faults; scenarios, and the schedule that a seed draws |
//! | `harness` | one run, from the start of the fleet to its findings |
//! | `fleet`, `process_id`, `servers`, `configuration` | the processes; the emulated servers and the platform; what operators write |
//! | `link_proxy` | links between machines that can be blackholed, reset and delayed, one direction at a time |
//! | `timeline`, `fault_injection`, `link_faults`, `startup_faults` | plays a schedule; injects and recovers from a fault |
//! | `traffic` | the client load |
//! | `operators`, `operator_log` | configurations written, raced, resent and read back; the log of all that |
//! | `process_monitor` | exits, metrics and resources of the processes during a run |
//! | `recovery` | what has to hold once all faults are over |
//! | `checker`, `finding` | violations in the records of a run |
//! | `report`, `run_log` | the folder of a failing seed, its ledger, and the summary |
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
