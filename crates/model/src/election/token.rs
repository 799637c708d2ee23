//! Fencing tokens.

/// The number of tokens per view. The upper bits of a token contain the view number, the lower bits a
/// counter.
const TOKENS_PER_VIEW: u8 = 8;

/// A fencing token. Each holder has a higher token than the holder before it.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Debug, Default)]
pub struct Token(pub u8);

impl Token {
    /// The view in which the holder of this token was elected.
    pub fn view(self) -> u8 {
        self.0 / TOKENS_PER_VIEW
    }

    /// The lowest token of `view` that is above this one.
    pub fn next_in(self, view: u8) -> Token {
        Token(self.0.max(view * TOKENS_PER_VIEW) + 1)
    }
}
