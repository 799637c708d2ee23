//! Identifiers of servers, requests and timers.

/// Identifies a server of the list. The caller assigns the number. All sidecars should assign the same number
/// to the same server, because subsetting sorts servers by it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct ServerId(pub u64);

/// Identifies a client's request. The caller must not reuse an id while an attempt of its request is in
/// flight.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct RequestId(pub u32);

/// Identifies a timer. The caller returns it in [`Event::Timer`](super::Event::Timer) and must not interpret
/// it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct TimerId(pub u64);
