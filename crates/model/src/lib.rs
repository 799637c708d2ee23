//! Models of the replication and election protocols, checked exhaustively within stated bounds.
//!
//! [`chain`] models the configuration history of `lugwharf-chain`, [`election`] the leases of
//! `lugwharf-election`. [`explorer`] is an explicit-state model checker: it visits every reachable state and
//! finds the shortest path to a state that violates a property. A *guard* is a rule of a protocol that a
//! search can disable ([`guards::GuardSet`]). The tests search each model with all guards enabled, which must
//! find no violation, and with single guards disabled, which must find the violation that the guard prevents.
//! The results are in `docs/design/model.md`. No program depends on this crate.
#![forbid(unsafe_code)]

pub mod chain;
pub mod election;
pub mod explorer;
pub mod guards;
