//! Errors shared by all processes: why an operation failed and whether it may have run.

mod code;
mod exit;
mod failure;
mod verdict;

pub use code::Code;
pub use exit::ExitStatus;
pub use failure::Failure;
pub use verdict::Verdict;
