//! Time as the deciding functions see it: a plain argument.

use std::ops::Add;
use std::time::Duration;
use std::time::Instant;
use std::time::SystemTime;
use std::time::UNIX_EPOCH;

/// A reading of this process's monotonic clock, in microseconds since the process started.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Timestamp(pub u64);

impl Timestamp {
    /// Returns the time since `earlier`, or zero if `earlier` is later.
    pub fn since(self, earlier: Timestamp) -> Duration {
        Duration::from_micros(self.0.saturating_sub(earlier.0))
    }

    /// Returns the time that lies `duration` earlier, or the lowest timestamp if there is none.
    pub fn before(self, duration: Duration) -> Self {
        Self(self.0.saturating_sub(duration.as_micros() as u64))
    }

    /// Returns the timestamp of `millis` milliseconds.
    pub fn from_millis(millis: u64) -> Self {
        Self(millis * 1_000)
    }
}

impl Add<Duration> for Timestamp {
    type Output = Timestamp;

    fn add(self, rhs: Duration) -> Timestamp {
        Timestamp(self.0.saturating_add(rhs.as_micros() as u64))
    }
}

/// A reading of the wall clock, in milliseconds since the Unix epoch. For people, never for leases.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct WallTime(pub u64);

/// Reads the time. Only drivers read it; deciding functions are given it.
pub trait Clock: Send + Sync {
    /// Returns the monotonic time.
    fn now(&self) -> Timestamp;

    /// Returns the wall-clock time.
    fn wall(&self) -> WallTime;
}

/// The clock of the operating system.
#[derive(Debug)]
pub struct SystemClock {
    origin: Instant,
}

impl Default for SystemClock {
    fn default() -> Self {
        Self { origin: Instant::now() }
    }
}

impl Clock for SystemClock {
    fn now(&self) -> Timestamp {
        // Starts above zero so that "never" can be told from "at the start".
        Timestamp(1 + self.origin.elapsed().as_micros() as u64)
    }

    fn wall(&self) -> WallTime {
        let since_epoch = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
        WallTime(since_epoch.as_millis() as u64)
    }
}
