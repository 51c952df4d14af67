//! The interface to the homes of programs, which know whether a program is live.

use std::collections::BTreeMap;

use async_trait::async_trait;

use crate::ids::Epoch;
use crate::ids::ProgramId;

/// Whether a program may still use engine memory.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ProgramLiveness {
    /// The program was created and has not ended.
    Live,
    /// The program has ended or its record was dropped. It never becomes live again.
    Gone,
}

/// Provides the liveness of programs.
#[async_trait]
pub trait ProgramLivenessSource: Send + Sync {
    /// Returns the epoch of the home of a program, or `None` if it has no known home.
    fn epoch(&self, program: &ProgramId) -> Option<Epoch>;

    /// Asks the homes of programs. Programs whose home cannot answer now are left out.
    async fn liveness(&self, programs: &[ProgramId]) -> BTreeMap<ProgramId, ProgramLiveness>;
}
