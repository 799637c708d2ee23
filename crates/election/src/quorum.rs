//! The size of a quorum.

/// The fewest votes that make a majority of so many members. Two majorities of one view share a voter.
pub(crate) fn majority_of(member_count: usize) -> usize {
    member_count / 2 + 1
}
