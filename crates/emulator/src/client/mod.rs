//! A client of the fleet: sends requests, reads responses down to their last byte, and checks them.
//!
//! | module | concern |
//! | --- | --- |
//! | `request` | what a client sends |
//! | `exchange` | one request and its response on a connection |
//! | `outcome` | what a client got, and the findings of its checks |
//! | `retry` | further attempts of a client |

mod exchange;
mod outcome;
mod request;
mod retry;

pub use exchange::Client;
pub use outcome::{AttemptEnd, Finding, Outcome};
pub use request::{ClientRequest, Kind};
pub use retry::RetryPolicy;
