//! KV caches between servers.

/// The KV cache of a prefilled prompt on its way from one server to another.
#[derive(Clone, Debug, PartialEq)]
pub struct KvContents {
    /// The request that it was prefilled for.
    pub request_id: String,
    /// The named segments of the prompt: id and tokens of each.
    pub segments: Vec<(u64, u64)>,
    /// Tokens of the complete prompt.
    pub tokens: u64,
    /// The version of the weights that prefilled it.
    pub version: u64,
    /// Where the prefill server is.
    pub location: Location,
}

/// Where a server is.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Location {
    /// The zone.
    pub zone: String,
    /// The region.
    pub region: String,
}
