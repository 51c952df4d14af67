//! Answers requests for permits on a core instance while it is the limit keeper.

use std::collections::HashMap;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::Weak;
use std::time::Duration;

use async_trait::async_trait;
use bytes::Bytes;
use prost::Message as _;
use tokio::sync::watch;

use crate::account_limits::Ask;
use crate::account_limits::Keepership;
use crate::account_limits::LimitTolerance;
use crate::account_limits::Verdict;
use crate::account_limits::generated as raw;
use crate::account_limits::limiter::Limiter;
use crate::clock::Timestamp;
use crate::context::Context;
use crate::events::EventNumber;
use crate::events::Subject;
use crate::ids::CONTROL_GROUP;
use crate::ids::InstanceName;
use crate::log_groups::Leadership;
use crate::log_groups::core::UNLEASED_LEASE;
use crate::log_groups::core::UNLEASED_SOLE_LEADER;
use crate::log_groups::node::LogNode;
use crate::transport::Handler;

/// The interval between two reports that an account has reached its limit.
const REPORT_INTERVAL: Duration = Duration::from_secs(1);

/// The accounts that are waited for with a report at most; as many as have a bucket.
const REPORTED_MAX: usize = 4_096;

/// The largest number of permits that one message may return for an account. A larger number is the
/// fault of its sender.
const RETURNED_MAX: u32 = 10_000;

/// The keepership of an instance with the control group, which has no leases.
///
/// The reference is weak, as the transport keeps its handlers: a strong one would let the log go on
/// after its process has ended.
pub struct NodeKeepership(pub Weak<LogNode>);

impl Keepership for NodeKeepership {
    fn term(&self, now: Timestamp) -> Option<u64> {
        let node = self.0.upgrade()?;
        let leadership = node.leadership(CONTROL_GROUP)?.borrow().clone();
        let lease_until = node.lease_until(CONTROL_GROUP);
        let heard_at = lease_until.before(UNLEASED_LEASE);
        let leads = leadership.is_leader && lease_until > Timestamp::default();
        (leads && now < heard_at + UNLEASED_SOLE_LEADER).then_some(leadership.term)
    }
}

/// Grants permits while this instance is the limit keeper.
pub struct AccountPermitServer {
    cx: Context,
    keepership: Arc<dyn Keepership>,
    tolerance: LimitTolerance,
    keeper: Mutex<Option<Keeper>>,
}

/// The state of one term.
struct Keeper {
    term: u64,
    limiter: Limiter,
    denials: HashMap<Arc<str>, Denials>,
}

/// What is to be reported of an account that has reached its limit.
#[derive(Default)]
struct Denials {
    count: u64,
    reported_at: Timestamp,
}

impl AccountPermitServer {
    /// Creates a server that grants permits with this tolerance.
    pub fn new(
        cx: Context,
        keepership: Arc<dyn Keepership>,
        tolerance: LimitTolerance,
    ) -> Arc<Self> {
        Arc::new(Self { cx, keepership, tolerance, keeper: Mutex::default() })
    }

    /// Starts the token buckets when this instance becomes the leader, until the process ends.
    /// Started with the first request instead, they would be empty then.
    pub async fn follow_leadership(self: Arc<Self>, mut leadership: watch::Receiver<Leadership>) {
        loop {
            let known = leadership.borrow_and_update().clone();
            if known.is_leader {
                let mut keeper = self.keeper.lock().expect("not poisoned");
                self.start_term(&mut keeper, known.term, self.cx.clock.now());
            }
            if leadership.changed().await.is_err() {
                return;
            }
        }
    }

    /// Returns the state of a term, which starts with empty buckets.
    fn start_term<'a>(
        &self,
        keeper: &'a mut Option<Keeper>,
        term: u64,
        now: Timestamp,
    ) -> &'a mut Keeper {
        if keeper.as_ref().is_none_or(|keeper| keeper.term != term) {
            *keeper = None;
            let subject = Subject { epoch: Some(term), ..Subject::default() };
            self.cx.events.record(EventNumber::LimitKeeperStarted, subject, "");
        }
        keeper.get_or_insert_with(|| Keeper {
            term,
            limiter: Limiter::new(self.tolerance, now),
            denials: HashMap::new(),
        })
    }

    /// Decides on all asks of a message; `None` if this instance is not the limit keeper.
    fn decide(
        &self,
        asks: &[Ask],
        returns: &[raw::Return],
        returns_term: u64,
    ) -> Option<(u64, Vec<Verdict>)> {
        let mut keeper = self.keeper.lock().expect("not poisoned");
        // Read after the wait for the lock, as the term may have ended meanwhile.
        let now = self.cx.clock.now();
        let term = self.keepership.term(now)?;
        let keeper = self.start_term(&mut keeper, term, now);
        if returns_term == term {
            for one in returns {
                keeper.limiter.take_back(&one.account, one.permits.min(RETURNED_MAX), now);
            }
        }
        let decide = |ask: &Ask| {
            let verdict = keeper.limiter.decide(ask, rand::random(), now);
            if let Verdict::Denied(_) = verdict {
                keeper.report_denial(&self.cx, ask, now);
            }
            verdict
        };
        Some((term, asks.iter().map(decide).collect()))
    }
}

impl Keeper {
    /// Records that an account has reached its limit, at most once in [`REPORT_INTERVAL`].
    fn report_denial(&mut self, cx: &Context, ask: &Ask, now: Timestamp) {
        if self.denials.len() >= REPORTED_MAX && !self.denials.contains_key(&ask.account) {
            self.denials.clear();
        }
        let denials = self.denials.entry(ask.account.clone()).or_default();
        denials.count += 1;
        let is_first = denials.reported_at == Timestamp::default();
        if !is_first && now.since(denials.reported_at) < REPORT_INTERVAL {
            return;
        }
        denials.reported_at = now;
        let refused = std::mem::take(&mut denials.count);
        let message = format!(
            "account={} config={} per_second={} burst={} refused={refused}",
            ask.account, ask.version, ask.limit.per_second, ask.limit.burst,
        );
        cx.events.record(EventNumber::AccountLimited, Subject::default(), message);
    }
}

#[async_trait]
impl Handler for AccountPermitServer {
    async fn handle(&self, _from: &InstanceName, payload: Bytes) -> Result<Bytes, String> {
        let request = raw::PermitRequest::decode(payload).map_err(|cause| cause.to_string())?;
        let asks: Result<Vec<Ask>, _> = request.asks.into_iter().map(Ask::try_from).collect();
        let asks = asks.map_err(|cause| cause.to_string())?;
        let decided = self.decide(&asks, &request.returns, request.returns_term);
        let answer = match decided {
            Some((term, verdicts)) => {
                let decisions = verdicts.into_iter().map(raw::Decision::from).collect();
                raw::PermitAnswer { term, decisions }
            }
            None => raw::PermitAnswer::default(),
        };
        Ok(answer.encode_to_vec().into())
    }
}

#[cfg(test)]
mod tests;
