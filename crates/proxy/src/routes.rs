//! The routes of one version of the configuration.

use crate::http::RequestHead;
use crate::inbound::error_response::RequestError;
use lugwharf_config::{Configuration, Route, RouteTable, Service};
use lugwharf_routing::{TrafficSplitter, weighted_index};
use std::cell::RefCell;
use std::collections::BTreeMap;

/// A snapshot of one configuration. A request uses the snapshot that was in force when its execution started.
#[derive(Debug)]
pub struct Routes {
    configuration: Configuration,
    table: RouteTable,
    /// The traffic splitter of each route that has a traffic split, by the name of the route.
    splitters: BTreeMap<String, RefCell<TrafficSplitter>>,
}

impl Routes {
    /// Builds the snapshot. `first_sample` is called once for each route with a traffic split, in the order
    /// of the configuration, and returns a random number in `0.0..1.0`.
    pub fn new(configuration: Configuration, first_sample: impl Fn() -> f64) -> Routes {
        let table = RouteTable::new(&configuration);
        let split = configuration.routes.iter().filter(|route| !route.traffic_split.is_empty());
        let splitters =
            split.map(|route| (route.name.clone(), RefCell::new(TrafficSplitter::new(first_sample()))));
        Routes { table, splitters: splitters.collect(), configuration }
    }

    /// Finds the route that matches the host and path of a request.
    ///
    /// # Errors
    /// [`RequestError::Malformed`] unless the request has exactly one `Host` and a path;
    /// [`RequestError::NoRoute`] if no route matches.
    pub fn match_request(&self, head: &RequestHead) -> Result<&Route, RequestError> {
        let mut hosts = head.headers.all("host");
        let host = hosts.next().and_then(|host| std::str::from_utf8(host).ok());
        let host = host.ok_or(RequestError::Malformed)?;
        let target = head.target();
        if hosts.next().is_some() || !target.starts_with('/') {
            return Err(RequestError::Malformed);
        }
        let index = self.table.find(&self.configuration, host.trim(), target);
        index.and_then(|index| self.configuration.routes.get(index)).ok_or(RequestError::NoRoute)
    }

    /// Selects the service for one request on a route: the route's only service, or one of its traffic split,
    /// chosen by weight. Returns `None` if no weight is above 0.
    pub fn select_service<'a>(&self, route: &'a Route) -> Option<&'a str> {
        if let Some(service) = &route.service {
            return Some(service);
        }
        let sample = self.splitters.get(&route.name)?.borrow_mut().next_sample();
        let index = weighted_index(route.traffic_split.iter().map(|split| split.weight), sample)?;
        route.traffic_split.get(index).map(|split| split.service.as_str())
    }

    /// Returns the version of the configuration.
    pub fn version(&self) -> u64 {
        self.configuration.version
    }

    /// Returns the definition of a service.
    pub fn service(&self, name: &str) -> Option<&Service> {
        self.configuration.service(name)
    }
}
