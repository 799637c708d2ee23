//! Retains the newest update received from control processes without a quorum.

use lugwharf_protocol::Update;

/// The newest of the updates offered during one pass over the control processes. Only one is retained, to
/// bound memory use.
#[derive(Debug, Default)]
pub struct FallbackUpdate {
    newest: Option<Update>,
}

impl FallbackUpdate {
    /// Retains `update` if it is newer than the retained one. Updates are compared by the version of their
    /// configuration, then by the position of their server table.
    pub fn offer(&mut self, update: Update) {
        // Compares the configuration contained in the update: the vector may refer to one that has not been
        // sent yet.
        let config_version = |update: &Update| update.config.as_ref().map_or(0, |config| config.version);
        let version = |update: &Update| (config_version(update), update.vector.servers);
        if self.newest.as_ref().is_none_or(|newest| version(&update) > version(newest)) {
            self.newest = Some(update);
        }
    }

    /// Returns the newest update, if any was offered.
    pub fn into_newest(self) -> Option<Update> {
        self.newest
    }
}
