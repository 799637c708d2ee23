//! Electors against scripted peers: one elector alone, or several whose messages and writes the case lets through.

mod campaigns;
mod fencing_tokens;
mod harness;
mod refused_tokens;
mod views;
mod voting;
