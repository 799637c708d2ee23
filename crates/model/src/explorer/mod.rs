//! An explicit-state model checker: a multi-threaded breadth-first search of all reachable states of a model.
//!
//! For each visited state the search keeps 16 bytes: the fingerprint of the state and that of its
//! predecessor. Full states are kept only for the current and the next frontier. The steps of a
//! counterexample are therefore reconstructed by following the fingerprints from an initial state. Since the
//! search is breadth-first, the counterexample is the shortest one.
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

/// The number of threads of a search.
const SEARCH_THREADS: usize = 3;

/// A state machine: initial states, and the steps that are possible in each state.
pub trait Model: Sync {
    /// A state. It includes everything that later steps depend on.
    type State: Clone + Hash + Send + Sync;
    /// A step from one state to the next. Its `Debug` form is a line in the trace of a counterexample.
    type Step: Debug;

    /// The initial states.
    fn initial_states(&self) -> Vec<Self::State>;

    /// Appends to `found` each step that is possible in `state`, with the state after the step.
    fn successors(&self, state: &Self::State, found: &mut Vec<(Self::Step, Self::State)>);

    /// The property that `state` violates, if any.
    fn violated_property(&self, state: &Self::State) -> Option<&'static str>;
}

/// Searches a model until all states are visited, a property is violated or `max_states` states are visited.
///
/// The limit is checked once per depth, so the search may visit more states than `max_states`. Searches in
/// one process run one at a time, which bounds the memory of a test run.
pub fn search<M: Model>(model: &M, max_states: usize) -> SearchReport {
    static SEARCH_LOCK: Mutex<()> = Mutex::new(());
    // The lock protects no data, so a search that panicked leaves no inconsistent state behind.
    let _lock = SEARCH_LOCK.lock().unwrap_or_else(PoisonError::into_inner);
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

/// Adds a state to the frontier if it was not visited before, and checks its properties.
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

/// The unvisited states that are one step from the states of a frontier.
fn next_frontier<M: Model>(
    model: &M, chunks: Vec<FrontierChunk<M::State>>, visited: &VisitedStates,
) -> Frontier<M::State> {
    let threads = if chunks.len() > 1 { SEARCH_THREADS } else { 1 };
    // Each chunk is freed as soon as its successors are known.
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
            frontier.merge(worker.join().expect("no search thread panics"));
        }
    });
    frontier
}

/// Reconstructs the steps from an initial state to the visited state with the fingerprint `last`.
fn rebuild_path<M: Model>(
    model: &M, visited: &VisitedStates, property: &'static str, last: u64,
) -> Counterexample {
    let path = visited.path_to(last);
    let initial = model.initial_states().into_iter().find(|state| fingerprint(state) == path[0]);
    let mut state = initial.expect("the path starts with an initial state");
    let mut steps = Vec::new();
    for next in &path[1..] {
        let mut found = Vec::new();
        model.successors(&state, &mut found);
        let step = found.into_iter().find(|(_, successor)| fingerprint(successor) == *next);
        let (step, successor) = step.expect("each state of the path is a successor of the previous one");
        steps.push(format!("{step:?}"));
        state = successor;
    }
    Counterexample { property, steps }
}
