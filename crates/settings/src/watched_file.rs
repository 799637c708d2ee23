//! Detection of changes of the settings file.

use crate::{Settings, SettingsError};
use std::io;
use std::os::unix::fs::MetadataExt;
use std::path::Path;

/// What tells two versions of a file apart without reading them. A replacement by `rename` has another inode,
/// an edit in place another time or length.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
struct FileVersion {
    inode: u64,
    length: u64,
    /// The times of the last changes of the content and of the inode, in s and ns.
    modified: (i64, i64),
    changed: (i64, i64),
}

impl FileVersion {
    fn read(path: &Path) -> io::Result<FileVersion> {
        let metadata = std::fs::metadata(path)?;
        Ok(FileVersion {
            inode: metadata.ino(),
            length: metadata.size(),
            modified: (metadata.mtime(), metadata.mtime_nsec()),
            changed: (metadata.ctime(), metadata.ctime_nsec()),
        })
    }
}

/// The settings file of a running process, and the settings that were last read from it.
#[derive(Debug)]
pub struct WatchedFile {
    current: Settings,
    /// The version of the file that `current` was read from; `None` before the first poll.
    seen: Option<FileVersion>,
    /// Whether the file could not be read at the last poll, which has been reported.
    is_failing: bool,
}

impl WatchedFile {
    /// Watches the file that these settings were read from.
    pub fn new(current: Settings) -> WatchedFile {
        WatchedFile { current, seen: None, is_failing: false }
    }

    /// Reads the file whether or not it has changed.
    ///
    /// # Errors
    /// As for [`Settings::read`].
    pub fn reload(&mut self) -> Result<Settings, SettingsError> {
        self.seen = self.current.source.as_deref().and_then(|path| FileVersion::read(path).ok());
        self.current = self.current.reload()?;
        self.is_failing = false;
        Ok(self.current.clone())
    }

    /// Returns the settings if they have changed since they were last read. A file that can't be read, for
    /// example because it is half written, is reported once and tried again at each poll. Settings that were
    /// parsed from a string never change.
    ///
    /// # Errors
    /// As for [`Settings::read`].
    pub fn poll(&mut self) -> Option<Result<Settings, SettingsError>> {
        let path = self.current.source.clone()?;
        // The version is taken before the content is read, so that a later change is never missed.
        let version = FileVersion::read(&path).ok();
        if version.is_some() && version == self.seen {
            return None;
        }
        match Settings::read(&path) {
            Ok(settings) => {
                self.seen = version;
                self.is_failing = false;
                let is_changed = settings != self.current;
                self.current = settings;
                is_changed.then(|| Ok(self.current.clone()))
            }
            Err(error) => {
                let is_reported = std::mem::replace(&mut self.is_failing, true);
                (!is_reported).then_some(Err(error))
            }
        }
    }
}
