//! Checks the records of a run. The records contain what clients, servers and operators observed, not what
//! the processes report about themselves.
//!
//! | module | checks |
//! | --- | --- |
//! | `records` | none: the records that the checks read |
//! | `requests` | executions, responses, failures and their log lines, disconnected clients |
//! | `routes` | which service executed a request |
//! | `limits` | by which limits a request was judged |
//! | `versions` | none: the versions of the configuration that may be in force |
//! | `unanswered` | requests on kept connections without a response |
//! | `servers` | draining servers, and stage orders |
//! | `configurations` | writes and reads of configurations |
//! | `fault_attribution` | which failures a scheduled fault explains, and for how long |

mod configurations;
mod fault_attribution;
mod limits;
mod records;
mod requests;
mod routes;
mod servers;
mod unanswered;
mod versions;

use crate::finding::Finding;

pub use records::{DrainedServer, HostedControl, RunRecords};
pub use unanswered::{Unanswered, unanswered};

/// Runs all checks, and returns the violations.
pub fn check(records: &RunRecords<'_>) -> Vec<Finding> {
    let mut found = Vec::new();
    requests::check(records, &mut found);
    routes::check(records, &mut found);
    limits::check(records, &mut found);
    servers::check(records, &mut found);
    unanswered::check(records, &mut found);
    configurations::check(records, &mut found);
    found
}
