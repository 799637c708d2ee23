//! Small fixed-size sets and sequences that are cheap to copy and to hash.

use std::fmt::{Debug, Formatter, Result as FormatResult};

/// The value of an unused slot of a [`Sequence`].
const EMPTY_SLOT: u8 = 255;

/// A set of identities or changes, stored as a bit mask. Its members are below 8.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Default)]
pub struct SmallSet(u8);

impl SmallSet {
    /// The set of `members`.
    pub fn of(members: &[u8]) -> SmallSet {
        members.iter().fold(SmallSet::default(), |set, member| set.with(*member))
    }

    /// The set with `member` added.
    #[must_use]
    pub fn with(self, member: u8) -> SmallSet {
        SmallSet(self.0 | 1 << member)
    }

    /// The set with `member` removed.
    #[must_use]
    pub fn without(self, member: u8) -> SmallSet {
        SmallSet(self.0 & !(1 << member))
    }

    /// Whether the set contains `member`.
    pub fn contains(self, member: u8) -> bool {
        member < 8 && self.0 & 1 << member != 0
    }

    /// Whether every member is in `others`.
    pub fn is_subset_of(self, others: SmallSet) -> bool {
        self.0 & !others.0 == 0
    }

    /// Whether some member is in `others`.
    pub fn intersects(self, others: SmallSet) -> bool {
        self.0 & others.0 != 0
    }

    /// The number of members.
    pub fn len(self) -> usize {
        self.0.count_ones() as usize
    }

    /// Whether the set has no members.
    pub fn is_empty(self) -> bool {
        self.0 == 0
    }

    /// All members, in ascending order.
    pub fn iter(self) -> impl Iterator<Item = u8> {
        (0..8).filter(move |member| self.contains(*member))
    }
}

impl Debug for SmallSet {
    fn fmt(&self, formatter: &mut Formatter<'_>) -> FormatResult {
        formatter.debug_set().entries(self.iter()).finish()
    }
}

/// A sequence of at most `CAPACITY` items without gaps, such as a chain or a history.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Sequence<const CAPACITY: usize>([u8; CAPACITY]);

impl<const CAPACITY: usize> Default for Sequence<CAPACITY> {
    fn default() -> Self {
        Sequence([EMPTY_SLOT; CAPACITY])
    }
}

impl<const CAPACITY: usize> Sequence<CAPACITY> {
    /// The sequence of `items`.
    pub fn of(items: &[u8]) -> Self {
        let mut sequence = Self::default();
        sequence.0[..items.len()].copy_from_slice(items);
        sequence
    }

    /// The items as a slice.
    pub fn items(&self) -> &[u8] {
        &self.0[..self.len()]
    }

    /// The number of items.
    pub fn len(&self) -> usize {
        self.0.iter().take_while(|item| **item != EMPTY_SLOT).count()
    }

    /// Whether the sequence has no items.
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }

    /// Appends an item.
    pub fn push(&mut self, item: u8) {
        let length = self.len();
        self.0[length] = item;
    }

    /// The set of the first `count` items.
    pub fn set_of_first(&self, count: usize) -> SmallSet {
        SmallSet::of(&self.items()[..count.min(self.len())])
    }

    /// The set of all items.
    pub fn set(&self) -> SmallSet {
        SmallSet::of(self.items())
    }

    /// The index of an item, counted from 0; `None` if the sequence does not contain it.
    pub fn position(&self, item: u8) -> Option<usize> {
        self.items().iter().position(|other| *other == item)
    }
}

impl<const CAPACITY: usize> Debug for Sequence<CAPACITY> {
    fn fmt(&self, formatter: &mut Formatter<'_>) -> FormatResult {
        formatter.debug_list().entries(self.items()).finish()
    }
}
