//! An explicit-state model checker: breadth-first search through all reachable states of a model, on several threads.
//!
//! A visited state is kept as its fingerprint together with the fingerprint of its predecessor, 16 bytes; full states are
//! kept for the frontier and the next one only. A counterexample is therefore found again by walking from an initial state
//! along the fingerprints. Since the search is breadth-first, it is as short as can be.
//!
//! The number of states, the depth and the counterexample do not depend on the number of threads.

mod fingerprint;
mod frontier;
mod report;
mod visited;

pub use report::{Counterexample, SearchReport};

use fingerprint::fingerprint;
use frontier::{Frontier, FrontierChunk};
use std::fmt::Debug;
use std::hash::Hash;
use std::sync::{Mutex, PoisonError};
use std::time::Instant;
use visited::VisitedStates;

/// Threads of a search.
const SEARCH_THREADS: usize = 3;

/// A system of states and steps.
pub trait Model: Sync {
    /// Everything that later steps depend on.
    type State: Clone + Hash + Send + Sync;
    /// What leads from one state to the next, for the trace of a counterexample.
    type Step: Debug;

    /// The states to begin with.
    fn initial_states(&self) -> Vec<Self::State>;

    /// Appends each step that is possible in a state, with the state after it.
    fn successors(&self, state: &Self::State, found: &mut Vec<(Self::Step, Self::State)>);

    /// The property that does not hold in a state.
    fn violated_property(&self, state: &Self::State) -> Option<&'static str>;
}

/// Searches a model until all states are visited, a property is violated or `max_states` states are visited.
///
/// The limit is checked once a depth, so somewhat more states may be visited. Searches of one process wait for each other,
/// which bounds the memory of a test run.
pub fn search<M: Model>(model: &M, max_states: usize) -> SearchReport {
    static ONE_SEARCH_AT_A_TIME: Mutex<()> = Mutex::new(());
    // A search that panicked leaves nothing behind that another one could see.
    let _lock = ONE_SEARCH_AT_A_TIME.lock().unwrap_or_else(PoisonError::into_inner);
    let started_at = Instant::now();
    let visited = VisitedStates::new();
    let mut frontier = Frontier::new();
    for state in model.initial_states() {
        visit(model, state, None, &visited, &mut frontier);
    }
    let mut depth = 0;
    while frontier.violation.is_none() && !frontier.chunks.is_empty() && visited.count() < max_states {
        frontier = next_frontier(model, frontier.chunks, &visited);
        depth += usize::from(!frontier.chunks.is_empty());
    }
    let counterexample =
        frontier.violation.map(|(property, state)| rebuild_path(model, &visited, property, state));
    let is_complete = counterexample.is_none() && frontier.chunks.is_empty();
    SearchReport {
        states: visited.count(),
        depth,
        elapsed: started_at.elapsed(),
        is_complete,
        counterexample,
    }
}

/// Adds a state to the frontier if it is new, and checks its properties.
fn visit<M: Model>(
    model: &M, state: M::State, predecessor: Option<u64>, visited: &VisitedStates,
    frontier: &mut Frontier<M::State>,
) {
    let fingerprint = fingerprint(&state);
    if !visited.insert(fingerprint, predecessor.unwrap_or(fingerprint)) {
        return;
    }
    let violation = model.violated_property(&state).map(|property| (property, fingerprint));
    frontier.record_violation(violation);
    frontier.push(fingerprint, state);
}

/// The new states that are one step from those of a frontier.
fn next_frontier<M: Model>(
    model: &M, chunks: Vec<FrontierChunk<M::State>>, visited: &VisitedStates,
) -> Frontier<M::State> {
    let threads = if chunks.len() > 1 { SEARCH_THREADS } else { 1 };
    // A chunk is dropped as soon as its successors are known.
    let chunks = Mutex::new(chunks);
    let expand_chunks = || {
        let mut frontier = Frontier::new();
        let mut found = Vec::new();
        loop {
            let chunk = chunks.lock().expect("no thread panics while it takes a chunk").pop();
            let Some(chunk) = chunk else { return frontier };
            for (fingerprint, state) in &chunk {
                model.successors(state, &mut found);
                for (_, successor) in found.drain(..) {
                    visit(model, successor, Some(*fingerprint), visited, &mut frontier);
                }
            }
        }
    };
    let mut frontier = Frontier::new();
    std::thread::scope(|scope| {
        let workers: Vec<_> = (1..threads).map(|_| scope.spawn(expand_chunks)).collect();
        frontier.merge(expand_chunks());
        for worker in workers {
            frontier.merge(worker.join().expect("a panic of a model ends the search"));
        }
    });
    frontier
}

/// The steps from an initial state to a visited one.
fn rebuild_path<M: Model>(
    model: &M, visited: &VisitedStates, property: &'static str, last: u64,
) -> Counterexample {
    let path = visited.path_to(last);
    let initial = model.initial_states().into_iter().find(|state| fingerprint(state) == path[0]);
    let mut state = initial.expect("the path begins with an initial state");
    let mut steps = Vec::new();
    for next in &path[1..] {
        let mut found = Vec::new();
        model.successors(&state, &mut found);
        let step = found.into_iter().find(|(_, successor)| fingerprint(successor) == *next);
        let (step, successor) = step.expect("each state of the path was reached from the one before it");
        steps.push(format!("{step:?}"));
        state = successor;
    }
    Counterexample { property, steps }
}
