//! Asks the limit keeper for permits on an entry instance.

use std::collections::HashMap;
use std::sync::Arc;
use std::sync::Mutex;
use std::time::Duration;

use bytes::Bytes;
use prost::Message as _;
use tokio::sync::watch;

use crate::account_limits::Ask;
use crate::account_limits::LimitTolerance;
use crate::account_limits::Verdict;
use crate::account_limits::generated as raw;
use crate::account_limits::metrics::AccountLabels;
use crate::account_limits::own_share::OwnShares;
use crate::clock::Timestamp;
use crate::context::Context;
use crate::events::EventNumber;
use crate::events::Subject;
use crate::ids::InstanceName;
use crate::roster::Role;
use crate::roster::poller::Roster;
use crate::transport::Kind;
use crate::transport::Transport;

/// The longest wait of a request for a permit; longer than an election of the control group.
const WAIT_MAX: Duration = Duration::from_secs(1);

/// How long a request waits before it uses the own share. A keeper that has not answered by then has
/// mostly failed. An answer that takes longer is discarded.
const ANSWER_TIMEOUT: Duration = Duration::from_millis(300);

/// The pause before an instance is asked again that does not answer or does not grant permits. A new
/// keeper is asked at once.
const ASK_AGAIN_AFTER: Duration = Duration::from_millis(50);

/// The least time after which a request that got no decision should come back, and the random time
/// that is added to it, in milliseconds. An election takes up to 600 ms.
const UNKNOWN_RETRY_MS: (u64, u64) = (500, 500);

/// How long the highest number of entry instances is used for the own share. A partition hides
/// instances that use their own shares too.
const INSTANCES_MEMORY: Duration = Duration::from_secs(600);

/// How long permits that were not used can be returned; longer than a reservation waits for the
/// journal. The tokens of older ones would come on top of a bucket that has filled up since.
const RETURN_WITHIN: Duration = Duration::from_secs(3);

/// The interval between two reports that no keeper answers.
const REPORT_INTERVAL: Duration = Duration::from_secs(1);

/// The outcomes of requests for permits, as the metrics name them.
const OUTCOMES: [&str; 5] = ["granted", "own_share", "limited", "unknown", "returned"];

/// Why a request got no permit.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum PermitRefusal {
    /// The account has reached its limit. The caller should come back after this time.
    LimitReached(Duration),
    /// No keeper answered. The caller should come back after this time.
    Unknown(Duration),
}

/// A permit for one request. Dropping it returns it, unless it was used.
pub struct AccountPermit {
    client: Arc<AccountPermitClient>,
    ask: Ask,
    /// The term of the keeper that granted it; `None` for the own share or if it was used.
    term: Option<u64>,
    granted_at: Timestamp,
}

impl AccountPermit {
    /// Records that an endpoint may have run the request.
    pub fn mark_used(mut self) {
        self.term = None;
    }
}

impl Drop for AccountPermit {
    fn drop(&mut self) {
        if let Some(term) = self.term {
            self.client.note_return(&self.ask, term, self.granted_at);
        }
    }
}

/// A core instance that leads the control group, as far as the roster shows.
#[derive(Debug, Clone, PartialEq, Eq)]
struct Leader {
    name: InstanceName,
    term: u64,
}

/// The permits to be returned with the next message.
#[derive(Debug, Default)]
struct Returns {
    term: u64,
    oldest_at: Timestamp,
    permits: HashMap<Arc<str>, u32>,
}

/// The highest numbers of entry instances in the present and the previous period.
#[derive(Debug, Default)]
struct InstanceCount {
    present: usize,
    previous: usize,
    began_at: Timestamp,
}

/// Acquires permits for the requests of accounts with a limit.
pub struct AccountPermitClient {
    cx: Context,
    roster: Arc<Roster>,
    transport: Arc<dyn Transport>,
    tolerance: LimitTolerance,
    instances: Mutex<InstanceCount>,
    shares: Mutex<OwnShares>,
    returns: Mutex<Returns>,
    labels: Mutex<AccountLabels>,
    /// When it was last reported that no keeper answers.
    reported_at: Mutex<Option<Timestamp>>,
}

