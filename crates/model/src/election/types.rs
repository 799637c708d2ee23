//! What the electors of the model hold and say.

/// The machines: the members of the first view, and a newcomer.
pub const MACHINES: usize = 4;
/// The members of the first view.
pub const FIRST_VIEW: [usize; 3] = [0, 1, 2];
/// The members of the second view: machine 0 gave its place to the newcomer.
pub const SECOND_VIEW: [usize; 3] = [1, 2, 3];
/// How long a grant lasts, for the voter and for the holder, in steps of the clock. Clocks run at one rate here; the
/// margin for drift only makes the holder's part shorter.
pub const LEASE: u8 = 2;
/// How long a process asks, and then stands, at most; a quarter of the lease in the programs.
pub const CAMPAIGN: u8 = 1;
/// The counter part of a token; the number of the view is above it.
const COUNTERS: u8 = 8;

/// A fencing token.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Debug, Default)]
pub struct Token(pub u8);

impl Token {
    /// The view in which it was elected.
    pub fn view(self) -> u8 {
        self.0 / COUNTERS
    }

    /// The lowest token of a view above this one.
    pub fn next_in(self, view: u8) -> Token {
        Token(self.0.max(view * COUNTERS) + 1)
    }
}

/// The members of a view.
pub fn members(view: u8) -> &'static [usize] {
    match view {
        1 => &FIRST_VIEW,
        2 => &SECOND_VIEW,
        _ => &[],
    }
}

/// A running grant of a voter.
#[derive(Clone, Copy, PartialEq, Eq, Hash, Debug)]
pub struct Promise {
    /// To whom.
    pub holder: u8,
    /// Under which token.
    pub token: Token,
    /// Until when.
    pub until: u8,
}

/// What a machine has to do with the role.
#[derive(Clone, Copy, PartialEq, Eq, Hash, Debug, Default)]
pub enum Standing {
    /// Nothing.
    #[default]
    Follower,
    /// It asks who would vote for it.
    Asking {
        /// Before it asked.
        started: u8,
        /// The highest token that a willing majority knows, once there is one.
        highest: Option<Token>,
    },
    /// It stands for the role.
    Candidate {
        /// Its token.
        token: Token,
        /// Before it asked.
        started: u8,
    },
    /// It has the role.
    Holder {
        /// Its token.
        token: Token,
        /// The end of the lease.
        until: u8,
    },
}

/// One machine.
#[derive(Clone, Copy, PartialEq, Eq, Hash, Debug, Default)]
pub struct Node {
    /// The view that it knows.
    pub view: u8,
    /// It grants nothing in this view and earlier ones.
    pub sealed: u8,
    /// The last grant on disk.
    pub record: Option<(Token, u8)>,
    /// The highest token that it knows.
    pub highest: Token,
    /// The highest token that each machine has given up.
    pub released: [Token; MACHINES],
    /// The highest token that is known to have been held.
    pub held: Token,
    /// The grant that may run.
    pub promise: Option<Promise>,
    /// It grants nothing before.
    pub quarantined_until: u8,
    /// It elects nobody before.
    pub settled_at: u8,
    /// Its own part in the role.
    pub standing: Standing,
}

impl Node {
    /// Whether `machine` has given up this token.
    pub fn has_released(&self, token: Token, machine: u8) -> bool {
        self.released.get(usize::from(machine)).is_some_and(|released| *released >= token)
    }

    /// `machine` has given up this token.
    pub fn release(&mut self, token: Token, machine: u8) {
        if let Some(released) = self.released.get_mut(usize::from(machine)) {
            *released = (*released).max(token);
        }
    }
}

/// A message in flight, for all members of the view. It may arrive late, again or never. `sent` tells one request from
/// another.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Debug)]
pub enum Message {
    /// Asks for a grant under a new token.
    Elect {
        /// The sender's view.
        view: u8,
        /// Who asks.
        from: u8,
        /// The new token.
        token: Token,
        /// When it was sent.
        sent: u8,
    },
    /// Asks to extend a grant.
    Renew {
        /// The sender's view.
        view: u8,
        /// Who asks.
        from: u8,
        /// The holder's token.
        token: Token,
        /// When it was sent.
        sent: u8,
    },
    /// A grant.
    Vote {
        /// The voter's view.
        view: u8,
        /// Who votes.
        voter: u8,
        /// For whom.
        to: u8,
        /// Under which token.
        token: Token,
        /// When the request was sent.
        sent: u8,
    },
    /// The sender gives up its grants.
    Release {
        /// The sender's view.
        view: u8,
        /// Who gives up.
        from: u8,
        /// Under which token.
        token: Token,
        /// Whether it held the role.
        held: bool,
    },
}
