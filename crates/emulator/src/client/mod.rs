//! A client of the fleet: sends requests, reads responses down to their last byte, and checks them.
//!
//! | module | concern |
//! | --- | --- |
//! | `request` | what a client sends |
//! | `exchange` | one request and its response on a connection |
//! | `outcome` | what a client got, and the checks that it failed |
//! | `retry` | further attempts of a client |

mod exchange;
mod outcome;
mod request;
mod retry;

pub use exchange::Client;
pub use outcome::{AttemptEnd, AttemptOutcome, FailedCheck};
pub use request::{ClientRequest, RequestKind};
pub use retry::RetryPolicy;
