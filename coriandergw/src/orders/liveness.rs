//! The border to those who know which programs live.

use std::collections::BTreeMap;

use async_trait::async_trait;

use crate::ids::Epoch;
use crate::ids::ProgramId;

/// Says whether a program may still use engine memory.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ProgramLiveness {
    /// It was created and has not ended.
    Live,
    /// It has ended or was forgotten, and never lives again.
    Gone,
}

/// Tells which programs live.
#[async_trait]
pub trait ProgramLivenessSource: Send + Sync {
    /// Returns the epoch of the home that can tell, where there is one.
    fn epoch(&self, program: &ProgramId) -> Option<Epoch>;

    /// Asks the homes of programs. A program whose home cannot tell now is left out.
    async fn liveness(&self, programs: &[ProgramId]) -> BTreeMap<ProgramId, ProgramLiveness>;
}
