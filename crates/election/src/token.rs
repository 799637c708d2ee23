//! Fencing tokens.

use serde::{Deserialize, Serialize};

/// The low bits of a token, which count the elections within one view: 16,777,215 of them. The 40 bits above hold the
/// number of the view.
const COUNTER_BITS: u32 = 24;

/// A number that every election of a role makes larger, so that whoever is acted upon can refuse an earlier holder.
///
/// The number of the view stands in the upper bits: tokens of a later view are larger also where none of its members
/// knows an earlier token. Fencing tokens are the sequencers of Burrows, The Chubby Lock Service, OSDI 2006,
/// section 2.4.
#[derive(Clone, Copy, Debug, Default, Serialize, Deserialize, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct FencingToken(pub u64);

impl FencingToken {
    /// The number of the view in which the token was elected.
    pub fn view(self) -> u64 {
        self.0 >> COUNTER_BITS
    }

    /// The smallest token of `view` that is larger than `self`; `None` if the view has none left.
    pub(crate) fn next_in(self, view: u64) -> Option<Self> {
        let base = view.checked_mul(1 << COUNTER_BITS)?;
        let next = Self(self.0.max(base).checked_add(1)?);
        (next.view() == view).then_some(next)
    }
}
