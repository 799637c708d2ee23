//! The states of one depth of a breadth-first search.

/// States of a frontier that a thread takes at a time.
const STATES_PER_CHUNK: usize = 256;

/// States with their fingerprints.
pub type FrontierChunk<State> = Vec<(u64, State)>;

/// The states of one depth, and what is violated in one of them.
pub struct Frontier<State> {
    /// The states, in chunks that threads take.
    pub chunks: Vec<FrontierChunk<State>>,
    /// A violated property, with the fingerprint of a state that violates it.
    pub violation: Option<(&'static str, u64)>,
}

impl<State> Frontier<State> {
    /// No states.
    pub fn new() -> Self {
        Frontier { chunks: Vec::new(), violation: None }
    }

    /// Adds a state.
    pub fn push(&mut self, fingerprint: u64, state: State) {
        match self.chunks.last_mut() {
            Some(chunk) if chunk.len() < STATES_PER_CHUNK => chunk.push((fingerprint, state)),
            _ => {
                let mut chunk = Vec::with_capacity(STATES_PER_CHUNK);
                chunk.push((fingerprint, state));
                self.chunks.push(chunk);
            }
        }
    }

    /// Records a violation. Of several the first by name, then by fingerprint, is kept: which thread found it first does
    /// not matter, so that searches repeat themselves.
    pub fn record_violation(&mut self, violation: Option<(&'static str, u64)>) {
        self.violation = self.violation.into_iter().chain(violation).min();
    }

    /// Adds the states and violations that another thread has found.
    pub fn merge(&mut self, other: Frontier<State>) {
        self.chunks.extend(other.chunks);
        self.record_violation(other.violation);
    }
}
