//! Identifiers that the caller chooses and the module hands back.

/// A server of the list. The caller picks the number; all sidecars should pick the same one for the same server, since
/// subsetting sorts by it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct ServerId(pub u64);

/// A client's request. The caller must not reuse one while an attempt of it is in flight.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct RequestId(pub u32);

/// A timer. The caller hands it back in [`Event::Timer`](super::Event::Timer) and must not interpret it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct TimerId(pub u64);
