//! Test cases for single scenarios, each of which checks one rule.

mod fault_cases;
mod membership_cases;
mod partition_cases;
mod proposal_number_cases;
mod retry_cases;
mod state_transfer_cases;
mod support;
