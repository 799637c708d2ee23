//! The settings of a planner.

use std::time::Duration;

/// The delays and time-outs of a planner.
#[derive(Clone, Debug, PartialEq)]
pub struct PlannerSettings {
    /// The time after the acquisition of the lease before the first order; default 3.2 s. Two holders must
    /// not give orders alternately within the lease duration that the deployment states.
    pub acquisition_delay: Duration,
    /// The time from the acquisition of the lease to the request for the servers' reports; default 1 s. It
    /// covers the age of a report, so that the reports show all that the previous holder ordered, and leaves
    /// time for the answers before the first order.
    pub report_delay: Duration,
    /// How long to wait for the report of a server whose change the list should show but does not; default 3
    /// s, which covers two reads of the list and the answer. After that the change is assumed to be lost.
    pub confirmation_timeout: Duration,
    /// The time from the announcement to the order; default 300 ms.
    pub announcement_delay: Duration,
    /// The maximum age of the server list, including the time between two reads; default 2 s.
    pub list_lag: Duration,
    /// The time after a change of stages in a service before its next change; default 3 s.
    pub change_cooldown: Duration,
    /// How long a server that rejected an order gets no other one; default 5 s.
    pub failure_cooldown: Duration,
    /// How long a server that rejected the tokens of two leases of this process gets no orders; default 10
    /// minutes.
    pub stale_token_suspension: Duration,
    /// The time constant of the exponential decay of the load that stages are planned for; default 20 s.
    pub load_decay_time: Duration,
}

impl Default for PlannerSettings {
    fn default() -> Self {
        PlannerSettings {
            acquisition_delay: Duration::from_millis(3_200),
            report_delay: Duration::from_millis(1_000),
            confirmation_timeout: Duration::from_secs(3),
            announcement_delay: Duration::from_millis(300),
            list_lag: Duration::from_millis(2_000),
            change_cooldown: Duration::from_secs(3),
            failure_cooldown: Duration::from_secs(5),
            stale_token_suspension: Duration::from_secs(600),
            load_decay_time: Duration::from_secs(20),
        }
    }
}
