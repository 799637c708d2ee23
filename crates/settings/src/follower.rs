//! Follows the settings file of a running process: after SIGHUP, and after a change without a signal.

use crate::watched_file::WatchedFile;
use crate::{Settings, SettingsError};
use std::io;
use std::time::Duration;
use tokio::signal::unix::{Signal, SignalKind, signal};
use tokio::time::{Interval, MissedTickBehavior, interval};

/// The interval at which the file is checked for changes, which is well below `SeedLagS`.
const POLL_INTERVAL: Duration = Duration::from_secs(1);

/// The changes of the settings of one process.
#[derive(Debug)]
pub struct SettingsFollower {
    hangup: Signal,
    ticks: Interval,
    file: WatchedFile,
}

impl SettingsFollower {
    /// Follows the file that `settings` were read from.
    ///
    /// # Errors
    /// The handler of SIGHUP can't be installed.
    pub fn new(settings: &Settings) -> io::Result<SettingsFollower> {
        let mut ticks = interval(POLL_INTERVAL);
        ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
        let (hangup, file) = (signal(SignalKind::hangup())?, WatchedFile::new(settings.clone()));
        Ok(SettingsFollower { hangup, ticks, file })
    }

    /// Waits until the settings have been read again, after SIGHUP or because they have changed. May be
    /// cancelled without losing a change.
    ///
    /// # Errors
    /// The file can't be read, or its settings are invalid; the earlier settings stay in force. Without a
    /// signal, this is returned once until the file can be read again.
    pub async fn next(&mut self) -> Result<Settings, SettingsError> {
        loop {
            tokio::select! {
                biased;
                Some(()) = self.hangup.recv() => return self.file.reload(),
                _ = self.ticks.tick() => {
                    if let Some(read) = self.file.poll() {
                        return read;
                    }
                }
            }
        }
    }
}
