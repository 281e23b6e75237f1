//! What is wrong with a settings file.

use std::fmt;

/// One fault and where it stands.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Fault {
    /// Line, from 1.
    pub line: usize,
    /// Path of the field, such as `routing.queue_limit`.
    pub field: String,
    /// What is wrong and what is allowed.
    pub message: String,
}

/// All faults of one file.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
pub struct Faults {
    /// The file.
    pub file: String,
    /// Its faults, in order of lines.
    pub faults: Vec<Fault>,
}

impl fmt::Display for Faults {
    fn fmt(&self, out: &mut fmt::Formatter<'_>) -> fmt::Result {
        for (index, fault) in self.faults.iter().enumerate() {
            if index > 0 {
                writeln!(out)?;
            }
            write!(
                out,
                "{}:{}: {}: {}",
                self.file, fault.line, fault.field, fault.message
            )?;
        }
        Ok(())
    }
}
