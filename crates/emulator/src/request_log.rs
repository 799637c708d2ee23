//! What the servers saw: every arrival and every run, shared by all servers of a world.

use crate::client::Outcome;
use crate::names;
use crate::wire::Headers;
use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

/// One request as a server read it.
#[derive(Clone, Debug)]
pub struct Arrival {
    /// Since the start of the world.
    pub at: Duration,
    /// The server's incarnation.
    pub instance: String,
    /// Its service.
    pub service: String,
    /// Where it came in.
    pub address: SocketAddr,
    /// The id of the client's try, if any.
    pub request_id: Option<String>,
    /// The method.
    pub method: String,
    /// Path and query.
    pub target: String,
    /// The headers.
    pub headers: Headers,
    /// Hash of method, target and body.
    pub content: u64,
    /// Bytes of the body.
    pub body_bytes: usize,
}

impl Arrival {
    /// Whether only the prompt was to be read.
    pub fn is_prefill(&self) -> bool {
        self.headers.get(names::SERVING_STAGE) == Some("prefill")
    }
}

/// A server began to work on a request.
#[derive(Clone, Debug)]
pub struct Execution {
    /// Since the start of the world.
    pub at: Duration,
    /// The server's incarnation.
    pub instance: String,
    /// Its service.
    pub service: String,
    /// The id of the client's try.
    pub request_id: String,
    /// Hash of method, target and body.
    pub content: u64,
    /// The request that the memory was read for, if it was fetched.
    pub kv_owner: Option<String>,
}

/// A server has answered a request whole, or given it up.
#[derive(Clone, Debug, PartialEq)]
pub struct Completion {
    /// Since the start of the world.
    pub at: Duration,
    /// The id of the client's try.
    pub request_id: String,
}

/// An order as a server got it.
#[derive(Clone, Debug, PartialEq)]
pub struct ReceivedOrder {
    /// Since the start of the world.
    pub at: Duration,
    /// The server's incarnation.
    pub instance: String,
    /// The body of the order.
    pub body: String,
}

/// A rule that was broken, by its name in the rules.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Violation {
    /// A request that may run once ran more often.
    ExecutedTwice {
        /// The request.
        request_id: String,
        /// How often it ran.
        runs: usize,
    },
    /// A request ran that no client sent, or not as it was sent.
    UnknownRequest {
        /// The request.
        request_id: String,
    },
    /// A request was told that it has not run, and ran.
    ExecutedAfterRefusal {
        /// The request.
        request_id: String,
    },
    /// A request went on from the memory of another.
    ForeignKv {
        /// The request.
        request_id: String,
    },
    /// A service ran a request that was not for it.
    WrongService {
        /// The request.
        request_id: String,
        /// The service.
        service: String,
    },
}

#[derive(Debug, Default)]
struct Records {
    arrivals: Vec<Arrival>,
    executions: Vec<Execution>,
    completions: Vec<Completion>,
    orders: Vec<ReceivedOrder>,
}

/// The record of a world; clones share it.
#[derive(Clone, Debug, Default)]
pub struct RequestLog {
    records: Arc<Mutex<Records>>,
}

impl RequestLog {
    /// An empty record.
    pub fn new() -> RequestLog {
        RequestLog::default()
    }

    fn records(&self) -> MutexGuard<'_, Records> {
        self.records.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Adds an arrival.
    pub fn record_arrival(&self, arrival: Arrival) {
        self.records().arrivals.push(arrival);
    }

    /// Adds a run.
    pub fn record_execution(&self, execution: Execution) {
        self.records().executions.push(execution);
    }

    /// Adds the end of a server's work.
    pub fn record_completion(&self, end: Completion) {
        self.records().completions.push(end);
    }

    /// The ends of all work so far.
    pub fn completions(&self) -> Vec<Completion> {
        self.records().completions.clone()
    }

    /// Adds an order.
    pub fn record_order(&self, order: ReceivedOrder) {
        self.records().orders.push(order);
    }

    /// All arrivals so far.
    pub fn arrivals(&self) -> Vec<Arrival> {
        self.records().arrivals.clone()
    }

    /// All runs so far.
    pub fn executions(&self) -> Vec<Execution> {
        self.records().executions.clone()
    }

    /// All orders so far.
    pub fn orders(&self) -> Vec<ReceivedOrder> {
        self.records().orders.clone()
    }

    /// The arrivals of one request.
    pub fn arrivals_of(&self, request_id: &str) -> Vec<Arrival> {
        let records = self.records();
        records
            .arrivals
            .iter()
            .filter(|arrival| arrival.request_id.as_deref() == Some(request_id))
            .cloned()
            .collect()
    }

    /// The runs of one request.
    pub fn executions_of(&self, request_id: &str) -> Vec<Execution> {
        self.records().executions.iter().filter(|run| run.request_id == request_id).cloned().collect()
    }

    /// What is wrong, given all that the clients sent and got. `services_of` tells where a request may run.
    pub fn violations(
        &self, outcomes: &[Outcome], services_of: impl Fn(&Outcome) -> BTreeSet<String>,
    ) -> Vec<Violation> {
        let sent: BTreeMap<&str, &Outcome> =
            outcomes.iter().map(|outcome| (outcome.request_id.as_str(), outcome)).collect();
        let records = self.records();
        let mut found = Vec::new();
        let mut runs: BTreeMap<&str, usize> = BTreeMap::new();
        for run in &records.executions {
            let request_id = run.request_id.clone();
            *runs.entry(run.request_id.as_str()).or_default() += 1;
            if run.kv_owner.as_deref().is_some_and(|owner| owner != run.request_id) {
                found.push(Violation::ForeignKv { request_id: request_id.clone() });
            }
            match sent.get(run.request_id.as_str()) {
                Some(outcome) if outcome.content == run.content => {
                    if !services_of(outcome).contains(&run.service) {
                        found.push(Violation::WrongService { request_id, service: run.service.clone() });
                    }
                }
                _ => found.push(Violation::UnknownRequest { request_id }),
            }
        }
        for (request_id, runs) in runs {
            let Some(outcome) = sent.get(request_id).filter(|outcome| !outcome.idempotent) else {
                continue;
            };
            if runs > 1 {
                found.push(Violation::ExecutedTwice { request_id: request_id.to_owned(), runs });
            }
            if outcome.promises_not_executed() {
                found.push(Violation::ExecutedAfterRefusal { request_id: request_id.to_owned() });
            }
        }
        found
    }
}
