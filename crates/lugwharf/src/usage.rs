//! The errors of wrong command lines.

/// Why a command line is wrong. The process prints it on one line and ends with exit status 2.
#[derive(Debug, thiserror::Error)]
pub enum UsageError {
    /// The command line has no subcommand.
    #[error("no subcommand; see lugwharf --help")]
    NoSubcommand,
    /// No subcommand has this name.
    #[error("unknown subcommand {0:?}; see lugwharf --help")]
    UnknownSubcommand(String),
    /// The value of an option is no port.
    #[error("--{option}: {value:?} is no port")]
    Port {
        /// The name of the option.
        option: &'static str,
        /// Its value.
        value: String,
    },
    /// The subcommand does not accept these arguments.
    #[error("{name}: {reason}; see lugwharf {name} --help")]
    Subcommand {
        /// The name of the subcommand.
        name: &'static str,
        /// What is wrong.
        reason: String,
    },
}
