//! The identity of a process of a fleet.

/// Identifies a process of a fleet. The identity does not change when the process is restarted.
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
    /// The name of the process in the cluster.
    pub fn name(self) -> String {
        match self {
            ProcessId::Control(index) => format!("control-{index}"),
            ProcessId::Proxy(index) => format!("front-{index}-proxy"),
            ProcessId::Agent(index) => format!("front-{index}-agent"),
        }
    }
}
