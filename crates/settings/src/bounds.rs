//! The time limits and quotas that the deployment states. They are part of the definitions of the system's
//! guarantees.

use crate::SettingsError;
use serde::Deserialize;

/// The time limits and quotas that the system must keep. Absent fields have their defaults.
#[derive(Clone, Debug, Deserialize, PartialEq)]
#[serde(rename_all = "PascalCase", default)]
pub struct Bounds {
    /// How far the list of seeds may be out of date, in s. Default 3.
    pub seed_lag_s: f64,
    /// The time after which the address of an ended server may be reused by another service, in s. Default 2.
    pub reuse_after_s: f64,
    /// How long a machine must have been without a fault to count as connected, in ms. Default 3,000.
    pub contact_ms: u64,
    /// The time within which a change must be acknowledged to the operator, in ms. Default 4,000.
    pub ack_ms: u64,
    /// How long a machine still counts as lost after it has come back, in s. Default 4.
    pub catch_up_s: f64,
    /// How long requests may still reach a server after it is listed as draining, in ms. Default 3,000.
    pub drain_ms: u64,
    /// The time between SIGTERM and SIGKILL, in s. Default 8.
    pub grace_s: f64,
    /// A shutdown may lose only requests that were received within this time before the end of the shutdown,
    /// in ms. Default 200.
    pub loss_slack_ms: u64,
    /// The time within which every proxy must apply an acknowledged configuration, in ms. Default 2,000.
    pub config_ms: u64,
    /// The maximum clock skew between machines, in ms. Default 5,000.
    pub max_skew_ms: u64,
    /// The maximum number of retries at a service, as a share of its requests. Default 0.2.
    pub retry_budget: f64,
    /// The window in which retries are counted, in s. Default 10.
    pub budget_window_s: f64,
    /// The number of retries that are allowed in a window in addition to the share of requests. Default 20.
    pub budget_slack: f64,
    /// The maximum time that an event of a stream takes through the system, in ms. Default 120.
    pub transit_ms: u64,
    /// The time within which a shared prompt prefix must be used again to count as reusable, in s. Default 8.
    /// Unlike the other keys of the file, this key is in lower case.
    #[serde(rename = "again_s")]
    pub prefix_reuse_s: f64,
    /// Whether servers reject orders with a fencing token lower than the highest one seen. Default true.
    pub fenced: bool,
    /// The time within which a singleton role must not alternate between two holders, in ms. Default 3,000.
    pub lease_ms: u64,
}

impl Default for Bounds {
    fn default() -> Self {
        Bounds {
            seed_lag_s: 3.0,
            reuse_after_s: 2.0,
            contact_ms: 3_000,
            ack_ms: 4_000,
            catch_up_s: 4.0,
            drain_ms: 3_000,
            grace_s: 8.0,
            loss_slack_ms: 200,
            config_ms: 2_000,
            max_skew_ms: 5_000,
            retry_budget: 0.2,
            budget_window_s: 10.0,
            budget_slack: 20.0,
            transit_ms: 120,
            prefix_reuse_s: 8.0,
            fenced: true,
            lease_ms: 3_000,
        }
    }
}

impl Bounds {
    pub(crate) fn validate(&self) -> Result<(), SettingsError> {
        let non_negative = [
            ("Bounds.RetryBudget", self.retry_budget),
            ("Bounds.BudgetWindowS", self.budget_window_s),
            ("Bounds.BudgetSlack", self.budget_slack),
            ("Bounds.GraceS", self.grace_s),
        ];
        for (field, value) in non_negative {
            if !value.is_finite() || value < 0.0 {
                return Err(SettingsError::Invalid {
                    field,
                    reason: "must be a finite number of at least 0",
                });
            }
        }
        Ok(())
    }
}
