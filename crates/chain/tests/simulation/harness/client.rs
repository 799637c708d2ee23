//! Simulated operators: their requests and the state of their calls.

use super::checker::Change;
use lugwharf_chain::OperatorRequestId;
use std::collections::BTreeSet;
use std::time::Duration;

/// A request of an operator.
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

/// A call in progress: one request that is attempted at one machine after the other until it is answered.
#[derive(Clone, Debug)]
pub struct Call {
    pub request: ClientRequest,
    /// The identity of the attempt that waits for a response.
    pub attempt_id: Option<OperatorRequestId>,
    /// The machine of the last attempt.
    pub node: usize,
    /// The machines that may be called. All present machines if empty.
    pub allowed_nodes: Vec<usize>,
    /// The machines that were called. Each machine is called once before any is called again.
    pub attempted_nodes: BTreeSet<usize>,
    pub attempts: u32,
    pub started_at: Duration,
    /// The deadline for a response. A missed deadline is a violation.
    pub deadline: Option<Duration>,
}

impl Call {
    /// Creates a call that may be attempted at any machine.
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

/// A simulated operator.
#[derive(Default)]
pub struct OperatorClient {
    pub call: Option<Call>,
    pub last_acknowledged: Option<Change>,
    /// The number of scheduled steps, by which outdated timers are recognised and ignored.
    pub generation: u64,
}

/// The exponential backoff before another attempt: 200 ms after the first attempt, at most 800 ms.
pub fn retry_backoff(attempts: u32) -> Duration {
    Duration::from_millis(100 * (1 << attempts.min(3)))
}
