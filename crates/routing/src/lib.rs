//! Routing decisions of the data plane, without I/O: server selection, retry limits and load shedding.
//!
//! [`Balancer`] owns the endpoint list and all measurements of its servers. The caller passes the current
//! time into each call. The crate has no sockets, clocks or threads, and draws all randomness from one seeded
//! generator.
//!
//! A server is selected by power of two choices (Mitzenmacher, The Power of Two Choices in Randomized Load
//! Balancing, 2001): two distinct candidates are drawn at random, and the one with the lower
//! `latency x (in_flight + 1)` wins. The latency is a [peak-sensitive EWMA](PeakEwma) as in Finagle and
//! linkerd2-proxy. All tunable constants are in [`Tuning`].
//!
//! The workspace contains a second, older load balancer: the root package `lugwharf-sidecar`, which runs next
//! to each calling process. The two share no code and no settings, but the same design: power of two choices
//! over peak-EWMA latency, outlier ejection, a retry budget, and callers that pass in events and time. This
//! crate adds what the serving of language models needs: phases, KV caches and prompt prefix affinity.
//!
//! | module | concern |
//! | --- | --- |
//! | `balancer`, `feedback` | state of all servers; results of attempts, as reported by callers |
//! | `endpoints`, `server` | updates of the endpoint list; state of one server |
//! | `selection`, `query` | eligibility and the sequence of selection steps; input and result of a selection |
//! | `p2c`, `scoring` | power of two choices; latency and score of a candidate |
//! | `locality` | preference for the local zone |
//! | `prefix_affinity`, `rendezvous` | routing of requests with the same prompt prefix to the same servers |
//! | `prefix_cache`, `prompt` | estimated content of a server's KV cache; segments of a prompt |
//! | `peak_ewma`, `observation`, `phase` | latency averages, their samples, and the phases they are kept for |
//! | `load_report`, `in_flight_loads` | load reported by servers; load of this proxy, for stage planning |
//! | `outlier_ejection` | temporary ejection of servers after consecutive failures |
//! | `retry_budget`, `attempts` | retries allowed per service; attempts allowed per request |
//! | `kv_transfer` | circuit breaker for KV cache transfers |
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
