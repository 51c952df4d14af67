//! The budget as the tasks of a process share it: guards that release on drop and wake waiters.

use std::collections::BTreeMap;
use std::net::IpAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::OnceLock;
use std::time::Duration;

use tokio::sync::Notify;
use tokio::time::Instant;

use crate::clock::Timestamp;
use crate::events::EventNumber;
use crate::events::Recorder;
use crate::events::Subject;
use crate::memory::MachineLimits;
use crate::memory::budget::Budget;
use crate::memory::budget::HolderId;
use crate::memory::budget::HolderKind;
use crate::memory::budget::Reservation;
use crate::memory::budget::SMALL_MAX_BYTES;
use crate::memory::network_of;
use crate::metrics::Metrics;

/// How often a waiting holder looks for room by itself. Each release wakes one small waiter and the
/// first large one only, which may not be able to use the room.
const RECHECK_INTERVAL: Duration = Duration::from_millis(250);

/// The shortest time between two log lines on short memory, so that a flood does not fill the log.
const REPORT_INTERVAL: Duration = Duration::from_secs(1);

/// Why bytes are not reserved.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Denied {
    /// The holder made no progress while others needed room.
    Evicted,
    /// There was no room by the deadline.
    NoRoom,
}

/// The budget of a process.
pub struct MemoryBudget {
    started: Instant,
    state: Mutex<State>,
    /// Wakes one waiter after a release. The first large one is woken by its own signal too.
    freed: Notify,
    limits: MachineLimits,
    /// Where to count and report; set once the process has them.
    reports: OnceLock<(Arc<Metrics>, Arc<Recorder>)>,
}

struct State {
    budget: Budget,
    /// Tells holders that they are evicted or may find room.
    signals: BTreeMap<HolderId, Arc<Notify>>,
    reported_at: Option<Instant>,
    unreported: u64,
}

impl Default for MemoryBudget {
    fn default() -> Self {
        Self::new(MachineLimits::default())
    }
}

impl MemoryBudget {
    /// Creates the budget of a machine.
    pub fn new(limits: MachineLimits) -> Self {
        let state = State {
            budget: Budget::new(limits.budget_bytes()),
            signals: BTreeMap::new(),
            reported_at: None,
            unreported: 0,
        };
        Self {
            started: Instant::now(),
            state: Mutex::new(state),
            freed: Notify::new(),
            limits,
            reports: OnceLock::new(),
        }
    }

    /// Counts and reports what is held and evicted from now on.
    pub fn report_to(&self, metrics: Arc<Metrics>, events: Arc<Recorder>) {
        // A process sets them once; a second call changes nothing.
        let _ = self.reports.set((metrics, events));
    }

    /// Returns what the machine gives to this process.
    pub fn limits(&self) -> MachineLimits {
        self.limits
    }

    /// Opens a holder without bytes for a client at `remote`.
    pub fn open(self: &Arc<Self>, kind: HolderKind, remote: Option<IpAddr>) -> Held {
        let (now, evicted) = (self.now(), Arc::<Notify>::default());
        let mut state = self.lock();
        let id = state.budget.open(kind, now);
        state.signals.insert(id, evicted.clone());
        drop(state);
        Held { memory: self.clone(), id, kind, remote, bytes: 0, evicted }
    }

    /// Returns the bytes that are held.
    pub fn held(&self) -> u64 {
        self.lock().budget.held_in_total()
    }

    /// Returns the most bytes that one holder can ever have.
    pub fn largest(&self) -> u64 {
        self.lock().budget.largest()
    }

    fn now(&self) -> Timestamp {
        Timestamp(self.started.elapsed().as_micros() as u64)
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().expect("not poisoned")
    }

    fn wake(&self) {
        self.freed.notify_one();
        let state = self.lock();
        let first = state.budget.first_waiting();
        if let Some(signal) = first.and_then(|id| state.signals.get(&id)) {
            signal.notify_one();
        }
    }

    /// Sets the gauge of a kind.
    fn show(&self, kind: HolderKind, bytes: u64) {
        if let Some((metrics, _)) = self.reports.get() {
            let gauge = metrics.memory_held.with_label_values(&[kind.name()]);
            gauge.set(bytes as i64);
        }
    }

