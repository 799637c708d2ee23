//! Command lines that name nothing that can be done.

/// What is wrong with a command line. Told in one line, with an exit status of its own.
#[derive(Debug, thiserror::Error)]
pub enum UsageError {
    /// There is no subcommand.
    #[error("no subcommand; see lugwharf --help")]
    NoSubcommand,
    /// There is no such subcommand.
    #[error("unknown subcommand {0:?}; see lugwharf --help")]
    UnknownSubcommand(String),
    /// An option does not name a port.
    #[error("--{option}: {value:?} is no port")]
    Port {
        /// The option.
        option: &'static str,
        /// What it was given.
        value: String,
    },
    /// The subcommand does not take that.
    #[error("{name}: {reason}; see lugwharf {name} --help")]
    Subcommand {
        /// The subcommand.
        name: &'static str,
        /// What is wrong.
        reason: String,
    },
}
