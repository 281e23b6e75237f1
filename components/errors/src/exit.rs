//! Exit statuses of the command-line program.

/// Exit status of a command.
///
/// ```
/// assert_eq!(errors::ExitStatus::BadSettings as u8, 2);
/// ```
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
#[repr(u8)]
pub enum ExitStatus {
    /// The command completed.
    Success = 0,
    /// The command started and failed.
    Failed = 1,
    /// The settings file or the arguments are wrong; nothing was started or sent.
    BadSettings = 2,
    /// The request was refused and changed nothing.
    Refused = 3,
    /// No process could be reached, or its answer was lost; the request may have taken effect.
    Unreachable = 4,
}
