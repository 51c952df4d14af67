//! Reads and writes kept turns from an entry instance.

use std::sync::Arc;
use std::sync::Mutex;
use std::time::Duration;

use async_trait::async_trait;
use tokio::time::Instant;

use crate::clock::Timestamp;
use crate::context::Context;
use crate::events::EventNumber;
use crate::events::Subject;
use crate::kept_turns::Chain;
use crate::kept_turns::FindError;
use crate::kept_turns::KeepError;
use crate::kept_turns::KeptTurns;
use crate::kept_turns::TurnKey;
use crate::kept_turns::TurnRecord;
use crate::kept_turns::holders::HolderDirectory;
use crate::transport::Transport;

mod look_up;
mod messages;
mod write;

/// How long no turn is begun after a write failed: about the time in which another journal instance
/// is seen to be gone, or comes back.
const WRITE_FAILURE_PAUSE: Duration = Duration::from_millis(500);

/// Reads and writes the turns on the disks of the journal instances.
pub struct KeptTurnsClient {
    cx: Context,
    directory: Arc<dyn HolderDirectory>,
    transport: Arc<dyn Transport>,
    /// The number of disks that each turn is written to.
    replicas: usize,
    write_failed_at: Mutex<Option<Timestamp>>,
}

impl KeptTurnsClient {
    /// Creates a client that writes each turn to `tolerated_losses` + 1 disks.
    pub fn new(
        cx: Context,
        directory: Arc<dyn HolderDirectory>,
        transport: Arc<dyn Transport>,
        tolerated_losses: usize,
    ) -> Self {
        let replicas = tolerated_losses + 1;
        Self { cx, directory, transport, replicas, write_failed_at: Mutex::default() }
    }

    fn observe(&self, operation: &str, result: &str, started: Instant) {
        let seconds = started.elapsed().as_secs_f64();
        let histogram = &self.cx.metrics.kept_turn_seconds;
        histogram.with_label_values(&[operation, result]).observe(seconds);
    }

    fn record(&self, number: EventNumber, key: &TurnKey, cause: &dyn std::error::Error) {
        let detail = format!("turn={} account={} {cause}", key.turn, key.account);
        self.cx.events.record(number, Subject::default(), detail);
    }

    fn note_write(&self, is_written: bool) {
        let failed_at = (!is_written).then(|| self.cx.clock.now());
        *self.write_failed_at.lock().expect("not poisoned") = failed_at;
    }
}

#[async_trait]
impl KeptTurns for KeptTurnsClient {
    async fn find(
        &self,
        key: &TurnKey,
        retention: Duration,
        deadline: Instant,
    ) -> Result<Chain, FindError> {
        let started = Instant::now();
        let found = self.look_up(key, retention, deadline).await;
        let result = match &found {
            Ok(_) => "found",
            Err(FindError::Unknown) => "unknown",
            Err(FindError::Uncertain { .. }) => "uncertain",
        };
        self.observe("find", result, started);
        if let Err(cause @ FindError::Uncertain { .. }) = &found {
            self.record(EventNumber::TurnLookUpFailed, key, cause);
        }
        found
    }

    async fn keep(
        &self,
        record: TurnRecord,
        chain: &Chain,
        deadline: Instant,
    ) -> Result<(), KeepError> {
        let started = Instant::now();
        let (key, is_partial) = (record.key.clone(), record.is_partial);
        let written = self.write(record, chain, deadline).await;
        let operation = if is_partial { "keep partial" } else { "keep" };
        let result = if written.is_ok() { "written" } else { "failed" };
        self.observe(operation, result, started);
        self.note_write(written.is_ok());
        if let Err(cause) = &written {
            self.record(EventNumber::TurnWriteFailed, &key, cause);
        }
        written
    }

    fn check_writable(&self) -> Result<(), KeepError> {
        let known = self.directory.holders(Duration::ZERO);
        let usable = known.living.iter().filter(|one| !one.is_retiring).count();
        let error = |reason: String| KeepError { written: 0, wanted: self.replicas, reason };
        if usable < self.replicas {
            return Err(error(format!("{usable} instances that take turns are heard")));
        }
        let failed_at = *self.write_failed_at.lock().expect("not poisoned");
        let now = self.cx.clock.now();
        match failed_at.is_some_and(|at| now.since(at) < WRITE_FAILURE_PAUSE) {
            true => Err(error("another turn was just not written".to_owned())),
            false => Ok(()),
        }
    }
}

#[cfg(test)]
mod tests;
