//! What a run may be found to have done wrong.

/// A violated rule, or a condition that did not hold where it had to.
///
/// Findings are ordered by rule, then by facts.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct Finding {
    /// The name of the rule. Names are fixed: they are written to `findings.txt` and compared by `--minimize`.
    pub rule: &'static str,
    /// What was observed, as one line of text.
    pub facts: String,
}
