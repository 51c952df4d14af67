//! A copy of the distributed state with its latest deltas, from which others can be brought up.

use std::collections::VecDeque;

use bytes::Bytes;
use prost::Message;

use crate::control::Delta;
use crate::control::Published;
use crate::control::PublishedError;
use crate::ids::Revision;

/// The deltas that a replica keeps for instances that are behind.
pub const KEPT_DELTAS: usize = 4_096;

/// A copy of the distributed state with its latest deltas.
#[derive(Debug, Clone, Default)]
pub struct Replica {
    published: Published,
    deltas: VecDeque<Bytes>,
}

impl Replica {
    /// Creates a replica of a full state, without deltas.
    pub fn new(published: Published) -> Self {
        Self { published, deltas: VecDeque::new() }
    }

    /// Returns the state.
    pub fn published(&self) -> &Published {
        &self.published
    }

    /// Applies a received delta and keeps it for others.
    ///
    /// # Errors
    /// Fails as [`Published::apply`] does.
    pub fn apply(&mut self, delta: &Delta) -> Result<(), PublishedError> {
        self.published.apply(delta)?;
        self.keep(delta);
        Ok(())
    }

    /// Makes the next delta of a change, applies and keeps it.
    pub(super) fn advance(
        &mut self,
        change: super::generated::delta::Change,
    ) -> Result<Revision, PublishedError> {
        let revision = self.published.revision().0 + 1;
        let mut delta = Delta { revision, digest: 0, change: Some(change) };
        self.published.advance(&delta)?;
        delta.digest = self.published.digest();
        self.keep(&delta);
        Ok(Revision(revision))
    }

    fn keep(&mut self, delta: &Delta) {
        if self.deltas.len() == KEPT_DELTAS {
            self.deltas.pop_front();
        }
        self.deltas.push_back(delta.encode_to_vec().into());
    }

    /// Returns the deltas after `revision`, at most `max_bytes` but at least one. Returns nothing
    /// where some are no longer kept, so that a full state is needed.
    pub fn deltas_after(&self, revision: Revision, max_bytes: usize) -> Option<Vec<Bytes>> {
        let missing = self.published.revision().0.saturating_sub(revision.0);
        let missing = usize::try_from(missing).ok()?;
        let first = self.deltas.len().checked_sub(missing)?;
        let mut bytes = 0;
        let fitting = self.deltas.iter().skip(first).take_while(|delta| {
            let fits = bytes == 0 || bytes + delta.len() <= max_bytes;
            bytes += delta.len();
            fits
        });
        Some(fitting.cloned().collect())
    }
}
