//! The newest update from control processes without a quorum.

use lugwharf_protocol::Update;

/// The newest of the updates offered during one pass over the control processes. At most one is retained, to bound the memory.
#[derive(Debug, Default)]
pub struct FallbackUpdate {
    newest: Option<Update>,
}

impl FallbackUpdate {
    /// Retains `update` if it is newer than the present one: by its configuration, then by its server table.
    pub fn offer(&mut self, update: Update) {
        // By the configuration that is in the update: the vector may count one that the control process has not sent yet.
        let config_version = |update: &Update| update.config.as_ref().map_or(0, |config| config.version);
        let version = |update: &Update| (config_version(update), update.vector.servers);
        if self.newest.as_ref().is_none_or(|newest| version(&update) > version(newest)) {
            self.newest = Some(update);
        }
    }

    /// The newest update, if any was offered.
    pub fn into_newest(self) -> Option<Update> {
        self.newest
    }
}
