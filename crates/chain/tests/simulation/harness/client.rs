//! Simulated operators: what they ask for, and the state of their calls.

use super::checker::Change;
use lugwharf_chain::OperatorRequestId;
use std::collections::BTreeSet;
use std::time::Duration;

/// What an operator asks for.
#[derive(Clone, Debug)]
pub enum ClientRequest {
    Submit {
        change: Change,
        /// Whether the base of the change was acknowledged before the call started.
        is_base_acknowledged: bool,
    },
    Read {
        /// The newest version that was acknowledged before the call started.
        at_least: u64,
    },
}

/// A call in progress: one request, attempted at one machine after the other until it is answered.
#[derive(Clone, Debug)]
pub struct Call {
    pub request: ClientRequest,
    /// The attempt that waits for its response.
    pub attempt_id: Option<OperatorRequestId>,
    /// The machine of the last attempt.
    pub node: usize,
    /// The machines that may be called; all present ones if empty.
    pub allowed_nodes: Vec<usize>,
    /// The machines that were called. Each is called once before any is called again.
    pub attempted_nodes: BTreeSet<usize>,
    pub attempts: u32,
    pub started_at: Duration,
    /// A call that is not answered by then is a violation.
    pub deadline: Option<Duration>,
}

impl Call {
    /// A call that is attempted at any machine.
    pub fn new(request: ClientRequest, started_at: Duration, deadline: Option<Duration>) -> Call {
        Call {
            request,
            attempt_id: None,
            node: 0,
            allowed_nodes: Vec::new(),
            attempted_nodes: BTreeSet::new(),
            attempts: 0,
            started_at,
            deadline,
        }
    }
}

/// One operator.
#[derive(Default)]
pub struct OperatorClient {
    pub call: Option<Call>,
    pub last_acknowledged: Option<Change>,
    /// Counts what the client was scheduled to do, so that timers of before are recognised and dropped.
    pub generation: u64,
}

/// The exponential backoff before another attempt: 200 ms after the first, at most 800 ms.
pub fn retry_backoff(attempts: u32) -> Duration {
    Duration::from_millis(100 * (1 << attempts.min(3)))
}
