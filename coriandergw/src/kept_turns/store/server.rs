//! Answers requests about kept turns on a journal instance.
//!
//! Writes wait in a queue; one task writes all that wait with one sync. Reads run on threads that may
//! block, a bounded number at a time.

use std::sync::Arc;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::time::Duration;

use async_trait::async_trait;
use bytes::Bytes;
use tokio::sync::OwnedSemaphorePermit;
use tokio::sync::Semaphore;
use tokio::sync::mpsc;
use tokio::sync::oneshot;
use tokio::task::JoinError;
use tokio::time::MissedTickBehavior;

use crate::context::Context;
use crate::events::EventNumber;
use crate::events::Subject;
use crate::ids::InstanceName;
use crate::kept_turns::TurnKey;
use crate::kept_turns::TurnRecord;
use crate::kept_turns::generated as raw;
use crate::kept_turns::generated::answer;
use crate::kept_turns::generated::request;
use crate::kept_turns::store::Counts;
use crate::kept_turns::store::Found;
use crate::kept_turns::store::KeepOutcome;
use crate::kept_turns::store::TurnStore;
use crate::kept_turns::store::batch::Batch;
use crate::kept_turns::wire;
use crate::roster::poller::Roster;
use crate::transport::Handler;
use crate::transport::PAYLOAD_MAX_BYTES;

/// The number of writes that may wait. At 200 turns a second, a disk that stops for a second delays
/// fewer; further ones are refused, since their callers would give up before the disk gets to them.
const QUEUE_WRITES: usize = 256;

/// The bytes of writes that may wait, in KiB. A batch is held up to three times while it is written, and a
/// journal instance has 120 MB; one message has 8 MiB at most.
const QUEUE_KIB: usize = 12 * 1024;

/// The number of reads at the same time. Each holds a chain in memory, about 1 MB for the longest.
const READS_MAX: usize = 8;

/// How often expired turns are removed.
const EXPIRE_INTERVAL: Duration = Duration::from_secs(1);

/// Tells whether this instance is to be emptied.
pub trait Retirement: Send + Sync {
    /// Returns whether this instance is retiring, so that it takes no more turns.
    fn is_retiring(&self) -> bool;
}

impl Retirement for Roster {
    fn is_retiring(&self) -> bool {
        let node = self.presence().node;
        self.with_view(|view| view.retiring().contains(&node))
    }
}

struct Write {
    records: Vec<TurnRecord>,
    reply: oneshot::Sender<KeepOutcome>,
    /// Its share of [`QUEUE_KIB`].
    room: OwnedSemaphorePermit,
}

/// Answers requests of other instances from the store.
pub struct KeptTurnsServer {
    cx: Context,
    store: Arc<TurnStore>,
    retirement: Arc<dyn Retirement>,
    queue: mpsc::Sender<Write>,
    room: Arc<Semaphore>,
    reads: Semaphore,
    /// The writes that were accepted since the start, whether they have ended or not.
    accepted: AtomicU64,
    /// The accepted writes that have ended.
    settled: Arc<AtomicU64>,
}

/// Writes what waits in the queue of a server.
pub struct KeptTurnsWriter {
    cx: Context,
    store: Arc<TurnStore>,
    queue: mpsc::Receiver<Write>,
    settled: Arc<AtomicU64>,
    has_failed: bool,
    reported: Counts,
}

/// Creates a server and the writer that has to run with it.
pub fn server(
    cx: Context,
    store: Arc<TurnStore>,
    retirement: Arc<dyn Retirement>,
) -> (Arc<KeptTurnsServer>, KeptTurnsWriter) {
    let (sender, receiver) = mpsc::channel(QUEUE_WRITES);
    let server = KeptTurnsServer {
        cx: cx.clone(),
        store: store.clone(),
        retirement,
        queue: sender,
        room: Arc::new(Semaphore::new(QUEUE_KIB)),
        reads: Semaphore::new(READS_MAX),
        accepted: AtomicU64::new(0),
        settled: Arc::default(),
    };
    let writer = KeptTurnsWriter {
        cx,
        store,
        queue: receiver,
        settled: server.settled.clone(),
        has_failed: false,
        reported: Counts::default(),
    };
    (Arc::new(server), writer)
}

