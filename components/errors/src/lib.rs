//! Errors shared by every process: what went wrong and whether a request may have run.

mod code;
mod exit;
mod failure;
mod verdict;

pub use code::Code;
pub use exit::ExitStatus;
pub use failure::Failure;
pub use verdict::Verdict;
