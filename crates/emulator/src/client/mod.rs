//! A client of the fleet, which sends requests, reads the responses to their last byte and checks them.
//!
//! | module | concern |
//! | --- | --- |
//! | `request` | what a client sends |
//! | `exchange` | one request and its response on one connection |
//! | `outcome` | the outcome of an attempt, and the checks that the response failed |
//! | `retry` | the retries of a client |
//! | `strict_reader` | a reader of responses by the grammar alone |

mod exchange;
mod outcome;
mod request;
mod retry;
mod strict_reader;

pub use exchange::Client;
pub use outcome::{AttemptEnd, AttemptOutcome, FailedCheck};
pub use request::{ClientRequest, RequestKind};
pub use retry::RetryPolicy;
pub use strict_reader::{ReadError, RemainingBody, ResponseHead, StrictReader};
