//! Which view of the replica the elector knows of.
//!
//! The replica agrees on views; the elector votes within one. [`ViewTracker`] makes sure that the elector learns of each view
//! once, and of its seal once: after this process has accepted the next view, it may grant or renew no lease in this one.

/// The newest view that the elector knows, and the newest that was sealed for it. View numbers start at 1.
#[derive(Debug, Default)]
pub struct ViewTracker {
    current: u64,
    sealed: u64,
}

impl ViewTracker {
    /// The number of the newest view that the elector knows; 0 for none.
    pub fn current(&self) -> u64 {
        self.current
    }

    /// Advances to this view; returns whether it is newer.
    pub fn enter(&mut self, view: u64) -> bool {
        let is_newer = view > self.current;
        if is_newer {
            self.current = view;
        }
        is_newer
    }

    /// Seals this view; returns whether it was not sealed before.
    pub fn seal(&mut self, view: u64) -> bool {
        let is_new = view > self.sealed;
        if is_new {
            self.sealed = view;
        }
        is_new
    }
}
