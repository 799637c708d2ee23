//! Sets of the protocol rules (guards) that are enabled in a search.

use std::marker::PhantomData;

/// A rule of a protocol that a search can disable, to show which violation the rule prevents.
pub trait GuardRule: Copy {
    /// The bit that stands for this rule in a [`GuardSet`], below 32.
    fn index(self) -> u32;
}

/// The set of enabled rules.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct GuardSet<Rule> {
    bits: u32,
    rules: PhantomData<Rule>,
}

impl<Rule: GuardRule> GuardSet<Rule> {
    /// The set with all rules enabled.
    pub const ALL: Self = GuardSet { bits: u32::MAX, rules: PhantomData };

    /// The set with all rules enabled except `removed`.
    pub fn without(removed: &[Rule]) -> Self {
        let bits = removed.iter().fold(u32::MAX, |bits, rule| bits & !(1 << rule.index()));
        GuardSet { bits, rules: PhantomData }
    }

    /// Whether `rule` is enabled.
    pub fn has(self, rule: Rule) -> bool {
        self.bits & 1 << rule.index() != 0
    }
}
