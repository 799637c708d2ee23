//! The layers that serve one request, from the choice of its route to the end of its response.
//!
//! | module | layer |
//! | --- | --- |
//! | `service` | dispatch by the kind of the route, resumption of streams |
//! | `forward`, `disaggregated` | retries on single servers, or on pairs of a prefill and a decode server |
//! | `execution`, `terms`, `delivery_budget` | the state of one request: terms, attempts, retry budget |
//! | `attempt`, `in_flight` | one attempt at one server, and its observations for the balancer |
//! | `response_class` | the classification of responses, which decides about retries |
//! | `relay`, `sse` | forwarding of responses to the client, parsing of server-sent events |
//! | `kv_handle` | the handle of a KV cache that a prefill server holds |

pub mod attempt;
pub mod delivery_budget;
pub mod disaggregated;
pub mod execution;
pub mod forward;
pub mod in_flight;
pub mod kv_handle;
pub mod relay;
pub mod response_class;
#[cfg(test)]
mod response_class_tests;
pub mod service;
pub mod sse;
#[cfg(test)]
mod sse_tests;
pub mod terms;
