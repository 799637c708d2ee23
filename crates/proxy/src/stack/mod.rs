//! The stack that serves one request, from its route to the end of its response.
//!
//! | module | layer |
//! | --- | --- |
//! | `service` | dispatch by the kind of the route; resumption of streams |
//! | `forward`, `disaggregated` | retries until a server, or a pair of a prefill and a decode server, gives a response |
//! | `execution`, `terms`, `delivery_budget` | the state of one request: terms, attempts so far, retry budget |
//! | `attempt`, `in_flight` | one attempt at one server, and what the balancer learns from it |
//! | `response_class` | what a response of a server means for retries |
//! | `relay`, `sse` | the response's way to the client |
//! | `kv_handle` | a KV cache that waits at a prefill server |

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
