//! Fencing tokens.

use serde::{Deserialize, Serialize};

/// The number of low bits of a token that count the elections within a view, at most 16,777,215. The upper 40
/// bits contain the view number.
const COUNTER_BITS: u32 = 24;

/// A number that increases with every election of a role, so that the receiver of an action can refuse an
/// earlier holder.
///
/// The upper bits contain the view number, so tokens of a later view are larger even if none of its members
/// knows an earlier token. Fencing tokens correspond to the sequencers of Burrows, The Chubby Lock Service,
/// OSDI 2006, section 2.4.
#[derive(Clone, Copy, Debug, Default, Serialize, Deserialize, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct FencingToken(pub u64);

impl FencingToken {
    /// Returns the number of the view in which the token was issued.
    pub fn view(self) -> u64 {
        self.0 >> COUNTER_BITS
    }

    /// Returns the smallest token of `view` that is larger than `self`, or `None` if the view has no token
    /// left.
    pub(crate) fn next_in(self, view: u64) -> Option<Self> {
        let base = view.checked_mul(1 << COUNTER_BITS)?;
        let next = Self(self.0.max(base).checked_add(1)?);
        (next.view() == view).then_some(next)
    }
}
