//! The machines of the model and the identities of their disks.

/// The machines: three founders and a newcomer.
pub const MACHINE_COUNT: usize = 4;
/// The machines of the first view.
pub const FOUNDER_COUNT: usize = 3;
/// The machine that is no member of the first view.
pub const NEWCOMER: Identity = 3;

/// A machine together with its disk. Machine `m` has identity `m`, and `m + MACHINE_COUNT` once its disk was lost.
pub type Identity = u8;

/// The machine that an identity belongs to.
pub fn machine_of(identity: Identity) -> usize {
    usize::from(identity) % MACHINE_COUNT
}

/// The identity of the machine after its disk was lost.
pub fn next_identity(identity: Identity) -> Identity {
    identity + MACHINE_COUNT as Identity
}
