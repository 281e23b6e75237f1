//! Errors found in a settings file.

use std::fmt;

/// One error in a settings file and its position.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct FieldError {
    /// Line number, counted from 1.
    pub line: usize,
    /// Path of the field, such as `routing.queue_limit`, or `(file)` or `(syntax)`.
    pub field: String,
    /// What is wrong with the value and what is allowed.
    pub message: String,
}

/// All errors found in one file. Displayed as `file:line: field: message`, one per line.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
pub struct SettingsErrors {
    /// Path of the file, as given to [`crate::load`] or [`crate::parse`].
    pub file: String,
    /// The errors, ordered by line.
    pub errors: Vec<FieldError>,
}

impl fmt::Display for SettingsErrors {
    fn fmt(&self, out: &mut fmt::Formatter<'_>) -> fmt::Result {
        for (index, error) in self.errors.iter().enumerate() {
            if index > 0 {
                writeln!(out)?;
            }
            write!(
                out,
                "{}:{}: {}: {}",
                self.file, error.line, error.field, error.message
            )?;
        }
        Ok(())
    }
}
