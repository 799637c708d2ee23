//! The driver connects the decision module with the network. The driver turns what happens into the module's
//! events, carries out the module's actions in order, and is the only component that knows which clients
//! still wait for an answer.

mod actions;
mod endpoint_table;
mod event_loop;
mod pending_request;

pub use event_loop::Driver;

#[cfg(test)]
mod driver_tests;
