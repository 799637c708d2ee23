//! The log of all servers of a environment: arrivals, executions, completions and orders, and the check of promises against it.

use crate::client::AttemptOutcome;
use crate::header_names;
use crate::wire::Headers;
use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

/// The arrival of a request at a server.
#[derive(Clone, Debug)]
pub struct Arrival {
    /// Since the start of the environment.
    pub at: Duration,
    /// The server's incarnation.
    pub instance: String,
    /// Its service.
    pub service: String,
    /// Where the server listens.
    pub address: SocketAddr,
    /// The id of the client's attempt, if any.
    pub request_id: Option<String>,
    /// The method.
    pub method: String,
    /// Path and query.
    pub target: String,
    /// The headers.
    pub headers: Headers,
    /// Hash of method, target and body.
    pub content_hash: u64,
    /// Bytes of the body.
    pub body_bytes: usize,
}

impl Arrival {
    /// Whether the request is for the prefill phase only.
    pub fn is_prefill(&self) -> bool {
        self.headers.get(header_names::SERVING_STAGE) == Some("prefill")
    }
}

/// The start of an execution.
#[derive(Clone, Debug)]
pub struct Execution {
    /// Since the start of the environment.
    pub at: Duration,
    /// The server's incarnation.
    pub instance: String,
    /// Its service.
    pub service: String,
    /// The id of the client's attempt.
    pub request_id: String,
    /// Hash of method, target and body.
    pub content_hash: u64,
    /// The request whose KV cache it goes on from, if one was fetched.
    pub kv_owner: Option<String>,
}

/// The end of a request at a server, completely answered or abandoned.
#[derive(Clone, Debug, PartialEq)]
pub struct Completion {
    /// Since the start of the environment.
    pub at: Duration,
    /// The id of the client's attempt.
    pub request_id: String,
}

/// An order that a server received.
#[derive(Clone, Debug, PartialEq)]
pub struct ReceivedOrder {
    /// Since the start of the environment.
    pub at: Duration,
    /// The server's incarnation.
    pub instance: String,
    /// The body of the order.
    pub body: String,
}

/// A promise that was broken (`docs/PROMISES.md`).
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Violation {
    /// TWICE: a request that may be executed once was executed more often.
    ExecutedTwice {
        /// The request.
        request_id: String,
        /// How often it was executed.
        runs: usize,
    },
    /// UNASKED: a request was executed that no client sent, or not as it was sent.
    UnknownRequest {
        /// The request.
        request_id: String,
    },
    /// REFUSED: a response promised that a request was not executed, and it was.
    ExecutedAfterRefusal {
        /// The request.
        request_id: String,
    },
    /// MIXED: an execution went on from the KV cache of another request.
    ForeignKv {
        /// The request.
        request_id: String,
    },
    /// ROUTE: a service executed a request that was not for it.
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

/// The log of a environment; clones share it.
#[derive(Clone, Debug, Default)]
pub struct RequestLog {
    records: Arc<Mutex<Records>>,
}

impl RequestLog {
    /// An empty log.
    pub fn new() -> RequestLog {
        RequestLog::default()
    }

    fn records(&self) -> MutexGuard<'_, Records> {
        self.records.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Records an arrival.
    pub fn record_arrival(&self, arrival: Arrival) {
        self.records().arrivals.push(arrival);
    }

    /// Records the start of an execution.
    pub fn record_execution(&self, execution: Execution) {
        self.records().executions.push(execution);
    }

    /// Records the end of a request at a server.
    pub fn record_completion(&self, end: Completion) {
        self.records().completions.push(end);
    }

    /// All completions so far.
    pub fn completions(&self) -> Vec<Completion> {
        self.records().completions.clone()
    }

    /// Records an order.
    pub fn record_order(&self, order: ReceivedOrder) {
        self.records().orders.push(order);
    }

    /// All arrivals so far.
    pub fn arrivals(&self) -> Vec<Arrival> {
        self.records().arrivals.clone()
    }

    /// All executions so far.
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

    /// The executions of one request.
    pub fn executions_of(&self, request_id: &str) -> Vec<Execution> {
        self.records().executions.iter().filter(|run| run.request_id == request_id).cloned().collect()
    }

    /// The promises that were broken, given the outcomes of all attempts of clients. `services_of` names the services that may
    /// execute a request.
    pub fn violations(
        &self, outcomes: &[AttemptOutcome], services_of: impl Fn(&AttemptOutcome) -> BTreeSet<String>,
    ) -> Vec<Violation> {
        let sent: BTreeMap<&str, &AttemptOutcome> =
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
                Some(outcome) if outcome.content_hash == run.content_hash => {
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
