//! The result of a search.

use std::fmt::{Display, Formatter, Result as FormatResult};
use std::time::Duration;

/// The shortest path to a state in which a property does not hold.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Counterexample {
    /// The property, as named by the model.
    pub property: &'static str,
    /// The `Debug` form of each step from an initial state on.
    pub steps: Vec<String>,
}

/// What a search has covered and found.
#[derive(Clone, Debug)]
pub struct SearchReport {
    /// Distinct states visited.
    pub states: usize,
    /// Steps from an initial state to the farthest one visited.
    pub depth: usize,
    /// Wall time.
    pub elapsed: Duration,
    /// Whether every reachable state was visited.
    pub is_complete: bool,
    /// The shortest counterexample; the search ends with the depth that has one.
    pub counterexample: Option<Counterexample>,
}

impl Display for SearchReport {
    fn fmt(&self, formatter: &mut Formatter<'_>) -> FormatResult {
        let extent = if self.is_complete { "all" } else { "first" };
        let seconds = self.elapsed.as_secs_f64();
        write!(formatter, "{extent} {} states, depth {}, {seconds:.2} s: ", self.states, self.depth)?;
        match &self.counterexample {
            None => write!(formatter, "no counterexample"),
            Some(found) => write!(formatter, "\"{}\" broken in {} steps", found.property, found.steps.len()),
        }
    }
}
