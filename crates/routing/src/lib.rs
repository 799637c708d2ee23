//! The decisions of the data plane, without I/O: which server takes a request, what may be repeated, what is refused.
//!
//! [`Balancer`] owns everything that is known of servers. It is told what happens together with the time, and asked for
//! servers; it holds no socket, clock or thread, and its randomness comes from one seed.
//!
//! The choice is power of two choices over peak-EWMA latency: two distinct candidates, and the lower
//! `ewma x (in_flight + 1) / max(weight, 1)` wins. All figures that may be tuned stand in [`Tuning`].
#![forbid(unsafe_code)]

mod attempts;
mod balancer;
mod endpoints;
mod in_flight_loads;
mod kv_transfer;
mod load_report;
mod observation;
mod outlier_ejection;
mod p2c;
mod peak_ewma;
mod prefix_cache;
mod prompt;
mod rendezvous;
mod retry_budget;
mod server;
mod traffic_split;
mod tuning;

pub use attempts::Attempts;
pub use balancer::Balancer;
pub use kv_transfer::KvTransferBreaker;
pub use load_report::LoadReport;
pub use observation::{FailureKind, Observation, Phase, WorkSize};
pub use outlier_ejection::OutlierEjection;
pub use p2c::{Selection, SelectionError, SelectionQuery};
pub use peak_ewma::PeakEwma;
pub use prefix_cache::PrefixCacheTracker;
pub use prompt::{Prompt, PromptSegment};
pub use rendezvous::weight as rendezvous_weight;
pub use retry_budget::{RetryBudget, RetryBudgetConfig};
pub use server::ServerKey;
pub use traffic_split::{TrafficSplitter, by_weight};
pub use tuning::{AffinityKey, Normalisation, Tuning};
