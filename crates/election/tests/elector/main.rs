//! Tests of electors with scripted peers: either a single elector, or several whose messages and writes the
//! test delivers.

mod campaigns;
mod fencing_tokens;
mod harness;
mod refused_tokens;
mod views;
mod voting;
