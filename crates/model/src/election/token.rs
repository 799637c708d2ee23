//! Fencing tokens.

/// Tokens of one view. The number of the view is in the upper bits of a token, a counter in the lower ones.
const TOKENS_PER_VIEW: u8 = 8;

/// A fencing token. It increases from holder to holder.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Debug, Default)]
pub struct Token(pub u8);

impl Token {
    /// The view in which it was elected.
    pub fn view(self) -> u8 {
        self.0 / TOKENS_PER_VIEW
    }

    /// The lowest token of a view above this one.
    pub fn next_in(self, view: u8) -> Token {
        Token(self.0.max(view * TOKENS_PER_VIEW) + 1)
    }
}
