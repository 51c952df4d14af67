//! The section `[programs]`.

use crate::settings::instance::parse_number;
use crate::settings::reader::Reader;

/// The bytes of a mebibyte.
const MEBIBYTE: usize = 1024 * 1024;

/// What an instance keeps of the programs whose home it is.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ProgramSettings {
    /// The memory that programs may take, in bytes, before those that were not asked for the longest
    /// are left to the journal alone.
    pub memory_bytes: usize,
}

impl Default for ProgramSettings {
    fn default() -> Self {
        Self { memory_bytes: 128 * MEBIBYTE }
    }
}

impl ProgramSettings {
    pub(super) fn read(reader: &mut Reader) -> Self {
        let parse = |raw: &str| parse_number(raw, 1, 1_048_576);
        let memory = reader.parse_optional("programs", "memory_mib", parse);
        let memory_bytes = memory.map(|mebibytes| mebibytes as usize * MEBIBYTE);
        Self { memory_bytes: memory_bytes.unwrap_or(Self::default().memory_bytes) }
    }
}
