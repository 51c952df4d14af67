//! Bounds the log lines of each event number, so that a flood of one does not hide the others.

use std::collections::HashMap;

use crate::clock::Timestamp;

/// The lines a second of one event number: enough to follow each request of a small instance.
pub const LINES_PER_SECOND: u64 = 60;

/// The lines of one event number that may come at once.
pub const LINE_BURST: u64 = 120;

/// The microseconds that one line takes out of the allowance.
const MICROS_PER_LINE: u64 = 1_000_000 / LINES_PER_SECOND;

#[derive(Debug, Default)]
struct Allowance {
    /// When the allowance is whole again, in microseconds.
    whole_at: u64,
    left_out: u64,
}

/// Admits log lines by event number.
#[derive(Debug, Default)]
pub struct LineLimit {
    by_number: HashMap<u16, Allowance>,
}

impl LineLimit {
    /// Returns how many lines of this number were left out since the last admitted one; `None` if
    /// this one is to be left out as well.
    pub fn admit(&mut self, number: u16, now: Timestamp) -> Option<u64> {
        let allowance = self.by_number.entry(number).or_default();
        let whole_at = allowance.whole_at.max(now.0);
        if whole_at - now.0 >= LINE_BURST * MICROS_PER_LINE {
            allowance.left_out += 1;
            return None;
        }
        allowance.whole_at = whole_at + MICROS_PER_LINE;
        Some(std::mem::take(&mut allowance.left_out))
    }
}

#[cfg(test)]
mod tests;
