//! The quorum size.

/// Returns the minimum number of votes that form a majority of `member_count` members. Any two majorities of
/// one view share at least one voter.
pub(crate) fn majority_of(member_count: usize) -> usize {
    member_count / 2 + 1
}
