//! What can be wrong with a settings file.

use derive_more::Display;
use derive_more::Error;

/// One fault of a settings file.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord)]
pub struct Fault {
    /// The line, counted from 1; the section's line where the key is missing.
    pub line: usize,
    /// The section.
    pub section: String,
    /// The key; empty where the whole section is at fault.
    pub key: String,
    /// The value as written.
    pub value: String,
    /// What is wrong.
    pub problem: String,
    /// What is allowed.
    pub allowed: String,
}

impl std::fmt::Display for Fault {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        write!(f, "{}: [{}]", self.line, self.section)?;
        if !self.key.is_empty() {
            write!(f, " {}", self.key)?;
        }
        if !self.value.is_empty() {
            write!(f, " = {}", self.value)?;
        }
        write!(f, ": {}; allowed: {}", self.problem, self.allowed)
    }
}

/// Says why a settings file could not be used.
#[derive(Debug)]
#[derive(Display, Error)]
pub enum SettingsError {
    /// The file could not be read.
    #[display("cannot be read: {cause}")]
    Unreadable {
        /// What the operating system reported.
        cause: std::io::Error,
    },
    /// The file was read and is not valid.
    #[display("{} fault(s)", faults.len())]
    Faults {
        /// All faults, in the order of their lines.
        faults: Vec<Fault>,
    },
}
