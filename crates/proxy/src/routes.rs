//! A configuration in force, with what is looked up in it.

use lugwharf_config::{Configuration, Route, RouteTable, Service};
use lugwharf_routing::{TrafficSplitter, by_weight};
use std::cell::RefCell;
use std::collections::BTreeMap;

/// One configuration, never changed. Requests hold the one that they began with.
#[derive(Debug)]
pub struct Routes {
    configuration: Configuration,
    table: RouteTable,
    /// The lots of each route that is split, by its name.
    splits: BTreeMap<String, RefCell<TrafficSplitter>>,
}

impl Routes {
    /// Prepares a configuration. `first_sample` gives a random number from 0 to below 1 for each split.
    pub fn new(configuration: Configuration, first_sample: impl Fn() -> f64) -> Routes {
        let table = RouteTable::new(&configuration);
        let split = configuration.routes.iter().filter(|route| !route.traffic_split.is_empty());
        let splits =
            split.map(|route| (route.name.clone(), RefCell::new(TrafficSplitter::new(first_sample()))));
        Routes { table, splits: splits.collect(), configuration }
    }

    /// The service of one request on a route, by weight; `None` if no weight is above 0.
    pub fn target<'a>(&self, route: &'a Route) -> Option<&'a str> {
        if let Some(service) = &route.service {
            return Some(service);
        }
        let random_fraction = self.splits.get(&route.name)?.borrow_mut().next_sample();
        let index = by_weight(route.traffic_split.iter().map(|split| split.weight), random_fraction)?;
        route.traffic_split.get(index).map(|split| split.service.as_str())
    }

    /// Its number.
    pub fn version(&self) -> u64 {
        self.configuration.version
    }

    /// The route of a request.
    pub fn find(&self, host: &str, target: &str) -> Option<&Route> {
        let index = self.table.find(&self.configuration, host, target)?;
        self.configuration.routes.get(index)
    }

    /// A service.
    pub fn service(&self, name: &str) -> Option<&Service> {
        self.configuration.service(name)
    }
}
