//! The account of the bytes that outsiders make this process hold.
//!
//! Pure: time is an argument, and nothing is allocated or read here. A holder is one body, answer or
//! document. Small holders may use the whole budget, large ones all but the small part, so that a
//! flood of large bodies leaves room for ordinary requests.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::time::Duration;

use crate::clock::Timestamp;

/// The most bytes of a holder that counts as small. Ordinary requests have bodies of some 6 KiB.
pub const SMALL_MAX_BYTES: u64 = 16 * 1024;

/// The divisor of the budget for the part that only small holders may use: with the 22 MB of the
/// smallest machine, some 900 ordinary requests beside a flood of large bodies.
const SMALL_PART_DIVISOR: u64 = 4;

/// The divisor of the budget for the most that large answers may hold, since a caller that reads
/// nothing cannot be told from one that reads slowly.
const ANSWERS_DIVISOR: u64 = 4;

/// The time without progress after which a body may be evicted. Longer than the retransmissions of a
/// lossy link, shorter than the time that callers wait.
pub const STALLED_AFTER: Duration = Duration::from_millis(1_000);

/// What a holder is.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum HolderKind {
    /// The body of a caller's request.
    Body,
    /// An answer that is buffered for a caller.
    Answer,
    /// The body of a call of an endpoint or operator.
    Document,
}

impl HolderKind {
    /// All kinds.
    pub const ALL: [Self; 3] = [Self::Body, Self::Answer, Self::Document];

    /// Returns the name in metrics and logs.
    pub fn name(self) -> &'static str {
        match self {
            Self::Body => "body",
            Self::Answer => "answer",
            Self::Document => "document",
        }
    }
}

/// Identifies a holder; never used again.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct HolderId(u64);

/// What became of a reservation.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Reservation {
    /// The bytes are reserved.
    Granted,
    /// There is no room yet.
    Full {
        /// The holder that is evicted to make room, if one is.
        evicted: Option<HolderId>,
        /// When the next holder may be evicted; `None` if nothing can be.
        retry_at: Option<Timestamp>,
    },
    /// The holder itself was evicted, or is unknown.
    Evicted,
}

#[derive(Debug)]
struct Holder {
    kind: HolderKind,
    bytes: u64,
    progressed_at: Timestamp,
    /// Whether its bytes still arrive, so that it can be evicted without effect on an endpoint.
    is_arriving: bool,
    is_evicted: bool,
}

impl Holder {
    fn is_large(&self) -> bool {
        self.bytes > SMALL_MAX_BYTES
    }

    fn is_evictable(&self) -> bool {
        self.is_arriving && !self.is_evicted && self.bytes > 0
    }
}

/// The account.
#[derive(Debug)]
pub struct Budget {
    total: u64,
    next_id: u64,
    holders: BTreeMap<HolderId, Holder>,
    /// The bytes of small holders.
    small: u64,
    /// The bytes of large holders.
    large: u64,
    /// The bytes of large answers, which are part of `large`.
    large_answers: u64,
    /// The bytes by kind.
    by_kind: BTreeMap<HolderKind, u64>,
    /// The bytes of small and of large holders that were evicted and are not closed yet.
    leaving: (u64, u64),
    /// The arriving holders that lack room to be large. Room goes to the first of them, so that it is
    /// soon complete; if each got a step, all would wait for each other.
    waiting: BTreeSet<HolderId>,
}

impl Budget {
    /// Creates an account of `total` bytes.
    pub fn new(total: u64) -> Self {
        Self {
            total,
            next_id: 0,
            holders: BTreeMap::new(),
            small: 0,
            large: 0,
            large_answers: 0,
            by_kind: BTreeMap::new(),
            leaving: (0, 0),
            waiting: BTreeSet::new(),
        }
    }

    /// Opens a holder without bytes.
    pub fn open(&mut self, kind: HolderKind, now: Timestamp) -> HolderId {
        let id = HolderId(self.next_id);
        self.next_id += 1;
        let holder =
            Holder { kind, bytes: 0, progressed_at: now, is_arriving: true, is_evicted: false };
        self.holders.insert(id, holder);
        id
    }

    /// Reserves `bytes` more for a holder, all or none.
    ///
    /// Without room, the arriving holder that has made no progress for longest is evicted, if that
    /// is at least [`STALLED_AFTER`]. Its bytes are free once it is closed.
    pub fn reserve(&mut self, id: HolderId, bytes: u64, now: Timestamp) -> Reservation {
        let Some(holder) = self.holders.get(&id).filter(|holder| !holder.is_evicted) else {
            return Reservation::Evicted;
        };
        let (kind, before) = (holder.kind, holder.bytes);
        let after = before + bytes;
        if after > SMALL_MAX_BYTES && kind != HolderKind::Answer {
            let is_first = self.waiting.first().is_none_or(|first| *first >= id);
            self.waiting.insert(id);
            if !is_first {
                return Reservation::Full { evicted: None, retry_at: None };
            }
        }
        if self.has_room(kind, before, after, (0, 0)) {
            self.waiting.remove(&id);
            self.set_bytes(id, after);
            self.note_progress(id, now);
            return Reservation::Granted;
        }
        if self.has_room(kind, before, after, self.leaving) {
            // There is room once the evicted holders are closed.
            return Reservation::Full { evicted: None, retry_at: Some(now + STALLED_AFTER) };
        }
        let only_large = !self.is_total_short(before, after);
        let candidates = self.holders.iter().filter(|(other, holder)| {
            **other != id && holder.is_evictable() && (holder.is_large() || !only_large)
        });
        let oldest = candidates.min_by_key(|(other, holder)| (holder.progressed_at, **other));
        let Some((oldest, stalled_at)) =
            oldest.map(|(other, holder)| (*other, holder.progressed_at + STALLED_AFTER))
        else {
            return Reservation::Full { evicted: None, retry_at: None };
        };
        if stalled_at > now {
            return Reservation::Full { evicted: None, retry_at: Some(stalled_at) };
        }
        self.evict(oldest);
        let retry_at = Some(now + STALLED_AFTER);
        Reservation::Full { evicted: Some(oldest), retry_at }
    }