    /// Counts what a client lost, and logs it unless a line was written lately.
    pub(super) fn report(&self, kind: &str, remote: Option<IpAddr>, reason: &str) {
        let Some((metrics, events)) = self.reports.get() else {
            return;
        };
        metrics.memory_denied.with_label_values(&[kind, reason]).inc();
        let mut state = self.lock();
        let now = Instant::now();
        if state.reported_at.is_some_and(|reported| now - reported < REPORT_INTERVAL) {
            state.unreported += 1;
            return;
        }
        let others = std::mem::take(&mut state.unreported);
        state.reported_at = Some(now);
        let held = state.budget.held_in_total();
        drop(state);
        let network = remote.map_or_else(|| "-".to_owned(), network_of);
        let detail = format!(
            "kind={kind} reason={reason} network={network} others={others} held_bytes={held}"
        );
        events.record(EventNumber::MemoryShort, Subject::default(), detail);
    }
}

/// The reserved bytes of one body, answer or document; dropping it releases them.
pub struct Held {
    memory: Arc<MemoryBudget>,
    id: HolderId,
    kind: HolderKind,
    remote: Option<IpAddr>,
    bytes: u64,
    evicted: Arc<Notify>,
}

impl Held {
    /// Returns the reserved bytes.
    pub fn bytes(&self) -> u64 {
        self.bytes
    }

    /// Reserves `bytes` more without waiting; returns whether there was room.
    pub fn try_reserve(&mut self, bytes: u64) -> bool {
        matches!(self.attempt(bytes), Reservation::Granted)
    }

    /// Reserves `bytes` more, and waits for room until `deadline`.
    ///
    /// # Errors
    /// Fails if the holder is evicted or there is no room in time.
    pub async fn reserve(&mut self, bytes: u64, deadline: Instant) -> Result<(), Denied> {
        loop {
            let retry_at = match self.attempt(bytes) {
                Reservation::Granted => return Ok(()),
                Reservation::Evicted => return Err(Denied::Evicted),
                Reservation::Full { retry_at, .. } => retry_at,
            };
            let now = Instant::now();
            if now >= deadline {
                self.memory.report(self.kind.name(), self.remote, "no_room");
                return Err(Denied::NoRoom);
            }
            let retry_at = retry_at.map(|at| at.since(self.memory.now()));
            let pause = retry_at.unwrap_or(RECHECK_INTERVAL).min(RECHECK_INTERVAL);
            // A millisecond at least, so that a holder that cannot go on does not keep the thread busy.
            let pause = pause.max(Duration::from_millis(1));
            let is_small = self.bytes + bytes <= SMALL_MAX_BYTES;
            tokio::select! {
                () = self.memory.freed.notified(), if is_small => {}
                () = self.evicted.notified() => {}
                () = tokio::time::sleep_until(deadline.min(now + pause)) => {}
            }
        }
    }

    fn attempt(&mut self, bytes: u64) -> Reservation {
        let memory = &self.memory;
        let mut state = memory.lock();
        let outcome = state.budget.reserve(self.id, bytes, memory.now());
        if let Reservation::Full { evicted: Some(evicted), .. } = &outcome
            && let Some(evicted) = state.signals.get(evicted)
        {
            evicted.notify_one();
        }
        let held = state.budget.held(self.kind);
        drop(state);
        if outcome == Reservation::Granted {
            self.bytes += bytes;
            memory.show(self.kind, held);
            // What remains may be enough for the next waiter.
            memory.wake();
        }
        outcome
    }

    /// Notes that bytes have arrived.
    pub fn note_progress(&self) {
        self.memory.lock().budget.note_progress(self.id, self.memory.now());
    }

    /// Waits until the holder is evicted.
    pub async fn evicted(&self) {
        while !self.memory.lock().budget.is_evicted(self.id) {
            self.evicted.notified().await;
        }
    }

    /// Gives back all but `bytes` and keeps the rest from being evicted.
    ///
    /// # Errors
    /// Fails if the holder was evicted before.
    pub fn complete(&mut self, bytes: u64) -> Result<(), Denied> {
        let mut state = self.memory.lock();
        if !state.budget.complete(self.id) {
            return Err(Denied::Evicted);
        }
        if bytes < self.bytes {
            state.budget.shrink(self.id, bytes);
            self.bytes = bytes;
            drop(state);
            self.memory.wake();
        }
        Ok(())
    }

    /// Counts and logs that the holder was evicted.
    pub fn report_eviction(&self) {
        self.memory.report(self.kind.name(), self.remote, "evicted");
    }
}

impl Drop for Held {
    fn drop(&mut self) {
        let mut state = self.memory.lock();
        state.budget.close(self.id);
        state.signals.remove(&self.id);
        let held = state.budget.held(self.kind);
        drop(state);
        self.memory.show(self.kind, held);
        self.memory.wake();
    }
}

#[cfg(test)]
mod tests;
