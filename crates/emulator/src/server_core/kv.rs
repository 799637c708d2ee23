//! KV caches that are transferred between servers.

/// The KV cache of a prefilled prompt, as one server hands it to another.
#[derive(Clone, Debug, PartialEq)]
pub struct KvContents {
    /// The id of the request that the prompt was prefilled for.
    pub request_id: String,
    /// The named segments of the prompt: the id and the number of tokens of each.
    pub segments: Vec<(u64, u64)>,
    /// The number of tokens of the complete prompt.
    pub tokens: u64,
    /// The version of the model weights that prefilled the prompt.
    pub version: u64,
    /// The location of the prefill server.
    pub location: Location,
}

/// The location of a server.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Location {
    /// The zone.
    pub zone: String,
    /// The region.
    pub region: String,
}
