//! Models of the replication and election protocols, checked exhaustively within stated bounds.
//!
//! [`chain`] models the configuration history of `lugwharf-chain`, [`election`] the leases of `lugwharf-election`.
//! [`explorer`] visits every reachable state and finds the shortest path to one in which a property does not hold. A
//! *guard* is a rule of a protocol that a search can leave out ([`guards::GuardSet`]). The tests search each model with all
//! guards, which must find no violation, and without each one, which must find the violation that the guard prevents.
//! The results are in `docs/design/model.md`. No program depends on this crate.
#![forbid(unsafe_code)]

pub mod chain;
pub mod election;
pub mod explorer;
pub mod guards;
