//! Discovery of the upstreams: the server list is read completely at first, then followed by watches.

mod error;
mod follow;
mod list;

pub use follow::follow;
pub use list::read;

#[cfg(test)]
mod discovery_tests;
