//! The options of the `Connection` header fields of a message.

use crate::http::head::Headers;
use crate::http::write::is_hop_by_hop;
use std::collections::HashSet;

/// The names of the header fields that a message's `Connection` fields reserve for this connection (RFC 9110,
/// section 7.6.1), collected once, so that the cost of a head grows with its size alone.
#[derive(Debug, Default)]
pub struct ConnectionOptions {
    /// The options in lower case.
    options: HashSet<Vec<u8>>,
}

impl ConnectionOptions {
    /// Collects the options of a message.
    pub fn of(headers: &Headers) -> ConnectionOptions {
        let items = headers.all("connection").flat_map(|value| value.split(|byte| *byte == b','));
        let options = items.map(|item| item.trim_ascii().to_ascii_lowercase());
        ConnectionOptions { options: options.filter(|option| !option.is_empty()).collect() }
    }

    /// Returns whether a header field may be forwarded: it concerns more than this connection.
    pub fn may_forward(&self, name: &str) -> bool {
        let is_option =
            !self.options.is_empty() && self.options.contains(name.to_ascii_lowercase().as_bytes());
        !is_option && !is_hop_by_hop(name)
    }
}
