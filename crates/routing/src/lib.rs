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
mod budget;
mod cache;
mod choose;
mod ejection;
mod ewma;
mod hand_over;
mod listing;
mod load;
mod prompt;
mod rendezvous;
mod report;
mod sample;
mod server;
mod split;
mod tuning;

pub use attempts::Attempts;
pub use balancer::Balancer;
pub use budget::{BudgetTerms, RetryBudget};
pub use cache::CacheMemory;
pub use choose::{Choice, NoChoice, Query};
pub use ejection::Ejection;
pub use ewma::PeakEwma;
pub use hand_over::HandOver;
pub use prompt::{Prompt, PromptPart};
pub use rendezvous::weight as rendezvous_weight;
pub use report::LoadReport;
pub use sample::{Failure, Part, Sample, Work};
pub use server::ServerKey;
pub use split::{SplitLots, by_weight};
pub use tuning::{Normalisation, StickyKey, Tuning};
