//! The frontier of a breadth-first search: the states of one depth.

/// The number of states that a thread takes from the frontier at a time.
const STATES_PER_CHUNK: usize = 256;

/// States with their fingerprints.
pub type FrontierChunk<State> = Vec<(u64, State)>;

/// The states of one depth, and the violation found among them, if any.
pub struct Frontier<State> {
    /// The states, in chunks that are distributed to the threads.
    pub chunks: Vec<FrontierChunk<State>>,
    /// A violated property, with the fingerprint of a state that violates it.
    pub violation: Option<(&'static str, u64)>,
}

impl<State> Frontier<State> {
    /// An empty frontier.
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

    /// Records a violation. Of several violations the first by property name, then by fingerprint, is kept,
    /// so that the result of a search does not depend on the timing of its threads.
    pub fn record_violation(&mut self, violation: Option<(&'static str, u64)>) {
        self.violation = self.violation.into_iter().chain(violation).min();
    }

    /// Adds the states and violations that another thread has found.
    pub fn merge(&mut self, other: Frontier<State>) {
        self.chunks.extend(other.chunks);
        self.record_violation(other.violation);
    }
}
