//! The public types of leases.

use crate::token::FencingToken;
use std::net::SocketAddr;
use std::time::Duration;

/// A lease that this process holds.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Lease {
    /// The fencing token of the lease. Renewals do not change it.
    pub token: FencingToken,
    /// The time at which the lease ends unless it is renewed, on this process's steady clock.
    pub expires_at: Duration,
}

/// A process and the token under which it holds the role or was granted a lease.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct LeaseHolder {
    /// The address by which the other control processes know the process.
    pub address: SocketAddr,
    /// The fencing token of the process.
    pub token: FencingToken,
}
