//! The platform API that lists the servers: a state machine without I/O, and [`PlatformHost`], which serves
//! it on a socket.

mod host;

pub use host::{PlatformHost, PlatformRequest};

use crate::model_server::Stage;
use crate::wire::{Request, Response};
use serde::Serialize;
use serde_json::json;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;

/// Whether a listed server accepts requests. The encoded names are fixed by the protocol.
#[derive(Clone, Copy, Debug, Serialize, PartialEq, Eq)]
#[serde(rename_all = "lowercase")]
pub enum InstanceState {
    /// The server accepts requests.
    Ready,
    /// The server is being shut down.
    Draining,
}

/// A model of a listed server.
#[derive(Clone, Debug, Serialize, PartialEq, Eq)]
#[serde(rename_all = "PascalCase")]
pub struct InstanceModel {
    /// The name of the model.
    pub name: String,
    /// The version of the model weights.
    pub version: u64,
    /// The names of the loaded adapters.
    pub adapters: Vec<String>,
}

/// One listed server. The encoded names are fixed by the protocol.
#[derive(Clone, Debug, Serialize, PartialEq, Eq)]
#[serde(rename_all = "PascalCase")]
pub struct InstanceEntry {
    /// The service that the server belongs to.
    pub service: String,
    /// The address that the server listens on.
    pub address: SocketAddr,
    /// The zone of the server.
    pub zone: String,
    /// The version of the server software.
    pub version: String,
    /// The number of requests that the server executes concurrently.
    pub slots: u32,
    /// Whether the server accepts requests.
    pub state: InstanceState,
    /// The remaining warm-up time, in ms.
    #[serde(rename = "ColdLeftMs")]
    pub warmup_remaining_ms: u64,
    /// The stage, for a model server.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub stage: Option<String>,
    /// The loaded models, for a model server.
    #[serde(skip_serializing_if = "Vec::is_empty")]
    pub models: Vec<InstanceModel>,
    /// The id of the server instance.
    pub id: String,
}

impl InstanceEntry {
    /// A ready server of a plain service.
    pub fn plain(id: &str, service: &str, address: SocketAddr, zone: &str, slots: u32) -> InstanceEntry {
        InstanceEntry {
            service: service.to_owned(),
            address,
            zone: zone.to_owned(),
            version: "v1".to_owned(),
            slots,
            state: InstanceState::Ready,
            warmup_remaining_ms: 0,
            stage: None,
            models: Vec::new(),
            id: id.to_owned(),
        }
    }

    /// The same entry as a model server in the given stage, with one model.
    pub fn with_stage(mut self, stage: Stage, model: &str, version: u64) -> InstanceEntry {
        self.stage = Some(stage.as_str().to_owned());
        self.models = vec![InstanceModel { name: model.to_owned(), version, adapters: Vec::new() }];
        self
    }
}

#[derive(Clone, Debug)]
enum Change {
    Put(Box<InstanceEntry>),
    Remove(String),
}

/// The lag, rate limit and page size of the platform.
#[derive(Clone, Debug)]
pub struct PlatformParameters {
    /// How long a change takes to appear in the list. Default 50 ms.
    pub lag: Duration,
    /// The rate limit, in requests per second. Requests beyond it get status 429. Default 50.
    pub rate_per_s: f64,
    /// The maximum number of entries on one page. Default 50.
    pub page_size: usize,
}

impl Default for PlatformParameters {
    fn default() -> Self {
        PlatformParameters { lag: Duration::from_millis(50), rate_per_s: 50.0, page_size: 50 }
    }
}

/// The list of servers: the actual state, and the state that requests see, which lags behind.
#[derive(Debug)]
pub struct Platform {
    parameters: PlatformParameters,
    pending_changes: Vec<(Duration, Change)>,
    actual: BTreeMap<String, InstanceEntry>,
    visible: BTreeMap<String, InstanceEntry>,
    /// The available tokens of the rate limit's token bucket.
    available_tokens: f64,
    refilled_at: Duration,
}

