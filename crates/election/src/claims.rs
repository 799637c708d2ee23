//! Who acts as the holder of the role, as far as this process has heard.

use crate::settings::FencingToken;
use lugwharf_invariants::{Invariant, check};
use std::net::SocketAddr;

/// A process and the token under which it acts.
type Claim = (SocketAddr, FencingToken);

/// What this process has heard of holders.
#[derive(Clone, Debug, Default)]
pub(crate) struct Claims {
    /// The last holder heard of that has not given the role up.
    known: Option<Claim>,
    /// The process that acted under the highest token so far.
    highest: Option<Claim>,
}

impl Claims {
    /// A process acts as the holder of a token: it renews it, or has just won it. `is_latest` tells whether no later token was
    /// held, and the process has not given this one up.
    pub(crate) fn note(&mut self, holder: SocketAddr, token: FencingToken, is_latest: bool) {
        let other = self.highest.filter(|(known, of)| *of == token && *known != holder);
        check(Invariant::OneHolderPerToken, other.is_none(), || format!("{holder} beside {other:?}"));
        if self.highest.is_none_or(|(_, known)| token > known) {
            self.highest = Some((holder, token));
        }
        if is_latest {
            self.known = Some((holder, token));
        }
    }

    /// The last holder heard of.
    pub(crate) fn known(&self) -> Option<Claim> {
        self.known
    }

    /// A process holds the role no more, under whatever token.
    pub(crate) fn lost(&mut self, holder: SocketAddr) {
        self.known.take_if(|(known, _)| *known == holder);
    }

    /// A process has given up a token that it held.
    pub(crate) fn released(&mut self, holder: SocketAddr, token: FencingToken) {
        self.known.take_if(|known| *known == (holder, token));
    }
}
