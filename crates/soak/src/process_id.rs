//! Names of the processes of a fleet.

/// Identifies one process of a fleet. It stays the same when the process is restarted.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ProcessId {
    /// The control process of the control node with this index.
    Control(usize),
    /// The proxy of the front-end node with this index.
    Proxy(usize),
    /// The agent of the front-end node with this index.
    Agent(usize),
}

impl ProcessId {
    /// The name under which the cluster knows the process.
    pub fn name(self) -> String {
        match self {
            ProcessId::Control(index) => format!("control-{index}"),
            ProcessId::Proxy(index) => format!("front-{index}-proxy"),
            ProcessId::Agent(index) => format!("front-{index}-agent"),
        }
    }
}
