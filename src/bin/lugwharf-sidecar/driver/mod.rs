//! The driver connects the decision module with the network: it turns what happens into the module's events, carries the
//! module's actions out in order, and alone knows which clients still wait for an answer.

mod actions;
mod endpoint_table;
mod event_loop;
mod pending_request;

pub use event_loop::Driver;

#[cfg(test)]
mod driver_tests;
