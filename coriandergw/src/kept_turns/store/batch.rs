//! Writes the records of several requests with one sync.

use std::collections::HashMap;
use std::io;
use std::sync::atomic::Ordering;

use crate::kept_turns::TurnKey;
use crate::kept_turns::TurnRecord;
use crate::kept_turns::store::KeepOutcome;
use crate::kept_turns::store::RECORD_COST_BYTES;
use crate::kept_turns::store::TurnStore;
use crate::kept_turns::store::cost_of;
use crate::kept_turns::store::index::Index;
use crate::kept_turns::store::index::TurnMeta;
use crate::kept_turns::store::segments;

/// The records of a batch that are to be written, and what becomes of each request.
struct Plan<'a> {
    index: &'a Index,
    /// The bytes that may still be written.
    free_bytes: u64,
    staged: HashMap<TurnKey, TurnMeta>,
    records: Vec<(TurnKey, TurnMeta)>,
    payloads: Vec<Vec<u8>>,
}

/// What becomes of a request once the batch is synced.
#[derive(Clone, Copy, PartialEq, Eq)]
enum Planned {
    /// The outcome does not depend on the write.
    Decided(KeepOutcome),
    /// It is written if the batch is.
    WithBatch,
}

impl Plan<'_> {
    fn add(&mut self, request: &[TurnRecord]) -> Planned {
        let mut planned = Planned::Decided(KeepOutcome::Written);
        if let Some(previous) = request.first().and_then(previous_of) {
            let is_staged = self.staged.get(&previous).is_some_and(|meta| !meta.is_partial);
            let is_here = self.index.can_continue(&previous);
            if !is_staged && !is_here {
                return Planned::Decided(KeepOutcome::PreviousMissing);
            }
            if !is_here {
                planned = Planned::WithBatch;
            }
        }
        let mut added: Vec<(&TurnRecord, Vec<u8>)> = Vec::new();
        for record in request {
            let meta = TurnMeta::from(record);
            if self.index.meta(&record.key).is_some_and(|known| !meta.supersedes(known)) {
                continue;
            }
            planned = Planned::WithBatch;
            if self.staged.get(&record.key).is_some_and(|known| !meta.supersedes(known)) {
                continue;
            }
            added.push((record, segments::encode(record)));
        }
        let cost: u64 = added.iter().map(|(_, payload)| cost_of(payload.len())).sum();
        if cost > self.free_bytes {
            return Planned::Decided(KeepOutcome::Refused);
        }
        self.free_bytes -= cost;
        for (record, payload) in added {
            let meta = TurnMeta::from(record);
            self.staged.insert(record.key.clone(), meta.clone());
            self.records.push((record.key.clone(), meta));
            self.payloads.push(payload);
        }
        planned
    }
}

fn previous_of(record: &TurnRecord) -> Option<TurnKey> {
    let turn = record.previous.clone()?;
    Some(TurnKey { account: record.key.account.clone(), turn })
}

/// The outcomes of a batch, in the order of its requests.
#[derive(Debug)]
pub(super) struct Batch {
    /// The outcome of each request.
    pub outcomes: Vec<KeepOutcome>,
    /// The error of the disk, if it failed.
    pub failure: Option<io::Error>,
}

impl TurnStore {
    /// Writes the records of several requests, each the records of a chain with the oldest first, and
    /// syncs them once.
    pub(super) fn write_batch(&self, requests: &[Vec<TurnRecord>], now_ms: u64) -> Batch {
        let mut segments = self.segments.lock().expect("not poisoned");
        let index = self.index.lock().expect("not poisoned");
        let used = segments.total_bytes() + RECORD_COST_BYTES * index.len() as u64;
        let free_bytes = match segments.is_refused(now_ms) {
            true => 0,
            false => self.max_bytes.saturating_sub(used),
        };
        let mut plan = Plan {
            index: &index,
            free_bytes,
            staged: HashMap::new(),
            records: Vec::new(),
            payloads: Vec::new(),
        };
        let planned: Vec<Planned> = requests.iter().map(|request| plan.add(request)).collect();
        let Plan { records, payloads, .. } = plan;
        drop(index);
        let written = match payloads.is_empty() {
            true => Ok(Vec::new()),
            false => segments.append(&payloads, now_ms),
        };
        self.bytes.store(segments.total_bytes(), Ordering::SeqCst);
        let failure = match written {
            Ok(positions) => {
                self.syncs.fetch_add(u64::from(!positions.is_empty()), Ordering::SeqCst);
                let mut index = self.index.lock().expect("not poisoned");
                for ((key, meta), position) in records.into_iter().zip(positions) {
                    index.insert(key, meta, position);
                }
                None
            }
            Err(cause) => Some(cause),
        };
        let outcome = |planned| match planned {
            Planned::Decided(outcome) => outcome,
            Planned::WithBatch if failure.is_some() => KeepOutcome::Refused,
            Planned::WithBatch => KeepOutcome::Written,
        };
        Batch { outcomes: planned.into_iter().map(outcome).collect(), failure }
    }
}
