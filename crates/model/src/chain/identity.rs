//! The machines of the model and the identities of their disks.

/// The number of machines: three members of the first view and one learner.
pub const MACHINE_COUNT: usize = 4;
/// The number of members of the first view. They are the machines with the lowest indices.
pub const INITIAL_MEMBER_COUNT: usize = 3;
/// The identity of the machine that is not a member of the first view.
pub const INITIAL_LEARNER: Identity = 3;

/// The identity of a machine together with its disk. Machine `m` has identity `m`, and `m + MACHINE_COUNT`
/// after it lost its disk.
pub type Identity = u8;

/// The index of the machine that an identity belongs to.
pub fn machine_of(identity: Identity) -> usize {
    usize::from(identity) % MACHINE_COUNT
}

/// The identity of the same machine after it lost its disk.
pub fn next_identity(identity: Identity) -> Identity {
    identity + MACHINE_COUNT as Identity
}