impl AccountPermitClient {
    /// Creates a client with this tolerance.
    pub fn new(
        cx: Context,
        roster: Arc<Roster>,
        transport: Arc<dyn Transport>,
        tolerance: LimitTolerance,
    ) -> Arc<Self> {
        Arc::new(Self {
            cx,
            roster,
            transport,
            tolerance,
            instances: Mutex::default(),
            shares: Mutex::default(),
            returns: Mutex::default(),
            labels: Mutex::default(),
            reported_at: Mutex::default(),
        })
    }

    /// Records how many entry instances accept requests, as a majority of the control group has it.
    pub fn note_entry_instances(&self, count: usize) {
        let now = self.cx.clock.now();
        self.instances.lock().expect("not poisoned").note(count, now);
    }

    /// Acquires a permit for a request that has `time_left` until its deadline.
    ///
    /// # Errors
    /// Fails if the account has reached its limit, or no keeper answers in time and this instance's
    /// own share is used up.
    pub async fn acquire(
        self: &Arc<Self>,
        ask: &Ask,
        time_left: Duration,
    ) -> Result<AccountPermit, PermitRefusal> {
        let wait = WAIT_MAX.min(time_left / 2);
        let started_at = self.cx.clock.now();
        let asking = self.ask_until_decided(ask);
        tokio::pin!(asking);
        let first = tokio::time::timeout(ANSWER_TIMEOUT.min(wait), &mut asking).await;
        let decided = match first {
            Ok(decided) => Some(decided),
            Err(_) => {
                self.report_loss();
                if self.take_own_share(ask) {
                    return Ok(self.granted(ask, None, "own_share"));
                }
                let left = wait.saturating_sub(self.cx.clock.now().since(started_at));
                tokio::time::timeout(left, &mut asking).await.ok()
            }
        };
        match decided {
            Some((term, Verdict::Granted)) => Ok(self.granted(ask, Some(term), "granted")),
            Some((_, Verdict::Denied(delay))) => {
                self.count(ask, "limited");
                Err(PermitRefusal::LimitReached(delay))
            }
            // The wait may have reached the next window of the own share.
            None if self.take_own_share(ask) => Ok(self.granted(ask, None, "own_share")),
            None => {
                self.count(ask, "unknown");
                let (least, added) = UNKNOWN_RETRY_MS;
                let delay = Duration::from_millis(least + rand::random_range(0..added));
                Err(PermitRefusal::Unknown(delay))
            }
        }
    }

    /// Asks the leader that the roster shows, until one decides. Returns the decision and the term.
    async fn ask_until_decided(&self, ask: &Ask) -> (u64, Verdict) {
        let mut changes = self.roster.changes();
        loop {
            let leader = self.leader();
            let asking = async {
                let decided = match &leader {
                    Some(leader) => self.ask(leader, ask).await,
                    None => None,
                };
                if decided.is_none() {
                    tokio::time::sleep(ASK_AGAIN_AFTER).await;
                }
                decided
            };
            tokio::select! {
                decided = asking => if let Some(decided) = decided { return decided },
                () = self.leader_replaced(&mut changes, &leader) => {}
            }
        }
    }

    /// Asks an instance once; `None` if it does not answer in time or is not the limit keeper.
    async fn ask(&self, leader: &Leader, ask: &Ask) -> Option<(u64, Verdict)> {
        let (returns_term, returns) = self.take_returns();
        let asks = vec![raw::Ask::from(ask)];
        let request = raw::PermitRequest { asks, returns, returns_term };
        let payload = Bytes::from(request.encode_to_vec());
        let to = &leader.name;
        let called = self.transport.call(to, Kind::AccountPermit, payload, ANSWER_TIMEOUT).await;
        let answer = called
            .map_err(|cause| cause.to_string())
            .and_then(|bytes| raw::PermitAnswer::decode(bytes).map_err(|cause| cause.to_string()));
        match answer {
            Ok(answer) if answer.term > 0 => {
                let decision = answer.decisions.first().copied();
                decision.map(|decision| (answer.term, Verdict::from(decision)))
            }
            Ok(_) => None,
            Err(cause) => {
                log::debug!("instance {to} gave no answer on a permit of an account: {cause}");
                None
            }
        }
    }

