//! Proposes commands to the current leader of a group, local or remote.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::sync::RwLock;
use std::time::Duration;

use async_trait::async_trait;
use bytes::Bytes;
use tokio::sync::watch;
use tokio::time::Instant;

use crate::ids::GroupId;
use crate::ids::InstanceName;
use crate::log_groups::ProposeError;
use crate::log_groups::ReplicatedLog;
use crate::log_groups::propose;
use crate::log_groups::propose::LocalProposer;
use crate::log_groups::propose::Outcome;
use crate::transport::Kind;
use crate::transport::Transport;
use crate::transport::TransportError;

/// The time after which a proposal is not attempted again; the last attempt may take up to
/// `ATTEMPT_LIMIT` longer.
pub const PROPOSE_LIMIT: Duration = Duration::from_secs(3);

/// The time limit of one attempt.
const ATTEMPT_LIMIT: Duration = Duration::from_secs(1);

/// The initial and the maximum delay between two attempts.
const BACKOFF: (Duration, Duration) = (Duration::from_millis(10), Duration::from_millis(160));

/// Commits commands from any instance, including those that do not hold the log.
///
/// A command may be appended more than once when answers are lost; state machines recognise
/// repeated commands.
pub struct LogClient {
    transport: Arc<dyn Transport>,
    voters: RwLock<Vec<InstanceName>>,
    local: Option<(InstanceName, LocalProposer)>,
    leaders: watch::Sender<BTreeMap<GroupId, InstanceName>>,
}

/// The state of one proposal across its attempts.
struct ProposalAttempts {
    deadline: Instant,
    backoff: Duration,
    next_voter: usize,
    /// The reason why the command may have been appended by an earlier attempt, if any.
    uncertain: Option<String>,
    last_reason: String,
}

impl LogClient {
    /// Creates a client that sends proposals to the given voters.
    pub fn new(transport: Arc<dyn Transport>, voters: Vec<InstanceName>) -> Self {
        Self {
            transport,
            voters: RwLock::new(voters),
            local: None,
            leaders: watch::Sender::default(),
        }
    }

    /// Makes the client bypass the transport for the log node of its own instance.
    pub(super) fn with_local(mut self, name: InstanceName, local: LocalProposer) -> Self {
        self.local = Some((name, local));
        self
    }

    /// Replaces the voters that proposals are sent to.
    pub fn set_voters(&self, voters: Vec<InstanceName>) {
        *self.voters.write().expect("not poisoned") = voters;
    }

    /// Records the leader of a group; `None` if it is unknown.
    pub fn note_leader(&self, group: GroupId, leader: Option<InstanceName>) {
        self.leaders.send_if_modified(|leaders| {
            let before = match leader.clone() {
                Some(leader) => leaders.insert(group, leader),
                None => leaders.remove(&group),
            };
            before != leader
        });
    }

    fn known_leader(&self, group: GroupId) -> Option<InstanceName> {
        self.leaders.borrow().get(&group).cloned()
    }

    /// Waits until an instance other than `target` is known to lead the group.
    async fn wait_for_other_leader(&self, group: GroupId, target: &InstanceName) {
        let is_other = |leaders: &BTreeMap<GroupId, InstanceName>| {
            leaders.get(&group).is_some_and(|leader| leader != target)
        };
        // This cannot fail, because the sender is a field of this client.
        let _ = self.leaders.subscribe().wait_for(is_other).await;
    }

    /// Returns the known leader of the group, or else the next voter.
    fn target(&self, group: GroupId, attempts: &mut ProposalAttempts) -> Option<InstanceName> {
        if let Some(leader) = self.known_leader(group) {
            return Some(leader);
        }
        let voters = self.voters.read().expect("not poisoned");
        let voter = voters.get(attempts.next_voter % voters.len().max(1)).cloned();
        attempts.next_voter += 1;
        voter
    }

