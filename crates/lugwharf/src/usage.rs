//! The errors of invalid command lines.

/// Why a command line is invalid. The process prints the error on one line and ends with exit status 2.
#[derive(Debug, thiserror::Error)]
pub enum UsageError {
    /// The command line has no subcommand.
    #[error("no subcommand; see lugwharf --help")]
    NoSubcommand,
    /// No subcommand has this name.
    #[error("unknown subcommand {0:?}; see lugwharf --help")]
    UnknownSubcommand(String),
    /// The value of an option is not a port.
    #[error("--{option}: {value:?} is no port")]
    Port {
        /// The name of the option.
        option: &'static str,
        /// The value of the option.
        value: String,
    },
    /// The subcommand does not accept these arguments.
    #[error("{name}: {reason}; see lugwharf {name} --help")]
    Subcommand {
        /// The name of the subcommand.
        name: &'static str,
        /// Why the arguments are not accepted.
        reason: String,
    },
}
