//! Leases as a caller sees them.

use crate::token::FencingToken;
use std::net::SocketAddr;
use std::time::Duration;

/// A lease that this process holds.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Lease {
    /// The fencing token of the lease. It stays the same through renewals.
    pub token: FencingToken,
    /// When the lease ends unless it is renewed, on this process's steady clock.
    pub expires_at: Duration,
}

/// A process and the token under which it holds the role, or was granted a lease of it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct LeaseHolder {
    /// The address by which other control processes know the process.
    pub address: SocketAddr,
    /// Its fencing token.
    pub token: FencingToken,
}