    async fn propose_to(&self, target: &InstanceName, group: GroupId, command: Bytes) -> Outcome {
        if let Some((_, local)) = self.local.as_ref().filter(|(name, _)| name == target) {
            let answer = local.propose(group, command);
            let unknown = |_| Outcome::Unknown("the log did not answer in time".to_owned());
            return tokio::time::timeout(ATTEMPT_LIMIT, answer).await.unwrap_or_else(unknown);
        }
        let request = propose::encode_request(group, command);
        match self.transport.call(target, Kind::Propose, request, ATTEMPT_LIMIT).await {
            Ok(answer) => propose::decode_answer(answer),
            Err(cause @ TransportError::NoAnswer { .. }) => Outcome::Unknown(cause.to_string()),
            Err(cause) => Outcome::NotProposed(cause.to_string()),
        }
    }

    /// Handles the outcome of a failed attempt; returns whether to back off before the next one.
    fn handle_failure(
        &self,
        group: GroupId,
        target: &InstanceName,
        outcome: Outcome,
        attempts: &mut ProposalAttempts,
    ) -> bool {
        let mut leader = None;
        match outcome {
            Outcome::Applied(_) => {}
            Outcome::NotLeader(hint) => {
                leader = hint.filter(|hint| hint != target);
                attempts.last_reason = "no leader is known".to_owned();
            }
            Outcome::NotProposed(reason) => attempts.last_reason = reason,
            Outcome::Unknown(reason) => attempts.uncertain = Some(reason),
        }
        let has_hint = leader.is_some();
        self.note_leader(group, leader);
        !has_hint
    }
}

impl ProposalAttempts {
    fn new() -> Self {
        Self {
            deadline: Instant::now() + PROPOSE_LIMIT,
            backoff: BACKOFF.0,
            next_voter: rand::random_range(0..1_024),
            uncertain: None,
            last_reason: "no voter is known".to_owned(),
        }
    }

    /// Waits before the next attempt; returns false once the deadline has passed.
    async fn wait(&mut self, has_hint: bool) -> bool {
        // A hint may be as outdated as the leader that it replaces, so the attempt that follows it
        // waits briefly too.
        let wait = if has_hint { BACKOFF.0 / 10 } else { self.backoff };
        if !has_hint {
            self.backoff = (self.backoff * 2).min(BACKOFF.1);
        }
        tokio::time::sleep(wait.mul_f64(rand::random_range(0.5..1.0))).await;
        Instant::now() < self.deadline
    }

    fn error(self) -> ProposeError {
        match self.uncertain {
            Some(reason) => ProposeError::Unknown { reason },
            None => ProposeError::NotProposed { reason: self.last_reason },
        }
    }
}

#[async_trait]
impl ReplicatedLog for LogClient {
    async fn propose(&self, group: GroupId, command: Bytes) -> Result<Bytes, ProposeError> {
        if command.len() > propose::COMMAND_MAX_BYTES {
            let reason = format!("a command of {} bytes is too large", command.len());
            return Err(ProposeError::NotProposed { reason });
        }
        let mut attempts = ProposalAttempts::new();
        loop {
            let Some(target) = self.target(group, &mut attempts) else {
                // The voters become known soon after the start.
                if attempts.wait(false).await {
                    continue;
                }
                break;
            };
            // A partitioned or frozen leader does not answer, so a newly known leader ends the
            // wait.
            let outcome = tokio::select! {
                biased;
                outcome = self.propose_to(&target, group, command.clone()) => Some(outcome),
                () = self.wait_for_other_leader(group, &target) => None,
            };
            let backs_off = match outcome {
                Some(Outcome::Applied(answer)) => {
                    self.note_leader(group, Some(target));
                    return Ok(answer);
                }
                Some(outcome) => self.handle_failure(group, &target, outcome, &mut attempts),
                None => {
                    attempts.uncertain = Some(format!("{target} is no longer the leader"));
                    false
                }
            };
            if !attempts.wait(!backs_off).await {
                break;
            }
        }
        Err(attempts.error())
    }

    fn leader(&self, group: GroupId) -> Option<InstanceName> {
        self.known_leader(group)
    }
}

#[cfg(test)]
mod tests;
