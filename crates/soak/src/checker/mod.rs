//! Checks the records of a run: what clients, servers and operators observed, never what the processes say of themselves.
//!
//! | module | checks |
//! | --- | --- |
//! | `records` | (the records that the checks read) |
//! | `requests` | executions, responses, failures and their log lines, disconnected clients |
//! | `routes` | which service executed a request |
//! | `servers` | draining servers, and orders |
//! | `configurations` | writes and reads of configurations |
//! | `excuses` | which failures a scheduled fault explains, and for how long |

mod configurations;
mod excuses;
mod records;
mod requests;
mod routes;
mod servers;

use crate::finding::Finding;

pub use records::{DrainedServer, HostedControl, RunRecords};

/// All violations that the records show.
pub fn check(records: &RunRecords<'_>) -> Vec<Finding> {
    let mut found = Vec::new();
    requests::check(records, &mut found);
    routes::check(records, &mut found);
    servers::check(records, &mut found);
    configurations::check(records, &mut found);
    found
}