    fn leader(&self) -> Option<Leader> {
        let presence = self.roster.with_view(|view| view.leader(Role::Core))?;
        Some(Leader { term: presence.group.term, name: presence.name })
    }

    /// Waits until the roster shows another leader.
    async fn leader_replaced(&self, changes: &mut watch::Receiver<u64>, known: &Option<Leader>) {
        while self.leader() == *known {
            if changes.changed().await.is_err() {
                std::future::pending::<()>().await;
            }
        }
    }

    fn take_own_share(&self, ask: &Ask) -> bool {
        let now = self.cx.clock.now();
        let Some(instances) = self.instances.lock().expect("not poisoned").highest() else {
            return false;
        };
        let own = self.cx.instance.as_str();
        let mut shares = self.shares.lock().expect("not poisoned");
        shares.take(own, &ask.account, ask.limit, &self.tolerance, instances, now)
    }

    fn granted(
        self: &Arc<Self>,
        ask: &Ask,
        term: Option<u64>,
        outcome: &'static str,
    ) -> AccountPermit {
        self.count(ask, outcome);
        let granted_at = self.cx.clock.now();
        AccountPermit { client: self.clone(), ask: ask.clone(), term, granted_at }
    }

    fn note_return(&self, ask: &Ask, term: u64, granted_at: Timestamp) {
        self.count(ask, "returned");
        let mut returns = self.returns.lock().expect("not poisoned");
        if term > returns.term || returns.permits.is_empty() {
            *returns = Returns { term, oldest_at: granted_at, permits: HashMap::new() };
        }
        if term == returns.term {
            returns.oldest_at = returns.oldest_at.min(granted_at);
            *returns.permits.entry(ask.account.clone()).or_default() += 1;
        }
    }

    /// Returns the permits to be returned with the next message, and the term that they are of.
    fn take_returns(&self) -> (u64, Vec<raw::Return>) {
        let now = self.cx.clock.now();
        let returns = std::mem::take(&mut *self.returns.lock().expect("not poisoned"));
        if now.since(returns.oldest_at) > RETURN_WITHIN {
            return (0, Vec::new());
        }
        let permits = returns.permits.into_iter();
        let to_raw = |(account, permits): (Arc<str>, u32)| raw::Return {
            account: account.to_string(),
            permits,
        };
        (returns.term, permits.map(to_raw).collect())
    }

    fn count(&self, ask: &Ask, outcome: &str) {
        let (label, dropped) = self.labels.lock().expect("not poisoned").label(ask);
        let counters = &self.cx.metrics.account_permits;
        if let Some(dropped) = dropped {
            for outcome in OUTCOMES {
                // Fails for an outcome that the account never had.
                let _ = counters.remove_label_values(&[&*dropped, outcome]);
            }
        }
        counters.with_label_values(&[&*label, outcome]).inc();
    }

    /// Records that no keeper answers, at most once in [`REPORT_INTERVAL`].
    fn report_loss(&self) {
        let now = self.cx.clock.now();
        let mut reported_at = self.reported_at.lock().expect("not poisoned");
        if reported_at.is_some_and(|at| now.since(at) < REPORT_INTERVAL) {
            return;
        }
        *reported_at = Some(now);
        let leader = self.leader();
        let term = leader.as_ref().map(|leader| leader.term);
        let peer = leader.map(|leader| leader.name.to_string());
        let subject = Subject { peer, epoch: term, ..Subject::default() };
        let message = format!("no decision within {} ms", ANSWER_TIMEOUT.as_millis());
        self.cx.events.record(EventNumber::LimitKeeperLost, subject, message);
    }
}

impl InstanceCount {
    fn note(&mut self, count: usize, now: Timestamp) {
        if now.since(self.began_at) >= INSTANCES_MEMORY {
            self.previous = std::mem::take(&mut self.present);
            self.began_at = now;
        }
        self.present = self.present.max(count);
    }

    /// Returns the highest number noted; `None` if there is none, as after a start without a
    /// majority of the control group.
    fn highest(&self) -> Option<usize> {
        Some(self.present.max(self.previous)).filter(|count| *count > 0)
    }
}
#[cfg(test)]
mod tests;
