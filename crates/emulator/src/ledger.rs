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
pub struct Run {
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
    pub memory_of: Option<String>,
}

/// A server has answered a request whole, or given it up.
#[derive(Clone, Debug, PartialEq)]
pub struct WorkEnd {
    /// Since the start of the world.
    pub at: Duration,
    /// The id of the client's try.
    pub request_id: String,
}

/// An order as a server got it.
#[derive(Clone, Debug, PartialEq)]
pub struct OrderSeen {
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
    Twice {
        /// The request.
        request_id: String,
        /// How often it ran.
        runs: usize,
    },
    /// A request ran that no client sent, or not as it was sent.
    Unasked {
        /// The request.
        request_id: String,
    },
    /// A request was told that it has not run, and ran.
    Refused {
        /// The request.
        request_id: String,
    },
    /// A request went on from the memory of another.
    Mixed {
        /// The request.
        request_id: String,
    },
    /// A service ran a request that was not for it.
    Route {
        /// The request.
        request_id: String,
        /// The service.
        service: String,
    },
}

#[derive(Debug, Default)]
struct Books {
    arrivals: Vec<Arrival>,
    runs: Vec<Run>,
    ends: Vec<WorkEnd>,
    orders: Vec<OrderSeen>,
}

/// The record of a world; clones share it.
#[derive(Clone, Debug, Default)]
pub struct Ledger {
    books: Arc<Mutex<Books>>,
}

impl Ledger {
    /// An empty record.
    pub fn new() -> Ledger {
        Ledger::default()
    }

    fn books(&self) -> MutexGuard<'_, Books> {
        self.books.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Adds an arrival.
    pub fn arrived(&self, arrival: Arrival) {
        self.books().arrivals.push(arrival);
    }

    /// Adds a run.
    pub fn ran(&self, run: Run) {
        self.books().runs.push(run);
    }

    /// Adds the end of a server's work.
    pub fn ended(&self, end: WorkEnd) {
        self.books().ends.push(end);
    }

    /// The ends of all work so far.
    pub fn ends(&self) -> Vec<WorkEnd> {
        self.books().ends.clone()
    }

    /// Adds an order.
    pub fn ordered(&self, order: OrderSeen) {
        self.books().orders.push(order);
    }

    /// All arrivals so far.
    pub fn arrivals(&self) -> Vec<Arrival> {
        self.books().arrivals.clone()
    }

    /// All runs so far.
    pub fn runs(&self) -> Vec<Run> {
        self.books().runs.clone()
    }

    /// All orders so far.
    pub fn orders(&self) -> Vec<OrderSeen> {
        self.books().orders.clone()
    }

    /// The arrivals of one request.
    pub fn arrivals_of(&self, request_id: &str) -> Vec<Arrival> {
        let books = self.books();
        books
            .arrivals
            .iter()
            .filter(|arrival| arrival.request_id.as_deref() == Some(request_id))
            .cloned()
            .collect()
    }

    /// The runs of one request.
    pub fn runs_of(&self, request_id: &str) -> Vec<Run> {
        self.books().runs.iter().filter(|run| run.request_id == request_id).cloned().collect()
    }

    /// What is wrong, given all that the clients sent and got. `services_of` tells where a request may run.
    pub fn violations(
        &self, outcomes: &[Outcome], services_of: impl Fn(&Outcome) -> BTreeSet<String>,
    ) -> Vec<Violation> {
        let sent: BTreeMap<&str, &Outcome> =
            outcomes.iter().map(|outcome| (outcome.request_id.as_str(), outcome)).collect();
        let books = self.books();
        let mut found = Vec::new();
        let mut runs: BTreeMap<&str, usize> = BTreeMap::new();
        for run in &books.runs {
            let request_id = run.request_id.clone();
            *runs.entry(run.request_id.as_str()).or_default() += 1;
            if run.memory_of.as_deref().is_some_and(|owner| owner != run.request_id) {
                found.push(Violation::Mixed { request_id: request_id.clone() });
            }
            match sent.get(run.request_id.as_str()) {
                Some(outcome) if outcome.content == run.content => {
                    if !services_of(outcome).contains(&run.service) {
                        found.push(Violation::Route { request_id, service: run.service.clone() });
                    }
                }
                _ => found.push(Violation::Unasked { request_id }),
            }
        }
        for (request_id, runs) in runs {
            let Some(outcome) = sent.get(request_id).filter(|outcome| !outcome.idempotent) else {
                continue;
            };
            if runs > 1 {
                found.push(Violation::Twice { request_id: request_id.to_owned(), runs });
            }
            if outcome.promises_not_run() {
                found.push(Violation::Refused { request_id: request_id.to_owned() });
            }
        }
        found
    }
}
