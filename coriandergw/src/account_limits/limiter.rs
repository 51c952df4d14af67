//! Grants permits for requests of accounts with a limit, at the limit keeper.

use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;

use crate::account_limits::Ask;
use crate::account_limits::LimitTolerance;
use crate::account_limits::Verdict;
use crate::account_limits::programs::ProgramsInProgress;
use crate::accounts::AccountLimit;
use crate::clock::Timestamp;
use crate::token_bucket::TokenBucket;

/// How long after its start a keeper takes unknown programs for programs in progress: its
/// predecessor knew them, and their requests follow each other within seconds.
const LEARNING: Duration = Duration::from_secs(5);

/// The fraction of the bucket below which a new program needs a token of its own.
const NEW_PROGRAM_LEVEL: f64 = 0.5;

/// The time over which the tokens left below that level are spread over new programs. Without it,
/// half a bucket would stay unused when an account has few programs in progress.
const DRAIN: Duration = Duration::from_secs(2);

/// The programs that may begin at once below that level, as the time in which as many may begin.
const START_BURST: Duration = Duration::from_millis(500);

/// The requests of a program that are assumed until the account's own programs are known, and the
/// number of programs that this assumption weighs as much as.
const ASSUMED_REQUESTS: f64 = 4.0;
const ASSUMED_PROGRAMS: f64 = 5.0;

/// The time after which a count of requests and programs has lost most of its weight. Several times
/// the duration of a program, since a burst of first requests would otherwise look like short
/// programs.
const COUNT_MEMORY: Duration = Duration::from_secs(30);

/// The longest Retry-After of a request of a program in progress. Such a program should go on soon.
const CONTINUED_RETRY_MAX: Duration = Duration::from_secs(2);

/// The longest Retry-After of other requests. Three attempts with it outlast a burst of some 6 s.
const NEW_RETRY_MAX: Duration = Duration::from_secs(5);

/// The part of a Retry-After that is added at random at most.
const JITTER: f64 = 0.25;

/// The maximum number of accounts with a bucket; well above the 1,600 that are planned.
const ACCOUNTS_MAX: usize = 4_096;

/// The token buckets of all accounts with a limit, and their programs in progress.
#[derive(Debug)]
pub struct Limiter {
    tolerance: LimitTolerance,
    started_at: Timestamp,
    /// The buckets of accounts that are not known have been refilled since this time: the keeper's
    /// start, or the last time that a bucket was dropped.
    refilled_since: Timestamp,
    accounts: HashMap<Arc<str>, AccountState>,
    programs: ProgramsInProgress,
}

#[derive(Debug)]
struct AccountState {
    version: u64,
    limit: AccountLimit,
    tokens_max: f64,
    bucket: TokenBucket,
    /// The tokens of new programs while the bucket is less than half full.
    starts: TokenBucket,
    usage: Usage,
    /// The times up to which the coming tokens are already needed by requests that were told to come
    /// back: of programs in progress, and all others.
    continued_until: Timestamp,
    new_until: Timestamp,
    asked_at: Timestamp,
}

/// The requests and programs of an account, with less weight the older they are. Both are counted
/// only while new programs are not held back, as the quotient would otherwise confirm itself.
#[derive(Debug)]
struct Usage {
    requests: f64,
    programs: f64,
    counted_at: Timestamp,
}

/// How a request stands to its program.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Standing {
    /// It has no program.
    Single,
    /// It is the first request of its program.
    First,
    /// Its program is in progress.
    Continued,
}

impl Limiter {
    /// Creates the limiter of a keeper that starts at `now`, with empty buckets: the permits of its
    /// predecessor may have been used a moment ago.
    pub fn new(tolerance: LimitTolerance, now: Timestamp) -> Self {
        Self {
            tolerance,
            started_at: now,
            refilled_since: now,
            accounts: HashMap::new(),
            programs: ProgramsInProgress::default(),
        }
    }

    /// Decides on a request. `jitter` is a random number from 0 up to 1.
    pub fn decide(&mut self, ask: &Ask, jitter: f64, now: Timestamp) -> Verdict {
        let standing = self.standing(ask, now);
        let account = self.update(ask, now);
        if !account.take(standing, now) {
            return Verdict::Denied(account.retry_after(standing, jitter, now));
        }
        if let Some(program) = &ask.program {
            self.programs.note(&ask.account, program, now);
        }
        Verdict::Granted
    }

    /// Takes back permits for requests that were not sent to an endpoint.
    pub fn take_back(&mut self, account: &str, permits: u32, now: Timestamp) {
        if let Some(account) = self.accounts.get_mut(account) {
            account.bucket.put_back(f64::from(permits), now);
        }
    }

    fn standing(&mut self, ask: &Ask, now: Timestamp) -> Standing {
        let Some(program) = &ask.program else {
            return Standing::Single;
        };
        let is_learning = now.since(self.started_at) < LEARNING;
        let is_known = self.programs.contains(&ask.account, program, now);
        match ask.continues || is_known || is_learning {
            true => Standing::Continued,
            false => Standing::First,
        }
    }

    /// Applies the limit that an instance knows, if it is of a higher version than the known one.
    fn update(&mut self, ask: &Ask, now: Timestamp) -> &mut AccountState {
        if !self.accounts.contains_key(&ask.account) {
            self.make_room(now);
        }
        let (tolerance, since) = (self.tolerance, self.refilled_since);
        let account = self
            .accounts
            .entry(ask.account.clone())
            .or_insert_with(|| AccountState::new(ask, &tolerance, since));
        if ask.version > account.version {
            account.change_limit(ask, &tolerance, now);
        }
        account.asked_at = now;
        account
    }