impl KeptTurnsServer {
    /// Returns the number of writes that were accepted since the start.
    pub fn accepted(&self) -> u64 {
        self.accepted.load(Ordering::SeqCst)
    }

    /// Returns the number of accepted writes that have ended, so that their turns are in the store.
    pub fn settled(&self) -> u64 {
        self.settled.load(Ordering::SeqCst)
    }

    /// Reads the chain that ends with a turn.
    ///
    /// # Errors
    /// Fails if the thread of the read failed.
    pub async fn read(&self, key: TurnKey) -> Result<Found, String> {
        let _permit = self.reads.acquire().await.map_err(|cause| cause.to_string())?;
        let store = self.store.clone();
        let now_ms = self.cx.clock.wall().0;
        let reading = tokio::task::spawn_blocking(move || store.find(&key, now_ms));
        reading.await.map_err(|cause| cause.to_string())
    }

    async fn find(&self, key: TurnKey) -> Result<raw::FindAnswer, String> {
        let found = self.read(key).await?;
        // Read after the lookup: damage that hides a turn raises it first.
        let complete_since_ms = self.store.complete_since_ms();
        let unreadable = found == Found::Unreadable;
        let records = match found {
            Found::Chain(records) => wire::encode_records(&records),
            Found::Absent | Found::Unreadable => Vec::new(),
        };
        Ok(raw::FindAnswer { records, complete_since_ms, unreadable })
    }

    async fn keep(&self, records: Vec<TurnRecord>) -> KeepOutcome {
        if records.is_empty() || self.retirement.is_retiring() {
            return KeepOutcome::Refused;
        }
        let bytes: usize = records.iter().map(|one| one.input.len() + one.output.len()).sum();
        let Ok(room) = self.room.clone().try_acquire_many_owned((bytes / 1024 + 1) as u32) else {
            return KeepOutcome::Refused;
        };
        let (reply, outcome) = oneshot::channel();
        self.accepted.fetch_add(1, Ordering::SeqCst);
        if self.queue.try_send(Write { records, reply, room }).is_err() {
            self.settled.fetch_add(1, Ordering::SeqCst);
            return KeepOutcome::Refused;
        }
        // The writer drops its end only when the process stops.
        outcome.await.unwrap_or(KeepOutcome::Refused)
    }

    fn missing(&self, keys: Vec<TurnKey>) -> Vec<TurnKey> {
        match self.retirement.is_retiring() {
            true => Vec::new(),
            false => self.store.missing(keys),
        }
    }
}

#[async_trait]
impl Handler for KeptTurnsServer {
    async fn handle(&self, _from: &InstanceName, payload: Bytes) -> Result<Bytes, String> {
        let request = wire::decode_request(payload).map_err(|cause| cause.to_string())?;
        let body = match request {
            request::Body::Find(find) => {
                let key = TurnKey::try_from(find).map_err(|cause| cause.to_string())?;
                answer::Body::Find(self.find(key).await?)
            }
            request::Body::Keep(keep) => {
                let records = wire::parse_chain(keep.records).map_err(|cause| cause.to_string())?;
                let outcome = self.keep(records).await;
                self.cx.metrics.kept_turns.with_label_values(&[outcome_label(outcome)]).inc();
                answer::Body::Keep(raw::KeepAnswer {
                    written: outcome == KeepOutcome::Written,
                    previous_missing: outcome == KeepOutcome::PreviousMissing,
                })
            }
            request::Body::Offer(offer) => {
                let keys = wire::parse_keys(offer.keys).map_err(|cause| cause.to_string())?;
                let missing = self.missing(keys).iter().map(raw::Key::from).collect();
                answer::Body::Offer(raw::OfferAnswer { missing })
            }
        };
        let encoded = wire::encode_answer(body);
        if encoded.len() > PAYLOAD_MAX_BYTES {
            return Err(format!("the chain has {} bytes", encoded.len()));
        }
        Ok(encoded)
    }
}

