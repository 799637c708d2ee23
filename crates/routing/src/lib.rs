//! The routing decisions of the data plane, without I/O: which server takes a request, what may be retried, what is rejected.
//!
//! [`Balancer`] owns the endpoint list and everything measured about its servers. The caller passes the time into each call;
//! the crate holds no socket, clock or thread, and all randomness comes from one seeded generator.
//!
//! A server is selected by power of two choices (Mitzenmacher, The Power of Two Choices in Randomized Load Balancing, 2001):
//! two distinct candidates are drawn, and the lower `latency x (in_flight + 1)` wins, where latency is a
//! [peak-sensitive EWMA](PeakEwma) as in Finagle and linkerd2-proxy. All constants that may be tuned are in [`Tuning`].
//!
//! The workspace has a second, older load balancer: the root package `lugwharf-sidecar`, which runs beside each calling
//! process. The two share no code and no settings. They share the design: power of two choices over peak-EWMA latency, outlier
//! ejection, a retry budget, and callers that pass in events and time. This crate adds what the serving of language models
//! needs: phases, KV caches and affinity of prompts.
//!
//! | module | concern |
//! | --- | --- |
//! | `balancer`, `feedback` | the state of all servers; what callers report about attempts |
//! | `endpoints`, `server` | the endpoint list; the state of one server |
//! | `selection`, `query` | eligibility, and the order of the steps below; its query and result |
//! | `p2c`, `scoring` | power of two choices; latency and score of a candidate |
//! | `locality` | the local zone first |
//! | `prefix_affinity`, `rendezvous` | requests that share a prompt prefix go to the same servers |
//! | `prefix_cache`, `prompt` | what a server probably has in its KV cache; the segments of a prompt |
//! | `peak_ewma`, `observation`, `phase` | latency averages and what enters them |
//! | `load_report`, `in_flight_loads` | load reported by servers; load of this proxy, for the planner of stages |
//! | `outlier_ejection` | servers that fail in a row are ejected for a while |
//! | `retry_budget`, `attempts` | how many retries a service gets; what one request may still be sent |
//! | `kv_transfer` | circuit breaker of KV cache transfers |
//! | `traffic_split` | weighted targets of a route |
#![forbid(unsafe_code)]

mod attempts;
mod balancer;
mod endpoints;
mod feedback;
mod in_flight_loads;
mod kv_transfer;
mod load_report;
mod locality;
mod observation;
mod outlier_ejection;
mod p2c;
mod peak_ewma;
mod phase;
mod prefix_affinity;
mod prefix_cache;
mod prompt;
mod query;
mod rendezvous;
mod retry_budget;
mod scoring;
mod selection;
mod server;
mod service_pool;
mod traffic_split;
mod tuning;

pub use attempts::Attempts;
pub use balancer::Balancer;
pub use kv_transfer::KvTransferBreaker;
pub use load_report::LoadReport;
pub use observation::{FailureKind, Observation, WorkSize};
pub use outlier_ejection::OutlierEjection;
pub use peak_ewma::PeakEwma;
pub use phase::Phase;
pub use prefix_cache::PrefixCacheTracker;
pub use prompt::{Prompt, PromptSegment};
pub use query::{Selection, SelectionError, SelectionQuery};
pub use rendezvous::weight as rendezvous_weight;
pub use retry_budget::{RetryBudget, RetryBudgetConfig};
pub use server::ServerKey;
pub use traffic_split::{TrafficSplitter, weighted_index};
pub use tuning::{AffinityKey, Normalisation, Tuning};
