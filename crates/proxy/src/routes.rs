//! The routes of a configuration in force.

use crate::http::RequestHead;
use crate::inbound::error_response::RequestError;
use lugwharf_config::{Configuration, Route, RouteTable, Service};
use lugwharf_routing::{TrafficSplitter, weighted_index};
use std::cell::RefCell;
use std::collections::BTreeMap;

/// A snapshot of one configuration. Each request uses the snapshot that was in force when it started.
#[derive(Debug)]
pub struct Routes {
    configuration: Configuration,
    table: RouteTable,
    /// The splitter of each route with a traffic split, by its name.
    splitters: BTreeMap<String, RefCell<TrafficSplitter>>,
}

impl Routes {
    /// Builds the snapshot. `first_sample` gives a random number in `0.0..1.0` for the splitter of each route, in the order of
    /// the configuration.
    pub fn new(configuration: Configuration, first_sample: impl Fn() -> f64) -> Routes {
        let table = RouteTable::new(&configuration);
        let split = configuration.routes.iter().filter(|route| !route.traffic_split.is_empty());
        let splitters =
            split.map(|route| (route.name.clone(), RefCell::new(TrafficSplitter::new(first_sample()))));
        Routes { table, splitters: splitters.collect(), configuration }
    }

    /// The route that matches a request by its host and path.
    ///
    /// # Errors
    /// [`RequestError::Malformed`] unless the request has exactly one `Host` and a path; [`RequestError::NoRoute`] if no route
    /// matches.
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

    /// Picks the service of one request on a route: the route's own, or one of its traffic split by weight. `None` if no weight
    /// is above 0.
    pub fn target<'a>(&self, route: &'a Route) -> Option<&'a str> {
        if let Some(service) = &route.service {
            return Some(service);
        }
        let sample = self.splitters.get(&route.name)?.borrow_mut().next_sample();
        let index = weighted_index(route.traffic_split.iter().map(|split| split.weight), sample)?;
        route.traffic_split.get(index).map(|split| split.service.as_str())
    }

    /// The version of the configuration.
    pub fn version(&self) -> u64 {
        self.configuration.version
    }

    /// The definition of a service.
    pub fn service(&self, name: &str) -> Option<&Service> {
        self.configuration.service(name)
    }
}
