//! Findings: the violations that are detected in a run.

/// A violated rule, or a required condition that did not hold.
///
/// Findings are ordered by rule, then by facts.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct Finding {
    /// The name of the rule. Names are fixed, since they are written to `findings.txt` and compared by
    /// `--minimize`.
    pub rule: &'static str,
    /// What was observed, as one line of text.
    pub facts: String,
}
