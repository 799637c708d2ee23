//! Tracks which view of the replica was reported to the elector.
//!
//! The replica agrees on views; the elector votes within one view. [`ViewTracker`] ensures that the elector
//! is told once of each view, and once that a view is sealed: after this process has accepted the next view,
//! it must not grant or renew a lease in the present one.

/// The newest view that was reported to the elector, and the newest that was reported as sealed. View numbers
/// start at 1.
#[derive(Debug, Default)]
pub struct ViewTracker {
    current: u64,
    sealed: u64,
}

impl ViewTracker {
    /// Returns the number of the newest view that was reported to the elector; 0 for none.
    pub fn current(&self) -> u64 {
        self.current
    }

    /// Advances to this view. Returns whether it is newer than the current one.
    pub fn enter(&mut self, view: u64) -> bool {
        let is_newer = view > self.current;
        if is_newer {
            self.current = view;
        }
        is_newer
    }

    /// Seals this view. Returns whether it was not sealed before.
    pub fn seal(&mut self, view: u64) -> bool {
        let is_new = view > self.sealed;
        if is_new {
            self.sealed = view;
        }
        is_new
    }
}