fn outcome_label(outcome: KeepOutcome) -> &'static str {
    match outcome {
        KeepOutcome::Written => "written",
        KeepOutcome::PreviousMissing => "previous_missing",
        KeepOutcome::Refused => "refused",
    }
}

impl KeptTurnsWriter {
    /// Writes what waits in the queue, and removes expired turns, until the server is dropped.
    pub async fn run(mut self) {
        let mut expire = tokio::time::interval(EXPIRE_INTERVAL);
        expire.set_missed_tick_behavior(MissedTickBehavior::Delay);
        let mut waiting = Vec::with_capacity(QUEUE_WRITES);
        self.report_counts();
        loop {
            tokio::select! {
                received = self.queue.recv_many(&mut waiting, QUEUE_WRITES) => {
                    if received == 0 {
                        return;
                    }
                    self.write(std::mem::take(&mut waiting)).await;
                }
                _ = expire.tick() => self.expire().await,
            }
            self.report_counts();
        }
    }

    async fn write(&mut self, writes: Vec<Write>) {
        let (requests, waiting): (Vec<_>, Vec<_>) =
            writes.into_iter().map(|write| (write.records, (write.reply, write.room))).unzip();
        let now_ms = self.cx.clock.wall().0;
        let store = self.store.clone();
        let writing = tokio::task::spawn_blocking(move || store.write_batch(&requests, now_ms));
        let Batch { outcomes, failure } = resume_panic(writing.await);
        self.settled.fetch_add(outcomes.len() as u64, Ordering::SeqCst);
        let has_written = outcomes.contains(&KeepOutcome::Written);
        if let Some(cause) = failure {
            self.note_failure(&cause.to_string());
        } else if self.has_failed && has_written {
            self.has_failed = false;
            self.report(EventNumber::TurnStoreRegained, "the disk takes writes again");
        }
        for ((reply, _room), outcome) in waiting.into_iter().zip(outcomes) {
            // The caller may have given up.
            let _ = reply.send(outcome);
        }
    }

    async fn expire(&mut self) {
        let now_ms = self.cx.clock.wall().0;
        let store = self.store.clone();
        let expiring = tokio::task::spawn_blocking(move || store.expire(now_ms));
        if let Err(cause) = resume_panic(expiring.await) {
            self.note_failure(&cause.to_string());
        }
    }

    /// Reports a failure of the disk once, until a write succeeds.
    fn note_failure(&mut self, cause: &str) {
        self.cx.metrics.kept_turns.with_label_values(&["disk_failed"]).inc();
        if !self.has_failed {
            self.has_failed = true;
            self.report(EventNumber::TurnStoreFailed, cause);
        }
    }

    fn report_counts(&mut self) {
        let counts = self.store.counts();
        let states = &self.cx.metrics.states;
        states.with_label_values(&["kept_turns"]).set(counts.turns as i64);
        states.with_label_values(&["kept_turn_bytes"]).set(counts.bytes as i64);
        let totals = &self.cx.metrics.kept_turns;
        totals.with_label_values(&["synced"]).inc_by(counts.syncs - self.reported.syncs);
        let damaged = counts.damaged - self.reported.damaged;
        totals.with_label_values(&["damaged"]).inc_by(damaged);
        if damaged > 0 {
            self.report(EventNumber::TurnsDamaged, &format!("records={damaged}"));
        }
        self.reported = counts;
    }

    fn report(&self, number: EventNumber, detail: &str) {
        self.cx.events.record(number, Subject::default(), detail);
    }
}

/// Passes on a panic of a thread, so that the supervision ends the process.
fn resume_panic<T>(result: Result<T, JoinError>) -> T {
    result.unwrap_or_else(|cause| match cause.try_into_panic() {
        Ok(panic) => std::panic::resume_unwind(panic),
        Err(cause) => panic!("the write was cancelled: {cause}"),
    })
}

#[cfg(test)]
mod tests;
