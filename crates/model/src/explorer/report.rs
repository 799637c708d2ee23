//! The result of a search.

use std::fmt::{Display, Formatter, Result as FormatResult};
use std::time::Duration;

/// The shortest path to a state that violates a property.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Counterexample {
    /// The name of the property, as the model returns it.
    pub property: &'static str,
    /// The `Debug` form of each step, starting from an initial state.
    pub steps: Vec<String>,
}

/// The coverage and the result of a search.
#[derive(Clone, Debug)]
pub struct SearchReport {
    /// The number of distinct states visited.
    pub states: usize,
    /// The number of steps from an initial state to the farthest visited state.
    pub depth: usize,
    /// The wall-clock time of the search.
    pub elapsed: Duration,
    /// Whether every reachable state was visited.
    pub is_complete: bool,
    /// The shortest counterexample. The search ends at the depth that has one.
    pub counterexample: Option<Counterexample>,
}

impl Display for SearchReport {
    fn fmt(&self, formatter: &mut Formatter<'_>) -> FormatResult {
        let extent = if self.is_complete { "all" } else { "first" };
        let seconds = self.elapsed.as_secs_f64();
        write!(formatter, "{extent} {} states, depth {}, {seconds:.2} s: ", self.states, self.depth)?;
        match &self.counterexample {
            None => write!(formatter, "no counterexample"),
            Some(found) => {
                write!(formatter, "\"{}\" violated in {} steps", found.property, found.steps.len())
            }
        }
    }
}
