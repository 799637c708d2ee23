//! Lookup of the route of a request, by host and longest path prefix.

use crate::{Configuration, Route};
use std::collections::HashMap;

/// An index of the routes of one configuration.
#[derive(Clone, Debug, Default)]
pub struct RouteTable {
    /// The indices of the routes of each host, the longest prefix first. Hosts are in lower case.
    by_host: HashMap<String, Vec<usize>>,
}

impl RouteTable {
    /// Builds the index for `configuration`.
    pub fn new(configuration: &Configuration) -> RouteTable {
        let mut by_host: HashMap<String, Vec<usize>> = HashMap::new();
        for (index, route) in configuration.routes.iter().enumerate() {
            by_host.entry(route.host.to_ascii_lowercase()).or_default().push(index);
        }
        for indices in by_host.values_mut() {
            indices.sort_by_key(|&index| std::cmp::Reverse(configuration.routes[index].path_prefix.len()));
        }
        RouteTable { by_host }
    }

    /// The index of the route for `host`, the value of the `Host` header, and `path`, which may have a query.
    /// `configuration` must be the configuration that the table was built for.
    pub fn find(&self, configuration: &Configuration, host: &str, path: &str) -> Option<usize> {
        let host = host_name(host);
        let indices = match self.by_host.get(host) {
            Some(indices) => indices,
            None => self.by_host.get(&host.to_ascii_lowercase())?,
        };
        let path = path.split('?').next().unwrap_or(path);
        let has_prefix = |route: &Route| path.starts_with(route.path_prefix.as_str());
        indices.iter().copied().find(|&index| configuration.routes.get(index).is_some_and(has_prefix))
    }
}

/// The host without the port.
fn host_name(host: &str) -> &str {
    match host.rsplit_once(':') {
        Some((name, port)) if port.bytes().all(|byte| byte.is_ascii_digit()) => name,
        _ => host,
    }
}
