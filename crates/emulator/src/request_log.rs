//! The log of all servers of an environment: arrivals, executions, completions and orders.
//! [`RequestLog::violations`] checks the fleet's guarantees (`docs/PROMISES.md`) against the log.

use crate::client::AttemptOutcome;
use crate::header_names;
use crate::wire::Headers;
use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

/// A request that arrived at a server.
#[derive(Clone, Debug)]
pub struct Arrival {
    /// The time since the start of the environment.
    pub at: Duration,
    /// The id of the server instance.
    pub instance: String,
    /// The service of the server.
    pub service: String,
    /// The address that the server listens on.
    pub address: SocketAddr,
    /// The id of the client's attempt, if any.
    pub request_id: Option<String>,
    /// The HTTP method.
    pub method: String,
    /// The path and query.
    pub target: String,
    /// The headers.
    pub headers: Headers,
    /// The hash of method, target and body.
    pub content_hash: u64,
    /// The length of the body in bytes.
    pub body_bytes: usize,
}

impl Arrival {
    /// Whether the request asks for the prefill stage only.
    pub fn is_prefill(&self) -> bool {
        self.headers.get(header_names::SERVING_STAGE) == Some("prefill")
    }
}

/// The start of the execution of a request.
#[derive(Clone, Debug)]
pub struct Execution {
    /// The time since the start of the environment.
    pub at: Duration,
    /// The id of the server instance.
    pub instance: String,
    /// The service of the server.
    pub service: String,
    /// The id of the client's attempt.
    pub request_id: String,
    /// The hash of method, target and body.
    pub content_hash: u64,
    /// The id of the request that the fetched KV cache was prefilled for; `None` if no KV cache was fetched.
    pub kv_owner: Option<String>,
}

/// The end of a request at a server: by a complete response, by truncation of a stream or by cancellation.
#[derive(Clone, Debug, PartialEq)]
pub struct Completion {
    /// The time since the start of the environment.
    pub at: Duration,
    /// The id of the client's attempt.
    pub request_id: String,
}

/// An order that a server received.
#[derive(Clone, Debug, PartialEq)]
pub struct ReceivedOrder {
    /// The time since the start of the environment.
    pub at: Duration,
    /// The id of the server instance.
    pub instance: String,
    /// The body of the order.
    pub body: String,
}

/// A violated guarantee of the fleet. The names in capitals are those of `docs/PROMISES.md`.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Violation {
    /// TWICE: a request that may be executed at most once was executed several times.
    ExecutedTwice {
        /// The id of the request.
        request_id: String,
        /// The number of executions.
        runs: usize,
    },
    /// UNASKED: a server executed a request that no client sent, or a request whose method, target or body
    /// differs from what the client sent.
    UnknownRequest {
        /// The id of the request.
        request_id: String,
    },
    /// REFUSED: a request was executed although a response promised that it was not.
    ExecutedAfterRefusal {
        /// The id of the request.
        request_id: String,
    },
    /// MIXED: an execution used the KV cache that was prefilled for another request.
    ForeignKv {
        /// The id of the request.
        request_id: String,
    },
    /// ROUTE: a service executed a request whose route does not lead to that service.
    WrongService {
        /// The id of the request.
        request_id: String,
        /// The service that executed the request.
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

/// The log of an environment; clones share the same records.
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
    pub fn record_completion(&self, completion: Completion) {
        self.records().completions.push(completion);
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
        self.records()
            .executions
            .iter()
            .filter(|execution| execution.request_id == request_id)
            .cloned()
            .collect()
    }

    /// Returns the violations in the log. `outcomes` must contain the outcomes of all attempts of clients.
    /// `services_of` returns the services that may execute a request.
    pub fn violations(
        &self, outcomes: &[AttemptOutcome], services_of: impl Fn(&AttemptOutcome) -> BTreeSet<String>,
    ) -> Vec<Violation> {
        let sent: BTreeMap<&str, &AttemptOutcome> =
            outcomes.iter().map(|outcome| (outcome.request_id.as_str(), outcome)).collect();
        let records = self.records();
        let mut found = Vec::new();
        let mut execution_counts: BTreeMap<&str, usize> = BTreeMap::new();
        for execution in &records.executions {
            let request_id = execution.request_id.clone();
            *execution_counts.entry(execution.request_id.as_str()).or_default() += 1;
            if execution.kv_owner.as_deref().is_some_and(|owner| owner != execution.request_id) {
                found.push(Violation::ForeignKv { request_id: request_id.clone() });
            }
            match sent.get(execution.request_id.as_str()) {
                Some(outcome) if outcome.content_hash == execution.content_hash => {
                    if !services_of(outcome).contains(&execution.service) {
                        found
                            .push(Violation::WrongService { request_id, service: execution.service.clone() });
                    }
                }
                _ => found.push(Violation::UnknownRequest { request_id }),
            }
        }
        for (request_id, runs) in execution_counts {
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
