//! One order over all that the fakes and the callers of a process record.

use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;

static NEXT: AtomicU64 = AtomicU64::new(1);

/// Returns a number above every number returned before.
pub fn next() -> u64 {
    NEXT.fetch_add(1, Ordering::SeqCst)
}
