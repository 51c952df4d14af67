//! A copy of the distributed state with its latest deltas, which bring other copies up to date.

use std::collections::VecDeque;

use bytes::Bytes;
use prost::Message;

use crate::control::Delta;
use crate::control::Published;
use crate::control::PublishedError;
use crate::ids::Revision;

/// The maximum number of deltas that a replica keeps for instances that are behind.
pub const MAX_DELTAS: usize = 4_096;

/// A copy of the distributed state with its latest deltas.
#[derive(Debug, Clone, Default)]
pub struct Replica {
    published: Published,
    deltas: VecDeque<Bytes>,
}

impl Replica {
    /// Creates a replica from a full state, without deltas.
    pub fn new(published: Published) -> Self {
        Self { published, deltas: VecDeque::new() }
    }

    /// Returns the distributed state at the applied revision.
    pub fn published(&self) -> &Published {
        &self.published
    }

    /// Applies a received delta and keeps it for instances that are behind.
    ///
    /// # Errors
    /// Fails for the same reasons as [`Published::apply`].
    pub fn apply(&mut self, delta: &Delta) -> Result<(), PublishedError> {
        self.published.apply(delta)?;
        self.push_delta(delta);
        Ok(())
    }

    /// Creates the next delta from a change, applies it and keeps it. Returns the new revision.
    pub(super) fn advance(
        &mut self,
        change: super::generated::delta::Change,
    ) -> Result<Revision, PublishedError> {
        let revision = self.published.revision().0 + 1;
        let mut delta = Delta { revision, digest: 0, change: Some(change) };
        self.published.advance(&delta)?;
        delta.digest = self.published.digest();
        self.push_delta(&delta);
        Ok(Revision(revision))
    }

    fn push_delta(&mut self, delta: &Delta) {
        if self.deltas.len() == MAX_DELTAS {
            self.deltas.pop_front();
        }
        self.deltas.push_back(delta.encode_to_vec().into());
    }

    /// Returns the deltas after `revision`, up to `max_bytes` in total but at least one if there is
    /// any. Returns `None` if some of them are no longer kept, so that the full state is needed.
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
