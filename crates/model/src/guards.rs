//! Sets of the protocol rules that are in force in a search.

use std::marker::PhantomData;

/// A rule of a protocol that can be left out, to show what happens without it.
pub trait GuardRule: Copy {
    /// Its place in a [`GuardSet`], below 32.
    fn index(self) -> u32;
}

/// The rules that are in force.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct GuardSet<Rule> {
    bits: u32,
    rules: PhantomData<Rule>,
}

impl<Rule: GuardRule> GuardSet<Rule> {
    /// All rules.
    pub const ALL: Self = GuardSet { bits: u32::MAX, rules: PhantomData };

    /// All rules but these.
    pub fn without(removed: &[Rule]) -> Self {
        let bits = removed.iter().fold(u32::MAX, |bits, rule| bits & !(1 << rule.index()));
        GuardSet { bits, rules: PhantomData }
    }

    /// Whether a rule is in force.
    pub fn has(self, rule: Rule) -> bool {
        self.bits & 1 << rule.index() != 0
    }
}
