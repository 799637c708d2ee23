//! The platform, which lists servers: a state machine without I/O, and [`PlatformHost`], which serves it.

mod host;

pub use host::{PlatformHost, PlatformRequest};

use crate::model_server::Stage;
use crate::wire::{Request, Response};
use serde::Serialize;
use serde_json::json;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;

/// Whether a listed server accepts requests. Encoded names are fixed by the protocol.
#[derive(Clone, Copy, Debug, Serialize, PartialEq, Eq)]
#[serde(rename_all = "lowercase")]
pub enum InstanceState {
    /// It accepts requests.
    Ready,
    /// It is being shut down.
    Draining,
}

/// A model of a listed server.
#[derive(Clone, Debug, Serialize, PartialEq, Eq)]
#[serde(rename_all = "PascalCase")]
pub struct InstanceModel {
    /// Its name.
    pub name: String,
    /// The version of its weights.
    pub version: u64,
    /// Loaded adapters.
    pub adapters: Vec<String>,
}

/// One listed server. Encoded names are fixed by the protocol.
#[derive(Clone, Debug, Serialize, PartialEq, Eq)]
#[serde(rename_all = "PascalCase")]
pub struct InstanceEntry {
    /// The service.
    pub service: String,
    /// Where the server listens.
    pub address: SocketAddr,
    /// Its zone.
    pub zone: String,
    /// The version of its software.
    pub version: String,
    /// Requests that it executes at once.
    pub slots: u32,
    /// Whether it accepts requests.
    pub state: InstanceState,
    /// How much longer it warms up, in ms.
    #[serde(rename = "ColdLeftMs")]
    pub warmup_remaining_ms: u64,
    /// The stage of a model server.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub stage: Option<String>,
    /// The models of a model server.
    #[serde(skip_serializing_if = "Vec::is_empty")]
    pub models: Vec<InstanceModel>,
    /// Its incarnation.
    pub id: String,
}

impl InstanceEntry {
    /// A ready server without stages.
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

    /// The same entry as a model server of a stage, with one model.
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

/// Lag, rate limit and page size of the platform.
#[derive(Clone, Debug)]
pub struct PlatformParameters {
    /// How much later than a change the list shows it. Default 50 ms.
    pub lag: Duration,
    /// The rate limit, in requests a second; further ones get 429. Default 50.
    pub rate_per_s: f64,
    /// Entries on one page. Default 50.
    pub page_size: usize,
}

impl Default for PlatformParameters {
    fn default() -> Self {
        PlatformParameters { lag: Duration::from_millis(50), rate_per_s: 50.0, page_size: 50 }
    }
}

/// The list as it is and as it is shown.
#[derive(Debug)]
pub struct Platform {
    parameters: PlatformParameters,
    pending: Vec<(Duration, Change)>,
    actual: BTreeMap<String, InstanceEntry>,
    shown: BTreeMap<String, InstanceEntry>,
    /// The token bucket of the rate limit.
    available_tokens: f64,
    refilled_at: Duration,
}

impl Platform {
    /// An empty list.
    pub fn new(parameters: PlatformParameters) -> Platform {
        Platform {
            available_tokens: parameters.rate_per_s.max(1.0),
            parameters,
            pending: Vec::new(),
            actual: BTreeMap::new(),
            shown: BTreeMap::new(),
            refilled_at: Duration::ZERO,
        }
    }

    /// Adds an entry, or replaces that of the same id.
    pub fn put(&mut self, entry: InstanceEntry, now: Duration) {
        self.actual.insert(entry.id.clone(), entry.clone());
        self.pending.push((now, Change::Put(Box::new(entry))));
    }

    /// Changes an entry; does nothing if there is none.
    pub fn change(&mut self, id: &str, now: Duration, change: impl FnOnce(&mut InstanceEntry)) {
        if let Some(mut entry) = self.actual.get(id).cloned() {
            change(&mut entry);
            self.put(entry, now);
        }
    }

    /// Updates the stage of a model server, if it has changed.
    pub fn update_stage(&mut self, id: &str, stage: &str, now: Duration) {
        let is_other = self.actual.get(id).is_some_and(|entry| entry.stage.as_deref() != Some(stage));
        if is_other {
            self.change(id, now, |entry| entry.stage = Some(stage.to_owned()));
        }
    }

    /// Removes an entry.
    pub fn remove(&mut self, id: &str, now: Duration) {
        self.actual.remove(id);
        self.pending.push((now, Change::Remove(id.to_owned())));
    }

    /// Answers `GET /instances`, page by page; 404 for other requests, 429 beyond the rate limit.
    pub fn call(&mut self, request: &Request, now: Duration) -> Response {
        if request.method != "GET" || request.path() != "/instances" {
            return Response::json(404, &json!({"Error": "no such call"}));
        }
        if !self.allow(now) {
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
        let fitting = self.shown.values().filter(|entry| zone.is_none_or(|zone| zone == entry.zone));
        let entries: Vec<&InstanceEntry> = fitting.collect();
        let page: Vec<&InstanceEntry> =
            entries.iter().skip(first).take(self.parameters.page_size).copied().collect();
        let next = first + page.len();
        let token = (next < entries.len()).then(|| format!("p-{next}"));
        Response::json(200, &json!({"Instances": page, "NextToken": token}))
    }

    fn allow(&mut self, now: Duration) -> bool {
        let elapsed = now.saturating_sub(self.refilled_at).as_secs_f64();
        let most = self.parameters.rate_per_s.max(1.0);
        self.available_tokens = (self.available_tokens + elapsed * self.parameters.rate_per_s).min(most);
        self.refilled_at = now;
        if self.available_tokens < 1.0 {
            return false;
        }
        self.available_tokens -= 1.0;
        true
    }

    fn apply_due_changes(&mut self, now: Duration) {
        let lag = self.parameters.lag;
        for (_, change) in self.pending.extract_if(.., |(at, _)| *at + lag <= now) {
            match change {
                Change::Put(entry) => {
                    self.shown.insert(entry.id.clone(), *entry);
                }
                Change::Remove(id) => {
                    self.shown.remove(&id);
                }
            }
        }
    }
}
