//! The lease holder known to this process.

use crate::lease::LeaseHolder;
use lugwharf_invariants::{Invariant, check};
use std::net::SocketAddr;

/// The lease holder known to this process: a process that has renewed its lease, or this process itself.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct KnownHolder {
    /// The last known holder, unless it has lost or released the role.
    current: Option<LeaseHolder>,
    /// The holder with the highest token so far.
    highest: Option<LeaseHolder>,
}

impl KnownHolder {
    /// Records that a process acts as the holder, i.e. it renews its lease or has just acquired it.
    /// `is_latest` states that no later token is known to have been held, and that the process has not
    /// released this token.
    pub(crate) fn record(&mut self, holder: LeaseHolder, is_latest: bool) {
        let other =
            self.highest.filter(|known| known.token == holder.token && known.address != holder.address);
        check(Invariant::OneHolderPerToken, other.is_none(), || {
            let other = other.map(|other| (other.address, other.token));
            format!("token held by {} and also by {other:?}", holder.address)
        });
        if self.highest.is_none_or(|known| holder.token > known.token) {
            self.highest = Some(holder);
        }
        if is_latest {
            self.current = Some(holder);
        }
    }

    /// Returns the last known holder.
    pub(crate) fn current(&self) -> Option<LeaseHolder> {
        self.current
    }

    /// Records that a process no longer holds the role, under any token.
    pub(crate) fn record_loss(&mut self, address: SocketAddr) {
        self.current.take_if(|known| known.address == address);
    }

    /// Records that a holder has released its lease.
    pub(crate) fn record_release(&mut self, holder: LeaseHolder) {
        self.current.take_if(|known| *known == holder);
    }
}