impl Platform {
    /// An empty list.
    pub fn new(parameters: PlatformParameters) -> Platform {
        Platform {
            available_tokens: parameters.rate_per_s.max(1.0),
            parameters,
            pending_changes: Vec::new(),
            actual: BTreeMap::new(),
            visible: BTreeMap::new(),
            refilled_at: Duration::ZERO,
        }
    }

    /// Adds an entry, or replaces the entry with the same id.
    pub fn put(&mut self, entry: InstanceEntry, now: Duration) {
        self.actual.insert(entry.id.clone(), entry.clone());
        self.pending_changes.push((now, Change::Put(Box::new(entry))));
    }

    /// Changes the entry with this id, if there is one.
    pub fn change(&mut self, id: &str, now: Duration, change: impl FnOnce(&mut InstanceEntry)) {
        if let Some(mut entry) = self.actual.get(id).cloned() {
            change(&mut entry);
            self.put(entry, now);
        }
    }

    /// Updates the stage of a model server if it has changed.
    pub fn update_stage(&mut self, id: &str, stage: &str, now: Duration) {
        let has_changed = self.actual.get(id).is_some_and(|entry| entry.stage.as_deref() != Some(stage));
        if has_changed {
            self.change(id, now, |entry| entry.stage = Some(stage.to_owned()));
        }
    }

    /// Removes the entry with this id.
    pub fn remove(&mut self, id: &str, now: Duration) {
        self.actual.remove(id);
        self.pending_changes.push((now, Change::Remove(id.to_owned())));
    }

    /// The response to a request: one page of the list for `GET /instances`, 404 for any other request, 429
    /// beyond the rate limit.
    pub fn handle_request(&mut self, request: &Request, now: Duration) -> Response {
        if request.method != "GET" || request.path() != "/instances" {
            return Response::json(404, &json!({"Error": "no such call"}));
        }
        if !self.take_rate_token(now) {
            return Response::json(429, &json!({"Error": "too many calls"}));
        }
        self.apply_due_changes(now);
        let first = match request.query("PageToken") {
            None | Some("") => 0,
            Some(token) => match token.strip_prefix("p-").and_then(|index| index.parse().ok()) {
                Some(index) => index,
                None => return Response::json(400, &json!({"Error": "no such page"})),
            },
        };
        let zone = request.query("Zone");
        let in_zone = self.visible.values().filter(|entry| zone.is_none_or(|zone| zone == entry.zone));
        let entries: Vec<&InstanceEntry> = in_zone.collect();
        let page: Vec<&InstanceEntry> =
            entries.iter().skip(first).take(self.parameters.page_size).copied().collect();
        let next = first + page.len();
        let next_token = (next < entries.len()).then(|| format!("p-{next}"));
        Response::json(200, &json!({"Instances": page, "NextToken": next_token}))
    }

    /// Takes a token from the rate limit's bucket; false if the bucket is empty.
    fn take_rate_token(&mut self, now: Duration) -> bool {
        let elapsed = now.saturating_sub(self.refilled_at).as_secs_f64();
        let max_tokens = self.parameters.rate_per_s.max(1.0);
        self.available_tokens =
            (self.available_tokens + elapsed * self.parameters.rate_per_s).min(max_tokens);
        self.refilled_at = now;
        if self.available_tokens < 1.0 {
            return false;
        }
        self.available_tokens -= 1.0;
        true
    }

    /// Applies the changes that are older than the lag to the list that requests see.
    fn apply_due_changes(&mut self, now: Duration) {
        let lag = self.parameters.lag;
        for (_, change) in self.pending_changes.extract_if(.., |(at, _)| *at + lag <= now) {
            match change {
                Change::Put(entry) => {
                    self.visible.insert(entry.id.clone(), *entry);
                }
                Change::Remove(id) => {
                    self.visible.remove(&id);
                }
            }
        }
    }
}