    /// Returns the holder that the next room for large ones goes to.
    pub fn first_waiting(&self) -> Option<HolderId> {
        self.waiting.first().copied()
    }

    /// Returns whether an arriving holder was evicted; it must be closed then.
    pub fn is_evicted(&self, id: HolderId) -> bool {
        self.holders.get(&id).is_none_or(|holder| holder.is_evicted)
    }

    /// Notes that bytes of a holder arrived.
    pub fn note_progress(&mut self, id: HolderId, now: Timestamp) {
        if let Some(holder) = self.holders.get_mut(&id) {
            holder.progressed_at = holder.progressed_at.max(now);
        }
    }

    /// Notes that a holder has all its bytes and is in use; it is not evicted from then on. Returns
    /// whether it was not evicted before.
    pub fn complete(&mut self, id: HolderId) -> bool {
        match self.holders.get_mut(&id) {
            Some(holder) if !holder.is_evicted => {
                holder.is_arriving = false;
                self.waiting.remove(&id);
                true
            }
            _ => false,
        }
    }

    /// Gives back all but `bytes` of a holder.
    pub fn shrink(&mut self, id: HolderId, bytes: u64) {
        if self.holders.get(&id).is_some_and(|holder| holder.bytes > bytes) {
            self.set_bytes(id, bytes);
        }
    }

    /// Removes a holder and gives back its bytes.
    pub fn close(&mut self, id: HolderId) {
        self.set_bytes(id, 0);
        self.holders.remove(&id);
        self.waiting.remove(&id);
    }

    /// Returns the bytes that are reserved for holders of a kind.
    pub fn held(&self, kind: HolderKind) -> u64 {
        self.by_kind.get(&kind).copied().unwrap_or_default()
    }

    /// Returns the bytes that are reserved.
    pub fn held_in_total(&self) -> u64 {
        self.small + self.large
    }

    /// Returns the most that a large holder can ever hold.
    pub fn largest(&self) -> u64 {
        self.large_max()
    }

    fn large_max(&self) -> u64 {
        self.total - self.total / SMALL_PART_DIVISOR
    }

    /// Returns whether a holder may grow, apart from the bytes of small and large holders in `leaving`.
    fn has_room(&self, kind: HolderKind, before: u64, after: u64, leaving: (u64, u64)) -> bool {
        let (small, large) = (self.small - leaving.0, self.large - leaving.1);
        if small + large - before + after > self.total {
            return false;
        }
        if after <= SMALL_MAX_BYTES {
            return true;
        }
        let was_large = if before > SMALL_MAX_BYTES { before } else { 0 };
        let answers = self.large_answers - if kind == HolderKind::Answer { was_large } else { 0 };
        let fits_answers =
            kind != HolderKind::Answer || answers + after <= self.total / ANSWERS_DIVISOR;
        fits_answers && large - was_large + after <= self.large_max()
    }

    fn is_total_short(&self, before: u64, after: u64) -> bool {
        self.held_in_total() - before + after > self.total
    }

    fn evict(&mut self, id: HolderId) {
        self.waiting.remove(&id);
        self.remove_from_sums(id);
        if let Some(holder) = self.holders.get_mut(&id) {
            holder.is_evicted = true;
        }
        self.add_to_sums(id);
    }

    fn set_bytes(&mut self, id: HolderId, bytes: u64) {
        self.remove_from_sums(id);
        if let Some(holder) = self.holders.get_mut(&id) {
            holder.bytes = bytes;
        }
        self.add_to_sums(id);
    }

    fn remove_from_sums(&mut self, id: HolderId) {
        self.change_sums(id, |sum, bytes| *sum -= bytes);
    }

    fn add_to_sums(&mut self, id: HolderId) {
        self.change_sums(id, |sum, bytes| *sum += bytes);
    }

    /// Applies `change` to each sum that a holder is part of.
    fn change_sums<F>(&mut self, id: HolderId, change: F)
    where
        F: Fn(&mut u64, u64),
    {
        let Some(holder) = self.holders.get(&id) else {
            return;
        };
        change(self.by_kind.entry(holder.kind).or_default(), holder.bytes);
        let (sum, leaving) = match holder.is_large() {
            true => (&mut self.large, &mut self.leaving.1),
            false => (&mut self.small, &mut self.leaving.0),
        };
        change(sum, holder.bytes);
        if holder.is_evicted {
            change(leaving, holder.bytes);
        }
        if holder.is_large() && holder.kind == HolderKind::Answer {
            change(&mut self.large_answers, holder.bytes);
        }
    }
}

#[cfg(test)]
mod tests;