    /// Drops the bucket of the account that has not asked for the longest time, if there are too
    /// many.
    fn make_room(&mut self, now: Timestamp) {
        if self.accounts.len() < ACCOUNTS_MAX {
            return;
        }
        let oldest = self.accounts.iter().min_by_key(|(_, account)| account.asked_at);
        if let Some(name) = oldest.map(|(name, _)| name.clone()) {
            self.accounts.remove(&name);
            // The dropped bucket may not have been full.
            self.refilled_since = now;
        }
    }
}

impl AccountState {
    fn new(ask: &Ask, tolerance: &LimitTolerance, since: Timestamp) -> Self {
        let limit = ask.limit;
        let tokens_max = capacity(limit, tolerance);
        let bucket = TokenBucket::new(tokens_max, limit.per_second, since).with_tokens(0.0);
        let starts = limit.per_second / ASSUMED_REQUESTS;
        Self {
            version: ask.version,
            limit,
            tokens_max,
            bucket,
            starts: TokenBucket::new(1.0, starts, since),
            usage: Usage { requests: 0.0, programs: 0.0, counted_at: since },
            continued_until: Timestamp::default(),
            new_until: Timestamp::default(),
            asked_at: since,
        }
    }

    fn change_limit(&mut self, ask: &Ask, tolerance: &LimitTolerance, now: Timestamp) {
        self.version = ask.version;
        if ask.limit == self.limit {
            return;
        }
        self.limit = ask.limit;
        self.tokens_max = capacity(ask.limit, tolerance);
        self.bucket.set_rate(self.tokens_max, ask.limit.per_second, now);
        (self.continued_until, self.new_until) = (now, now);
    }

    /// Takes a token for a request, and for the first request of a program a second one if the
    /// bucket is less than half full. Returns whether they were there.
    fn take(&mut self, standing: Standing, now: Timestamp) -> bool {
        let tokens = self.bucket.tokens_at(now);
        let is_scarce = tokens < self.tokens_max * NEW_PROGRAM_LEVEL;
        if standing == Standing::First && is_scarce {
            let per_second = self.starts_per_second(tokens);
            let starts_max = (per_second * START_BURST.as_secs_f64()).max(1.0);
            self.starts.set_rate(starts_max, per_second, now);
            if tokens < 1.0 || !self.starts.take(now) {
                return false;
            }
        }
        let is_granted = self.bucket.take(now);
        match standing {
            Standing::Single => {}
            _ if is_granted && !is_scarce => self.usage.count(standing, now),
            // More programs have begun than the limit can carry.
            Standing::Continued if !is_granted => self.starts.clear(now),
            _ => {}
        }
        is_granted
    }

    /// Returns the programs a second that may begin: as many as the limit and what is left in the
    /// bucket can carry.
    fn starts_per_second(&self, tokens: f64) -> f64 {
        let carried = self.limit.per_second + tokens / DRAIN.as_secs_f64();
        carried / self.usage.requests_per_program()
    }

    /// Returns when a refused request should come back: once the requests that were refused before
    /// it have found room.
    fn retry_after(&mut self, standing: Standing, jitter: f64, now: Timestamp) -> Duration {
        let next_token = self.bucket.next_token_in(now);
        let (until, per_second, longest, next) = match standing {
            Standing::First => {
                let per_second = self.starts_per_second(0.0);
                let next = next_token.max(self.starts.next_token_in(now));
                (&mut self.new_until, per_second, NEW_RETRY_MAX, next)
            }
            Standing::Single => {
                (&mut self.new_until, self.limit.per_second, NEW_RETRY_MAX, next_token)
            }
            Standing::Continued => {
                let per_second = self.limit.per_second;
                (&mut self.continued_until, per_second, CONTINUED_RETRY_MAX, next_token)
            }
        };
        let each = Duration::try_from_secs_f64(1.0 / per_second).unwrap_or(longest).min(longest);
        let delay = until.since(now).max(next);
        *until = now + (delay + each).min(longest);
        match delay >= longest {
            // All later callers get the longest time, so they are spread over half of it.
            true => longest.mul_f64(1.0 - jitter / 2.0),
            false => delay.mul_f64(1.0 + JITTER * jitter),
        }
    }
}

impl Usage {
    fn count(&mut self, standing: Standing, now: Timestamp) {
        let age = now.since(self.counted_at).as_secs_f64() / COUNT_MEMORY.as_secs_f64();
        let weight = (-age).exp();
        self.counted_at = now;
        self.requests = self.requests * weight + 1.0;
        self.programs *= weight;
        if standing == Standing::First {
            self.programs += 1.0;
        }
    }

    /// Returns the mean number of requests of a program; at least one.
    fn requests_per_program(&self) -> f64 {
        let requests = self.requests + ASSUMED_REQUESTS * ASSUMED_PROGRAMS;
        (requests / (self.programs + ASSUMED_PROGRAMS)).max(1.0)
    }
}

/// Returns the tokens that a bucket holds at most: at least one, as nothing would be granted else.
fn capacity(limit: AccountLimit, tolerance: &LimitTolerance) -> f64 {
    (limit.burst + tolerance.half_excess(limit)).max(1.0)
}

#[cfg(test)]
mod tests;
